/**
 * The one stream of events that everything in the daemon goes through. Events that
 * come while another is handled wait their turn.
 */
import { EventEmitter } from 'node:events'
import { fromEvent, type Stream } from 'most'

const EVENT = 'event'

/** A queue of events as a `most` stream. */
export class Inbox<Event> {
  readonly #emitter = new EventEmitter()
  #queue: Event[] = []
  #scheduled = false

  /** Every event, each once, in the order in which they were put in. */
  get events (): Stream<Event> {
    return fromEvent<Event>(EVENT, this.#emitter)
  }

  /** Puts in an event; it is handled after the present turn of the loop. */
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
