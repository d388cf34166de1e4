/** Random numbers of a replay, fully determined by its seed. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/**
 * A seeded pseudo-random number generator.
 *
 * @example
 * new Random(7).uniform()
 */
export class Random {
  readonly #generator: ReturnType<typeof xoroshiro128plus>

  constructor (seed: number) {
    this.#generator = xoroshiro128plus(Math.imul(seed + 1, 0x9e3779b1))
  }

  /** Draws from the uniform distribution over [0, 1). */
  uniform (): number {
    return uniformFloat64(this.#generator)
  }

  /** Returns true with this probability. */
  chance (share: number): boolean {
    return this.uniform() < share
  }

  /** Draws from the exponential distribution with this mean. */
  exponential (mean: number): number {
    return -mean * Math.log(1 - this.uniform())
  }

  /** Draws from the log-normal distribution with this mean; `sigma` is the standard deviation of the logarithm. */
  logNormal (mean: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.uniform()))
    const normal = radius * Math.cos(2 * Math.PI * this.uniform())
    return mean * Math.exp(sigma * normal - sigma * sigma / 2)
  }

  /** Draws one item of a list uniformly. */
  choose<Item> (items: readonly Item[]): Item {
    return items[Math.floor(this.uniform() * items.length)]!
  }
}
