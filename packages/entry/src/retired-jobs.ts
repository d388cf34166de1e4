/** Deletes jobs whose retention time has passed, so that the state that a new owner loads stays bounded. */
import { pause, systemClock } from '@cornelgauge/coordination'
import type { Job, JobId, Planner, RoundTimes } from '@cornelgauge/jobs'
import { CANCELLATION_DELETION_BATCH, DELETED_ID_MILLISECONDS, DELETION_BATCH, DELETION_INTERVAL_MILLISECONDS } from './limits.js'
import type { ProgressWriter } from './progress-writer.js'

/** What the host does about failures. */
export interface RetiredJobsHandlers {
  /** Makes a call to the store and handles its failure. */
  readonly tryStoreCall: (call: () => Promise<void>) => Promise<boolean>
  /** Called with any other failure. */
  readonly onCrash: (thrown: unknown) => void
}

/**
 * The jobs that a planner has retired.
 *
 * @example
 * const retired = RetiredJobs.start(planner, writer, stopping.signal, { tryStoreCall, onCrash })
 * if (!retired.has(job)) planner.submit(job)
 */
export class RetiredJobs {
  readonly #planner: Planner
  readonly #writer: ProgressWriter
  /** Retired jobs whose rows aren't known to be deleted yet, with the versions of their progress rows. */
  readonly #due = new Map<JobId, { readonly job: Job, readonly progressVersion: number }>()
  /** Cancelled ids under which no job has arrived, and whose rows aren't known to be deleted yet. */
  readonly #dueCancellations = new Set<JobId>()
  /** Jobs whose rows are deleted, in that order, with the time of the deletion on the monotonic clock. */
  readonly #deleted = new Map<JobId, { readonly job: Job, readonly deletedAt: number }>()

  constructor (planner: Planner, writer: ProgressWriter) {
    this.#planner = planner
    this.#writer = writer
  }

  /** Deletes one batch per interval until the signal aborts. */
  static start (planner: Planner, writer: ProgressWriter, signal: AbortSignal, { tryStoreCall, onCrash }: RetiredJobsHandlers): RetiredJobs {
    const retired = new RetiredJobs(planner, writer)
    const run = async (): Promise<void> => {
      for (;;) {
        await pause(systemClock, DELETION_INTERVAL_MILLISECONDS, signal)
        if (signal.aborted) return
        await tryStoreCall(() => retired.deleteBatch({ now: performance.now(), wallTime: Date.now() }))
        await tryStoreCall(() => retired.deleteCancellations(performance.now()))
      }
    }
    run().catch(onCrash)
    return retired
  }

  /** True if the job was retired, at least until no read of its row can be under way; a job that was accepted later under its id wasn't. */
  has ({ id, acceptedAt }: Job): boolean {
    return this.#due.get(id)?.job.acceptedAt === acceptedAt || this.#deleted.get(id)?.job.acceptedAt === acceptedAt
  }

  /**
   * Retires what is due and deletes the rows of one batch; a batch that fails is tried again with the next.
   *
   * @throws {CornelgaugeError} as `ProgressWriter.deleteJobs`
   */
  async deleteBatch (times: RoundTimes): Promise<void> {
    const { now } = times
    for (const [id, { deletedAt }] of this.#deleted) if (now - deletedAt > DELETED_ID_MILLISECONDS) this.#deleted.delete(id)
    for (const job of this.#planner.retire(times)) this.#due.set(job.id, { job, progressVersion: this.#writer.progressVersion(job.id) })
    const batch = [...this.#due].slice(0, DELETION_BATCH)
    if (batch.length === 0) return
    const deleted = await this.#writer.deleteJobs(new Map(batch.map(([id, { progressVersion }]) => [id, progressVersion])))
    for (const [id, { job }] of batch) {
      if (!deleted.has(id)) continue
      this.#due.delete(id)
      this.#deleted.set(id, { job, deletedAt: now })
    }
  }

  /**
   * Deletes the rows of cancellations whose jobs can no longer arrive; what fails is tried again with the next call.
   *
   * @throws {CornelgaugeError} as `ProgressWriter.deleteCancellations`
   */
  async deleteCancellations (now: number): Promise<void> {
    for (const id of this.#planner.expireCancellations(now)) this.#dueCancellations.add(id)
    while (this.#dueCancellations.size > 0) {
      const batch = [...this.#dueCancellations].slice(0, CANCELLATION_DELETION_BATCH)
      const settled = await this.#writer.deleteCancellations(batch)
      if (settled.size === 0) return
      for (const id of settled) this.#dueCancellations.delete(id)
    }
  }
}
