/** Follows one table: reads it once, then its changes; reads it anew where changes were missed. */
import { asFailure, type CornelgaugeError } from '@cornelgauge/model'
import type { RowStore, RowValue, StoredRow } from '@cornelgauge/ports'
import { moment, type Moment } from './elapsed.js'
import { FEED_WAIT_MILLISECONDS, STORE_RETRY_MILLISECONDS } from './limits.js'
import { pause, systemClock } from '@cornelgauge/coordination'

/** What a follower tells. */
export interface TableListener {
  /** The table as it is now; `asked` is when the store was asked, so nothing later is missing before it. */
  readonly onRows: (rows: ReadonlyMap<string, RowValue>, asked: Moment, changed: readonly string[]) => void
  readonly onFailure: (failure: CornelgaugeError) => void
}

/** How a table is followed. */
export interface FollowOptions extends TableListener {
  readonly table: string
  /** Pause between two answers, so that a busy table costs a bounded number of calls. */
  readonly pauseMilliseconds?: number
  readonly from?: { readonly rows: readonly StoredRow[], readonly version: number }
}

/**
 * Keeps a table's rows as of the last answer of the store.
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

  constructor (store: RowStore, options: FollowOptions) {
    this.#store = store
    this.#options = options
    if (options.from === undefined) return
    this.#rows = new Map(options.from.rows.map(row => [row.key, row.value]))
    this.#version = options.from.version
  }

  /** Follows until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const asked = moment()
      try {
        const changed = this.#version === undefined ? await this.#readAll() : await this.#readChanges(this.#version)
        if (signal.aborted) return
        this.#options.onRows(this.#rows, asked, changed)
        if (this.#options.pauseMilliseconds !== undefined) await pause(systemClock, this.#options.pauseMilliseconds, signal)
      } catch (thrown) {
        if (signal.aborted) return
        this.#fail(asFailure(thrown))
        await pause(systemClock, STORE_RETRY_MILLISECONDS, signal)
      }
    }
  }

  #fail (failure: CornelgaugeError): void {
    if (failure.code === 'conflict') this.#version = undefined
    this.#options.onFailure(failure)
  }

  async #readAll (): Promise<readonly string[]> {
    const { rows, version } = await this.#store.readAll(this.#options.table)
    this.#rows = new Map(rows.map(row => [row.key, row.value]))
    this.#version = version
    return rows.map(row => row.key)
  }

  async #readChanges (after: number): Promise<readonly string[]> {
    const { changes, version } = await this.#store.changes(this.#options.table, after, FEED_WAIT_MILLISECONDS)
    for (const { key, value } of changes) {
      if (value === undefined) this.#rows.delete(key)
      else this.#rows.set(key, value)
    }
    this.#version = Math.max(after, version)
    return changes.map(change => change.key)
  }
}
