/** The newest events of a process, in a ring of fixed size. */
import type { TimelineEvent } from './event.js'

/**
 * Keeps the newest events and forgets the oldest.
 *
 * @example
 * const ring = new EventRing(1000)
 * ring.add(event)
 * ring.after(0, 100)
 */
export class EventRing {
  readonly #capacity: number
  readonly #events: TimelineEvent[] = []
  #newestIndex = 0

  constructor (capacity: number) {
    this.#capacity = capacity
  }

  /** Adds an event, whose index is one more than that of the last. */
  add (event: TimelineEvent): void {
    this.#newestIndex = event.index
    this.#events[event.index % this.#capacity] = event
  }

  /**
   * The events with a higher index, oldest first; a gap behind `index` shows that
   * some were forgotten.
   */
  after (index: number, limit: number): readonly TimelineEvent[] {
    const oldestIndex = Math.max(1, this.#newestIndex - this.#capacity + 1)
    const firstIndex = Math.max(index + 1, oldestIndex)
    const length = Math.max(0, Math.min(limit, this.#newestIndex - firstIndex + 1))
    return Array.from({ length }, (_, position) => this.#events[(firstIndex + position) % this.#capacity]!)
  }
}
