/** How many accepted jobs wait in the store, as the owner has said. */
import { MAXIMUM_WAITING_JOBS, WAITING_COUNT_AGE_MILLISECONDS } from './limits.js'

/**
 * The owner's last count, which each reply to a heartbeat brings. Without a recent one nothing is known to wait: the
 * store keeps what is accepted meanwhile.
 *
 * @example
 * backlog.report(120)
 * backlog.isFull() // false
 */
export class ReportedBacklog {
  readonly #now: () => number
  #count = 0
  #reportedAt = -Infinity

  constructor (now: () => number = () => performance.now()) {
    this.#now = now
  }

  report (count: number): void {
    this.#count = count
    this.#reportedAt = this.#now()
  }

  /** The count; 0 if the last one is too old. */
  get count (): number {
    return this.#now() - this.#reportedAt <= WAITING_COUNT_AGE_MILLISECONDS ? this.#count : 0
  }

  /** True if no further job is to be accepted; `own` is the count of this VM while it owns the planner. */
  isFull (own?: number): boolean {
    return (own ?? this.count) >= MAXIMUM_WAITING_JOBS
  }
}
