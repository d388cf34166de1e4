/** Starts that were not answered and have been stopped, but may still arrive. */
import { LATE_START_MILLISECONDS } from './limits.js'
import type { Run } from './server.js'

/**
 * Keeps the revoked starts of one backend server. The incarnation that confirmed the stop of a
 * start rejects it when it arrives; a later incarnation doesn't know of the stop.
 *
 * @example
 * server.revokedStarts.add(run)
 * if (hasRestarted) for (const run of server.revokedStarts.take(now)) server.add(run)
 */
export class RevokedStarts {
  readonly #runs = new Set<Run>()

  /** Adds a run whose start was never confirmed, and removes those that were sent too long before it to arrive still. */
  add (run: Run): void {
    for (const earlier of this.#runs) if (run.startSentAt - earlier.startSentAt >= LATE_START_MILLISECONDS) this.#runs.delete(earlier)
    this.#runs.add(run)
  }

  /** True if a start may still arrive. */
  hasPending (now: number): boolean {
    return [...this.#runs].some(run => now - run.startSentAt < LATE_START_MILLISECONDS)
  }

  /** Removes and returns the runs whose starts may still arrive, each with its stop due. */
  take (now: number): readonly Run[] {
    const pending = [...this.#runs].filter(run => now - run.startSentAt < LATE_START_MILLISECONDS)
    this.#runs.clear()
    return pending.map(run => withStopDue({ ...run, state: 'unconfirmed', stopReason: run.stopReason ?? 'unanswered', unansweredAt: now }))
  }
}

/**
 * Makes the stop of a run due again, since the incarnation that confirmed it is gone.
 *
 * @example
 * withStopDue(run).isStopConfirmed // false
 */
export function withStopDue (run: Run): Run {
  run.isStopConfirmed = false
  run.stopConfirmedAt = Infinity
  run.stopSentAt = -Infinity
  delete run.firstStopSentAt
  return run
}
