/**
 * The port to the platform's table service: rows by table and key, changed only
 * by transactions. The service checks the conditions of a transaction and applies
 * its writes atomically.
 */

/** A JSON value. */
export type Json = null | boolean | number | string | readonly Json[] | { readonly [name: string]: Json }

/** A row's value: always an object, so that conditions can compare single fields. */
export type RowValue = { readonly [field: string]: Json }

/** A row as read. */
export interface Row {
  readonly key: string
  readonly value: RowValue
  /** Incremented by each write of this row, starting at 1. */
  readonly version: number
}

/** A precondition of a transaction: the row is absent, has a version, or has fields with given values. */
export type Condition =
  | { readonly type: 'absent', readonly table: string, readonly key: string }
  | { readonly type: 'version', readonly table: string, readonly key: string, readonly version: number }
  | { readonly type: 'fields', readonly table: string, readonly key: string, readonly fields: RowValue }

/** One write of a transaction. */
export type Operation =
  | { readonly type: 'put', readonly table: string, readonly key: string, readonly value: RowValue }
  | { readonly type: 'delete', readonly table: string, readonly key: string }

/** Conditions and writes that take effect together or not at all. */
export interface Transaction {
  readonly conditions: readonly Condition[]
  readonly operations: readonly Operation[]
}

/** Which rows to read, in the order of their keys. */
export interface RangeQuery {
  readonly table: string
  /** Lowest key, inclusive. */
  readonly from?: string
  /** Highest key, exclusive. */
  readonly before?: string
  readonly limit?: number
}

/**
 * The operations of the table service.
 *
 * `write` fails with code `conflict` if a condition does not hold (nothing was
 * written), and with `unavailable` or `timeout` if no response arrived: then it may
 * or may not have taken effect, and the caller has to read the rows back.
 */
export interface TableService {
  read (table: string, key: string): Promise<Row | undefined>
  range (query: RangeQuery): Promise<readonly Row[]>
  write (transaction: Transaction): Promise<void>
}
