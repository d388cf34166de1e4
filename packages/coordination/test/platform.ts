/** The platform in memory, and calls that suffer what a test says. */
import { isDeepStrictEqual } from 'node:util'
import { CornelgaugeError } from '@cornelgauge/model'
import type { Condition, ObjectStore, RangeQuery, Row, TableService, Transaction } from '@cornelgauge/platform'
import type { Clock } from '../src/index.js'

export class MemoryTableService implements TableService {
  readonly #rows = new Map<string, Row>()

  async read (table: string, key: string): Promise<Row | undefined> {
    return this.#rows.get(`${table}:${key}`)
  }

  async range ({ table, from = '', before = '\uffff', limit = Infinity }: RangeQuery): Promise<readonly Row[]> {
    const rows = [...this.#rows].filter(([name, { key }]) => name === `${table}:${key}` && key >= from && key < before).map(([, row]) => row)
    return rows.sort((one, other) => one.key < other.key ? -1 : 1).slice(0, limit)
  }

  async write ({ conditions, operations }: Transaction): Promise<void> {
    if (!conditions.every(condition => this.#holds(condition))) throw new CornelgaugeError('conflict')
    for (const operation of operations) {
      const name = `${operation.table}:${operation.key}`
      const version = (this.#rows.get(name)?.version ?? 0) + 1
      if (operation.type === 'put') this.#rows.set(name, { key: operation.key, value: JSON.parse(JSON.stringify(operation.value)), version })
      else this.#rows.delete(name)
    }
  }

  #holds (condition: Condition): boolean {
    const row = this.#rows.get(`${condition.table}:${condition.key}`)
    if (condition.type === 'absent') return row === undefined
    if (condition.type === 'version') return row?.version === condition.version
    return row !== undefined && Object.entries(condition.fields).every(([name, value]) => isDeepStrictEqual(row.value[name], value))
  }
}

export class MemoryObjectStore implements ObjectStore {
  readonly #objects = new Map<string, Uint8Array>()

  async put (name: string, content: Uint8Array): Promise<void> { this.#objects.set(name, content) }

  async get (name: string): Promise<Uint8Array | undefined> { return this.#objects.get(name) }

  async delete (name: string): Promise<void> { this.#objects.delete(name) }

  async list (prefix: string): Promise<readonly string[]> {
    return [...this.#objects.keys()].filter(name => name.startsWith(prefix)).sort()
  }
}

export class VirtualClock implements Clock {
  #now = 1000
  readonly #timers = new Set<{ readonly at: number, readonly action: () => void }>()

  now (): number { return this.#now }

  after (delayMilliseconds: number, action: () => void): () => void {
    const timer = { at: this.#now + delayMilliseconds, action }
    this.#timers.add(timer)
    return () => { this.#timers.delete(timer) }
  }

  async advance (milliseconds: number): Promise<void> {
    const end = this.#now + milliseconds
    await nextTurn()
    for (let due = this.#nextDue(end); due !== undefined; due = this.#nextDue(end)) {
      this.#timers.delete(due)
      this.#now = due.at
      due.action()
      await nextTurn()
    }
    this.#now = end
  }

  #nextDue (end: number) {
    return [...this.#timers].filter(({ at }) => at <= end).sort((one, other) => one.at - other.at)[0]
  }
}

export function nextTurn (): Promise<void> {
  return new Promise(resolve => setImmediate(resolve))
}
