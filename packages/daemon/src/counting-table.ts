/**
 * A table service that counts its calls, so that each VM can report the load it
 * puts on the platform.
 */
import type { RangeQuery, Row, TableService, Transaction } from '@cornelgauge/ports'

/** Number of seconds over which rates are averaged. */
const RATE_SECONDS = 10

/** Number of calls since the start of the process, and recent calls per second. */
export interface TableCounts {
  readonly reads: number
  readonly writes: number
  readonly readsPerSecond: number
  readonly writesPerSecond: number
}

/** Counts calls and forwards them to the table service. */
export class CountingTable implements TableService {
  readonly #table: TableService
  readonly #reads: RateCounter
  readonly #writes: RateCounter

  constructor (table: TableService, now: () => number) {
    this.#table = table
    this.#reads = new RateCounter(now)
    this.#writes = new RateCounter(now)
  }

  /** Calls so far, and their rates over the last complete seconds. */
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

/** Counts calls in one bucket per second, in a ring buffer of the last seconds. */
class RateCounter {
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
    this.#advance()
    const currentIndex = this.#second % this.#ring.length
    const sum = this.#ring.reduce((total, count, index) => index === currentIndex ? total : total + count, 0)
    return sum / RATE_SECONDS
  }

  count (): void {
    this.#advance()
    this.#ring[this.#second % this.#ring.length]! += 1
    this.#total += 1
  }

  /** Clears the buckets of the seconds that have passed since the last call. */
  #advance (): void {
    const second = Math.floor(this.#now() / 1000)
    const elapsed = Math.min(second - this.#second, this.#ring.length)
    for (let step = 1; step <= elapsed; step++) this.#ring[(this.#second + step) % this.#ring.length] = 0
    this.#second = second
    if (elapsed === this.#ring.length) this.#ring.fill(0)
  }
}
