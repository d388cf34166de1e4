/**
 * Runs the planner on the VM that owns it: performs the planner's commands and stores progress.
 * All inputs pass through one stream of events, so that the planner handles one at a time.
 */
import { setMaxListeners } from 'node:events'
import type { Stream } from 'most'
import { Inbox, pause, systemClock } from '@cornelgauge/coordination'
import { asFailure } from '@cornelgauge/model'
import { LEAST_STARTS_PER_ROUND, Planner, PLACEMENT_RULES, type AdviseCommand, type Command, type Configuration, type Job, type JobId, type JobPhase, type OperatingBounds, type QueueName, type ServerId, type StartCommand, type StartOutcome, type StopCommand, type StopOutcome } from '@cornelgauge/jobs'
import type { RowStore } from '@cornelgauge/ports'
import type { EmitEvent } from '@cornelgauge/telemetry'
import { callForAdvice } from './advice-call.js'
import type { BackendServerCalls } from './backend-server-calls.js'
import { JobIntake } from './job-intake.js'
import type { StoredJobs } from './job-store.js'
import type { CommandHandlers, HostEvent, HostEventHandlers } from './host-event.js'
import { CALL_SLACK_MILLISECONDS, OWNER_CONFIRMATION_LIMIT_MILLISECONDS, PROGRESS_BATCH, ROUND_INTERVAL_MILLISECONDS } from './limits.js'
import { ownerLoad, type OwnerLoad } from './owner-load.js'
import type { OwnerRecord } from './owner-record.js'
import { logFindings } from './planner-findings.js'
import type { PlatformView } from './platform-view.js'
import { ProgressSaver } from './progress-saver.js'
import { ProgressWriter } from './progress-writer.js'
import type { RegistryReading } from './registry-reader.js'
import { RetiredJobs } from './retired-jobs.js'
import { RoundMonitor } from './round-monitor.js'
import { areStartsRecorded, RecordedStarts, unrecordedStartsOf, type RecordedPeriod } from './recorded-starts.js'
import { earlierRunsOf, ServerRecord } from './server-record.js'
import { ServerRecorder } from './server-recorder.js'
import { SpeedRecorder } from './speed-recorder.js'
import { RunLog } from './run-log.js'
import { ServerPolls } from './server-polls.js'
import { StartSender } from './start-sender.js'

/** Options of a planner host. */
export interface PlannerHostOptions {
  readonly owner: OwnerRecord
  readonly store: RowStore
  /** Reads a job that was left in the store; see `JobIntake`. */
  readonly readJob: (id: JobId) => Promise<Job | undefined>
  readonly servers: BackendServerCalls
  readonly advise: PlatformView['advise']
  readonly bounds?: OperatingBounds | undefined
  readonly emit: EmitEvent
  /** False while it isn't known in which failure domains work may start; absent if there are no evacuations. */
  readonly areDomainsKnown?: () => boolean
  /** The recorded period that an earlier owner has stored. */
  readonly recordedPeriod?: RecordedPeriod | undefined
  /** Milliseconds since ownership was last confirmed by the store or by a majority of peers. */
  readonly confirmedAge: () => number
  /** Called when a newer owner was detected; this host has stopped scheduling. */
  readonly onFenced: () => void
}

/** Polls that follow a start at once, by its outcome: they show whether its run exists, or which incarnation answers. */
const POLLS_AFTER_START: Readonly<Partial<Record<StartOutcome, (polls: ServerPolls, server: ServerId) => void>>> = {
  unanswered: (polls, server) => polls.settle(server),
  unreached: (polls, server) => polls.identify(server),
  'other-life': (polls, server) => polls.identify(server)
}

/** Writes of progress that take longer than this are logged. */
const SLOW_STORE_MILLISECONDS = 500

/**
 * Hosts a planner from the claim to the handover.
 *
 * @example
 * const host = new PlannerHost(options)
 * host.updateRegistry(reading)
 * await host.stop()
 */
export class PlannerHost {
  readonly #options: PlannerHostOptions
  readonly #intake: JobIntake
  readonly #planner: Planner
  readonly #writer: ProgressWriter
  readonly #saver: ProgressSaver
  readonly #servers: ServerRecorder
  readonly #starts: StartSender
  readonly #log: RunLog
  readonly #recordedStarts: RecordedStarts
  readonly #rounds: RoundMonitor
  readonly #retired: RetiredJobs
  readonly #inbox = new Inbox<HostEvent>()
  readonly #stopping = new AbortController()
  readonly #addresses = new Map<ServerId, string>()
  readonly #polls: ServerPolls
  readonly #roundTimer: NodeJS.Timeout
  #isRoundDue = false
  #isDeciding = true
  /** The next round, or the last one. */
  #round: Promise<void> = Promise.resolve()

  readonly #handlers: HostEventHandlers = {
    polled: ({ server, report }) => this.#planner.applyReport(server, report, Date.now()),
    pollFailed: event => this.#handlePollFailure(event),
    started: ({ command, outcome }) => this.#handleStartOutcome(command, outcome),
    stopped: ({ command, outcome }) => this.#handleStopOutcome(command, outcome),
    advised: ({ command, advice }) => this.#planner.applyAdvice(command, advice, performance.now()),
    registryUpdated: reading => this.#updateRegistry(reading),
    configured: ({ configuration }) => this.#planner.configure(configuration),
    evacuated: ({ failureDomains }) => this.#planner.evacuate(failureDomains, performance.now()),
    submitted: ({ job }) => this.#submit(job),
    cancelled: ({ id }) => this.#cancel(id),
    tick: () => {
      this.#log.flushDue()
      if (!this.#servers.hasStored) this.#servers.update().catch(thrown => this.#crash(thrown))
    }
  }

  readonly #performers: CommandHandlers = {
    start: async command => { this.#starts.add(command) },
    stop: command => this.#stopRun(command),
    advise: command => this.#advise(command)
  }

  /** `stored` is what the store has; it isn't kept. */
  constructor ({ stored, ...given }: PlannerHostOptions & { readonly stored: StoredJobs }) {
    this.#log = new RunLog(given.emit)
    this.#options = { ...given, emit: this.#log.emit }
    const { owner, store, emit, readJob, servers, bounds, recordedPeriod } = this.#options
    this.#planner = new Planner(owner.epoch, stored.jobs, { now: performance.now(), wallTime: Date.now() }, PLACEMENT_RULES, bounds)
    const unrecorded = unrecordedStartsOf(recordedPeriod, owner, { ...stored.servers, clock: stored.clock })
    this.#planner.inheritServers(stored.servers.ids, earlierRunsOf(stored.servers, owner), areStartsRecorded(recordedPeriod, owner, stored.clock), unrecorded)
    this.#intake = new JobIntake({
      planner: this.#planner,
      readJob,
      readProgress: id => this.#writer.read(id),
      emit,
      onReplaced: () => this.#fence(),
      onCrash: thrown => this.#crash(thrown),
      signal: this.#stopping.signal
    }, { waiting: stored.waiting, planned: stored.jobs.map(({ job }) => job) })
    this.#starts = new StartSender({
      planner: this.#planner,
      epoch: owner.epoch,
      servers,
      targetOf: id => this.#target(id),
      emit,
      maySend: () => this.#maySend,
      onOutcome: (command, outcome) => this.#inbox.put({ type: 'started', command, outcome }),
      onCrash: thrown => this.#crash(thrown)
    })
    this.#recordedStarts = this.#createRecordedStarts(unrecorded === undefined ? undefined : recordedPeriod?.unrecorded)
    for (const id of stored.earlyCancellations) this.#planner.cancel(id, Date.now())
    this.#writer = new ProgressWriter(store, owner, stored.progressVersions)
    this.#saver = new ProgressSaver({
      planner: this.#planner,
      writer: this.#writer,
      tryStoreCall: call => this.#tryStoreCall(call),
      onStored: milliseconds => this.#handleStored(milliseconds),
      onCrash: thrown => this.#crash(thrown),
      signal: this.#stopping.signal
    })
    this.#servers = new ServerRecorder({
      planner: this.#planner,
      record: new ServerRecord(store, owner, stored.servers),
      tryStoreCall: call => this.#tryStoreCall(call),
      onReleased: () => this.#inbox.put({ type: 'tick' }),
      signal: this.#stopping.signal
    })
    SpeedRecorder.start({ planner: this.#planner, store, owner, tryStoreCall: call => this.#tryStoreCall(call), onCrash: thrown => this.#crash(thrown), signal: this.#stopping.signal })
    this.#polls = this.#createPolls()
    this.#rounds = new RoundMonitor({ epoch: owner.epoch, emit, load: () => this.load, startTimes: () => this.#starts.takeTimes() })
    // Each backend server's poll may wait on this signal.
    setMaxListeners(0, this.#stopping.signal)
    this.#retired = RetiredJobs.start(this.#planner, this.#writer, this.#stopping.signal, { tryStoreCall: call => this.#tryStoreCall(call), onCrash: thrown => this.#crash(thrown) })
    const events: Stream<HostEvent> = this.#inbox.events
    events.observe(event => this.#handle(event)).catch(thrown => this.#crash(thrown))
    this.#roundTimer = setInterval(() => {
      this.#rounds.noteTick()
      this.#inbox.put({ type: 'tick' })
    }, ROUND_INTERVAL_MILLISECONDS)
  }

  #createRecordedStarts (inheritedStarts: RecordedPeriod['unrecorded']): RecordedStarts {
    const { store, owner, confirmedAge } = this.#options
    return new RecordedStarts({
      store,
      owner,
      isRecordComplete: () => !this.#starts.isLate && this.#planner.isRecordComplete(performance.now()),
      unrecordedStarts: () => this.#starts.isLate ? undefined : this.#planner.unrecordedStarts,
      inheritedStarts,
      confirmedAge
    })
  }

  #createPolls (): ServerPolls {
    return new ServerPolls({
      planner: this.#planner,
      epoch: this.epoch,
      calls: this.#options.servers,
      recorder: this.#servers,
      isConfirmed: () => this.#isConfirmed,
      readJobsOf: report => this.#intake.readJobsOf(report),
      stored: () => this.#stored(),
      onReport: event => this.#handle(event),
      onFailure: event => this.#inbox.put(event),
      onCrash: thrown => this.#crash(thrown),
      signal: this.#stopping.signal
    })
  }

  /** The owner's epoch, which fences all of this host's calls and writes. */
  get epoch (): OwnerRecord['epoch'] {
    return this.#options.owner.epoch
  }

  configure (configuration: Configuration): void {
    this.#inbox.put({ type: 'configured', configuration })
  }

  /** Replaces the failure domains that are evacuated. */
  evacuate (failureDomains: ReadonlySet<string>): void {
    this.#inbox.put({ type: 'evacuated', failureDomains })
  }

  /** Replaces the list of registered backend servers. */
  updateRegistry (reading: RegistryReading): void {
    this.#inbox.put({ type: 'registryUpdated', ...reading })
  }

  submit (job: Job): void {
    this.#inbox.put({ type: 'submitted', job })
  }

  cancel (id: JobId): void {
    this.#inbox.put({ type: 'cancelled', id })
  }

  phaseOf (id: JobId): JobPhase | undefined {
    return this.#planner.phaseOf(id)
  }

  queuedIn (queue: QueueName): number {
    return this.#planner.queuedIn(queue) + this.#intake.waitingIn(queue)
  }

  /** Number of jobs that wait in the store. */
  get waitingJobs (): number {
    return this.#intake.waitingCount
  }

  get load (): OwnerLoad {
    return ownerLoad(this.#planner.load, this.waitingJobs)
  }

  /** True while the ownership was confirmed recently enough to start runs and renew leases. */
  get #isConfirmed (): boolean {
    return this.#options.confirmedAge() < OWNER_CONFIRMATION_LIMIT_MILLISECONDS
  }

  get #areDomainsKnown (): boolean {
    return this.#options.areDomainsKnown?.() !== false
  }

  /** False while the store doesn't record starts, or evacuations aren't known. */
  get #mayStart (): boolean {
    return this.#areDomainsKnown && (!this.#starts.isLate || this.#recordedStarts.mayStartUnrecorded)
  }

  /** True while this host may send starts. */
  get #maySend (): boolean {
    return this.#isDeciding && !this.#stopping.signal.aborted && this.#isConfirmed && this.#areDomainsKnown
  }

  /** Confirms with the store that this VM still owns the planner. */
  async confirmOwnership (): Promise<boolean> {
    return await this.#tryStoreCall(() => this.#recordedStarts.confirm())
  }

  /** Stops scheduling immediately and stores the progress that isn't stored yet. */
  async stop (): Promise<void> {
    this.#isDeciding = false
    clearInterval(this.#roundTimer)
    this.#starts.clear()
    await this.#saver.underWay
    // Ends go on arriving, so what is unstored by now bounds the number of batches.
    for (let batches = Math.ceil(this.#planner.unstoredCount / PROGRESS_BATCH); batches > 0 && !this.#stopping.signal.aborted; batches -= 1) {
      await this.#tryStoreCall(async () => { await this.#writer.write(this.#planner) })
    }
    this.#log.flush()
    this.#stopping.abort()
  }

  /** Stops immediately without storing anything. */
  abandon (): void {
    this.#halt()
  }

  #handle (event: HostEvent): void {
    if (this.#stopping.signal.aborted) return
    const handler = this.#handlers[event.type] as (event: HostEvent) => void
    handler(event)
    logFindings(this.#options.emit, this.#planner.drainEvents())
    this.#scheduleRound()
  }

  #crash (thrown: unknown): void {
    this.#options.emit('planner-failed', { details: { failure: asFailure(thrown).message } })
    this.#options.onFenced()
    this.#halt()
  }

  #scheduleRound (): void {
    if (this.#isRoundDue) return
    this.#isRoundDue = true
    this.#round = pause(systemClock, this.#rounds.delayMilliseconds).then(() => {
      this.#isRoundDue = false
      this.#runRound()
    }).catch(thrown => this.#crash(thrown))
  }

  #runRound (): void {
    if (!this.#isDeciding || this.#stopping.signal.aborted) return
    if (this.#isConfirmed) {
      const commands = this.#rounds.measure(() => this.#planner.decide({ now: performance.now(), wallTime: Date.now() }, this.#mayStart))
      for (const command of commands) this.#perform(command)
      if (commands.length >= LEAST_STARTS_PER_ROUND) this.#scheduleRound()
    }
    this.#saver.save()
    this.#sendStarts()
    this.#intake.fill()
  }

  /** Sends the starts that are recorded by now, or need not be. */
  #sendStarts (): void {
    if (!this.#maySend) return
    this.#starts.release(this.#recordedStarts.mayStartUnrecorded)
  }

  #perform (command: Command): void {
    const performer = this.#performers[command.type] as (command: Command) => Promise<void>
    performer(command).catch(thrown => this.#crash(thrown))
  }

  async #stopRun (command: StopCommand): Promise<void> {
    const outcome = await this.#options.servers.stop(this.#target(command.server), command, this.epoch, CALL_SLACK_MILLISECONDS)
    this.#inbox.put({ type: 'stopped', command, outcome })
  }

  async #advise (command: AdviseCommand): Promise<void> {
    const { advise, emit } = this.#options
    const advice = await callForAdvice(advise, command, emit)
    this.#inbox.put({ type: 'advised', command, advice })
  }

  #handleStartOutcome (command: StartCommand, outcome: StartOutcome): void {
    const { task, run, server } = command
    this.#planner.applyStartOutcome(server, task, run, outcome, performance.now())
    this.#options.emit('task-started', { details: { task, run, server, epoch: this.epoch, outcome, resumed: command.checkpoint !== '' } })
    if (outcome === 'fenced') this.#fence()
    POLLS_AFTER_START[outcome]?.(this.#polls, server)
  }

  #handleStopOutcome (command: StopCommand, outcome: StopOutcome): void {
    const { task, run, server, reason, stoppedFor } = command
    this.#planner.applyStopOutcome(command, outcome, performance.now())
    this.#options.emit('task-stopped', { details: { task, run, server, reason, ...(stoppedFor === undefined ? {} : { stoppedFor }), outcome } })
    if (outcome === 'fenced') this.#fence()
  }

  #submit (job: Job): void {
    if (this.#planner.phaseOf(job.id) !== undefined || this.#retired.has(job)) return
    this.#intake.submit(job)
  }

  #cancel (id: JobId): void {
    if (!this.#planner.cancel(id, Date.now())) this.#options.emit('cancellation-of-unknown-job', { details: { job: id } })
    this.#intake.require(id)
  }

  #updateRegistry ({ entries, unreadable }: RegistryReading): void {
    const unreported = this.#planner.updateServers(entries, performance.now(), unreadable)
    for (const entry of entries) this.#addresses.set(entry.id, entry.address)
    this.#polls.add(this.#planner.servers)
    for (const id of unreported) this.#polls.identify(id)
    this.#options.servers.retainConnections(new Set(this.#planner.servers.map(id => this.#addresses.get(id)!)))
    this.#servers.update().catch(thrown => this.#crash(thrown))
  }

  #handlePollFailure ({ server, address, incarnation, sentAt, failure }: Extract<HostEvent, { type: 'pollFailed' }>): void {
    this.#planner.recordMissedPoll(server, incarnation, sentAt)
    if (failure.code === 'server-replaced') this.#planner.recordReplacement(server, address, sentAt)
    this.#options.emit('look-missed', { details: { server, failure: failure.code } })
    if (failure.code === 'stale-epoch') this.#fence()
  }

  /** Returns once the round after the last event and the write of what it found have ended: ends and the starts that follow them are stored together. */
  async #stored (): Promise<void> {
    await this.#round
    await this.#saver.underWay
  }

  #handleStored (milliseconds: number): void {
    if (milliseconds > SLOW_STORE_MILLISECONDS) this.#options.emit('progress-stored-late', { details: { milliseconds: Math.round(milliseconds) } })
    this.#starts.noteStored()
    this.#sendStarts()
    this.#saver.save()
  }

  /** Runs a call to the store. `stale-epoch` stops this host; any other failure is logged, and a later attempt follows. */
  async #tryStoreCall (call: () => Promise<void>): Promise<boolean> {
    try {
      await call()
      return true
    } catch (thrown) {
      const failure = asFailure(thrown)
      if (failure.code === 'stale-epoch') this.#fence()
      else this.#options.emit('progress-not-stored', { details: { failure: failure.code, waiting: this.#planner.unstoredCount } })
      return false
    }
  }

  #fence (): void {
    if (this.#stopping.signal.aborted) return
    this.#options.emit('planner-fenced', { details: { epoch: this.epoch } })
    this.#halt()
    this.#options.onFenced()
  }

  #halt (): void {
    this.#isDeciding = false
    clearInterval(this.#roundTimer)
    this.#log.flush()
    this.#stopping.abort()
  }

  #target (id: ServerId): { id: ServerId, address: string } {
    return { id, address: this.#addresses.get(id)! }
  }
}
