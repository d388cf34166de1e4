/** An owner in a simulation: drives a planner as the entry package's `PlannerHost` does. */
import { epoch, type Epoch } from '@cornelgauge/model'
import { decodeProgress, encodeProgress, Planner, type Command, type Configuration, type JobId, type PlannerEvent, type ServerId, type StartCommand, type StartOutcome, type StopCommand } from '../src/index.js'
import { BoundCalls } from './bound-calls.js'
import type { Machine, MessageNetwork } from './message-network.js'
import { OwnerLoop } from './owner-loop.js'
import { SimulatedPolls, type FailedPoll } from './simulated-polls.js'
import { earlierRunsOf, RECORDED_PERIOD_MILLISECONDS, recordedStartsOf, SimulatedRecord } from './simulated-record.js'
import type { SimulatedStore } from './simulated-store.js'
import type { SeededRandom, VirtualTime } from './virtual-time.js'

export const WALL_TIME_AT_START = 1_700_000_000_000
const ROUND_DELAY_MILLISECONDS = 4
const TICK_MILLISECONDS = 150
const FEED_MILLISECONDS = 250
const CONFIRM_MILLISECONDS = 500
const CONFIRMATION_LIMIT_MILLISECONDS = 2500
const UNRECORDED_START_CONFIRMATION_MILLISECONDS = 1000
const START_RECORD_MILLISECONDS = 1500
const LONGEST_STOP_MILLISECONDS = 1000
const STORE_RETRY_MILLISECONDS = 100
const CONCURRENT_WRITES = 3

/** What owners of a play share. */
export interface OwnerContext {
  readonly time: VirtualTime
  readonly random: SeededRandom
  readonly network: MessageNetwork
  readonly store: SimulatedStore
  readonly configuration: Configuration
  readonly mostListedEnds: number
  readonly machineAt: (address: string) => Machine
  /** Called with what the owner does, for findings. */
  readonly note: (task: string, text: string) => void
  readonly onEvents: (events: readonly PlannerEvent[]) => void
  /** Called when a start is sent to a failure domain that is evacuated as the owner knows. */
  readonly onEvacuatedStart?: (command: StartCommand) => void
}

/** An owner from its claim, which it has just made, to its end. */
export class SimulatedOwner {
  readonly loop: OwnerLoop
  readonly epoch: Epoch
  readonly planner: Planner
  /** Its peers don't confirm it any more. */
  isIsolated = false
  readonly #context: OwnerContext
  readonly #calls: BoundCalls
  readonly #polls: SimulatedPolls
  readonly #record: SimulatedRecord
  readonly #addresses = new Map<ServerId, string>()
  #evacuated: ReadonlySet<string> = new Set()
  readonly #waitingStarts = new Map<StartCommand, number>()
  #isDeciding = true
  #isLate = false
  #confirmedAt: number
  #extendedAt: number
  #unrecordedUntil: number | undefined
  #isRoundDue = false
  #afterRound: (() => void)[] = []
  readonly #writes = new Set<{ readonly jobs: ReadonlyMap<JobId, number>, readonly afterwards: (() => void)[] }>()
  #isPausing = false

  constructor (context: OwnerContext, number: number) {
    this.#context = context
    const { time, random, store, network, mostListedEnds } = context
    this.epoch = epoch(number)
    this.loop = new OwnerLoop(time, random)
    const stored = [...store.jobs.values()].map(job => {
      const text = store.progress.get(job.id)
      return { job, isCancelled: store.cancelled.has(job.id), ...(text === undefined ? {} : { progress: decodeProgress(text) }) }
    })
    this.planner = new Planner(this.epoch, stored, { now: this.loop.now, wallTime: this.#wallTime })
    const inherited = store.servers
    const recorded = recordedStartsOf(store.period, inherited, number, this.loop.now)
    this.planner.inheritServers(inherited?.ids ?? [], earlierRunsOf(inherited, number), recorded === 'all', recorded === 'all' ? undefined : recorded)
    this.#unrecordedUntil = recorded === undefined || recorded === 'all' ? undefined : store.period?.unrecorded?.until
    this.#confirmedAt = this.#extendedAt = this.loop.now
    this.#calls = new BoundCalls(this.loop, network, number, mostListedEnds)
    this.#record = new SimulatedRecord({ planner: this.planner, epoch: this.epoch, loop: this.loop, store, inherited, onReleased: () => this.#scheduleRound(), onFenced: () => this.end() })
    this.#polls = new SimulatedPolls({
      planner: this.planner,
      loop: this.loop,
      calls: this.#calls,
      record: this.#record,
      machineAt: context.machineAt,
      isConfirmed: () => this.#isConfirmed,
      whenStored: use => this.#whenStored(use),
      onReport: (server, report) => this.#handle(() => this.planner.applyReport(server, report, this.#wallTime)),
      onFailure: failed => this.#handle(() => this.#applyFailedPoll(failed))
    })
    this.planner.configure(context.configuration)
    this.#readStore()
    this.#tick()
    this.#confirm()
  }

  /** Decides nothing more, and ends once what has changed is stored or some time has passed. */
  stop (): void {
    this.#isDeciding = false
    for (const { server, task, run } of this.#waitingStarts.keys()) this.planner.applyStartOutcome(server, task, run, 'unsent', this.loop.now)
    this.#waitingStarts.clear()
    this.#save()
    this.#afterWrites(() => this.end())
    this.loop.after(LONGEST_STOP_MILLISECONDS, () => this.end())
  }

  /** Ends at once, without storing anything. */
  end (): void {
    this.loop.end()
  }

  get #wallTime (): number {
    return WALL_TIME_AT_START + this.loop.now
  }

  get #confirmedAge (): number {
    return this.loop.now - this.#confirmedAt
  }

  get #isConfirmed (): boolean {
    return this.#confirmedAge < CONFIRMATION_LIMIT_MILLISECONDS
  }

  get #mayStartUnrecorded (): boolean {
    return this.loop.now >= this.#extendedAt + RECORDED_PERIOD_MILLISECONDS && this.#confirmedAge < UNRECORDED_START_CONFIRMATION_MILLISECONDS
  }

  #handle (action: () => void): void {
    if (this.loop.hasEnded) return
    action()
    this.#context.onEvents(this.planner.drainEvents())
    this.#scheduleRound()
  }

  #tick (): void {
    if (this.#context.store.epoch === this.epoch && !this.isIsolated) this.#confirmedAt = this.loop.now
    this.loop.after(TICK_MILLISECONDS, () => this.#tick())
    this.#handle(() => { if (!this.#record.hasStored) this.#record.update() })
  }

  /** Reads the registry, and the jobs and cancellations that have arrived. */
  #readStore (): void {
    const { store } = this.#context
    this.loop.after(FEED_MILLISECONDS, () => this.#readStore())
    if (store.isDown) return
    this.#handle(() => {
      for (const job of store.jobs.values()) if (this.planner.phaseOf(job.id) === undefined && !this.planner.submit(job)) this.end()
      this.#evacuated = new Set(store.evacuated)
      this.planner.evacuate(this.#evacuated, this.loop.now)
      for (const id of store.cancelled) this.planner.cancel(id, this.#wallTime)
      const unreported = this.planner.updateServers(store.entries, this.loop.now)
      for (const { id, address } of store.entries) this.#addresses.set(id, address)
      this.#polls.add(this.planner.servers)
      for (const id of unreported) this.#polls.identify(id)
      this.#record.update()
    })
  }

  #confirm (): void {
    const { store } = this.#context
    const startedAt = this.loop.now
    const period = this.#nextPeriod(startedAt)
    if (period !== undefined) this.#extendedAt = startedAt
    store.call(this.loop, this.epoch, () => { if (period !== undefined) store.period = period }, outcome => {
      if (outcome === 'fenced') return this.end()
      if (outcome === 'done') this.#confirmedAt = Math.max(this.#confirmedAt, startedAt)
      this.loop.after(CONFIRM_MILLISECONDS, () => this.#confirm())
    })
  }

  #nextPeriod (now: number): SimulatedStore['period'] {
    const row = { under: this.epoch, until: Math.floor(now) + RECORDED_PERIOD_MILLISECONDS }
    if (!this.#isLate && this.planner.isRecordComplete(now)) return row
    const unrecorded = this.#isLate ? undefined : this.planner.unrecordedStarts
    if (unrecorded === undefined) return undefined
    this.#unrecordedUntil ??= Math.ceil(unrecorded.until + 1)
    return { ...row, unrecorded: { upTo: unrecorded.upTo, until: this.#unrecordedUntil } }
  }

  #scheduleRound (): void {
    if (this.#isRoundDue) return
    this.#isRoundDue = true
    this.loop.after(ROUND_DELAY_MILLISECONDS, () => {
      this.#isRoundDue = false
      this.#round()
    })
  }

  #round (): void {
    if (!this.#isDeciding) return
    if (this.#isConfirmed) {
      const commands = this.planner.decide({ now: this.loop.now, wallTime: this.#wallTime }, !this.#isLate || this.#mayStartUnrecorded)
      for (const command of commands) this.#perform(command)
    }
    this.#save()
    this.#sendStarts()
    for (const use of this.#afterRound.splice(0)) this.#afterWrites(use)
  }

  #perform (command: Command): void {
    if (command.type === 'start') this.#waitingStarts.set(command, this.loop.now)
    else if (command.type === 'stop') this.#stop(command)
  }

  #machine (id: ServerId): Machine {
    return this.#context.machineAt(this.#addresses.get(id)!)
  }

  #stop (command: StopCommand): void {
    const { task, run, server, reason } = command
    this.#calls.stop(command, this.#machine(server), outcome => this.#handle(() => {
      this.#context.note(task, `owner ${this.epoch}: stop of run ${run} on ${server}@${command.incarnation} (${reason}): ${outcome}`)
      this.planner.applyStopOutcome(command, outcome, this.loop.now)
      if (outcome === 'fenced') this.end()
    }))
  }

  #sendStarts (): void {
    if (!this.#isConfirmed || !this.#isDeciding) return
    for (const [command, since] of this.#waitingStarts) {
      const isRecorded = this.planner.isRecorded(command)
      if (!isRecorded && this.loop.now - since >= START_RECORD_MILLISECONDS) this.#isLate = true
      if (!isRecorded && !this.#isLate && this.planner.isStartDue(command)) continue
      this.#waitingStarts.delete(command)
      if (!this.planner.isStartDue(command) || (!isRecorded && !this.#mayStartUnrecorded)) {
        this.planner.applyStartOutcome(command.server, command.task, command.run, 'unsent', this.loop.now)
        continue
      }
      if (!isRecorded) this.planner.noteUnrecordedStart(command)
      this.#calls.start(command, this.#machine(command.server), () => this.#maySend(command), outcome => this.#handle(() => this.#applyStart(command, outcome)))
    }
  }

  #maySend (command: StartCommand): boolean {
    const maySend = this.#isConfirmed && this.#isDeciding && this.planner.isStartDue(command)
    const { failureDomain } = this.#context.store.entryOf(command.server) ?? {}
    if (maySend && failureDomain !== undefined && this.#evacuated.has(failureDomain)) this.#context.onEvacuatedStart?.(command)
    return maySend
  }

  #applyStart (command: StartCommand, outcome: StartOutcome): void {
    const { task, run, server, incarnation } = command
    this.#context.note(task, `owner ${this.epoch}: start of run ${run} on ${server}@${incarnation}: ${outcome}`)
    this.planner.applyStartOutcome(server, task, run, outcome, this.loop.now)
    if (outcome === 'fenced') this.end()
    if (outcome === 'unanswered') this.#polls.settle(server)
    if (outcome === 'unreached' || outcome === 'other-life') this.#polls.identify(server)
  }

  #applyFailedPoll ({ server, address, incarnation, sentAt, failure }: FailedPoll): void {
    this.planner.recordMissedPoll(server, incarnation)
    if (failure === 'server-replaced') this.planner.recordReplacement(server, address, sentAt)
    if (failure === 'stale-epoch') this.end()
  }

  #save (): void {
    while (!this.#isPausing && this.#writes.size < CONCURRENT_WRITES) {
      const busy = new Set([...this.#writes].flatMap(({ jobs }) => [...jobs.keys()]))
      const jobs = new Map([...this.planner.unstoredJobs].filter(([id]) => !busy.has(id)))
      if (jobs.size === 0) return
      this.#write(jobs)
    }
  }

  #write (jobs: ReadonlyMap<JobId, number>): void {
    const { store } = this.#context
    const rows = [...jobs.keys()].map(id => [id, encodeProgress(this.planner.progressOf(id) ?? { hasBegun: false, steps: {} })] as const)
    const write = { jobs, afterwards: [] as (() => void)[] }
    this.#writes.add(write)
    store.call(this.loop, this.epoch, () => { for (const [id, text] of rows) store.progress.set(id, text) }, outcome => {
      this.#writes.delete(write)
      if (outcome === 'fenced') return this.end()
      if (outcome === 'done') {
        this.planner.markStored(jobs)
        this.#isLate = false
        this.#sendStarts()
        this.#save()
      } else if (!this.#isPausing) {
        this.#isPausing = true
        this.loop.after(STORE_RETRY_MILLISECONDS, () => { this.#isPausing = false })
      }
      for (const use of write.afterwards) use()
    })
  }

  #whenStored (use: () => void): void {
    if (this.#isRoundDue) this.#afterRound.push(use)
    else this.#afterWrites(use)
  }

  #afterWrites (use: () => void): void {
    let count = this.#writes.size
    if (count === 0) return use()
    for (const { afterwards } of this.#writes) {
      afterwards.push(() => {
        count -= 1
        if (count === 0) use()
      })
    }
  }
}
