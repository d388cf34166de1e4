/** Queries of the event timeline. */
import type { TimelineFilter } from '@cornelgauge/telemetry'

/** Selects events of the timeline. */
export interface EventQuery extends TimelineFilter {
  /** Returns only events with a higher logical time. */
  readonly after: number
  /** Maximum number of events; the newest ones are returned. */
  readonly limit: number
}
