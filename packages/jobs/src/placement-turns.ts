/** Limits the placements of gangs in one round, and gives each waiting gang its turn. */
import { MAXIMUM_GANG_EXAMINATIONS_PER_ROUND } from './limits.js'
import type { RoundWork } from './round-work.js'
import type { StepState } from './step-state.js'

/**
 * Turns of the gangs that wait for capacity. Half of the limit is for those first in the
 * placement order, in each round. Once a round has reached the limit, the gangs that had no turn
 * in it share the other half in the next rounds, before any that came later.
 *
 * @example
 * turns.beginRound()
 * if (turns.isNext(step)) turns.place(step, () => placeGang(snapshot, step, true))
 */
export class PlacementTurns {
  readonly #work: RoundWork
  /** What the placements of this round have examined that found no capacity. */
  #examinations = 0
  /** Gangs that had no turn since the limit was reached, and still asked for one in the last complete round. */
  #owed = new Set<StepState>()
  #hasPlacedOwed = false
  /** Gangs that had no turn in this round. */
  #deferred = new Set<StepState>()

  constructor (work: RoundWork) {
    this.#work = work
  }

  beginRound (): void {
    this.#examinations = 0
    this.#hasPlacedOwed = false
    this.#deferred = new Set()
  }

  /** Ends a round; only one that reached all waiting gangs shows which of them no longer wait. */
  endRound (isComplete: boolean): void {
    if (this.#owed.size === 0) this.#owed = this.#deferred
    else if (isComplete) this.#owed = new Set([...this.#owed].filter(step => this.#deferred.has(step)))
  }

  /** True if a gang may be placed in this round. */
  isNext (step: StepState): boolean {
    if (this.#examinations < MAXIMUM_GANG_EXAMINATIONS_PER_ROUND / 2) return true
    const isTurn = this.#owed.size === 0 || this.#owed.has(step)
    const hasRoom = this.#examinations < MAXIMUM_GANG_EXAMINATIONS_PER_ROUND
    // One gang that is owed its turn gets it in any case, however many backend servers there are.
    if (isTurn && (hasRoom || (this.#owed.has(step) && !this.#hasPlacedOwed))) return true
    this.#deferred.add(step)
    return false
  }

  /** Places a gang, and counts what it examines if it finds no capacity; starts have a limit of their own. */
  place<Targets> (step: StepState, place: () => Targets | undefined): Targets | undefined {
    const before = this.#work.examinations
    const targets = place()
    this.#deferred.delete(step)
    if (this.#owed.delete(step)) this.#hasPlacedOwed = true
    if (targets === undefined) this.#examinations += this.#work.examinations - before
    return targets
  }
}
