/** Virtual time and seeded random numbers for simulations, so that a seed always results in the same run. */

/** An action that is due at a time. */
interface Due {
  readonly at: number
  readonly order: number
  readonly action: () => void
  isCancelled: boolean
}

/**
 * Runs actions in the order of their times; those of the same time in the order in which they were added.
 *
 * @example
 * time.after(20, () => console.log(time.now))
 * time.run(1000)
 */
export class VirtualTime {
  /** In milliseconds. */
  now = 0
  #count = 0
  /** Sorted, the next one last. */
  readonly #due: Due[] = []

  /** Runs an action later; the function that is returned cancels it. */
  after (milliseconds: number, action: () => void): () => void {
    this.#count += 1
    const due: Due = { at: this.now + Math.max(0, milliseconds), order: this.#count, action, isCancelled: false }
    let low = 0
    let high = this.#due.length
    while (low < high) {
      const middle = (low + high) >> 1
      if (this.#due[middle]!.at > due.at) low = middle + 1
      else high = middle
    }
    this.#due.splice(low, 0, due)
    return () => { due.isCancelled = true }
  }

  /** Runs everything that is due until a time. */
  run (until: number): void {
    for (let next = this.#due.at(-1); next !== undefined && next.at <= until; next = this.#due.at(-1)) {
      this.#due.pop()
      this.now = next.at
      if (!next.isCancelled) next.action()
    }
    this.now = until
  }
}

/**
 * Seeded random numbers (mulberry32).
 *
 * @example
 * new SeededRandom(7).between(10, 20)
 */
export class SeededRandom {
  #state: number

  constructor (seed: number) {
    this.#state = Math.imul(seed, 0x9e3779b1) >>> 0
  }

  /** A number from 0 up to 1. */
  next (): number {
    this.#state = (this.#state + 0x6d2b79f5) >>> 0
    let mixed = Math.imul(this.#state ^ (this.#state >>> 15), 1 | this.#state)
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }

  between (least: number, most: number): number {
    return least + this.next() * (most - least)
  }

  /** A whole number from 0 up to a limit. */
  below (limit: number): number {
    return Math.floor(this.next() * limit)
  }

  chance (probability: number): boolean {
    return this.next() < probability
  }

  pick<Item> (items: readonly Item[]): Item {
    return items[this.below(items.length)]!
  }
}
