/** The in-memory store of versioned rows, for tests and stand-ins. */
import { CornelgaugeError } from '@cornelgauge/model'
import type { PageRange, RowChange, RowChanges, RowPage, RowSnapshot, RowStore, RowTransaction, StoredRow, WriteOutcome } from './row-store.js'

interface HistoryEntry extends RowChange {
  readonly table: string
}

/** An injected fault of one view: `down` and `refusing` fail calls before they take effect, `losing-answers` fails writes afterwards. */
export type RowStoreFault = 'none' | 'down' | 'refusing' | 'losing-answers'

/**
 * Keeps rows in memory and serves them through views, one for each caller, so that
 * a test can inject faults for a single caller.
 *
 * @example
 * const store = new MemoryRowStore()
 * const view = store.view()
 * await view.write({ conditions: [], puts: [{ table: 'jobs', key: 'a', value: {} }] })
 */
export class MemoryRowStore {
  readonly #tables = new Map<string, Map<string, StoredRow>>()
  #history: HistoryEntry[] = []
  #discardedUpTo = 0
  #version = 0
  readonly #waiters = new Set<() => void>()
  readonly #clock: () => number

  /** `clock` is the steady clock that pages carry, in milliseconds. */
  constructor (clock: () => number = () => performance.now()) {
    this.#clock = clock
  }

  /** Creates the view of one caller. */
  view (): MemoryRowStoreView {
    return new MemoryRowStoreView(this)
  }

  /** Discards the change history: followers have to read the table again. */
  discardHistory (): void {
    this.#history = []
    this.#discardedUpTo = this.#version
  }

  /** The rows of a table, sorted by key. */
  rows (table: string): readonly StoredRow[] {
    return [...this.#tables.get(table)?.values() ?? []].sort((left, right) => left.key < right.key ? -1 : 1)
  }

  snapshot (table: string): RowSnapshot {
    return { rows: this.rows(table), version: this.#version }
  }

  page (table: string, { after = '', limit }: PageRange): RowPage {
    const range = this.rows(table).filter(row => row.key > after)
    const rows = range.slice(0, limit)
    return { rows, version: this.#version, hasMore: rows.length < range.length, bytes: JSON.stringify(rows).length, clock: this.#clock() }
  }

  /** Applies a transaction if its conditions hold. */
  apply ({ conditions, puts, deletions = [] }: RowTransaction): WriteOutcome {
    const versionOf = (table: string, key: string): number => this.#tables.get(table)?.get(key)?.version ?? 0
    if (conditions.some(({ table, key, version }) => versionOf(table, key) !== version)) {
      const rows = conditions.flatMap(({ table, key }) => {
        const row = this.#tables.get(table)?.get(key)
        return row === undefined ? [] : [{ ...row, table }]
      })
      return { type: 'conflict', rows }
    }
    this.#version += 1
    for (const { table, key, value } of puts) this.#put(table, { key, value, version: this.#version })
    for (const { table, key } of deletions) this.#delete(table, key)
    for (const wake of [...this.#waiters]) wake()
    return { type: 'written', version: this.#version }
  }

  /** Changes to a table after a version; waits until there is one or the time is over. */
  async changesAfter (table: string, after: number, waitMilliseconds: number): Promise<RowChanges> {
    let isOver = waitMilliseconds <= 0
    let wake = (): void => {}
    const timer = setTimeout(() => {
      isOver = true
      wake()
    }, waitMilliseconds)
    try {
      for (;;) {
        const found = this.#changes(table, after)
        if (found.changes.length > 0 || isOver) return found
        await new Promise<void>(resolve => {
          wake = resolve
          this.#waiters.add(wake)
        })
        this.#waiters.delete(wake)
      }
    } finally {
      clearTimeout(timer)
    }
  }

  #changes (table: string, after: number): RowChanges {
    if (after < this.#discardedUpTo) throw new CornelgaugeError('conflict', { detail: 'The history asked for is gone' })
    const changes = this.#history.filter(entry => entry.table === table && entry.version > after)
    return { changes, version: this.#version }
  }

  #put (table: string, row: StoredRow): void {
    const rows = this.#tables.get(table) ?? new Map<string, StoredRow>()
    rows.set(row.key, row)
    this.#tables.set(table, rows)
    this.#history.push({ table, ...row })
  }

  #delete (table: string, key: string): void {
    if (this.#tables.get(table)?.delete(key) === true) this.#history.push({ table, key, version: this.#version })
  }
}

/** The `RowStore` that one caller of a `MemoryRowStore` uses. */
export class MemoryRowStoreView implements RowStore {
  readonly #store: MemoryRowStore
  /** Number of calls, by method. */
  readonly calls = { read: 0, readPage: 0, write: 0, changes: 0 }
  fault: RowStoreFault = 'none'

  constructor (store: MemoryRowStore) {
    this.#store = store
  }

  async read (table: string, key: string): Promise<StoredRow | undefined> {
    this.calls.read += 1
    this.#check()
    return this.#store.rows(table).find(row => row.key === key)
  }

  async readPage (table: string, range: PageRange): Promise<RowPage> {
    this.calls.readPage += 1
    this.#check()
    return this.#store.page(table, range)
  }

  async write (transaction: RowTransaction): Promise<WriteOutcome> {
    this.calls.write += 1
    this.#check()
    const outcome = this.#store.apply(transaction)
    if (this.fault === 'losing-answers') throw new CornelgaugeError('unavailable', { detail: 'The answer was lost' })
    return outcome
  }

  async changes (table: string, after: number, waitMilliseconds: number): Promise<RowChanges> {
    this.calls.changes += 1
    this.#check()
    return await this.#store.changesAfter(table, after, waitMilliseconds)
  }

  #check (): void {
    if (this.fault === 'down') throw new CornelgaugeError('unavailable')
    if (this.fault === 'refusing') throw new CornelgaugeError('overloaded')
  }
}
