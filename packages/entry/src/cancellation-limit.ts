/** Limits the cancellations of unknown ids that a VM stores: each takes a row until the retention time has passed. */
import { CornelgaugeError } from '@cornelgauge/model'
import { RETENTION_MILLISECONDS, type JobId } from '@cornelgauge/jobs'
import { UNKNOWN_CANCELLATIONS } from './limits.js'

/**
 * Counts the stored cancellations of unknown ids within the retention time.
 *
 * @example
 * limit.admit(id, performance.now()) // throws once there are too many
 */
export class CancellationLimit {
  /** When each id was first admitted, on the monotonic clock, the earliest first. */
  readonly #admittedAt = new Map<JobId, number>()

  /**
   * Admits the cancellation of an id; one that is repeated takes no further row.
   *
   * @throws {CornelgaugeError} `overloaded`
   */
  admit (id: JobId, now: number): void {
    for (const [earlier, at] of this.#admittedAt) {
      if (now - at < RETENTION_MILLISECONDS) break
      this.#admittedAt.delete(earlier)
    }
    if (this.#admittedAt.has(id)) return
    if (this.#admittedAt.size >= UNKNOWN_CANCELLATIONS) throw new CornelgaugeError('overloaded', { detail: 'Too many ids without a job were cancelled at this VM' })
    this.#admittedAt.set(id, now)
  }
}
