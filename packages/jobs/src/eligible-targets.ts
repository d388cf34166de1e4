/** Which backend servers a step may use in a round, whatever capacity is free there. */
import { targetsWithTicket } from './advice.js'
import { CapacitySnapshot, type PlacementTarget } from './capacity-snapshot.js'
import { FAILURE_AVOIDANCE_MILLISECONDS, UNANSWERED_START_AVOIDANCE_MILLISECONDS } from './limits.js'
import { withoutInterference } from './round-snapshots.js'
import type { PlannerState } from './state.js'
import type { StartUnit } from './start-unit.js'
import type { StepState } from './step-state.js'

/**
 * Selects the targets of each step from a snapshot, with which it shares them.
 *
 * @example
 * new EligibleTargets(state, now, snapshot).of(unit, true)
 */
export class EligibleTargets {
  readonly #state: PlannerState
  readonly #now: number
  readonly #snapshot: CapacitySnapshot
  /** Targets without recent failures, once they are needed. */
  #lowRisk: CapacitySnapshot | undefined
  /** Snapshots without the backend servers that have lately left starts unanswered. */
  readonly #answering = new Map<CapacitySnapshot, CapacitySnapshot>()
  /** By snapshot, the last step for which these were left out, and whether the others had room: its next task is searched for once. */
  readonly #lastSearches = new Map<CapacitySnapshot, { readonly step: StepState, readonly hasRoom: boolean }>()

  constructor (state: PlannerState, now: number, snapshot: CapacitySnapshot) {
    this.#state = state
    this.#now = now
    this.#snapshot = snapshot
  }

  /** True if an outside service decides where the step may run. */
  isAdvised (step: StepState): boolean {
    return this.#state.termsOf(step.job)?.advice !== undefined
  }

  /** Returns the targets on which a unit may start. */
  of (unit: StartUnit, mayWait: boolean): CapacitySnapshot {
    const { step } = unit
    const snapshot = withoutInterference(this.lowRisk(unit, mayWait), step)
    return this.isAdvised(step) ? targetsWithTicket(snapshot, step, this.#now) : snapshot
  }

  /** Excludes backend servers with recent failures if the step has few attempts left and may wait for others. */
  lowRisk ({ step }: StartUnit, mayWait: boolean): CapacitySnapshot {
    const attempts = this.#state.termsOf(step.job)?.attempts ?? Infinity
    const failures = step.highestFailures
    if (attempts - failures > 2 || !mayWait) return this.#snapshot
    this.#lowRisk ??= new CapacitySnapshot(this.#snapshot.targets.filter(({ server }) => server.consecutiveFailures === 0 || this.#now - server.lastFailureAt > FAILURE_AVOIDANCE_MILLISECONDS), this.#state.work)
    return this.#lowRisk
  }

  /**
   * Finds something for a step among these targets, if possible without a backend server that has lately left a start
   * unanswered and may do so again. Unless there is another way to find such a thing, one with these backend servers is returned.
   */
  search<Found> (step: StepState, snapshot: CapacitySnapshot, find: (among: CapacitySnapshot) => Found | undefined, targetsOf: (found: Found) => readonly PlacementTarget[], hasAnotherWay: () => boolean = () => false): Found | undefined {
    const last = this.#lastSearches.get(snapshot)
    const hadRoom = last?.step === step ? last.hasRoom : undefined
    const findAnswering = (): Found | undefined => {
      const found = find(this.answering(snapshot))
      this.#lastSearches.set(snapshot, { step, hasRoom: found !== undefined })
      return found
    }
    const next = hadRoom === true ? findAnswering() : undefined
    if (next !== undefined) return next
    const found = find(snapshot)
    if (found === undefined || targetsOf(found).every(target => this.#isAnswering(target))) return found
    const other = hadRoom === undefined ? findAnswering() : undefined
    return other ?? (hasAnotherWay() ? undefined : found)
  }

  /** Returns these targets without the backend servers that have lately left starts unanswered. */
  answering (snapshot: CapacitySnapshot): CapacitySnapshot {
    const known = this.#answering.get(snapshot)
    if (known !== undefined) return known
    const answering = new CapacitySnapshot(snapshot.targets.filter(target => this.#isAnswering(target)), snapshot.work)
    this.#answering.set(snapshot, answering)
    return answering
  }

  #isAnswering ({ server }: PlacementTarget): boolean {
    const { unansweredStartAt, answeredStartAt } = server
    return answeredStartAt > unansweredStartAt || this.#now - unansweredStartAt >= UNANSWERED_START_AVOIDANCE_MILLISECONDS
  }
}
