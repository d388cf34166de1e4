/**
 * The port to a store of versioned rows with a feed of changes. Versions of all rows
 * come from one counter, so that the version of a table tells which changes are known.
 */
import type { RowValue } from './table-service.js'

/** A row as read. */
export interface StoredRow {
  readonly key: string
  readonly value: RowValue
  /** Version of the transaction that wrote it. */
  readonly version: number
}

/** What must hold for a write to take effect: the row has this version; 0 means that there is none. */
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

/** What became of a transaction that was answered. */
export type WriteOutcome =
  | { readonly type: 'written', readonly version: number }
  /** Nothing was written; the rows of the conditions as they are, without those that don't exist. */
  | { readonly type: 'conflict', readonly rows: readonly (StoredRow & { readonly table: string })[] }

/** Rows of a table as of one moment. */
export interface RowSnapshot {
  readonly rows: readonly StoredRow[]
  readonly version: number
}

/** One change of a table; without a value the row was deleted. */
export interface RowChange {
  readonly key: string
  readonly value?: RowValue
  readonly version: number
}

/** Changes of a table, and the version up to which they are complete. */
export interface RowChanges {
  readonly changes: readonly RowChange[]
  readonly version: number
}

/**
 * What the store does. Each call fails with a `CornelgaugeError`: `overloaded` where
 * it was refused and nothing was done, `unavailable` or `timeout` where no answer
 * came and a write may still take effect, `conflict` from `changes` where the history
 * asked for is gone.
 */
export interface RowStore {
  read (table: string, key: string): Promise<StoredRow | undefined>
  readAll (table: string): Promise<RowSnapshot>
  write (transaction: RowTransaction): Promise<WriteOutcome>
  /** Waits for a change after a version, at most so long; may answer with none. */
  changes (table: string, after: number, waitMilliseconds: number): Promise<RowChanges>
}
