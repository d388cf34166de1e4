/**
 * The events of one process: each gets its logical time, goes to the ring that
 * `GET /v1/events` reads, and is written as one JSON line. The log is also the
 * process's logical clock, which the inner protocol ticks and lets witness.
 */
import type { CellName, RequestId, VmName } from '@cornelgauge/model'
import winston from 'winston'
import type { EventLevel } from './catalogue-entry.js'
import { entryOf, type EventDetails, type EventName } from './catalogue.js'
import { EventRing } from './event-ring.js'
import type { TimelineEvent } from './event.js'
import { redact } from './redaction.js'
import { filterEvents, newestEvents, type TimelineFilter } from './timeline.js'

/** Events that a process keeps for the time line. */
export const RING_EVENTS = 10_000

const WINSTON_LEVELS: Readonly<Record<EventLevel, number>> = { error: 0, warning: 1, info: 2, debug: 3 }

/** What an event log needs. */
export interface EventLogOptions {
  readonly vm: VmName
  /** The least urgent level that is written; the time line gets all. */
  readonly level: EventLevel
  /** Where the lines go; the standard output if not given. */
  readonly output?: NodeJS.WritableStream
  /** Secrets to be replaced wherever they stand in details. */
  readonly secrets?: readonly string[]
  readonly capacity?: number
  /** Milliseconds since 1970. */
  readonly now?: () => number
  /** Where the logical clock starts: a time known from before a restart. */
  readonly logicalTime?: number
}

/** What an event is about. */
export interface EventFacts<Name extends EventName> {
  readonly cell?: CellName
  readonly request?: RequestId
  readonly details?: EventDetails<Name>
}

/** Records an event; the method `emit` of an event log, handed to the parts of a process. */
export type EmitEvent = <Name extends EventName>(name: Name, facts?: EventFacts<Name>) => void

/**
 * Numbers, orders, keeps and writes the events of one process.
 *
 * @example
 * const log = new EventLog({ vm: vmName('vm-1'), level: 'info' })
 * log.emit('cell-claimed', { cell, details: { epoch: 7 } })
 */
export class EventLog {
  readonly #vm: VmName
  readonly #secrets: readonly string[]
  readonly #now: () => number
  readonly #ring: EventRing
  readonly #logger: winston.Logger
  #lastIndex = 0
  #logicalTime: number

  constructor (options: EventLogOptions) {
    this.#vm = options.vm
    this.#secrets = options.secrets ?? []
    this.#now = options.now ?? Date.now
    this.#ring = new EventRing(options.capacity ?? RING_EVENTS)
    this.#logicalTime = options.logicalTime ?? 0
    this.#logger = winston.createLogger({
      levels: WINSTON_LEVELS,
      level: options.level,
      format: winston.format.json(),
      transports: [new winston.transports.Stream({ stream: options.output ?? process.stdout })]
    })
  }

  /** The logical time of the latest event known. */
  get logicalTime (): number {
    return this.#logicalTime
  }

  /** The least urgent level that is written. */
  get level (): EventLevel {
    return this.#logger.level as EventLevel
  }

  set level (level: EventLevel) {
    this.#logger.level = level
  }

  /** Counts one event and gives its logical time. */
  tick (): number {
    this.#logicalTime += 1
    return this.#logicalTime
  }

  /** Raises the clock to at least a logical time received. */
  witness (logicalTime: number): void {
    this.#logicalTime = Math.max(this.#logicalTime, logicalTime)
  }

  /** Records one event. */
  emit<Name extends EventName> (name: Name, facts: EventFacts<Name> = {}): TimelineEvent {
    const event = this.#eventOf(name, facts)
    this.#ring.add(event)
    this.#write(name, event)
    return event
  }

  /** The newest events with a higher index, oldest first. */
  after (index: number, limit: number): readonly TimelineEvent[] {
    return this.#ring.after(index, limit)
  }

  /** The newest events that a filter keeps and whose logical time is higher, oldest first. */
  newest (filter: TimelineFilter, logicalTime: number, limit: number): readonly TimelineEvent[] {
    const kept = filterEvents(this.#ring.after(0, Infinity), filter)
    return newestEvents(kept, logicalTime, limit)
  }

  #eventOf<Name extends EventName> (name: Name, { cell, request, details }: EventFacts<Name>): TimelineEvent {
    this.#lastIndex += 1
    return {
      event: entryOf(name).number,
      name,
      vm: this.#vm,
      index: this.#lastIndex,
      logicalTime: this.tick(),
      at: this.#now(),
      ...(cell === undefined ? {} : { cell }),
      ...(request === undefined ? {} : { request }),
      ...(details === undefined ? {} : { details: redact(details, this.#secrets) as Record<string, unknown> })
    }
  }

  #write (name: EventName, event: TimelineEvent): void {
    const { level, sentence } = entryOf(name)
    if (!this.#logger.isLevelEnabled(level)) return
    this.#logger.log({ level, message: sentence, ...event, at: new Date(event.at).toISOString() })
  }
}
