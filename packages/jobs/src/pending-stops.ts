/** The stops of one backend server that have been requested. */
import { addCapacity, NO_CAPACITY, type Capacity } from './capacity.js'
import type { Run } from './server.js'

/**
 * Runs that are to be stopped, until they have ended: those whose stop is to be sent, those whose stop was sent and
 * isn't confirmed, and the others.
 *
 * @example
 * stops.add(run)
 * const [due] = stops.unsent(32)
 */
export class PendingStops {
  readonly #unsent = new Set<Run>()
  readonly #sent = new Set<Run>()
  readonly #confirmed = new Set<Run>()
  /** What the runs need that are known to run, or to begin. */
  #need: Capacity = NO_CAPACITY

  /** Number of runs that are to be stopped. */
  get size (): number {
    return this.#unsent.size + this.#sent.size + this.#confirmed.size
  }

  /** Capacity that is free once they have ended, without runs whose start isn't confirmed. */
  get need (): Capacity {
    return this.#need
  }

  /** Runs whose stop was sent and isn't confirmed. */
  get sent (): Iterable<Run> {
    return this.#sent
  }

  /** The first runs whose stop wasn't sent, at most `limit`. */
  * unsent (limit: number): IterableIterator<Run> {
    let count = 0
    for (const run of this.#unsent) {
      if (count === limit) return
      count += 1
      yield run
    }
  }

  /** Adds a run; its stop is to be sent. */
  add (run: Run): void {
    if (this.#has(run)) return
    this.#unsent.add(run)
    if (run.state === 'stopping') this.#need = addCapacity(this.#need, run.need)
  }

  /** Removes a run that has ended. */
  delete (run: Run): void {
    if (!this.#has(run)) return
    for (const runs of [this.#unsent, this.#sent, this.#confirmed]) runs.delete(run)
    if (run.state === 'stopping') this.#need = addCapacity(this.#need, run.need, -1)
  }

  /** Records that a stop is sent. */
  noteSent (run: Run): void {
    if (this.#unsent.delete(run)) this.#sent.add(run)
  }

  /** Records that a stop is confirmed. */
  noteConfirmed (run: Run): void {
    if (this.#sent.delete(run) || this.#unsent.delete(run)) this.#confirmed.add(run)
  }

  /** Records that a run which is to be stopped is not known to run. */
  noteUnconfirmed (run: Run): void {
    if (run.state === 'stopping' && this.#has(run)) this.#need = addCapacity(this.#need, run.need, -1)
  }

  /** Has all stops sent again. */
  resend (): void {
    for (const runs of [this.#sent, this.#confirmed]) {
      for (const run of runs) this.#unsent.add(run)
      runs.clear()
    }
  }

  #has (run: Run): boolean {
    return this.#unsent.has(run) || this.#sent.has(run) || this.#confirmed.has(run)
  }
}
