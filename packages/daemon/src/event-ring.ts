/**
 * The newest events of this VM's time line.
 */
import type { TimelineEvent } from '@cornelgauge/telemetry'

const CAPACITY = 5000

/** Keeps the newest events. */
export class EventRing {
  #events: TimelineEvent[] = []

  push (event: TimelineEvent): void {
    this.#events.push(event)
    if (this.#events.length > 2 * CAPACITY) this.#events = this.#events.slice(-CAPACITY)
  }

  /** Events with an index above `after`, the newest `limit` of them. */
  newest (after: number, limit: number): readonly TimelineEvent[] {
    return this.#events.filter(event => event.index > after).slice(-limit)
  }
}
