/**
 * Where the daemon's parts put their events of the time line.
 */
import type { CellName, RequestId } from '@cornelgauge/model'

/** What an event is about. */
export interface EventFacts {
  readonly cell?: CellName
  readonly request?: RequestId
  readonly details?: Readonly<Record<string, unknown>>
}

/** Takes events of the time line. */
export type EmitEvent = (name: string, facts?: EventFacts) => void
