/** Writes progress in the background, several batches at a time, each of other jobs. */
import { pause, systemClock } from '@cornelgauge/coordination'
import type { Planner } from '@cornelgauge/jobs'
import { CONCURRENT_PROGRESS_WRITES, STORE_RETRY_MILLISECONDS } from './limits.js'
import type { ProgressWriter } from './progress-writer.js'

/** Options of a saver. */
export interface ProgressSaverOptions {
  readonly planner: Planner
  readonly writer: ProgressWriter
  /** Runs a call to the store; false if it failed, which is logged. */
  readonly tryStoreCall: (call: () => Promise<void>) => Promise<boolean>
  /** Called after each batch that was stored, with how long its write took. */
  readonly onStored: (milliseconds: number) => void
  /** Called with any other failure. */
  readonly onCrash: (thrown: unknown) => void
  readonly signal: AbortSignal
}

/**
 * Stores what the planner reports as unstored. A change waits for no write that began before it, unless that is of
 * the same job: starts wait for their records.
 *
 * @example
 * saver.save()
 * await saver.underWay
 */
export class ProgressSaver {
  readonly #options: ProgressSaverOptions
  readonly #writes = new Set<Promise<void>>()
  /** A write has failed, and the next attempt is to wait. */
  #isPausing = false

  constructor (options: ProgressSaverOptions) {
    this.#options = options
  }

  /** Returns once the writes that are under way have ended. */
  get underWay (): Promise<unknown> {
    return Promise.all(this.#writes)
  }

  /** Begins to write what is unstored and not being written. */
  save (): void {
    const { planner, writer, onCrash, signal } = this.#options
    while (!this.#isPausing && !signal.aborted && this.#writes.size < CONCURRENT_PROGRESS_WRITES && writer.hasNext(planner)) {
      const write: Promise<void> = this.#write().catch(onCrash).finally(() => this.#writes.delete(write))
      this.#writes.add(write)
    }
  }

  async #write (): Promise<void> {
    const { planner, writer, tryStoreCall, onStored, signal } = this.#options
    const startedAt = performance.now()
    let stored = 0
    const isWritten = await tryStoreCall(async () => { stored = await writer.write(planner) })
    if (stored > 0) onStored(performance.now() - startedAt)
    if (!isWritten && !this.#isPausing) {
      this.#isPausing = true
      await pause(systemClock, STORE_RETRY_MILLISECONDS, signal)
      this.#isPausing = false
    }
  }
}
