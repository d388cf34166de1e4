/**
 * Calls that are made some steps later.
 *
 * @example
 * const calls = new DelayedCalls(() => 3)
 * calls.add(() => planner.applyStopOutcome(command, 'stopped', now))
 * calls.advance()
 */
export class DelayedCalls {
  readonly #delay: () => number
  #calls: { readonly call: () => void, readonly at: number }[] = []
  #steps = 0

  /** `delay` returns after how many steps the next call is made; 0 makes it at once. */
  constructor (delay: () => number) {
    this.#delay = delay
  }

  add (call: () => void): void {
    const steps = this.#delay()
    if (steps === 0) call()
    else this.#calls.push({ call, at: this.#steps + steps })
  }

  /** Makes the calls that are due in the next step. */
  advance (): void {
    this.#steps += 1
    const due = this.#calls.filter(({ at }) => at <= this.#steps)
    this.#calls = this.#calls.filter(({ at }) => at > this.#steps)
    for (const { call } of due) call()
  }

  /** Drops all calls. */
  clear (): void {
    this.#calls = []
  }
}
