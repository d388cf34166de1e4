/**
 * The daemon's events, as lines on standard output and in a ring for the time line.
 */
import type { TimelineEvent } from '@cornelgauge/telemetry'
import type { LogicalClock, WireEvent } from '@cornelgauge/wire'
import type { EmitEvent } from './event-sink.js'
import { EventRing } from './event-ring.js'
import type { EventQuery } from './operator-routes.js'
import type { Settings } from './settings.js'

/** Emits and keeps events. */
export class Telemetry {
  readonly #settings: Settings
  readonly #ring = new EventRing()
  #logicalTime = 0
  #index = 0

  constructor (settings: Settings) {
    this.#settings = settings
  }

  /** The logical clock of this process. */
  readonly clock: LogicalClock = {
    tick: () => ++this.#logicalTime,
    witness: time => { this.#logicalTime = Math.max(this.#logicalTime, time) }
  }

  /** Emits an event. */
  readonly emit: EmitEvent = (name, facts = {}) => {
    const event = { event: 0, name, vm: this.#settings.vm, index: ++this.#index, logicalTime: this.clock.tick(), at: Date.now(), ...facts }
    this.#ring.push(event)
    process.stdout.write(`${JSON.stringify(event)}\n`)
  }

  /** Takes the reports of the inner protocol. */
  readonly wireEvent = (event: WireEvent): void => {
    const { type, failure, ...details } = event as WireEvent & { failure?: { code: string } }
    this.emit(`wire-${type}`, { details: { ...details, code: failure?.code } })
  }

  /** The newest events. */
  events (after: number, limit: number): readonly TimelineEvent[] {
    return this.#ring.newest(after, limit)
  }

  /** Picks the events that a query asks for, in causal order. */
  select (events: readonly unknown[], query: EventQuery): readonly unknown[] {
    const wanted = (events as readonly TimelineEvent[]).filter(event =>
      (query.request === undefined || event.request === query.request) &&
      (query.cell === undefined || event.cell === query.cell) &&
      (query.vm === undefined || event.vm === query.vm))
    return [...wanted].sort((one, other) => one.logicalTime - other.logicalTime || (one.vm < other.vm ? -1 : 1)).slice(-query.limit)
  }

  async close (): Promise<void> {}
}
