/**
 * Selects the runs that may be stopped to free capacity, and estimates the cost. Lets
 * urgent work preempt work that can be done later when the pool is full.
 */
import { isIsolated } from './isolation.js'
import type { JobState } from './job-state.js'
import { MAXIMUM_PREEMPTION_LOSS_MILLISECONDS, WASTE_WEIGHT } from './limits.js'
import { weightOfPriority, type Candidate } from './order.js'
import type { VictimGroup } from './reclaim.js'
import { lostMilliseconds, runningGroups, type RunCost } from './running-groups.js'
import type { PlannerState } from './state.js'
import type { StepState } from './step-state.js'

/** Cost of stopping an isolated run for a claim, above that of all others: its end may show what crashes backend servers. */
const ISOLATED_STOP_COST = 1e9

/**
 * Returns the groups that may be stopped for a candidate. For a claim: all work that is no
 * claim itself. For other work: less urgent work that loses little, because it has just
 * started or saves checkpoints; not what is only being started, which is to run first.
 *
 * @example
 * const groups = victimsOf(state, claims, candidate, now)
 */
export function victimsOf (state: PlannerState, claims: ReadonlySet<JobState>, { isClaim, priority }: Candidate, now: number): readonly VictimGroup[] {
  const costOf = stopCosts(state, now)
  if (isClaim) return runningGroups(state, job => !claims.has(job), costOf)
  return runningGroups(state, job => !claims.has(job) && priorityOf(state, job) > priority, costOf)
    .filter(group => group.members.every(({ task, run }) => run.state === 'running' && !isIsolated(run, now) && lostMilliseconds(task.step, run, now) < MAXIMUM_PREEMPTION_LOSS_MILLISECONDS))
}

/** Estimates the cost of stopping a run, in the unit of `gainOf`: the work to repeat, plus the price of the waste. What the runs of a step share is computed once for all that follow each other. */
function stopCosts (state: PlannerState, now: number): RunCost {
  let known: StepState | undefined
  let share = 0
  let weight = 0
  return (step, run) => {
    if (step !== known) {
      const { job } = step
      share = state.shareOf(step.specification, job.job.pool)
      weight = weightOfPriority(priorityOf(state, job)) + WASTE_WEIGHT
      known = step
    }
    return share * lostMilliseconds(step, run, now) * weight + (isIsolated(run, now) ? ISOLATED_STOP_COST : 0)
  }
}

function priorityOf (state: PlannerState, job: JobState): number {
  return state.termsOf(job)?.priority ?? 0
}
