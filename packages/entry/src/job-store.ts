/** Jobs, cancels and progress in the platform's store. */
import { asFailure, CornelgaugeError } from '@cornelgauge/model'
import { decodeProgress, FINAL_PHASES, jobId, type Job, type JobId, type JobPhase, type JobProgress, type StoredJob } from '@cornelgauge/jobs'
import type { RowStore, StoredRow } from '@cornelgauge/ports'
import { decodeJob, encodeJob } from './job-record.js'
import { REFUSED_PATIENCE_MILLISECONDS, STORE_RETRY_MILLISECONDS, STORE_TIMEOUT_MILLISECONDS } from './limits.js'
import { pause, systemClock } from '@cornelgauge/coordination'
import type { KnownOwner } from './messages.js'
import { decodeOwner, NO_OWNER, readOwner, type OwnerRecord } from './owner-record.js'
import { CANCELS_TABLE, JOBS_TABLE, OWNER_KEY, OWNER_TABLE, PROGRESS_TABLE } from './tables.js'

/** A job before it is known under which owner it is stored. */
export type JobDraft = Omit<Job, 'acceptedUnder'>

/** All jobs as they are stored. */
export interface StoredJobs {
  readonly jobs: readonly StoredJob[]
  /** Versions of the rows of progress, which the next writes of them are conditional on. */
  readonly progressVersions: ReadonlyMap<JobId, number>
  /** Keys of rows that can't be read; they are left as they are. */
  readonly damaged: readonly string[]
  /** Changes of jobs and cancels are followed from these versions on. */
  readonly jobsVersion: number
  readonly cancelsVersion: number
}

/** What the store knows of one job. */
export type StoredPhase = JobPhase | 'unknown'

/**
 * Reads and writes jobs.
 *
 * @example
 * await new JobStore(rows).cancel(id, deadline)
 */
export class JobStore {
  readonly #rows: RowStore
  readonly #isSilent: () => boolean

  /** `isSilent` tells that the store hasn't answered this VM for a while. */
  constructor (rows: RowStore, isSilent: () => boolean = () => false) {
    this.#rows = rows
    this.#isSilent = isSilent
  }

  /**
   * Stores a job under the owner as it is now; one that is stored already stays as it
   * is. A write without an answer is read back and made again until it is settled:
   * whichever of them takes effect, the job is stored once.
   *
   * @returns the job as this call would store it
   * @throws {CornelgaugeError} `overloaded` if it isn't stored and won't be;
   * `outcome-unknown` if that isn't known by the deadline (on the steady clock)
   */
  async accept (draft: JobDraft, owner: () => KnownOwner | undefined, onOwner: (owner: OwnerRecord) => void, deadline: number): Promise<Job> {
    let job: Job = { ...draft, acceptedUnder: NO_OWNER.epoch }
    await this.#untilAnswered(JOBS_TABLE, draft.id, deadline, async () => {
      const known = owner() ?? await readOwner(this.#rows)
      if (known === undefined) throw new CornelgaugeError('overloaded', { detail: 'The planner has no owner yet' })
      job = { ...draft, acceptedUnder: known.epoch }
      const ownerCondition = { table: OWNER_TABLE, key: OWNER_KEY, version: known.version }
      const outcome = await this.#rows.write({
        conditions: [{ table: JOBS_TABLE, key: job.id, version: 0 }, ownerCondition],
        puts: [{ table: JOBS_TABLE, key: job.id, value: encodeJob(job) }]
      })
      if (outcome.type === 'written' || outcome.rows.some(row => row.table === JOBS_TABLE)) return true
      for (const row of outcome.rows) if (row.table === OWNER_TABLE) onOwner(decodeOwner(row))
      return false
    })
    return job
  }

  /**
   * Stores that a job is cancelled.
   *
   * @throws {CornelgaugeError} as `accept`
   */
  async cancel (id: JobId, deadline: number): Promise<void> {
    await this.#untilAnswered(CANCELS_TABLE, id, deadline, async () => {
      await this.#rows.write({ conditions: [{ table: CANCELS_TABLE, key: id, version: 0 }], puts: [{ table: CANCELS_TABLE, key: id, value: {} }] })
      return true
    })
  }

  /** What is stored of a job. */
  async phaseOf (id: JobId): Promise<StoredPhase> {
    const [job, cancel, progress] = await Promise.all([JOBS_TABLE, CANCELS_TABLE, PROGRESS_TABLE].map(table => this.#rows.read(table, id)))
    if (job === undefined) return 'unknown'
    const known = progressOf(progress)
    if (known?.phase !== undefined && FINAL_PHASES.has(known.phase)) return known.phase
    if (cancel !== undefined) return 'canceled'
    return known?.hasBegun === true ? 'running' : 'queued'
  }

  /** Everything, for a new owner. */
  async load (): Promise<StoredJobs> {
    const [jobs, cancels, progress] = await Promise.all([JOBS_TABLE, CANCELS_TABLE, PROGRESS_TABLE].map(table => this.#rows.readAll(table)))
    const cancelled = new Set(cancels!.rows.map(row => row.key))
    const progressRows = new Map(progress!.rows.map(row => [row.key, row]))
    const damaged: string[] = []
    const stored: StoredJob[] = []
    for (const row of jobs!.rows) {
      try {
        const job = decodeJob(row.key, row.value)
        const known = progressOf(progressRows.get(row.key))
        stored.push({ job, isCancelled: cancelled.has(row.key), ...(known === undefined ? {} : { progress: known }) })
      } catch (thrown) {
        damaged.push(`${row.key}: ${asFailure(thrown).message}`)
      }
    }
    return {
      jobs: stored,
      progressVersions: new Map(progress!.rows.map(row => [jobId(row.key), row.version])),
      damaged,
      jobsVersion: jobs!.version,
      cancelsVersion: cancels!.version
    }
  }

  /**
   * Tries the write of a row until it is answered or the row is there. While the store
   * refuses each try, nothing can have been done, and the caller hears so soon. A try
   * that can't end before the deadline isn't made, nor one at a store that is silent.
   */
  async #untilAnswered (table: string, key: string, deadline: number, write: () => Promise<boolean>): Promise<void> {
    let isUnsettled = false
    const patience = Math.min(deadline, performance.now() + REFUSED_PATIENCE_MILLISECONDS)
    const lastTry = deadline - STORE_TIMEOUT_MILLISECONDS
    do {
      try {
        if (isUnsettled && await this.#rows.read(table, key) !== undefined) return
        if (await write()) return
      } catch (thrown) {
        const failure = asFailure(thrown)
        if (failure.code !== 'overloaded') isUnsettled = true
        await pause(systemClock, STORE_RETRY_MILLISECONDS)
      }
    } while (performance.now() < (isUnsettled ? lastTry : patience) && !(isUnsettled && this.#isSilent()))
    if (isUnsettled) throw new CornelgaugeError('outcome-unknown')
    throw new CornelgaugeError('overloaded', { detail: 'The store refused the write' })
  }
}

function progressOf (row: StoredRow | undefined): JobProgress | undefined {
  return row === undefined ? undefined : decodeProgress(String(row.value.text))
}
