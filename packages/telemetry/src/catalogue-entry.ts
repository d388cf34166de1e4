/** The shape of a row in the catalogue of events. */

/** How urgent an event is, from the least to the most. */
export type EventLevel = 'debug' | 'info' | 'warning' | 'error'

/** One kind of event. */
export interface CatalogueEntry {
  /** Unique and never reused; the hundreds tell the group. */
  readonly number: number
  readonly level: EventLevel
  /** What has happened. */
  readonly sentence: string
  /** What each field of the details means. */
  readonly fields: Readonly<Record<string, string>>
  /** What an operator does about it. */
  readonly action: string
}

/** Rows by the name of their event. */
export type CatalogueRows = Readonly<Record<string, CatalogueEntry>>

/** The action for events that call for none. */
export const NO_ACTION = 'Nothing.'
