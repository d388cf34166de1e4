/** Random numbers of a replay; everything follows from one seed. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/**
 * A source of random numbers.
 *
 * @example
 * new Random(7).uniform()
 */
export class Random {
  readonly #generator: ReturnType<typeof xoroshiro128plus>

  constructor (seed: number) {
    this.#generator = xoroshiro128plus(Math.imul(seed + 1, 0x9e3779b1))
  }

  /** Uniform in [0, 1). */
  uniform (): number {
    return uniformFloat64(this.#generator)
  }

  /** True in this share of the cases. */
  chance (share: number): boolean {
    return this.uniform() < share
  }

  /** Exponential with this mean. */
  exponential (mean: number): number {
    return -mean * Math.log(1 - this.uniform())
  }

  /** Log-normal with this mean; `sigma` is the deviation of the logarithm. */
  logNormal (mean: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.uniform()))
    const normal = radius * Math.cos(2 * Math.PI * this.uniform())
    return mean * Math.exp(sigma * normal - sigma * sigma / 2)
  }

  /** One of a list. */
  choose<Item> (items: readonly Item[]): Item {
    return items[Math.floor(this.uniform() * items.length)]!
  }
}
