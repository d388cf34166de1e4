/** What an entry VM needs of the platform that it runs on; an adapter provides it. */
import type { Configuration, ServerEntry } from '@cornelgauge/jobs'
import type { RowStore, RowValue } from '@cornelgauge/ports'
import type { BackendServerCalls } from './backend-server-calls.js'

/** The platform as the product sees it. */
export interface PlatformView {
  readonly store: RowStore
  readonly servers: BackendServerCalls
  /** The table and key of the configuration, and how it is read; nothing if the row can't be used. */
  readonly configurationTable: string
  readonly readConfiguration: (rows: ReadonlyMap<string, RowValue>) => Configuration | undefined
  /** The table of the registry, and how its rows are read; rows that can't be used are left out. */
  readonly registryTable: string
  readonly readRegistry: (rows: ReadonlyMap<string, RowValue>) => readonly ServerEntry[]
}
