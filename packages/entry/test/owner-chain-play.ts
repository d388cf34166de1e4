/**
 * Plays owners that follow each other at a fixed interval, each of which loses a backend server of its own: it is cut off
 * from all VMs some time after the claim, and comes back later, when its runs have lapsed. Some owners end before
 * they receive a job that was accepted. The store answers but for one outage, and no call between reachable parts is lost.
 */
import type { Job, StoredJob } from '@cornelgauge/jobs'
import { MemoryRowStore } from '@cornelgauge/ports'
import { NO_OWNER } from '../src/owner-record.js'
import { IdleTaskMeter, type IdleTimes } from './idle-task-meter.js'
import { PlayedOwner, playedJob, STEP_MILLISECONDS, storeClock } from './played-owner.js'
import { PLAYED_VMS, PlayedPool, seededRandom, type Random } from './played-server.js'

const MINIMUM_SERVERS = 24
/** How often a lost backend server has runs, so that most runs are done in time whatever the owners' interval. */
const BUSY_LOSS_MILLISECONDS = 2000
const SUBMISSION_MILLISECONDS = 1000
const STORE = { canRead: true, canRecord: true, canStoreProgress: true }
const NO_STORE = { canRead: false, canRecord: false, canStoreProgress: false }
/** Backend servers are lost this often at the end of an outage of the store. */
const OUTAGE_LOSS_MILLISECONDS = 500
/** How long before its end. */
const OUTAGE_LOSSES_MILLISECONDS = 3000

/** What a play has shown. */
export interface ChainResult {
  /** Tasks handed in. */
  readonly tasks: number
  readonly starts: number
  /** Starts of tasks that ran elsewhere at that time. */
  readonly doubles: readonly string[]
  readonly owners: number
  readonly lostServers: number
  /** Runs and starts on lost backend servers. */
  readonly losses: number
  readonly idle: IdleTimes
}

/** What a play is made of. */
export interface ChainOptions {
  readonly seed: number
  /** Time between two claims. */
  readonly ownerMilliseconds: number
  /** How long a lost backend server is cut off: longer than its leases last. */
  readonly lostMilliseconds: number
  /** A time without an owner, after which the last one's record says nothing of the starts before. */
  readonly gap?: { readonly at: number, readonly milliseconds: number }
  /** One owner goes on without the store, and ends with the outage, so that its last starts are recorded nowhere. */
  readonly outage?: { readonly at: number, readonly milliseconds: number }
  /** Owners know only backend servers that they reach, to show that the play finds a fault. */
  readonly forgetsServers?: boolean
  /** Owners take all starts for recorded, to show the same. */
  readonly trustsRecord?: boolean
}

/**
 * Plays a chain of owners.
 *
 * @example
 * const { idle } = await new OwnerChainPlay({ seed: 7, ownerMilliseconds: 4500, lostMilliseconds: 9000 }).run(60_000)
 */
export class OwnerChainPlay {
  readonly #random: Random
  readonly #options: ChainOptions
  readonly #rows = new MemoryRowStore(() => storeClock(this.#now))
  readonly #pool: PlayedPool
  readonly #meter: IdleTaskMeter
  readonly #jobs = new Map<string, StoredJob>()
  #now = 0
  #owner: PlayedOwner | undefined
  #record: PlayedOwner['record'] | typeof NO_OWNER = NO_OWNER
  #owners = 0
  #lossAt = Infinity
  #busyLossAt = -Infinity
  #lostServers = 0

  constructor (options: ChainOptions) {
    const { seed, ownerMilliseconds, lostMilliseconds } = options
    this.#options = options
    this.#random = seededRandom(seed)
    // No more than a third of them are lost at a time.
    const mostLost = Math.ceil(lostMilliseconds / ownerMilliseconds) + 1
    this.#pool = new PlayedPool(Math.max(MINIMUM_SERVERS, 3 * mostLost), this.#random, { reportsProgress: true })
    this.#meter = new IdleTaskMeter(this.#pool)
  }

  async run (milliseconds: number): Promise<ChainResult> {
    for (; this.#now < milliseconds; this.#now += STEP_MILLISECONDS) {
      this.#pool.advance(this.#now)
      if (this.#isInGap) {
        this.#owner = undefined
        continue
      }
      this.#meter.measure(STEP_MILLISECONDS)
      const isStoreAway = this.#isStoreAway
      const hasEnded = this.#owner === undefined || (this.#now % this.#options.ownerMilliseconds === 0 && !isStoreAway)
      const isJobDue = this.#now % SUBMISSION_MILLISECONDS === 0
      const missesJob = hasEnded && isJobDue && this.#owner !== undefined && this.#random() < 0.5
      if (missesJob) this.#acceptJob()
      if (hasEnded) await this.#changeOwner()
      if (this.#now >= this.#lossAt || this.#isOutageLossDue) this.#loseServer()
      if (isJobDue && !missesJob) this.#submitJob()
      await this.#owner!.step(this.#now, isStoreAway ? NO_STORE : STORE)
    }
    const { starts, doubles } = this.#pool
    return { tasks: 2 * this.#jobs.size, starts, doubles, owners: this.#owners, lostServers: this.#lostServers, losses: this.#meter.losses, idle: this.#meter.idleTimes }
  }

  #between (low: number, high: number): number {
    return low + (high - low) * this.#random()
  }

  get #isInGap (): boolean {
    const { gap } = this.#options
    return gap !== undefined && this.#now >= gap.at && this.#now < gap.at + gap.milliseconds
  }

  get #isStoreAway (): boolean {
    const { outage } = this.#options
    return outage !== undefined && this.#now >= outage.at && this.#now < outage.at + outage.milliseconds
  }

  get #isOutageLossDue (): boolean {
    const { outage } = this.#options
    const isEnd = outage !== undefined && this.#now >= outage.at + outage.milliseconds - OUTAGE_LOSSES_MILLISECONDS
    return this.#isStoreAway && isEnd && this.#now % OUTAGE_LOSS_MILLISECONDS === 0
  }

  async #changeOwner (): Promise<void> {
    this.#owner = await PlayedOwner.claim({
      vm: PLAYED_VMS[this.#owners % PLAYED_VMS.length]!,
      known: this.#record,
      now: this.#now,
      clockSentAt: this.#now,
      rows: this.#rows,
      jobs: this.#jobs,
      pool: this.#pool,
      forgetsServers: this.#options.forgetsServers ?? false,
      trustsRecord: this.#options.trustsRecord ?? false,
      calls: { isAnswerLost: () => false, runMilliseconds: () => this.#between(1000, 12_000), onUnreachable: ({ task }) => this.#meter.addLoss(task) }
    })
    this.#record = this.#owner.record
    this.#owners += 1
    this.#lossAt = this.#now + this.#between(0.1, 0.9) * this.#options.ownerMilliseconds
  }

  /** Cuts off one backend server: one with a run if the last of these was lost long enough ago, else one without. */
  #loseServer (): void {
    this.#lossAt = Infinity
    const wantsBusy = this.#isStoreAway || this.#now - this.#busyLossAt >= BUSY_LOSS_MILLISECONDS
    const reachable = this.#pool.servers.filter(({ isReachable }) => isReachable)
    const wanted = reachable.filter(({ running }) => (running.size > 0) === wantsBusy)
    const choices = wanted.length > 0 ? wanted : reachable
    const server = choices[Math.floor(this.#random() * choices.length)]!
    if (server.running.size > 0) this.#busyLossAt = this.#now
    server.cut(PLAYED_VMS, this.#now, this.#now + this.#options.lostMilliseconds)
    for (const task of server.running.keys()) this.#meter.addLoss(task)
    this.#lostServers += 1
  }

  #submitJob (): void {
    const job = this.#acceptJob()
    if (job !== undefined) this.#owner!.planner.submit(job)
  }

  /** Stores a job without its owner knowing, unless the tasks that aren't done would then fill more than half of the reachable pool. */
  #acceptJob (): Job | undefined {
    if (2 * (this.#meter.openTasks + 2) > this.#pool.reachableAccelerators) return undefined
    const job = playedJob(this.#jobs.size, this.#owner!, this.#now)
    this.#jobs.set(job.id, { job, isCancelled: false })
    for (const index of [0, 1]) this.#meter.add(`${job.id}.0.0.${index}`)
    return job
  }
}
