/** A store wrapper that records when the store last answered. */
import { asFailure } from '@cornelgauge/model'
import type { PageRange, RowChanges, RowPage, RowStore, RowTransaction, StoredRow, TransferOptions, WriteOutcome } from '@cornelgauge/ports'
import { elapsedSince, moment, type Moment } from './elapsed.js'

/**
 * Forwards calls to a store and records the time of its last answer.
 *
 * @example
 * const store = new MonitoredStore(rows)
 * if (store.lastAnswerAge > limit) reportNotReady()
 */
export class MonitoredStore implements RowStore {
  readonly #store: RowStore
  #lastAnswer: Moment | undefined

  constructor (store: RowStore) {
    this.#store = store
  }

  /** Milliseconds since the last answer was received. The age counts from the answer and not from the call, since the store holds a request for changes open. */
  get lastAnswerAge (): number {
    return this.#lastAnswer === undefined ? Infinity : elapsedSince(this.#lastAnswer)
  }

  read (table: string, key: string): Promise<StoredRow | undefined> {
    return this.#timed(() => this.#store.read(table, key))
  }

  readPage (table: string, range: PageRange, options: TransferOptions = {}): Promise<RowPage> {
    return this.#timed(() => this.#store.readPage(table, range, this.#monitored(options)))
  }

  write (transaction: RowTransaction): Promise<WriteOutcome> {
    return this.#timed(() => this.#store.write(transaction))
  }

  changes (table: string, after: number, waitMilliseconds: number, options: TransferOptions = {}): Promise<RowChanges> {
    return this.#timed(() => this.#store.changes(table, after, waitMilliseconds, this.#monitored(options)))
  }

  /** Records each part of an answer: a store whose answer takes long to arrive isn't silent. */
  #monitored (options: TransferOptions): TransferOptions {
    return {
      ...options,
      onProgress: () => {
        this.#lastAnswer = moment()
        options.onProgress?.()
      }
    }
  }

  async #timed<Value> (call: () => Promise<Value>): Promise<Value> {
    try {
      const value = await call()
      this.#lastAnswer = moment()
      return value
    } catch (thrown) {
      if (asFailure(thrown).code === 'conflict') this.#lastAnswer = moment()
      throw thrown
    }
  }
}
