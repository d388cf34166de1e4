/** Limits the cancellations of unknown ids that a VM stores: each takes a row until the retention time has passed. */
import { CornelgaugeError } from '@cornelgauge/model'
import { RETENTION_MILLISECONDS } from '@cornelgauge/jobs'
import { UNKNOWN_CANCELLATIONS } from './limits.js'

/**
 * Counts the stored cancellations of unknown ids within the retention time.
 *
 * @example
 * limit.admit(performance.now()) // throws once there are too many
 */
export class CancellationLimit {
  /** When each was admitted, on the monotonic clock, the earliest first. */
  #admittedAt: number[] = []

  /**
   * Admits one cancellation.
   *
   * @throws {CornelgaugeError} `overloaded`
   */
  admit (now: number): void {
    this.#admittedAt = this.#admittedAt.filter(at => now - at < RETENTION_MILLISECONDS)
    if (this.#admittedAt.length >= UNKNOWN_CANCELLATIONS) throw new CornelgaugeError('overloaded', { detail: 'Too many ids without a job were cancelled at this VM' })
    this.#admittedAt.push(now)
  }
}
