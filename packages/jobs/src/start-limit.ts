/** How many starts may be under way, by how earlier ones were sent and answered. */
import { LEAST_STARTS_UNDER_WAY, MAXIMUM_CALLS_UNDER_WAY, START_LIMIT_INTERVAL_MILLISECONDS } from './limits.js'

/**
 * A limit that falls while starts aren't sent or answered in time and rises with each that is. Calls that expire cost more than those
 * that are answered, so with a fixed limit an owner without the processor time for it would send ever more of them.
 *
 * @example
 * limit.noteExpired(now)
 * limit.value // half of what it was
 */
export class StartLimit {
  #value = MAXIMUM_CALLS_UNDER_WAY
  #halvedAt = -Infinity

  get value (): number {
    return this.#value
  }

  noteAnswered (): void {
    this.#value = Math.min(MAXIMUM_CALLS_UNDER_WAY, this.#value + 1)
  }

  /** Halves the limit, once for all starts that expire at about the same time. */
  noteExpired (now: number): void {
    if (now - this.#halvedAt < START_LIMIT_INTERVAL_MILLISECONDS) return
    this.#halvedAt = now
    this.#value = Math.max(LEAST_STARTS_UNDER_WAY, Math.floor(this.#value / 2))
  }
}
