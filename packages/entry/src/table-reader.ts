/** Reads whole tables by pages that are short enough to leave room for other calls on a slow link. */
import { pause, systemClock } from '@cornelgauge/coordination'
import { asFailure, CornelgaugeError } from '@cornelgauge/model'
import type { PageRange, RowPage, RowSnapshot, RowStore, StoredRow } from '@cornelgauge/ports'
import { FIRST_PAGE_ROWS, MAXIMUM_PAGE_ROWS, PAGE_BYTES, STORE_RETRY_MILLISECONDS } from './limits.js'

/** Options of a read. */
export interface TableReadOptions {
  /** Returns false once the rows aren't needed any more; called before each page. */
  readonly isWanted?: () => boolean
  /** Ends the read, also while a page arrives. */
  readonly signal?: AbortSignal
  /** Called for each failure of a page; returns true if the page is to be read again. Without it, each failure is the caller's. */
  readonly onPageFailure?: (failure: CornelgaugeError, receivedRows: number) => boolean
  /** Monotonic time in milliseconds, with which the store's clock is compared. */
  readonly now?: () => number
}

/** The store's clock, as an answer carried it, and when that was asked for and received on ours. */
export interface StoreClock {
  readonly milliseconds: number
  readonly sentAt: number
  readonly receivedAt: number
}

/** All rows of a table. */
export interface TableSnapshot extends RowSnapshot {
  /** Of the first page; undefined if it had none. */
  readonly clock?: StoreClock
}

/**
 * Reads all rows of a table. A page that fails may be read again; the pages before it are kept.
 *
 * @returns the rows with the version of the first page, so that a follower also reads the
 * changes that occurred between two pages
 * @throws {CornelgaugeError} `not-owner` if the rows aren't needed any more, or the store's failure
 * @example
 * const { rows, version } = await readTable(store, 'jobs')
 */
export async function readTable (store: RowStore, table: string, options: TableReadOptions = {}): Promise<TableSnapshot> {
  const rows: StoredRow[] = []
  const first = await readPages(store, table, page => { rows.push(...page) }, options)
  return { rows, ...first }
}

/**
 * Reads all rows of a table, and hands them on page by page, so that a table of any size takes the memory of one page.
 *
 * @returns what `readTable` returns besides the rows
 * @throws {CornelgaugeError} as `readTable`
 * @example
 * const { version } = await readPages(store, 'jobs', rows => { for (const row of rows) add(row) })
 */
export async function readPages (store: RowStore, table: string, onRows: (rows: readonly StoredRow[]) => void, options: TableReadOptions = {}): Promise<Omit<TableSnapshot, 'rows'>> {
  const { now = () => performance.now() } = options
  let first: { readonly version: number, readonly clock?: StoreClock } | undefined
  let limit = FIRST_PAGE_ROWS
  let received = 0
  let after: string | undefined
  for (;;) {
    if (!isNeeded(options)) throw new CornelgaugeError('not-owner', { detail: `The rows of ${table} aren't needed any more` })
    const sentAt = now()
    const page = await tryPage(store, table, { ...(after === undefined ? {} : { after }), limit }, received, options)
    if (page === undefined) continue
    received += page.rows.length
    after = page.rows.at(-1)?.key ?? after
    onRows(page.rows)
    first ??= { version: page.version, ...(page.clock === undefined ? {} : { clock: { milliseconds: page.clock, sentAt, receivedAt: now() } }) }
    if (!page.hasMore) return first
    limit = nextLimit(page, limit)
  }
}

/**
 * Reads one row; undefined if there is none. A read that fails may be repeated.
 *
 * @throws {CornelgaugeError} as `readTable`
 * @example
 * const row = await readRow(store, 'progress', id)
 */
export async function readRow (store: RowStore, table: string, key: string, options: TableReadOptions = {}): Promise<StoredRow | undefined> {
  const { signal, onPageFailure } = options
  for (;;) {
    if (!isNeeded(options)) throw new CornelgaugeError('not-owner', { detail: `The rows of ${table} aren't needed any more` })
    try {
      return await store.read(table, key)
    } catch (thrown) {
      if (isNeeded(options) && onPageFailure?.(asFailure(thrown), 0) !== true) throw thrown
      await pause(systemClock, STORE_RETRY_MILLISECONDS, signal)
    }
  }
}

function isNeeded ({ isWanted, signal }: TableReadOptions): boolean {
  return isWanted?.() !== false && signal?.aborted !== true
}

/** Reads one page; undefined if it failed and is to be read again, unless the rows aren't needed any more. */
async function tryPage (store: RowStore, table: string, range: PageRange, received: number, options: TableReadOptions): Promise<RowPage | undefined> {
  const { signal, onPageFailure } = options
  try {
    return await store.readPage(table, range, signal === undefined ? {} : { signal })
  } catch (thrown) {
    if (!isNeeded(options)) return undefined
    if (onPageFailure?.(asFailure(thrown), received) !== true) throw thrown
    await pause(systemClock, STORE_RETRY_MILLISECONDS, signal)
    return undefined
  }
}

/** Rows that fit a page if they are as long as those of the last one; at most twice as many as before, since rows differ. */
function nextLimit (page: RowPage, limit: number): number {
  const fitting = Math.floor(PAGE_BYTES * page.rows.length / page.bytes)
  return Math.max(1, Math.min(fitting, 2 * limit, MAXIMUM_PAGE_ROWS))
}
