/**
 * A table service that counts what goes through it, so that each VM can tell what
 * it costs the platform.
 */
import type { RangeQuery, Row, TableService, Transaction } from '@cornelgauge/platform'

/** Calls since the start of the process. */
export interface TableCounts {
  readonly reads: number
  readonly writes: number
}

/** Counts calls and hands them on. */
export class CountedTable implements TableService {
  readonly #table: TableService
  #reads = 0
  #writes = 0

  constructor (table: TableService) {
    this.#table = table
  }

  /** Calls so far. */
  get counts (): TableCounts {
    return { reads: this.#reads, writes: this.#writes }
  }

  read (table: string, key: string): Promise<Row | undefined> {
    this.#reads += 1
    return this.#table.read(table, key)
  }

  range (query: RangeQuery): Promise<readonly Row[]> {
    this.#reads += 1
    return this.#table.range(query)
  }

  write (transaction: Transaction): Promise<void> {
    this.#writes += 1
    return this.#table.write(transaction)
  }
}
