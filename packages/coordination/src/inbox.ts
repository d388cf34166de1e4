/**
 * The event queue of the daemon's main loop. Events are handled one at a time, in
 * the order of arrival.
 */
import { EventEmitter } from 'node:events'
import { fromEvent, type Stream } from 'most'

const EVENT = 'event'

/** A queue of events as a `most` stream. */
export class Inbox<Event> {
  readonly #emitter = new EventEmitter()
  #queue: Event[] = []
  #scheduled = false

  /** All events in the order in which they were put. */
  get events (): Stream<Event> {
    return fromEvent<Event>(EVENT, this.#emitter)
  }

  /** Queues an event; it is handled in a microtask, after the code that is running. */
  put (event: Event): void {
    this.#queue.push(event)
    if (this.#scheduled) return
    this.#scheduled = true
    queueMicrotask(() => { this.#drain() })
  }

  #drain (): void {
    this.#scheduled = false
    const events = this.#queue
    this.#queue = []
    for (const event of events) this.#emitter.emit(EVENT, event)
  }
}
