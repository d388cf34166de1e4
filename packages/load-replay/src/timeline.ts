/** Event queue of the discrete-event simulation. */

/**
 * A virtual clock with a queue of actions, ordered by time.
 *
 * @example
 * timeline.schedule(100, () => planner.updateServers(entries, 100))
 * timeline.run(1000)
 */
export class Timeline {
  /** Pending actions, latest first. */
  readonly #actions: { readonly time: number, readonly run: () => void }[] = []
  #now = 0

  /** Milliseconds since the start. */
  get now (): number {
    return this.#now
  }

  /** Schedules an action at a time, after the actions already scheduled for that time. */
  schedule (time: number, run: () => void): void {
    let low = 0
    let high = this.#actions.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (this.#actions[middle]!.time > time) low = middle + 1
      else high = middle
    }
    this.#actions.splice(low, 0, { time, run })
  }

  scheduleAfter (milliseconds: number, run: () => void): void {
    this.schedule(this.#now + milliseconds, run)
  }

  /** Runs all actions up to and including a time. */
  run (until: number): void {
    for (let next = this.#actions.pop(); next !== undefined && next.time <= until; next = this.#actions.pop()) {
      this.#now = next.time
      next.run()
    }
  }
}
