/** Limits the searches for reclaim plans in one round, and gives each waiting step its turn. */
import type { CapacitySnapshot } from './capacity-snapshot.js'
import type { ServerId } from './ids.js'
import type { StepState } from './step-state.js'
import { MAXIMUM_SEARCH_EXAMINATIONS_PER_ROUND } from './limits.js'
import type { ReclaimPlan } from './reclaim.js'
import type { RoundWork } from './round-work.js'

/**
 * Turns of the steps that need a search. Once a round has reached the limit, the next rounds
 * search only for those that had no turn in it, until all of them had theirs; then all steps have
 * one again, also those that are new since. Until its next turn, a step keeps the plan of its last.
 *
 * @example
 * turns.beginRound()
 * if (turns.isNext(step)) turns.search(step, () => planReclaim(snapshot, step, count, victims, true))
 */
export class SearchTurns {
  readonly #work: RoundWork
  /** Backend servers planned for the steps that had their turn; empty if there was no plan. */
  readonly #planned = new Map<StepState, readonly ServerId[]>()
  /** By step, whether a search that took no turn has found a plan in this round. */
  readonly #canFind = new Map<StepState, boolean>()
  #examinations = 0
  /** Steps that had their turn in this round. */
  readonly #searched = new Set<StepState>()
  /** Steps that had no turn in this round. */
  #deferred = new Set<StepState>()
  /** Steps that had no turn since the limit was reached, and still need a search. */
  #owed = new Set<StepState>()

  constructor (work: RoundWork) {
    this.#work = work
  }

  /** Begins a round; if no step was deferred in the last one, all plans are made anew. */
  beginRound (): void {
    if (this.#deferred.size === 0) this.#planned.clear()
    const deferred = this.#deferred
    this.#owed = this.#owed.size === 0 ? deferred : new Set([...this.#owed].filter(step => deferred.has(step)))
    this.#deferred = new Set()
    this.#searched.clear()
    this.#canFind.clear()
    this.#examinations = 0
  }

  /** True if a step may be searched for in this round. */
  isNext (step: StepState): boolean {
    if (this.#searched.has(step)) return false
    const isTurn = this.#owed.size === 0 || this.#owed.has(step)
    if (isTurn && this.#examinations < MAXIMUM_SEARCH_EXAMINATIONS_PER_ROUND) return true
    this.#deferred.add(step)
    return false
  }

  /** Searches for a step, and counts what the search examines. */
  search (step: StepState, search: () => ReclaimPlan | undefined): ReclaimPlan | undefined {
    const plan = this.#count(search)
    this.#searched.add(step)
    this.#deferred.delete(step)
    this.#owed.delete(step)
    this.#planned.set(step, plan?.targets.map(target => target.server.id) ?? [])
    return plan
  }

  /**
   * True if all backend servers planned for a step are among these, or if nothing is planned and a search finds a plan. The
   * search takes no turn, but is made only while the step may have one, and once a round.
   */
  canPlan (step: StepState, among: Pick<CapacitySnapshot, 'targetOf'>, search: () => ReclaimPlan | undefined): boolean {
    const planned = this.plannedFor(step)
    if (planned.length > 0) return planned.every(id => among.targetOf(id) !== undefined)
    const canFind = this.#canFind.get(step) ?? (this.isNext(step) && this.#count(search) !== undefined)
    this.#canFind.set(step, canFind)
    return canFind
  }

  #count (search: () => ReclaimPlan | undefined): ReclaimPlan | undefined {
    const before = this.#work.examinations
    const plan = search()
    this.#examinations += this.#work.examinations - before
    return plan
  }

  /** Backend servers that were planned for a step in its turn. */
  plannedFor (step: StepState): readonly ServerId[] {
    return this.#planned.get(step) ?? []
  }
}
