/** A store that remembers when it last answered. */
import { asFailure } from '@cornelgauge/model'
import type { RowChanges, RowSnapshot, RowStore, RowTransaction, StoredRow, WriteOutcome } from '@cornelgauge/ports'
import { elapsedSince, moment, type Moment } from './elapsed.js'

/**
 * Passes calls on and keeps the time of the last answer.
 *
 * @example
 * const store = new AnsweringStore(rows)
 * if (store.age > limit) reportNotReady()
 */
export class AnsweringStore implements RowStore {
  readonly #store: RowStore
  #answered: Moment | undefined

  constructor (store: RowStore) {
    this.#store = store
  }

  /** Milliseconds since the last answer came. A feed that waits says nothing meanwhile, so its question counts for nothing. */
  get age (): number {
    return this.#answered === undefined ? Infinity : elapsedSince(this.#answered)
  }

  read (table: string, key: string): Promise<StoredRow | undefined> {
    return this.#timed(() => this.#store.read(table, key))
  }

  readAll (table: string): Promise<RowSnapshot> {
    return this.#timed(() => this.#store.readAll(table))
  }

  write (transaction: RowTransaction): Promise<WriteOutcome> {
    return this.#timed(() => this.#store.write(transaction))
  }

  changes (table: string, after: number, waitMilliseconds: number): Promise<RowChanges> {
    return this.#timed(() => this.#store.changes(table, after, waitMilliseconds))
  }

  async #timed<Value> (call: () => Promise<Value>): Promise<Value> {
    try {
      const value = await call()
      this.#answered = moment()
      return value
    } catch (thrown) {
      if (asFailure(thrown).code === 'conflict') this.#answered = moment()
      throw thrown
    }
  }
}
