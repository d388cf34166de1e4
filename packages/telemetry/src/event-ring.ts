/** A ring buffer with the newest events of a process. */
import type { TimelineEvent } from './event.js'

/**
 * Ring buffer of events: once it is full, each new event replaces the oldest.
 *
 * @example
 * const ring = new EventRing(1000)
 * ring.add(event)
 * ring.eventsAfter(0, 100)
 */
export class EventRing {
  readonly #capacity: number
  readonly #events: TimelineEvent[] = []
  #newestIndex = 0

  constructor (capacity: number) {
    this.#capacity = capacity
  }

  /** Adds an event; its index must be one more than that of the event added before. */
  add (event: TimelineEvent): void {
    this.#newestIndex = event.index
    this.#events[event.index % this.#capacity] = event
  }

  /**
   * Returns the first `limit` events with a higher index, oldest first. If the first
   * of them does not follow directly on `index`, the events between were discarded.
   */
  eventsAfter (index: number, limit: number): readonly TimelineEvent[] {
    const oldestIndex = Math.max(1, this.#newestIndex - this.#capacity + 1)
    const firstIndex = Math.max(index + 1, oldestIndex)
    const length = Math.max(0, Math.min(limit, this.#newestIndex - firstIndex + 1))
    return Array.from({ length }, (_, offset) => this.#events[(firstIndex + offset) % this.#capacity]!)
  }
}
