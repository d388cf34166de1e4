/** Seeded random numbers of the policy bench. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** A random number generator whose sequence is determined by its seed. */
export class Random {
  readonly #generator: ReturnType<typeof xoroshiro128plus>

  constructor (seed: number) {
    this.#generator = xoroshiro128plus(Math.imul(seed + 1, 0x9e3779b1))
  }

  /** Uniform in [0, 1). */
  uniform (): number {
    return uniformFloat64(this.#generator)
  }

  /** Exponential with this mean. */
  exponential (mean: number): number {
    return -mean * Math.log(1 - this.uniform())
  }

  /** Log-normal with this median; `sigma` is the deviation of the logarithm. */
  logNormal (median: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.uniform()))
    return median * Math.exp(sigma * radius * Math.cos(2 * Math.PI * this.uniform()))
  }

  /** Picks an element of a list. */
  choose<Item> (items: readonly Item[]): Item {
    return items[Math.floor(this.uniform() * items.length)] as Item
  }
}
