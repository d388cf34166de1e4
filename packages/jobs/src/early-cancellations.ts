/** Cancellations that arrive before their jobs. */
import type { JobId } from './ids.js'
import { RETENTION_MILLISECONDS } from './limits.js'

interface EarlyCancellation {
  /** Time of day at which it arrived, in milliseconds since 1970. */
  readonly wallTime: number
  /** When `expire` first found it, on the monotonic clock. */
  seenAt?: number
}

/**
 * Keeps each cancellation until its job arrives. A job's row may be read later than that of
 * its cancellation, by at most the time for which rows are kept.
 *
 * @example
 * const cancellations = new EarlyCancellations()
 * cancellations.add(id, Date.now())
 * const cancelledAt = cancellations.take(job.id)
 */
export class EarlyCancellations {
  readonly #cancellations = new Map<JobId, EarlyCancellation>()

  add (id: JobId, wallTime: number): void {
    if (!this.#cancellations.has(id)) this.#cancellations.set(id, { wallTime })
  }

  /** Removes the cancellation of a job and returns the time of day at which it arrived; undefined if there is none. */
  take (id: JobId): number | undefined {
    const wallTime = this.#cancellations.get(id)?.wallTime
    this.#cancellations.delete(id)
    return wallTime
  }

  /** Removes the cancellations whose jobs can no longer arrive, and returns their ids. */
  expire (now: number): readonly JobId[] {
    const expired: JobId[] = []
    for (const [id, cancellation] of this.#cancellations) {
      cancellation.seenAt ??= now
      if (now - cancellation.seenAt > RETENTION_MILLISECONDS) expired.push(id)
    }
    for (const id of expired) this.#cancellations.delete(id)
    return expired
  }
}
