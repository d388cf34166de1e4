/** Follows one table: reads it once, then its changes; reads it again if changes are no longer available. */
import { asFailure, type CornelgaugeError } from '@cornelgauge/model'
import type { RowStore, RowValue, StoredRow } from '@cornelgauge/ports'
import { moment, type Moment } from './elapsed.js'
import { FEED_WAIT_MILLISECONDS, STORE_RETRY_MILLISECONDS } from './limits.js'
import { pause, systemClock } from '@cornelgauge/coordination'
import { readPages } from './table-reader.js'

/** Callbacks of a follower. */
export interface TableListener {
  /**
   * Called after each read. `rows` has all rows, complete up to `readAt`, the time at which the read began; `changed` has
   * the keys that the read returned. If it throws, the failure is reported and the next call has the same keys again.
   */
  readonly onRows: (rows: ReadonlyMap<string, RowValue>, readAt: Moment, changed: readonly string[]) => void
  readonly onFailure: (failure: CornelgaugeError) => void
}

/** Options of a follower. */
export interface FollowOptions extends TableListener {
  readonly table: string
  /** Pause between two reads; bounds the number of calls for a table that changes often. */
  readonly pauseMilliseconds?: number
  /** Rows are forgotten once the listener has had them, so that a table of any size can be followed; `rows` then has only those that have changed. */
  readonly isTransient?: boolean
  /** Rows and version to start from in place of a first read. */
  readonly initialSnapshot?: { readonly rows: readonly StoredRow[], readonly version: number }
}

/**
 * Keeps a copy of a table's rows as of the store's last answer.
 *
 * @example
 * const follower = new TableFollower(store, { table: 'jobs', onRows, onFailure })
 * await follower.run(stopping.signal)
 */
export class TableFollower {
  readonly #store: RowStore
  readonly #options: FollowOptions
  #rows = new Map<string, RowValue>()
  #version: number | undefined
  /** The last call failed. */
  #hasFailed = false
  /** Keys that were read but not passed on, since the listener threw. */
  readonly #undelivered = new Set<string>()

  constructor (store: RowStore, options: FollowOptions) {
    this.#store = store
    this.#options = options
    if (options.initialSnapshot === undefined) return
    this.#rows = new Map(options.initialSnapshot.rows.map(row => [row.key, row.value]))
    this.#version = options.initialSnapshot.version
  }

  /** Follows the table until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const readAt = moment()
      try {
        const changed = this.#version === undefined ? await this.#readAll(signal, readAt) : await this.#readChanges(this.#version)
        if (signal.aborted) return
        this.#hasFailed = false
        this.#deliver(readAt, changed)
        if (this.#options.pauseMilliseconds !== undefined) await pause(systemClock, this.#options.pauseMilliseconds, signal)
      } catch (thrown) {
        if (signal.aborted) return
        this.#fail(asFailure(thrown))
        await pause(systemClock, STORE_RETRY_MILLISECONDS, signal)
      }
    }
  }

  #deliver (readAt: Moment, changed: readonly string[]): void {
    for (const key of changed) this.#undelivered.add(key)
    this.#options.onRows(this.#rows, readAt, [...this.#undelivered])
    this.#undelivered.clear()
    if (this.#options.isTransient === true) this.#rows.clear()
  }

  #fail (failure: CornelgaugeError): void {
    this.#hasFailed = true
    if (failure.code === 'conflict') this.#version = undefined
    this.#options.onFailure(failure)
  }

  async #readAll (signal: AbortSignal, readAt: Moment): Promise<readonly string[]> {
    const rows = new Map<string, RowValue>()
    const { version } = await readPages(this.#store, this.#options.table, page => {
      for (const { key, value } of page) rows.set(key, value)
      if (this.#options.isTransient !== true) return
      this.#rows = new Map(rows)
      this.#deliver(readAt, page.map(({ key }) => key))
      rows.clear()
    }, {
      // A failure of the first page is thrown: the next attempt then counts the age of the rows from its own start.
      onPageFailure: (failure, receivedRows) => {
        if (receivedRows === 0 || signal.aborted) return false
        this.#options.onFailure(failure)
        return true
      }
    })
    this.#rows = rows
    this.#version = version
    return [...rows.keys()]
  }

  /** After a failure the store isn't to hold the request open, so that its return is noticed at once. */
  async #readChanges (after: number): Promise<readonly string[]> {
    const { changes, version } = await this.#store.changes(this.#options.table, after, this.#hasFailed ? 0 : FEED_WAIT_MILLISECONDS)
    for (const { key, value } of changes) {
      if (value === undefined) this.#rows.delete(key)
      else this.#rows.set(key, value)
    }
    this.#version = Math.max(after, version)
    return changes.map(change => change.key)
  }
}
