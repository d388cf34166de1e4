/** The type of an entry in the event catalogue. */

/** Severity of an event, in ascending order. */
export type EventLevel = 'debug' | 'info' | 'warning' | 'error'

/** The description of one kind of event. */
export interface CatalogueEntry {
  /** Unique and never reused; its hundreds are the number of its group. */
  readonly number: number
  readonly level: EventLevel
  /** What has happened; the message of the log line. */
  readonly sentence: string
  /** The meaning of each field of the details. */
  readonly fields: Readonly<Record<string, string>>
  /** What an operator should do about it. */
  readonly action: string
}

/** Catalogue entries by event name. */
export type CatalogueRows = Readonly<Record<string, CatalogueEntry>>

/** The action of events that need none. */
export const NO_ACTION = 'Nothing.'
