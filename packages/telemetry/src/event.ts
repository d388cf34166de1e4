/**
 * Events of the time line. Each has a number that stands in the catalogue
 * (docs/EVENTS.md) and a logical time, by which the events of all processes can be
 * put in causal order.
 */
import type { CellName, RequestId, VmName } from '@cornelgauge/model'

/** One event, as written to the log and to the time line. */
export interface TimelineEvent {
  /** Number in the catalogue. */
  readonly event: number
  readonly name: string
  readonly vm: VmName
  /** Rises by one with each event of this process. */
  readonly index: number
  /** Lamport time: higher than that of every event that this one can know of. */
  readonly logicalTime: number
  /** Milliseconds since 1970 by this VM's clock; clocks differ. */
  readonly at: number
  readonly cell?: CellName
  readonly request?: RequestId
  readonly details?: Readonly<Record<string, unknown>>
}
