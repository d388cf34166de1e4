/** Records the runs of a step that were lost with their backend servers. */
import { MOST_LOST_RUNS, SUSPECT_LOST_RUNS } from './limits.js'

/**
 * Lost runs by unit: a task, or the gang. A run is counted once, however many of its members
 * are lost.
 *
 * @example
 * step.losses.add(step.unitOf(task), run.run)
 */
export class LossRecord {
  /** Run numbers by unit, the earliest first. */
  readonly #runs = new Map<number, Set<number>>()
  /** Where members of a run were lost, as far as this owner knows. */
  readonly #places = new Map<number, Set<string>>()
  /** Number of the change of the job that includes the last loss. */
  change = 0

  /** Adds a run that was lost at this place. False if it is counted already. */
  add (unit: number, run: number, place: string): boolean {
    const places = this.#places.get(run) ?? new Set()
    this.#places.set(run, places.add(place))
    const runs = this.#runs.get(unit) ?? new Set()
    if (runs.has(run)) return false
    this.#runs.set(unit, runs.add(run))
    const [earliest] = runs
    if (runs.size > MOST_LOST_RUNS) this.#forget(runs, earliest!)
    return true
  }

  /** Corrects the loss of a run that is running at the place after all. True if it no longer counts. */
  correct (unit: number, run: number, place: string): boolean {
    const places = this.#places.get(run)
    if (places?.delete(place) !== true || places.size > 0) return false
    return this.#runs.get(unit)?.delete(run) === true
  }

  /** Counts the lost runs of a unit. */
  count (unit: number): number {
    return this.#runs.get(unit)?.size ?? 0
  }

  /** True if so many runs were lost that the unit may be the cause. */
  isSuspect (unit: number): boolean {
    return this.count(unit) >= SUSPECT_LOST_RUNS
  }

  /** Forgets the earliest run: a long-running task is started however often it was lost. */
  #forget (runs: Set<number>, earliest: number): void {
    runs.delete(earliest)
    this.#places.delete(earliest)
  }

  /** The lost runs by unit, in the form that is stored; undefined if there are none. */
  get progress (): Readonly<Record<string, readonly number[]>> | undefined {
    const lost = [...this.#runs].filter(([, runs]) => runs.size > 0).map(([unit, runs]) => [unit, [...runs]])
    return lost.length === 0 ? undefined : Object.fromEntries(lost) as Readonly<Record<string, readonly number[]>>
  }

  /** Restores the stored form. */
  restore (lost: Readonly<Record<string, readonly number[]>> = {}): void {
    for (const [unit, runs] of Object.entries(lost)) this.#runs.set(Number(unit), new Set(runs))
  }
}
