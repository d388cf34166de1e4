/**
 * The event log of one process. Each event is stamped with its logical time, added to
 * the ring buffer behind `GET /v1/events`, and written as one JSON line. The log is
 * also the logical clock of the process: the inner protocol advances it with each
 * frame sent and raises it to the logical time of each frame received.
 */
import type { CellName, RequestId, VmName } from '@cornelgauge/model'
import winston from 'winston'
import type { EventLevel } from './catalogue-entry.js'
import { entryOf, type EventDetails, type EventName } from './catalogue.js'
import { EventRing } from './event-ring.js'
import type { TimelineEvent } from './event.js'
import { redact } from './redaction.js'
import { filterEvents, newestEvents, type TimelineFilter } from './timeline.js'

/** Number of events that a process keeps for the timeline. */
export const DEFAULT_RING_CAPACITY = 10_000

const WINSTON_LEVELS: Readonly<Record<EventLevel, number>> = { error: 0, warning: 1, info: 2, debug: 3 }

/** Options of an event log. */
export interface EventLogOptions {
  readonly vm: VmName
  /** The lowest level that is written as a line; the timeline gets events of all levels. */
  readonly level: EventLevel
  /** The stream to which lines are written; the standard output by default. */
  readonly output?: NodeJS.WritableStream
  /** Secrets to be redacted wherever they occur in details. */
  readonly secrets?: readonly string[]
  /** Number of events that the ring buffer keeps. */
  readonly capacity?: number
  /** Milliseconds since 1970. */
  readonly now?: () => number
  /** Initial value of the logical clock, such as a time known from before a restart. */
  readonly logicalTime?: number
}

/** The subject of an event and its details. */
export interface EventFacts<Name extends EventName> {
  readonly cell?: CellName
  readonly request?: RequestId
  readonly details?: EventDetails<Name>
}

/** Records an event: the signature of `EventLog.emit`, passed to the components of a process. */
export type EmitEvent = <Name extends EventName>(name: Name, facts?: EventFacts<Name>) => void

/**
 * Records the events of one process: numbers them, keeps the newest in memory and
 * writes them as log lines.
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
    this.#ring = new EventRing(options.capacity ?? DEFAULT_RING_CAPACITY)
    this.#logicalTime = options.logicalTime ?? 0
    this.#logger = winston.createLogger({
      levels: WINSTON_LEVELS,
      level: options.level,
      format: winston.format.json(),
      transports: [new winston.transports.Stream({ stream: options.output ?? process.stdout })]
    })
  }

  /** The current logical time: that of the latest event known. */
  get logicalTime (): number {
    return this.#logicalTime
  }

  /** The lowest level that is written as a line. */
  get level (): EventLevel {
    return this.#logger.level as EventLevel
  }

  set level (level: EventLevel) {
    this.#logger.level = level
  }

  /** Advances the logical clock by one and returns the new time. */
  tick (): number {
    this.#logicalTime += 1
    return this.#logicalTime
  }

  /** Raises the logical clock to at least the given time, which was received from another process. */
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

  /** Returns the first `limit` of the events kept whose index is higher, oldest first. */
  eventsAfter (index: number, limit: number): readonly TimelineEvent[] {
    return this.#ring.eventsAfter(index, limit)
  }

  /** Returns the last `limit` of the events that match a filter and have a higher logical time, oldest first. */
  newestEvents (filter: TimelineFilter, logicalTime: number, limit: number): readonly TimelineEvent[] {
    const matching = filterEvents(this.#ring.eventsAfter(0, Infinity), filter)
    return newestEvents(matching, logicalTime, limit)
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
