/** What an entry VM needs of the platform that it runs on; an adapter provides it. */
import type { Advice, Configuration, ServerEntry, ServerId, StepName } from '@cornelgauge/jobs'
import type { RowStore, RowValue } from '@cornelgauge/ports'
import type { BackendServerCalls } from './backend-server-calls.js'

/** The platform as the product sees it. */
export interface PlatformView {
  readonly store: RowStore
  readonly servers: BackendServerCalls
  /** Asks the service that decides where some queues' steps may run; not there if there is none. */
  readonly advise?: (step: StepName, servers: readonly ServerId[]) => Promise<Advice>
  /** The table and key of the configuration, and how it is read; nothing if the row can't be used. */
  readonly configurationTable: string
  readonly readConfiguration: (rows: ReadonlyMap<string, RowValue>) => Configuration | undefined
  /** The table of the registry, and how its rows are read; rows that can't be used are left out. */
  readonly registryTable: string
  readonly readRegistry: (rows: ReadonlyMap<string, RowValue>) => readonly ServerEntry[]
}
