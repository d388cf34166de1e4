/**
 * The port to the platform's table service: rows by table and key, changed only
 * by transactions whose conditions the service checks as one.
 */

/** A value that JSON can carry. */
export type Json = null | boolean | number | string | readonly Json[] | { readonly [name: string]: Json }

/** A row's value: always an object, so that conditions can name its fields. */
export type RowValue = { readonly [field: string]: Json }

/** A row as read. */
export interface Row {
  readonly key: string
  readonly value: RowValue
  /** Rises by one with each write of this row; the first has 1. */
  readonly version: number
}

/** What must hold for a transaction to take effect. */
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
  /** First key, included. */
  readonly from?: string
  /** Key before which to stop. */
  readonly before?: string
  readonly limit?: number
}

/**
 * What the table service does.
 *
 * `write` fails with code `conflict` where a condition does not hold (nothing was
 * written), and with `unavailable` or `timeout` where no answer came: then it may
 * or may not have taken effect, and the caller has to read back.
 */
export interface TableService {
  read (table: string, key: string): Promise<Row | undefined>
  range (query: RangeQuery): Promise<readonly Row[]>
  write (transaction: Transaction): Promise<void>
}
