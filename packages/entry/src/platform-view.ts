/** The interface between an entry VM and the platform that it runs on; an adapter implements it. */
import type { Advice, Configuration, OperatingBounds, ServerEntry, ServerId, StepName } from '@cornelgauge/jobs'
import type { RowStore, RowValue } from '@cornelgauge/ports'
import type { BackendServerCalls } from './backend-server-calls.js'

/** The platform's services and tables. */
export interface PlatformView {
  readonly store: RowStore
  readonly servers: BackendServerCalls
  /** The platform's figures for the planner; none if absent. */
  readonly bounds?: OperatingBounds
  /** Calls the external service that decides where steps of some queues may run; absent if there is none. */
  readonly advise?: (step: StepName, servers: readonly ServerId[]) => Promise<Advice>
  /** Table of the configuration, and its decoder, which returns undefined if the row isn't usable. */
  readonly configurationTable: string
  readonly readConfiguration: (rows: ReadonlyMap<string, RowValue>) => Configuration | undefined
  /** Decodes the failure domains that are evacuated from the rows of that table; absent if there are no evacuations. */
  readonly readEvacuations?: (rows: ReadonlyMap<string, RowValue>) => ReadonlySet<string>
  /** Table of the registry of backend servers, and its decoder, which skips rows that aren't usable. */
  readonly registryTable: string
  readonly readRegistry: (rows: ReadonlyMap<string, RowValue>) => readonly ServerEntry[]
}
