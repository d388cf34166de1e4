/**
 * Events of the timeline. Each has a number from the event catalogue
 * (docs/EVENTS.md) and a logical time, by which the events of all processes are put
 * in causal order.
 */
import type { CellName, RequestId, VmName } from '@cornelgauge/model'

/** One event, as it is written to the log and kept for the timeline. */
export interface TimelineEvent {
  /** Number in the event catalogue. */
  readonly event: number
  readonly name: string
  readonly vm: VmName
  /** Rises by one with each event of this process. */
  readonly index: number
  /** Lamport timestamp: higher than that of every event that may have caused this one. */
  readonly logicalTime: number
  /** Milliseconds since 1970 by this VM's clock; clocks differ. */
  readonly at: number
  readonly cell?: CellName
  readonly request?: RequestId
  readonly details?: Readonly<Record<string, unknown>>
}
