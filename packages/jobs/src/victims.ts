/**
 * What may be stopped to make room, and what that loses. Answers urgent work that finds
 * the pool full of work that can be done later.
 */
import type { JobState, StepState } from './job-state.js'
import { MOST_LOST_MILLISECONDS, WASTE_WEIGHT } from './limits.js'
import { weightOfPriority, type Candidate } from './order.js'
import type { VictimGroup } from './reclaim.js'
import { lostMilliseconds, runningGroups } from './running-groups.js'
import type { Run } from './server.js'
import type { PlannerState } from './state.js'

/**
 * The groups that may be stopped for a candidate. For a claim: all work that isn't itself
 * one. For other work: what is less urgent, and young or saved.
 *
 * @example
 * const groups = victimsOf(state, claims, candidate, now)
 */
export function victimsOf (state: PlannerState, claims: ReadonlySet<JobState>, { isClaim, priority }: Candidate, now: number): readonly VictimGroup[] {
  const costOf = (step: StepState, run: Run): number => stopCost(state, step, run, now)
  if (isClaim) return runningGroups(state, job => !claims.has(job), costOf)
  return runningGroups(state, job => !claims.has(job) && priorityOf(state, job) > priority, costOf)
    .filter(group => group.members.every(({ task, run }) => lostMilliseconds(task.step, run, now) < MOST_LOST_MILLISECONDS))
}

/**
 * What stopping a run loses, in the unit of `gainOf`: its work is done again, at a price.
 *
 * @example
 * stopCost(state, step, run, now)
 */
export function stopCost (state: PlannerState, step: StepState, run: Run, now: number): number {
  const { job } = step
  const share = state.shareOf(step.specification, job.job.pool)
  return share * lostMilliseconds(step, run, now) * (weightOfPriority(priorityOf(state, job)) + WASTE_WEIGHT)
}

function priorityOf (state: PlannerState, job: JobState): number {
  return state.queueOf(job)?.priority ?? 0
}
