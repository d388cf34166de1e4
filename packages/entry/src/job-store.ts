/** Stores jobs, cancellations and progress in the platform's store. */
import { asFailure, CornelgaugeError } from '@cornelgauge/model'
import { decodeProgress, FINAL_PHASES, jobId, MAXIMUM_ROW_BYTES, type Job, type JobId, type JobPhase, type JobProgress } from '@cornelgauge/jobs'
import type { RowStore, StoredRow } from '@cornelgauge/ports'
import type { EmitEvent } from '@cornelgauge/telemetry'
import { decodeJob, encodeJob } from './job-record.js'
import { JobSelection, mayHaveRuns, type SelectedJobs } from './job-selection.js'
import { EPOCH_BYTES, LOADED_PROGRESS_CHARACTERS } from './limits.js'
import type { KnownOwner } from './messages.js'
import { decodeOwner, NO_OWNER, readOwner, type OwnerRecord } from './owner-record.js'
import { readServers, type StoredServers } from './server-record.js'
import { settleWrite, type WriteRelay } from './settled-write.js'
import { readPages, readRow, type StoreClock, type TableReadOptions } from './table-reader.js'
import { CANCELS_TABLE, JOBS_TABLE, OWNER_KEY, OWNER_TABLE, PROGRESS_TABLE } from './tables.js'
import { UnsettledWrites } from './unsettled-writes.js'

/** A job without the epoch of the owner under which it is stored. */
export type JobDraft = Omit<Job, 'acceptedUnder'>

/** The stored jobs, and the backend servers that may run their tasks. */
export interface StoredJobs extends SelectedJobs {
  readonly servers: StoredServers
  /** Versions of the progress rows; the next write of a row is conditional on its version. */
  readonly progressVersions: ReadonlyMap<JobId, number>
  /** Keys of rows that can't be decoded, each with the reason; these rows stay unchanged. */
  readonly damaged: readonly string[]
  /** Table versions from which changes of jobs and cancellations are followed. */
  readonly jobsVersion: number
  readonly cancelsVersion: number
  /** Cancelled ids under which there is no job. */
  readonly earlyCancellations: readonly JobId[]
  /** The store's clock as of its first answer; undefined if it gave none. */
  readonly clock?: StoreClock
}

/** The end of a write: the row is stored, by this write or as it was before, or never will be. */
interface SettledWrite {
  /** The row, unless this write has stored it. */
  readonly existing?: StoredRow
  /** The id was cancelled before, so the row isn't stored. */
  readonly isCancelled?: boolean
  /** The job as another VM has stored it. */
  readonly relayed?: Job
}

/** Phase of a job according to the store. */
export type StoredPhase = JobPhase | 'unknown'

/**
 * Reads and writes jobs.
 *
 * @example
 * await new JobStore(rows).cancel(id, deadline)
 */
export class JobStore {
  readonly #rows: RowStore
  readonly #isAway: () => boolean
  readonly #emit: EmitEvent
  readonly #unsettled = new UnsettledWrites()
  readonly #rowBytes: number

  /** `isAway` returns true if the store can't be reached from this VM at the moment; a row has `rowBytes` at most. */
  constructor (rows: RowStore, isAway: () => boolean = () => false, emit: EmitEvent = () => {}, rowBytes = MAXIMUM_ROW_BYTES) {
    this.#rowBytes = rowBytes
    this.#rows = rows
    this.#isAway = isAway
    this.#emit = emit
  }

  /**
   * Stores a job under the current owner; a job that is already stored stays unchanged.
   * After a write without an answer, the row is read back and the write is repeated, or left to another VM, until
   * the outcome is known; see `write-settlement.ts`. Each write requires that the row doesn't exist yet, so the job is
   * stored at most once, and that the id isn't cancelled, so that a write which is carried out
   * late has no effect after a cancellation.
   *
   * @returns the job as it is stored
   * @throws {CornelgaugeError} `overloaded` if the job isn't stored and won't be;
   * `id-cancelled` likewise, since its id was cancelled before;
   * `outcome-unknown` if that can't be determined by the deadline (on the steady clock);
   * `record-damaged` if the row of its id can't be read;
   * `write-refused` if its row is longer than the store takes, which is known before it is written
   */
  async accept (draft: JobDraft, owner: () => KnownOwner | undefined, onOwner: (owner: OwnerRecord) => void, deadline: number, relay?: WriteRelay<Job>): Promise<Job> {
    let job: Job = { ...draft, acceptedUnder: NO_OWNER.epoch }
    const bytes = Buffer.byteLength(JSON.stringify(encodeJob(job))) + EPOCH_BYTES
    if (bytes > this.#rowBytes) throw new CornelgaugeError('write-refused', { detail: `The job takes ${bytes} bytes in the store, of ${this.#rowBytes}` })
    const { existing, isCancelled, relayed } = await this.#settle(JOBS_TABLE, draft.id, deadline, async () => {
      const currentOwner = owner() ?? await this.#readOwnerBeforeWrite()
      if (currentOwner === undefined) throw new CornelgaugeError('overloaded', { detail: 'The planner has no owner yet' })
      job = { ...draft, acceptedUnder: currentOwner.epoch }
      const ownerCondition = { table: OWNER_TABLE, key: OWNER_KEY, version: currentOwner.version }
      const outcome = await this.#rows.write({
        conditions: [{ table: JOBS_TABLE, key: job.id, version: 0 }, { table: CANCELS_TABLE, key: job.id, version: 0 }, ownerCondition],
        puts: [{ table: JOBS_TABLE, key: job.id, value: encodeJob(job) }]
      })
      if (outcome.type === 'written') return {}
      const row = outcome.rows.find(({ table }) => table === JOBS_TABLE)
      if (row !== undefined) return { existing: row }
      if (outcome.rows.some(({ table }) => table === CANCELS_TABLE)) return { isCancelled: true }
      for (const row of outcome.rows) if (row.table === OWNER_TABLE) onOwner(decodeOwner(row))
      return undefined
    }, relay)
    if (isCancelled === true) throw new CornelgaugeError('id-cancelled')
    if (relayed !== undefined) return relayed
    return existing === undefined ? job : decodeJob(existing.key, existing.value)
  }

  /** True if this VM has left the outcome of storing a job unknown: the job may still come to be stored. */
  isUnsettled (id: JobId): boolean {
    return this.#unsettled.has(JOBS_TABLE, id)
  }

  /**
   * Stores the cancellation of a job.
   *
   * @throws {CornelgaugeError} as `accept`
   */
  async cancel (id: JobId, deadline: number): Promise<void> {
    await this.#settle(CANCELS_TABLE, id, deadline, async () => {
      await this.#rows.write({ conditions: [{ table: CANCELS_TABLE, key: id, version: 0 }], puts: [{ table: CANCELS_TABLE, key: id, value: {} }] })
      return {}
    })
  }

  /**
   * Stores the cancellation of an id under which no job is known. A hand-in without an answer may still
   * be carried out; it has no effect once the cancellation is stored.
   *
   * @returns true if there is a job after all, which is cancelled
   * @throws {CornelgaugeError} as `accept`, or the store's failure
   */
  async cancelUnknown (id: JobId, deadline: number): Promise<boolean> {
    const put = { table: CANCELS_TABLE, key: id, value: {} }
    const noCancellation = { table: CANCELS_TABLE, key: id, version: 0 }
    const { existing } = await this.#settle(CANCELS_TABLE, id, deadline, async () => {
      const outcome = await this.#rows.write({ conditions: [{ table: JOBS_TABLE, key: id, version: 0 }, noCancellation], puts: [put] })
      if (outcome.type === 'written') return {}
      const cancellation = outcome.rows.find(({ table }) => table === CANCELS_TABLE)
      if (cancellation !== undefined) return { existing: cancellation }
      await this.#rows.write({ conditions: [noCancellation], puts: [put] })
      return { existing: outcome.rows[0] }
    })
    return existing !== undefined && await this.#rows.read(JOBS_TABLE, id) !== undefined
  }

  /** Reads the phase of a job from the store. */
  async phaseOf (id: JobId): Promise<StoredPhase> {
    const [job, cancel, progress] = await Promise.all([JOBS_TABLE, CANCELS_TABLE, PROGRESS_TABLE].map(table => this.#rows.read(table, id)))
    if (job === undefined) return 'unknown'
    const storedProgress = progressOf(progress)
    if (storedProgress?.phase !== undefined && FINAL_PHASES.has(storedProgress.phase)) return storedProgress.phase
    if (cancel !== undefined) return 'canceled'
    return storedProgress?.hasBegun === true ? 'running' : 'queued'
  }

  /**
   * Reads the jobs that a new owner plans, cancellations, progress and recorded backend servers; one table after the other, since
   * they share the VM's link, and page by page, since the jobs may need more memory than there is. Cancellations come first: the
   * jobs of those read here are then read too, and the others are among the later changes. Progress comes before
   * the jobs, as it decides which of them have to be planned; only an owner writes it. Beyond some length only what
   * matters for that is kept of it, and that of jobs with recorded runs is read once more.
   */
  async load (options: TableReadOptions = {}): Promise<StoredJobs> {
    const cancelled = new Set<string>()
    const cancels = await readPages(this.#rows, CANCELS_TABLE, rows => { for (const { key } of rows) cancelled.add(key) }, options)
    const progress = new Map<string, ReadProgress>()
    const progressVersions = new Map<JobId, number>()
    let characters = 0
    await readPages(this.#rows, PROGRESS_TABLE, rows => {
      for (const row of rows) {
        const read = readProgress(row)
        if (read.progress !== undefined && read.progress.phase === undefined) characters += (row.value.text as string).length
        progress.set(row.key, characters > LOADED_PROGRESS_CHARACTERS ? summaryOf(read) : read)
        progressVersions.set(jobId(row.key), row.version)
      }
    }, options)
    const damaged: string[] = []
    const selection = new JobSelection()
    const earlyCancellations = new Set(cancelled)
    const withRuns: Job[] = []
    const select = (job: Job, progress: JobProgress | undefined): void => selection.add({ job, isCancelled: cancelled.has(job.id), ...(progress === undefined ? {} : { progress }) })
    const jobs = await readPages(this.#rows, JOBS_TABLE, rows => {
      for (const { key, value } of rows) {
        earlyCancellations.delete(key)
        try {
          const stored = progress.get(key)
          if (stored?.failure !== undefined) throw stored.failure
          const job = decodeJob(key, value)
          if (stored?.summary === undefined) select(job, stored?.progress)
          else if (stored.summary.hasRuns || cancelled.has(key)) withRuns.push(job)
          else selection.addWaiting(job, stored.summary.hasBegun)
        } catch (thrown) {
          damaged.push(`${key}: ${asFailure(thrown).message}`)
        }
        progress.delete(key)
      }
    }, options)
    for (const job of withRuns) select(job, progressOf(await readRow(this.#rows, PROGRESS_TABLE, job.id, options)))
    const servers = await readServers(this.#rows, options)
    return {
      ...selection.selected,
      servers,
      progressVersions,
      damaged: [...servers.damaged, ...damaged],
      jobsVersion: jobs.version,
      cancelsVersion: cancels.version,
      earlyCancellations: [...earlyCancellations].map(jobId),
      ...(cancels.clock === undefined ? {} : { clock: cancels.clock })
    }
  }

  /** @throws {CornelgaugeError} a failure after which nothing was written */
  async #readOwnerBeforeWrite (): Promise<OwnerRecord | undefined> {
    try {
      return await readOwner(this.#rows)
    } catch (thrown) {
      throw new CornelgaugeError('overloaded', { detail: 'The owner of the planner could not be read', cause: thrown })
    }
  }

  /**
   * Reads one job; undefined if there is none under this id.
   *
   * @throws {CornelgaugeError} `record-damaged`, or the store's failure
   */
  async read (id: JobId): Promise<Job | undefined> {
    const row = await this.#rows.read(JOBS_TABLE, id)
    return row === undefined ? undefined : decodeJob(row.key, row.value)
  }

  /** Settles the write of a row; `write` may be repeated, and its row isn't there yet as far as is known. */
  async #settle (table: string, key: JobId, deadline: number, write: () => Promise<SettledWrite | undefined>, relay?: WriteRelay<Job>): Promise<SettledWrite> {
    const attempt = async (isOutcomeUnknown: boolean): Promise<SettledWrite | undefined> => {
      const existing = isOutcomeUnknown ? await this.#rows.read(table, key) : undefined
      return existing === undefined ? await write() : { existing }
    }
    try {
      return await settleWrite({
        attempt,
        relay: relay === undefined ? undefined : { isAvailable: relay.isAvailable, call: async milliseconds => ({ relayed: await relay.call(milliseconds) }) },
        isStoreAway: this.#isAway,
        isOutcomeUnknown: this.#unsettled.has(table, key),
        deadline,
        onProlonged: details => this.#emit('write-prolonged', { details: { job: key, table, ...details } })
      })
    } catch (thrown) {
      if (asFailure(thrown).code === 'outcome-unknown') this.#unsettled.add(table, key)
      throw thrown
    }
  }
}

/** Progress as read, what is kept of it, or why it can't be read. */
interface ReadProgress {
  readonly progress?: JobProgress
  readonly summary?: { readonly hasBegun: boolean, readonly hasRuns: boolean }
  readonly failure?: CornelgaugeError
}

/** What decides whether a job has to be planned; that of one that has ended is short. */
function summaryOf (read: ReadProgress): ReadProgress {
  const { progress } = read
  if (progress === undefined || progress.phase !== undefined) return read
  return { summary: { hasBegun: progress.hasBegun, hasRuns: mayHaveRuns(progress) } }
}

/** Of a job that has ended only the end matters. */
function readProgress (row: StoredRow): ReadProgress {
  try {
    const progress = decodeProgress(row.value.text)
    if (progress.phase === undefined) return { progress }
    const { phase, finishedAt } = progress
    return { progress: { phase, ...(finishedAt === undefined ? {} : { finishedAt }), hasBegun: progress.hasBegun, steps: {} } }
  } catch (thrown) {
    return { failure: asFailure(thrown) }
  }
}

function progressOf (row: StoredRow | undefined): JobProgress | undefined {
  return row === undefined ? undefined : decodeProgress(row.value.text)
}
