/** Corrects the run times that callers declare by what those of the same queue have turned out to be. */
import type { QueueName } from './ids.js'
import type { Estimate } from './step-work.js'

/** Variance of the logarithm of a declared run time. */
const DECLARED_VARIANCE = 0.35 ** 2
/** Weight of one run in the moving average of a queue's error. */
const RUN_WEIGHT = 0.02
/** Runs from which on a declared time that is this much off is an error of its own step: the logarithm of its ratio. */
const MOST_ERROR = 1.5

/**
 * The errors of the declared run times, by queue.
 *
 * @example
 * estimates.observe(queue, Math.log(1.2)) // a task has taken 1.2 times as long as declared
 * estimates.of(queue, 2000)?.mean // above Math.log(2000)
 */
export class RunTimeEstimates {
  readonly #errors = new Map<QueueName, number>()

  /** Adds the logarithm of the ratio of a run time, on a usual backend server, to the declared one. */
  observe (queue: QueueName, logRatio: number): void {
    const error = this.#errors.get(queue) ?? 0
    this.#errors.set(queue, error + RUN_WEIGHT * (Math.max(-MOST_ERROR, Math.min(MOST_ERROR, logRatio)) - error))
  }

  /** Returns the logarithm of the expected time of a task with this declared one; undefined if none is declared. */
  of (queue: QueueName, declaredMilliseconds: number): Estimate | undefined {
    if (!(declaredMilliseconds > 0)) return undefined
    return { mean: Math.log(declaredMilliseconds) + (this.#errors.get(queue) ?? 0), variance: DECLARED_VARIANCE }
  }
}
