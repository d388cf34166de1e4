/**
 * Counts calls, in total and in the busiest second.
 */
import type { Clock } from './clock.js'

const SECOND_MILLISECONDS = 1000

/** Numbers of reads and writes that a service has handled. */
export interface ServiceCounters {
  readonly writes: number
  readonly reads: number
  readonly peakWritesPerSecond: number
  readonly peakReadsPerSecond: number
}

/**
 * Counts calls of one kind.
 *
 * @example
 * const writes = new RateCounter(systemClock)
 * writes.count()
 */
export class RateCounter {
  readonly #clock: Clock
  #total = 0
  #peak = 0
  #currentSecond = 0
  #countInSecond = 0

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
    if (second !== this.#currentSecond) this.#countInSecond = 0
    this.#currentSecond = second
    this.#countInSecond += 1
    this.#total += 1
    this.#peak = Math.max(this.#peak, this.#countInSecond)
  }
}

/**
 * Combines the two counters of a service.
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
