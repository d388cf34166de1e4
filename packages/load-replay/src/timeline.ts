/** What happens at which virtual time. */

/**
 * A queue of actions, ordered by time.
 *
 * @example
 * timeline.at(100, () => planner.list(entries, 100))
 * timeline.run()
 */
export class Timeline {
  /** The latest first. */
  readonly #actions: { readonly at: number, readonly run: () => void }[] = []
  #now = 0

  /** Milliseconds since the start. */
  get now (): number {
    return this.#now
  }

  /** Does something at a time, after what was planned for it before. */
  at (time: number, run: () => void): void {
    let low = 0
    let high = this.#actions.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (this.#actions[middle]!.at > time) low = middle + 1
      else high = middle
    }
    this.#actions.splice(low, 0, { at: time, run })
  }

  after (milliseconds: number, run: () => void): void {
    this.at(this.#now + milliseconds, run)
  }

  /** Runs until nothing is left, or until a time. */
  run (until: number): void {
    for (let next = this.#actions.pop(); next !== undefined && next.at <= until; next = this.#actions.pop()) {
      this.#now = next.at
      next.run()
    }
  }
}
