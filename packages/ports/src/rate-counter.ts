/**
 * Counts calls, and the most in any one second.
 */
import type { Clock } from './clock.js'

const SECOND_MILLISECONDS = 1000

/** How often a service was read and written. */
export interface ServiceCounters {
  readonly writes: number
  readonly reads: number
  readonly peakWritesPerSecond: number
  readonly peakReadsPerSecond: number
}

/**
 * Counts one sort of call.
 *
 * @example
 * const writes = new RateCounter(systemClock)
 * writes.count()
 */
export class RateCounter {
  readonly #clock: Clock
  #total = 0
  #peak = 0
  #second = 0
  #inSecond = 0

  constructor (clock: Clock) {
    this.#clock = clock
  }

  get total (): number {
    return this.#total
  }

  get peakPerSecond (): number {
    return this.#peak
  }

  count (): void {
    const second = Math.floor(this.#clock.now() / SECOND_MILLISECONDS)
    if (second !== this.#second) this.#inSecond = 0
    this.#second = second
    this.#inSecond += 1
    this.#total += 1
    this.#peak = Math.max(this.#peak, this.#inSecond)
  }
}

/**
 * The two counters of a service as one value.
 *
 * @example
 * countersOf(writes, reads).peakWritesPerSecond
 */
export function countersOf (writes: RateCounter, reads: RateCounter): ServiceCounters {
  return {
    writes: writes.total,
    reads: reads.total,
    peakWritesPerSecond: writes.peakPerSecond,
    peakReadsPerSecond: reads.peakPerSecond
  }
}
