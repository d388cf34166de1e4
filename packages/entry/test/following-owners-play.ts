/**
 * Plays owners that follow each other on a clock of its own: backend servers are cut off and come back with their
 * runs, owners go on for a while after they were replaced, and answers of the store are lost or its writes late.
 * The backend servers note each start of a task that runs elsewhere.
 */
import { ALL_SERVERS, type StoredJob } from '@cornelgauge/jobs'
import { MemoryRowStore, type RowTransaction, type WriteOutcome } from '@cornelgauge/ports'
import { NO_OWNER } from '../src/owner-record.js'
import { PlayedOwner, playedJob, STEP_MILLISECONDS, storeClock } from './played-owner.js'
import { PLAYED_VMS, PlayedPool, seededRandom, type Random } from './played-server.js'

const SERVERS = 6
/** An owner that is cut off from the store and its peers schedules for this long. */
const DISCONNECTED_MILLISECONDS = 2500
/** With the fault that ignores the record, an owner writes it for this long. */
const RECORDED_MILLISECONDS = 3000

/** What a play has shown. */
export interface PlayResult {
  readonly starts: number
  /** Starts of tasks that ran elsewhere at that time. */
  readonly doubles: readonly string[]
  /** Backend servers whose stored bounds a new owner has relied on. */
  readonly trusted: number
  readonly owners: number
}

/** How the play differs from the code, to show that it finds a fault. */
export interface PlayFault {
  /** Backend servers that the record lists as unreached are used, and the record stays as it is. */
  readonly ignoresRecord?: boolean
  /** Backend servers are used before the first record of an owner is stored. */
  readonly usesBeforeRecord?: boolean
  /** Owners take all starts of earlier ones for recorded. */
  readonly trustsRecord?: boolean
}

/** Shortest and longest time, in milliseconds. */
export type TimeRange = readonly [shortest: number, longest: number]

const NO_GAPS: TimeRange = [0, 0]

/**
 * Plays owners that follow each other.
 *
 * @example
 * const { doubles } = await new FollowingOwnersPlay(7).run(60_000)
 */
export class FollowingOwnersPlay {
  readonly #random: Random
  readonly #fault: PlayFault
  /** Time between a claim and the end of the owner, or the next claim. */
  readonly #tenures: TimeRange
  /** Time without an owner. */
  readonly #gaps: TimeRange
  /** The store refuses reads too in its outages. */
  readonly #refusesReads: boolean
  readonly #rows = new MemoryRowStore(() => storeClock(this.#now))
  readonly #pool: PlayedPool
  readonly #jobs = new Map<string, StoredJob>()
  readonly #lateWrites: { readonly at: number, readonly transaction: RowTransaction }[] = []
  #now = 0
  #trusted = 0
  #owners: PlayedOwner[] = []
  #ownerCount = 0
  #hasOwner = false
  #record: PlayedOwner['record'] | typeof NO_OWNER = NO_OWNER
  #isStoreAway = false

  constructor (seed: number, fault: PlayFault = {}, tenures: TimeRange = [500, 10_000], gaps = NO_GAPS, refusesReads = false) {
    this.#random = seededRandom(seed)
    this.#fault = fault
    this.#tenures = tenures
    this.#gaps = gaps
    this.#refusesReads = refusesReads
    this.#pool = new PlayedPool(SERVERS, this.#random)
  }

  async run (milliseconds: number): Promise<PlayResult> {
    let nextOwnerAt = 0
    let endAt = Infinity
    for (; this.#now < milliseconds; this.#now += STEP_MILLISECONDS) {
      this.#pool.advance(this.#now)
      this.#cutServers()
      if (this.#random() < 0.02) this.#isStoreAway = this.#random() < 0.3
      this.#writeLate()
      if (this.#now >= endAt) {
        this.#endOwner()
        nextOwnerAt = this.#now + (this.#gaps === NO_GAPS ? 0 : this.#between(...this.#gaps))
        endAt = Infinity
      }
      if (this.#now >= nextOwnerAt) {
        await this.#changeOwner()
        nextOwnerAt = Infinity
        endAt = this.#now + this.#between(...this.#tenures)
      }
      this.#submitJob()
      this.#owners = this.#owners.filter(owner => this.#now < owner.endsAt)
      for (const owner of this.#owners) await this.#step(owner)
    }
    const { starts, doubles } = this.#pool
    return { starts, doubles, trusted: this.#trusted, owners: this.#ownerCount }
  }

  #between (low: number, high: number): number {
    return low + (high - low) * this.#random()
  }

  #cutServers (): void {
    for (const server of this.#pool.servers) {
      if (server.cutFrom.size > 0 || this.#random() > 0.004) continue
      const vms = [PLAYED_VMS, ['vm-0', 'vm-1'], ['vm-2'], ['vm-1']][Math.floor(4 * this.#random())]!
      server.cut(vms, this.#now, this.#now + this.#between(300, 14_000))
    }
  }

  #writeLate (): void {
    for (const write of this.#lateWrites.splice(0)) {
      if (write.at <= this.#now) this.#rows.apply(write.transaction)
      else this.#lateWrites.push(write)
    }
  }

  /** Writes for the recorder; the answer may be lost, and the write carried out at once, late or never. */
  async #write (transaction: RowTransaction): Promise<WriteOutcome> {
    if (this.#isStoreAway) throw new Error('The store is away')
    const chance = this.#random()
    if (chance < 0.1) this.#lateWrites.push({ at: this.#now + this.#between(0, 3000), transaction })
    if (chance < 0.2) throw new Error('No answer')
    const outcome = this.#rows.apply(transaction)
    if (chance < 0.3) throw new Error('The answer was lost')
    return outcome
  }

  #endOwner (): void {
    this.#owners.at(-1)!.endsAt = this.#now + (this.#random() < 0.7 ? DISCONNECTED_MILLISECONDS : 0)
    this.#hasOwner = false
  }

  async #changeOwner (): Promise<void> {
    const owner = await PlayedOwner.claim({
      vm: PLAYED_VMS[this.#ownerCount % PLAYED_VMS.length]!,
      known: this.#record,
      now: this.#now,
      clockSentAt: this.#now - this.#between(0, 50),
      rows: this.#rows,
      jobs: this.#jobs,
      pool: this.#pool,
      calls: { isAnswerLost: () => this.#random() < 0.05, runMilliseconds: () => this.#between(1000, 25_000) },
      write: async transaction => await this.#write(transaction),
      trustsRecord: this.#fault.trustsRecord ?? false
    })
    this.#ownerCount += 1
    this.#hasOwner = true
    this.#record = owner.record
    this.#trusted += owner.trusted
    if (this.#fault.ignoresRecord === true) {
      owner.planner.holdServers(new Set())
      owner.planner.holdServers = () => {}
    }
    if (this.#fault.usesBeforeRecord === true) {
      const hold = owner.planner.holdServers.bind(owner.planner)
      owner.planner.holdServers = ids => hold(ids === ALL_SERVERS ? new Set() : ids)
      owner.planner.holdServers(ALL_SERVERS)
    }
    this.#owners.push(owner)
  }

  #submitJob (): void {
    const owner = this.#hasOwner ? this.#owners.at(-1) : undefined
    if (owner === undefined || this.#random() > 0.05) return
    const job = playedJob(this.#jobs.size, owner, this.#now)
    this.#jobs.set(job.id, { job, isCancelled: false })
    owner.planner.submit(job)
  }

  async #step (owner: PlayedOwner): Promise<void> {
    // An owner that was replaced without notice is cut off from the store, and from the registry in it.
    const isCurrent = this.#hasOwner && owner === this.#owners.at(-1)
    const ignoresRecord = this.#fault.ignoresRecord === true && this.#now - owner.claimedAt > RECORDED_MILLISECONDS
    // Only an owner that can't read the store either starts tasks without a record.
    const canRead = !this.#isStoreAway || !this.#refusesReads
    await owner.step(this.#now, { canRead: isCurrent && canRead, canRecord: canRead && !ignoresRecord, canStoreProgress: isCurrent && !this.#isStoreAway, confirmedAge: isCurrent ? 0 : this.#now + DISCONNECTED_MILLISECONDS - owner.endsAt })
  }
}
