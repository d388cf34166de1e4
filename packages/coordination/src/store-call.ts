/**
 * Calls to the platform whose answers may be lost. A read is repeated until it is
 * answered. A write is attempted once and reported as done, as rejected without
 * effect, or as unknown.
 */
import { asFailure, CornelgaugeError } from '@cornelgauge/model'
import type { Clock, TableService, Transaction } from '@cornelgauge/ports'
import { backoffDelay, type Random } from './backoff.js'
import { pause } from './pause.js'

/** Report that a call to the platform got no answer. */
export interface StoreUnreachable {
  /** Number of consecutive attempts without an answer. */
  readonly failedTries: number
  readonly failure: CornelgaugeError
}

/** Options of calls with retries: the clock, the source of jitter, and the signal that ends them. */
export interface StoreCallOptions {
  readonly clock: Clock
  readonly random: Random
  /** Aborted when the caller gives up. A call in flight may still take effect after that. */
  readonly signal: AbortSignal
  readonly onUnreachable?: (report: StoreUnreachable) => void
}

/** Outcome of one write attempt; after `no-answer` it may or may not take effect. */
export type WriteOutcome = 'done' | 'conflict' | 'no-answer'

/** Makes the calls of one operation, and counts its failed attempts for the backoff. */
export class StoreCaller {
  readonly #options: StoreCallOptions
  #failedTries = 0

  constructor (options: StoreCallOptions) {
    this.#options = options
  }

  /** True once the caller has given up. */
  get aborted (): boolean {
    return this.#options.signal.aborted
  }

  /** Waits before the next attempt. */
  backOff (): Promise<void> {
    const { clock, random, signal } = this.#options
    return pause(clock, backoffDelay(this.#failedTries++, random), signal)
  }

  /**
   * Attempts a write once. After a failure that can be retried its effect is
   * unknown; any other, such as a row over the service's size limit, is thrown.
   */
  async write (table: TableService, transaction: Transaction): Promise<WriteOutcome> {
    try {
      await this.#untilAborted(table.write(transaction))
      return 'done'
    } catch (thrown) {
      return this.#outcomeOfFailure(asFailure(thrown))
    }
  }

  /**
   * Repeats a read or an idempotent write until it is answered. Rejects with
   * `unavailable` once the caller gives up, and with the failure itself if it cannot
   * be retried.
   */
  async retryUntilAnswered<Value> (call: () => Promise<Value>): Promise<Value> {
    while (!this.aborted) {
      try {
        return await this.#untilAborted(call())
      } catch (thrown) {
        const failure = asFailure(thrown)
        if (failure.retry === 'never') throw failure
        this.#report(failure)
      }
      await this.backOff()
    }
    throw new CornelgaugeError('unavailable', { detail: 'The caller gave up before an answer came' })
  }

  #outcomeOfFailure (failure: CornelgaugeError): WriteOutcome {
    if (failure.code === 'conflict') return 'conflict'
    if (failure.retry === 'never') throw failure
    this.#report(failure)
    return 'no-answer'
  }

  /** A call that was aborted by the caller does not show that the platform is unreachable. */
  #report (failure: CornelgaugeError): void {
    if (!this.aborted) this.#options.onUnreachable?.({ failedTries: this.#failedTries + 1, failure })
  }

  #untilAborted<Value> (call: Promise<Value>): Promise<Value> {
    const { signal } = this.#options
    return new Promise((resolve, reject) => {
      const giveUp = () => reject(new CornelgaugeError('unavailable', { detail: 'The caller gave up' }))
      if (signal.aborted) giveUp()
      signal.addEventListener('abort', giveUp, { once: true })
      call.then(resolve, reject).finally(() => signal.removeEventListener('abort', giveUp))
    })
  }
}
