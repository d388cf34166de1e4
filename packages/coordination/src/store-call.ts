/**
 * Calls to the platform whose answers may be lost. A read is repeated until it is
 * answered; a write is tried once, and its outcome told as one of three: done,
 * refused with nothing written, or not known.
 */
import { asFailure, CornelgaugeError } from '@cornelgauge/model'
import type { Clock, TableService, Transaction } from '@cornelgauge/ports'
import { backoffDelay, type Random } from './backoff.js'
import { pause } from './pause.js'

/** Tells that the platform has not answered for a while. */
export interface StoreUnreachable {
  /** Calls in a row that got no answer. */
  readonly failedTries: number
  readonly failure: CornelgaugeError
}

/** What a repeated call is given: time, jitter, and a signal that ends it. */
export interface StoreCallOptions {
  readonly clock: Clock
  readonly random: Random
  /** Aborted when the caller gives up. What is in flight then may still take effect. */
  readonly signal: AbortSignal
  readonly onUnreachable?: (report: StoreUnreachable) => void
}

/** How one write ended, as far as its answer tells. */
export type WriteOutcome = 'done' | 'conflict' | 'no-answer'

/** One write that is repeated by its caller, with the number of tries without success. */
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

  /** Waits before the next try. */
  backOff (): Promise<void> {
    const { clock, random, signal } = this.#options
    return pause(clock, backoffDelay(this.#failedTries++, random), signal)
  }

  /**
   * Tries a write once. A failure that another try could mend leaves its effect
   * unknown; any other, such as a row over the service's limit, is thrown.
   */
  async write (table: TableService, transaction: Transaction): Promise<WriteOutcome> {
    try {
      await this.#untilAborted(table.write(transaction))
      return 'done'
    } catch (thrown) {
      return this.#writeFailed(asFailure(thrown))
    }
  }

  /**
   * Repeats a call that changes nothing, or always the same thing, until it is
   * answered. Fails with `unavailable` once the caller gives up, and with the
   * answer's own failure where another try is of no use.
   */
  async persist<Value> (call: () => Promise<Value>): Promise<Value> {
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

  #writeFailed (failure: CornelgaugeError): WriteOutcome {
    if (failure.code === 'conflict') return 'conflict'
    if (failure.retry === 'never') throw failure
    this.#report(failure)
    return 'no-answer'
  }

  /** Giving up says nothing about the platform. */
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
