/**
 * Pseudorandom choices that depend on a seed alone (mulberry32).
 *
 * @example
 * new SeededRandom(7919).pick(['a', 'b'])
 */
export class SeededRandom {
  #state: number

  constructor (seed: number) {
    this.#state = seed
  }

  pick<T> (values: readonly T[]): T {
    return values[this.below(values.length)]!
  }

  chance (probability: number): boolean {
    return this.below(10_000) < 10_000 * probability
  }

  /** The next integer below a limit. */
  below (limit: number): number {
    this.#state = (this.#state + 0x6d2b79f5) >>> 0
    let mixed = Math.imul(this.#state ^ (this.#state >>> 15), 1 | this.#state)
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return Math.floor(((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32 * limit)
  }
}
