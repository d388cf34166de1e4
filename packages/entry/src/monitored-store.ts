/** A store wrapper that records when the store last answered, and how many calls have failed since. */
import { asFailure, type ErrorCode } from '@cornelgauge/model'
import type { PageRange, RowChanges, RowPage, RowStore, RowTransaction, StoredRow, TransferOptions, WriteOutcome } from '@cornelgauge/ports'
import { elapsedSince, moment, type Moment } from './elapsed.js'
import { STORE_AWAY_FAILURES, STORE_AWAY_MILLISECONDS, STORE_SILENT_MILLISECONDS } from './limits.js'

/** Failures that are answers of a store which serves calls. */
const ANSWERS: ReadonlySet<ErrorCode> = new Set<ErrorCode>(['conflict', 'write-refused'])

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
  #failuresSinceAnswer = 0

  constructor (store: RowStore) {
    this.#store = store
  }

  /** Milliseconds since the last answer was received. The age counts from the answer and not from the call, since the store holds a request for changes open. */
  get lastAnswerAge (): number {
    return this.#lastAnswer === undefined ? Infinity : elapsedSince(this.#lastAnswer)
  }

  /** True if the store hasn't answered this VM within `STORE_SILENT_MILLISECONDS`. */
  get isSilent (): boolean {
    return this.lastAnswerAge > STORE_SILENT_MILLISECONDS
  }

  /** True if the store is silent, or if calls have only failed for a while: an attempt is then likely to fail too. */
  get isAway (): boolean {
    return this.isSilent || (this.#failuresSinceAnswer >= STORE_AWAY_FAILURES && this.lastAnswerAge > STORE_AWAY_MILLISECONDS)
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
        this.#noteAnswer()
        options.onProgress?.()
      }
    }
  }

  async #timed<Value> (call: () => Promise<Value>): Promise<Value> {
    try {
      const value = await call()
      this.#noteAnswer()
      return value
    } catch (thrown) {
      if (ANSWERS.has(asFailure(thrown).code)) this.#noteAnswer()
      else this.#failuresSinceAnswer += 1
      throw thrown
    }
  }

  #noteAnswer (): void {
    this.#lastAnswer = moment()
    this.#failuresSinceAnswer = 0
  }
}
