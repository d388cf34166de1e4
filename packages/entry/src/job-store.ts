/** Jobs, cancels and progress in the platform's store. */
import { asFailure, CornelgaugeError } from '@cornelgauge/model'
import { decodeProgress, FINAL_PHASES, jobId, type Job, type JobId, type JobPhase, type JobProgress, type StoredJob } from '@cornelgauge/jobs'
import type { RowStore, StoredRow } from '@cornelgauge/ports'
import { decodeJob, encodeJob } from './job-record.js'
import { STORE_RETRY_MILLISECONDS } from './limits.js'
import { pause, systemClock } from '@cornelgauge/coordination'
import { CANCELS_TABLE, JOBS_TABLE, PROGRESS_TABLE } from './tables.js'

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
 * await new JobStore(rows).accept(job, deadline)
 */
export class JobStore {
  readonly #rows: RowStore

  constructor (rows: RowStore) {
    this.#rows = rows
  }

  /**
   * Stores a job; one that is stored already stays as it is. A write without an
   * answer is made again, with the same condition, until it is answered: whichever
   * of them takes effect, the job is stored once.
   *
   * @throws {CornelgaugeError} `overloaded` if it isn't stored and won't be;
   * `outcome-unknown` if that isn't known by the deadline (on the steady clock)
   */
  async accept (job: Job, deadline: number): Promise<void> {
    await this.#writeOnce(JOBS_TABLE, job.id, { ...encodeJob(job) }, deadline)
  }

  /**
   * Stores that a job is cancelled.
   *
   * @throws {CornelgaugeError} as `accept`
   */
  async cancel (id: JobId, deadline: number): Promise<void> {
    await this.#writeOnce(CANCELS_TABLE, id, {}, deadline)
  }

  /** What is stored of a job. */
  async phaseOf (id: JobId): Promise<StoredPhase> {
    const [job, cancel, progress] = await Promise.all([JOBS_TABLE, CANCELS_TABLE, PROGRESS_TABLE].map(table => this.#rows.read(table, id)))
    if (job === undefined) return 'unknown'
    const known = progress === undefined ? undefined : decodeProgress(String(progress.value.text))
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

  async #writeOnce (table: string, key: string, value: StoredRow['value'], deadline: number): Promise<void> {
    let isUnsettled = false
    while (performance.now() < deadline) {
      try {
        await this.#rows.write({ conditions: [{ table, key, version: 0 }], puts: [{ table, key, value }] })
        return
      } catch (thrown) {
        const failure = asFailure(thrown)
        if (failure.code !== 'overloaded') isUnsettled = true
        await pause(systemClock, STORE_RETRY_MILLISECONDS)
      }
    }
    if (isUnsettled) throw new CornelgaugeError('outcome-unknown')
    throw new CornelgaugeError('overloaded', { detail: 'The store refused the write' })
  }
}

function progressOf (row: StoredRow | undefined): JobProgress | undefined {
  return row === undefined ? undefined : decodeProgress(String(row.value.text))
}
