/** An owner of a play: a planner with its record of backend servers, the polls and the commands. */
import { vmName, workspaceName } from '@cornelgauge/model'
import { configurationVersion, jobId, Planner, poolName, queueName, type Command, type Configuration, type Job, type ServerEntry, type StartCommand, type StopCommand, type StoredJob } from '@cornelgauge/jobs'
import type { MemoryRowStore, RowTransaction, WriteOutcome } from '@cornelgauge/ports'
import { claimOwnership, type OwnerRecord } from '../src/owner-record.js'
import { areStartsRecorded, RecordedStarts, recordedPeriodIn, unrecordedStartsOf, type RecordedPeriod } from '../src/recorded-starts.js'
import { earlierRunsOf, readServers, ServerRecord } from '../src/server-record.js'
import { ServerRecorder } from '../src/server-recorder.js'
import { StartGate } from '../src/start-gate.js'
import { readTable } from '../src/table-reader.js'
import { OWNER_TABLE } from '../src/tables.js'
import type { PlayedPool, PlayedServer } from './played-server.js'

/** Interval of the rounds. */
export const STEP_MILLISECONDS = 50
const POLL_MILLISECONDS = 300
const STORE_MILLISECONDS = 5 * STEP_MILLISECONDS
const START_TIME = 1_700_000_000_000

/** One queue, `bulk`, on one pool. */
export const PLAYED_CONFIGURATION: Configuration = {
  version: configurationVersion(1),
  queues: [{ name: queueName('bulk'), host: 'jobs.example', prefix: '/bulk/', pool: poolName('pool'), priority: 1, attempts: 4, stretch: 2, latencyMilliseconds: 250, timeoutMilliseconds: 3000, isPublic: false }],
  pools: [{ name: poolName('pool'), maximumConnections: 64, enforcesCapacity: true, isStandby: false }],
  workspaces: [],
  limits: { headerBytes: 16_384, bodyBytes: 262_144, headerMilliseconds: 3000, idleMilliseconds: 15_000 }
}

/**
 * Creates a job of two tasks with one accelerator each.
 *
 * @example
 * const job = playedJob(0, owner, now)
 */
export function playedJob (index: number, { record }: PlayedOwner, now: number): Job {
  return {
    id: jobId(`job-${index}`),
    queue: queueName('bulk'),
    pool: poolName('pool'),
    workspace: workspaceName('brno'),
    specification: 'work',
    acceptedAt: START_TIME + now,
    acceptedUnder: record.epoch,
    steps: [{ count: 2, need: { processor: 1000, memory: 1000, accelerators: 1 }, estimateMilliseconds: 0, after: [], savesCheckpoints: true, isGang: false, wantsOneRack: false, allowsCopies: false, isLasting: false, fillsIdleProcessor: false }]
  }
}

/** What a play decides for the calls of its owners. */
export interface PlayedCalls {
  /** True if the answer of a call that has arrived is lost. */
  readonly isAnswerLost: () => boolean
  /** How long a run that begins takes. */
  readonly runMilliseconds: () => number
  /** Called for a start to a backend server that is cut off from the owner. */
  readonly onUnreachable?: (command: StartCommand) => void
}

/** Options of an owner. */
export interface PlayedOwnerOptions {
  readonly vm: string
  /** The owner row as this VM knows it. */
  readonly known: Pick<OwnerRecord, 'epoch' | 'version' | 'recordedSince'>
  readonly now: number
  /** When the clock of the store was asked for, no later than `now`. */
  readonly clockSentAt: number
  readonly rows: MemoryRowStore
  /** The stored jobs, whose progress the owner replaces. */
  readonly jobs: Map<string, StoredJob>
  readonly pool: PlayedPool
  readonly calls: PlayedCalls
  /** Writes the record of backend servers; the store's own write by default. */
  readonly write?: (transaction: RowTransaction) => Promise<WriteOutcome>
  /** It knows nothing of the runs of earlier owners on backend servers that it can't reach. */
  readonly forgetsServers?: boolean
  /** It takes all starts of earlier owners for recorded. */
  readonly trustsRecord?: boolean
}

/** What an owner can do with the store in a step. */
export interface PlayedStore {
  readonly canRead: boolean
  readonly canRecord: boolean
  readonly canStoreProgress: boolean
  /** Milliseconds since the store or most members have confirmed the owner; 0 by default. */
  readonly confirmedAge?: number
}

/**
 * An owner from its claim until it ends.
 *
 * @example
 * const owner = await PlayedOwner.claim(options)
 * await owner.step(now, { canRead: true, canRecord: true, canStoreProgress: true })
 */
export class PlayedOwner {
  readonly record: OwnerRecord
  readonly planner: Planner
  readonly claimedAt: number
  /** Backend servers whose stored bounds it relies on. */
  readonly trusted: number
  /** It schedules until then. */
  endsAt = Infinity
  readonly #options: PlayedOwnerOptions
  readonly #recorder: ServerRecorder
  readonly #gate: StartGate
  readonly #recordedStarts: RecordedStarts
  #now: number
  #confirmedAge = 0

  static async claim (options: PlayedOwnerOptions): Promise<PlayedOwner> {
    const { rows, known, vm, now, clockSentAt } = options
    const view = rows.view()
    const record = await claimOwnership(view, known, { vm: vmName(vm), address: '10.0.0.1:7000' })
    const stored = { ...await readServers(view), clock: { milliseconds: storeClock(now), sentAt: clockSentAt, receivedAt: now } }
    const { rows: ownerRows } = await readTable(view, OWNER_TABLE)
    return new PlayedOwner(options, record, stored, recordedPeriodIn(ownerRows))
  }

  private constructor (options: PlayedOwnerOptions, record: OwnerRecord, stored: Awaited<ReturnType<typeof readServers>>, period: RecordedPeriod | undefined) {
    const { rows, jobs, now, write, forgetsServers = false, trustsRecord = false } = options
    const view = rows.view()
    const store = write === undefined ? view : Object.assign(view, { write })
    const bounds = earlierRunsOf(stored, record)
    this.#options = options
    this.#now = now
    this.claimedAt = now
    this.record = record
    this.trusted = [...bounds.values()].filter(({ until }) => until < Infinity).length
    this.planner = new Planner(record.epoch, [...jobs.values()].map(job => forgetsServers ? withoutPlacements(job) : job), this.#times)
    const unrecorded = unrecordedStartsOf(period, record, stored)
    if (!forgetsServers) this.planner.inheritServers(stored.ids, bounds, trustsRecord || areStartsRecorded(period, record, stored.clock), unrecorded)
    this.#gate = new StartGate(this.planner)
    this.#recordedStarts = new RecordedStarts({ store, owner: record, isRecordComplete: () => this.planner.isRecordComplete(this.#now), unrecordedStarts: () => this.#gate.isLate ? undefined : this.planner.unrecordedStarts, inheritedStarts: unrecorded === undefined ? undefined : period?.unrecorded, confirmedAge: () => this.#confirmedAge, now: () => this.#now })
    this.planner.configure(PLAYED_CONFIGURATION)
    this.#recorder = new ServerRecorder({
      planner: this.planner,
      record: new ServerRecord(store, record, stored),
      tryStoreCall: async call => await call().then(() => true, () => false),
      onReleased: () => {},
      signal: new AbortController().signal,
      now: () => this.#now
    })
  }

  /** Applies the registry, polls, plans, carries out the commands and stores the progress, each when it is due. */
  async step (now: number, { canRead, canRecord, canStoreProgress, confirmedAge = 0 }: PlayedStore): Promise<void> {
    const { pool: { servers } } = this.#options
    const age = now - this.claimedAt
    this.#now = now
    this.#confirmedAge = confirmedAge
    if (canRead && age % STORE_MILLISECONDS === 0) this.planner.updateServers(this.#entries, now)
    if (age % POLL_MILLISECONDS === 0) for (const server of servers) this.#poll(server)
    const isRecordDue = age % STORE_MILLISECONDS === 0 || servers.some(({ entry }) => this.planner.isWaitingForRecord(entry.id))
    if (canRecord && isRecordDue) await this.#recorder.update()
    if (canRead && canRecord && age % STORE_MILLISECONDS === 0) await this.#recordedStarts.confirm().catch(() => { /* The next call follows. */ })
    const mayStart = !this.#gate.isLate || this.#recordedStarts.mayStartUnrecorded
    for (const command of this.planner.decide(this.#times, mayStart)) this.#perform(command)
    this.planner.drainEvents()
    if (canStoreProgress) this.#storeProgress()
    this.#sendStarts()
  }

  #sendStarts (): void {
    const { due, dropped } = this.#gate.release(this.#now, this.#recordedStarts.mayStartUnrecorded)
    for (const command of due) this.#start(command)
    for (const { server, task, run } of dropped) this.planner.applyStartOutcome(server, task, run, 'unsent', this.#now)
  }

  get #times (): { readonly now: number, readonly wallTime: number } {
    return { now: this.#now, wallTime: START_TIME + this.#now }
  }

  get #entries (): readonly ServerEntry[] {
    const { pool, forgetsServers = false } = this.#options
    const entries = pool.entries(this.#now)
    return forgetsServers ? entries.filter(({ id }) => pool.server(id).isReachable) : entries
  }

  #poll (server: PlayedServer): void {
    const { vm, calls } = this.#options
    const { id } = server.entry
    const request = this.planner.pollRequest(id, this.#now)
    if (request === undefined) return
    const report = server.cutFrom.has(vm) ? undefined : server.poll(this.#now, this.planner.epoch, request)
    if (report === undefined || calls.isAnswerLost()) this.planner.recordMissedPoll(id, request.incarnation)
    else this.planner.applyReport(id, report, this.#times.wallTime)
  }

  #perform (command: Command): void {
    if (command.type === 'start') this.#gate.add(command, this.#now)
    else if (command.type === 'stop') this.#stop(command)
  }

  #start (command: StartCommand): void {
    const { pool, calls, vm } = this.#options
    const server = pool.server(command.server)
    const isCut = server.cutFrom.has(vm)
    const isLost = isCut || calls.isAnswerLost()
    const outcome = isCut ? 'unanswered' : server.start(this.#now, this.planner.epoch, command, this.#now + calls.runMilliseconds())
    if (outcome === 'started') pool.noteStart(this.#now, command)
    if (isCut) calls.onUnreachable?.(command)
    this.planner.applyStartOutcome(command.server, command.task, command.run, isLost ? 'unanswered' : outcome, this.#now)
  }

  #stop (command: StopCommand): void {
    const { pool, calls, vm } = this.#options
    const server = pool.server(command.server)
    const isCut = server.cutFrom.has(vm)
    const isLost = isCut || calls.isAnswerLost()
    if (!isCut) server.stop(this.planner.epoch, command.task)
    this.planner.applyStopOutcome(command, isLost ? 'unanswered' : 'stopped', this.#now)
  }

  #storeProgress (): void {
    const { jobs } = this.#options
    if (this.planner.unstoredCount > 0) this.#gate.noteStored()
    for (const id of this.planner.unstoredJobs.keys()) jobs.set(id, { ...jobs.get(id)!, progress: this.planner.progressOf(id)! })
    this.planner.markStored(this.planner.unstoredJobs)
  }
}

/** Forgets where the tasks of a job may run. */
function withoutPlacements (stored: StoredJob): StoredJob {
  const { progress } = stored
  if (progress === undefined) return stored
  const steps = Object.entries(progress.steps).map(([key, { placements, ...step }]) => [key, step] as const)
  return { ...stored, progress: { ...progress, steps: Object.fromEntries(steps) } }
}

/**
 * Returns the clock of the store in whole milliseconds.
 *
 * @example
 * const rows = new MemoryRowStore(() => storeClock(now))
 */
export function storeClock (now: number): number {
  return Math.floor(5_000_000 + now)
}
