/**
 * The port to a store of versioned rows with a change feed. One counter numbers the
 * versions of all rows, so a single version states how far a reader has followed a table.
 */
import type { RowValue } from './table-service.js'

/** A row as read. */
export interface StoredRow {
  readonly key: string
  readonly value: RowValue
  /** Version of the transaction that wrote it. */
  readonly version: number
}

/** A precondition of a write: the row has this version; 0 means that the row does not exist. */
export interface RowCondition {
  readonly table: string
  readonly key: string
  readonly version: number
}

/** A row to be written. */
export interface RowPut {
  readonly table: string
  readonly key: string
  readonly value: RowValue
}

/** A row to be deleted. */
export interface RowDeletion {
  readonly table: string
  readonly key: string
}

/** Conditions and writes that take effect together or not at all. */
export interface RowTransaction {
  readonly conditions: readonly RowCondition[]
  readonly puts: readonly RowPut[]
  readonly deletions?: readonly RowDeletion[]
}

/** The result of a transaction that the store answered. */
export type WriteOutcome =
  | { readonly type: 'written', readonly version: number }
  /** Nothing was written; `rows` holds the current rows of the conditions, except those that don't exist. */
  | { readonly type: 'conflict', readonly rows: readonly (StoredRow & { readonly table: string })[] }

/** Rows of a table, and the version up to which they are complete at least. */
export interface RowSnapshot {
  readonly rows: readonly StoredRow[]
  readonly version: number
}

/** The part of a table that one page holds. */
export interface PageRange {
  /** The page begins behind this key; absent for the first page. */
  readonly after?: string
  /** Most rows in the page; the store may return fewer. */
  readonly limit: number
}

/** Consecutive rows of a table, in the order of their keys, as of one version. */
export interface RowPage extends RowSnapshot {
  readonly hasMore: boolean
  /** Length of the page as transferred, in bytes. */
  readonly bytes: number
  /** The store's steady clock, which all callers share, when it answered, in milliseconds; undefined if it didn't say. */
  readonly clock?: number
}

/** One change of a row; without a value the row was deleted. */
export interface RowChange {
  readonly key: string
  readonly value?: RowValue
  readonly version: number
}

/** Changes to a table, and the version up to which they are complete. */
export interface RowChanges {
  readonly changes: readonly RowChange[]
  readonly version: number
}

/** Options of a call whose answer may be long. */
export interface TransferOptions {
  /** Called for each part of the answer that arrives. */
  readonly onProgress?: () => void
  /** Ends the call early; it then fails. */
  readonly signal?: AbortSignal
}

/**
 * The operations of the store. Each call fails with a `CornelgaugeError`: `overloaded`
 * if it was refused without effect, `unavailable` or `timeout` if no response arrived
 * and a write may still take effect, `conflict` from `changes` if the requested history
 * has been discarded.
 */
export interface RowStore {
  read (table: string, key: string): Promise<StoredRow | undefined>
  readPage (table: string, range: PageRange, options?: TransferOptions): Promise<RowPage>
  write (transaction: RowTransaction): Promise<WriteOutcome>
  /** Returns the changes after a version. If there are none, waits up to `waitMilliseconds`; the result may be empty. */
  changes (table: string, after: number, waitMilliseconds: number, options?: TransferOptions): Promise<RowChanges>
}
