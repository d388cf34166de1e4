/** Counts the work of placement rounds, independently of the speed of the machine. */

/** Number of backend servers, running groups and jobs that the planner's rounds have examined. */
export class RoundWork {
  #examinations = 0

  get examinations (): number {
    return this.#examinations
  }

  /** Adds examinations. */
  add (examinations: number): void {
    this.#examinations += examinations
  }
}
