/**
 * The rows of one table, sorted by key.
 */
import type { RangeQuery, Row, RowValue } from './table-service.js'

/**
 * One table in memory. Keys are ordered by their UTF-16 code units.
 *
 * @example
 * const table = new SortedTable()
 * table.put('a', { count: 1 })
 */
export class SortedTable {
  readonly #rows = new Map<string, Row>()
  readonly #keys: string[] = []

  get (key: string): Row | undefined {
    return this.#rows.get(key)
  }

  put (key: string, value: RowValue): void {
    const known = this.#rows.get(key)
    if (known === undefined) this.#keys.splice(this.#position(key), 0, key)
    this.#rows.set(key, { key, value, version: (known?.version ?? 0) + 1 })
  }

  delete (key: string): void {
    if (this.#rows.delete(key)) this.#keys.splice(this.#position(key), 1)
  }

  range ({ from, before, limit }: RangeQuery): readonly Row[] {
    const start = from === undefined ? 0 : this.#position(from)
    const end = before === undefined ? this.#keys.length : this.#position(before)
    const keys = this.#keys.slice(start, Math.max(start, Math.min(end, start + (limit ?? Infinity))))
    return keys.map(key => this.#rows.get(key)!)
  }

  /** Index of the key, or the index where it would be inserted. */
  #position (key: string): number {
    let low = 0
    let high = this.#keys.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (this.#keys[middle]! < key) low = middle + 1
      else high = middle
    }
    return low
  }
}
