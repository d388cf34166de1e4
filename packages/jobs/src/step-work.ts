/** How long the tasks of a step take on a usual backend server, from all of their runs and from the declared estimate. */

/** An estimate of a logarithm, with its variance. */
export interface Estimate {
  readonly mean: number
  readonly variance: number
}

/** What one run contributes to the estimate of its step. */
export interface Contribution {
  readonly value: number
  /** The inverse of its variance. */
  readonly precision: number
}

/** How far a run counts as away from the others at most: a few tasks take several times as long as the rest of their step. */
const MOST_DEVIATION = 0.7

/**
 * The logarithm of the time that a task of one step takes on a usual backend server.
 *
 * @example
 * const work = new StepWork({ mean: Math.log(2100), variance: 0.1 })
 * const contribution = work.add({ value: Math.log(1900), precision: 10 })
 * work.without(contribution)?.mean // Math.log(2100)
 */
export class StepWork {
  #precision = 0
  #weighted = 0

  /** Without a declared estimate, a step is known by its runs only. */
  constructor (declared?: Estimate) {
    if (declared !== undefined) this.add({ value: declared.mean, precision: 1 / declared.variance })
  }

  /** Adds a run; returns what it counts as. */
  add ({ value, precision }: Contribution): Contribution {
    const known = this.without()?.mean ?? value
    const contribution = { value: known + Math.max(-MOST_DEVIATION, Math.min(MOST_DEVIATION, value - known)), precision }
    this.#change(contribution, 1)
    return contribution
  }

  remove (contribution: Contribution): void {
    this.#change(contribution, -1)
  }

  /** Returns the estimate without one run; undefined if there is nothing else. */
  without (contribution?: Contribution): Estimate | undefined {
    const precision = this.#precision - (contribution?.precision ?? 0)
    if (precision < 1e-6) return undefined
    const weighted = this.#weighted - (contribution === undefined ? 0 : contribution.value * contribution.precision)
    return { mean: weighted / precision, variance: 1 / precision }
  }

  #change ({ value, precision }: Contribution, sign: 1 | -1): void {
    this.#precision += sign * precision
    this.#weighted += sign * value * precision
  }
}
