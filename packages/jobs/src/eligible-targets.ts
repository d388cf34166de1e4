/** Which backend servers a step may use in a round, whatever capacity is free there. */
import { targetsWithTicket } from './advice.js'
import { CapacitySnapshot } from './capacity-snapshot.js'
import type { StepState } from './job-state.js'
import { FAILURE_AVOIDANCE_MILLISECONDS } from './limits.js'
import { withoutInterference } from './round-snapshots.js'
import type { PlannerState } from './state.js'
import type { Waits } from './waits.js'

/**
 * Selects the targets of each step from a snapshot, with which it shares them.
 *
 * @example
 * new EligibleTargets(state, now, snapshot, waits).of(step)
 */
export class EligibleTargets {
  readonly #state: PlannerState
  readonly #now: number
  readonly #snapshot: CapacitySnapshot
  readonly #waits: Waits
  /** Targets without recent failures, once they are needed. */
  #lowRisk: CapacitySnapshot | undefined

  constructor (state: PlannerState, now: number, snapshot: CapacitySnapshot, waits: Waits) {
    this.#state = state
    this.#now = now
    this.#snapshot = snapshot
    this.#waits = waits
  }

  /** True if an outside service decides where the step may run. */
  isAdvised (step: StepState): boolean {
    return this.#state.termsOf(step.job)?.advice !== undefined
  }

  /** Returns the targets on which the step may start. */
  of (step: StepState): CapacitySnapshot {
    const snapshot = withoutInterference(this.lowRisk(step), step)
    return this.isAdvised(step) ? targetsWithTicket(snapshot, step, this.#now) : snapshot
  }

  /** Excludes backend servers with recent failures if the step has few attempts left. */
  lowRisk (step: StepState): CapacitySnapshot {
    const attempts = this.#state.termsOf(step.job)?.attempts ?? Infinity
    const failures = step.highestFailures
    if (attempts - failures > 2 || !this.#waits.mayWait(step.tasks[0]!)) return this.#snapshot
    this.#lowRisk ??= new CapacitySnapshot(this.#snapshot.targets.filter(({ server }) => server.consecutiveFailures === 0 || this.#now - server.lastFailureAt > FAILURE_AVOIDANCE_MILLISECONDS), this.#state.work)
    return this.#lowRisk
  }
}
