/**
 * What is asked of the time line.
 */
import type { TimelineFilter } from '@cornelgauge/telemetry'

/** Which events of the time line are wanted. */
export interface EventQuery extends TimelineFilter {
  /** Only events with a higher logical time. */
  readonly after: number
  /** The newest of them, at most. */
  readonly limit: number
}
