/**
 * A table service that counts what goes through it, so that each VM can tell what
 * it costs the platform.
 */
import type { RangeQuery, Row, TableService, Transaction } from '@cornelgauge/ports'

/** Seconds over which rates are taken. */
const RATE_SECONDS = 10

/** Calls since the start of the process, and by the second of late. */
export interface TableCounts {
  readonly reads: number
  readonly writes: number
  readonly readsPerSecond: number
  readonly writesPerSecond: number
}

/** Counts calls and hands them on. */
export class CountedTable implements TableService {
  readonly #table: TableService
  readonly #reads: SecondCounter
  readonly #writes: SecondCounter

  constructor (table: TableService, now: () => number) {
    this.#table = table
    this.#reads = new SecondCounter(now)
    this.#writes = new SecondCounter(now)
  }

  /** Calls so far, and their rates over the last whole seconds. */
  get counts (): TableCounts {
    return {
      reads: this.#reads.total,
      writes: this.#writes.total,
      readsPerSecond: this.#reads.perSecond,
      writesPerSecond: this.#writes.perSecond
    }
  }

  read (table: string, key: string): Promise<Row | undefined> {
    this.#reads.count()
    return this.#table.read(table, key)
  }

  range (query: RangeQuery): Promise<readonly Row[]> {
    this.#reads.count()
    return this.#table.range(query)
  }

  write (transaction: Transaction): Promise<void> {
    this.#writes.count()
    return this.#table.write(transaction)
  }
}

/** Counts by the second, over a ring of the last seconds. */
class SecondCounter {
  readonly #now: () => number
  readonly #ring = new Array<number>(RATE_SECONDS + 1).fill(0)
  #second = 0
  #total = 0

  constructor (now: () => number) {
    this.#now = now
  }

  get total (): number {
    return this.#total
  }

  get perSecond (): number {
    this.#turn()
    const present = this.#second % this.#ring.length
    const sum = this.#ring.reduce((total, count, index) => index === present ? total : total + count, 0)
    return sum / RATE_SECONDS
  }

  count (): void {
    this.#turn()
    this.#ring[this.#second % this.#ring.length]! += 1
    this.#total += 1
  }

  /** Empties the places of the seconds that have passed since the last call. */
  #turn (): void {
    const second = Math.floor(this.#now() / 1000)
    const passed = Math.min(second - this.#second, this.#ring.length)
    for (let step = 1; step <= passed; step++) this.#ring[(this.#second + step) % this.#ring.length] = 0
    this.#second = second
    if (passed === this.#ring.length) this.#ring.fill(0)
  }
}
