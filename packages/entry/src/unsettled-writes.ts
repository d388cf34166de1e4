/** The writes whose outcome a VM has left unknown: their ids must not be refused as never stored. */
import type { JobId } from '@cornelgauge/jobs'
import { UNSETTLED_WRITE_MILLISECONDS, UNSETTLED_WRITES } from './limits.js'

/**
 * Remembers such writes while they may still be carried out, at most the newest ones.
 *
 * @example
 * unsettled.add('jobs', id)
 * unsettled.has('jobs', id) // true
 */
export class UnsettledWrites {
  /** When each write was last left unknown, the earliest first. */
  readonly #leftAt = new Map<string, number>()
  readonly #now: () => number

  constructor (now: () => number = () => performance.now()) {
    this.#now = now
  }

  add (table: string, id: JobId): void {
    const key = `${table}/${id}`
    this.#leftAt.delete(key)
    this.#leftAt.set(key, this.#now())
    for (const [earlier, leftAt] of this.#leftAt) {
      if (this.#leftAt.size <= UNSETTLED_WRITES && this.#now() - leftAt <= UNSETTLED_WRITE_MILLISECONDS) break
      this.#leftAt.delete(earlier)
    }
  }

  has (table: string, id: JobId): boolean {
    const leftAt = this.#leftAt.get(`${table}/${id}`)
    return leftAt !== undefined && this.#now() - leftAt <= UNSETTLED_WRITE_MILLISECONDS
  }
}
