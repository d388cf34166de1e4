/** Groups the active runs into those that are stopped together, with the cost of stopping them. */
import type { JobState } from './job-state.js'
import type { VictimGroup } from './reclaim.js'
import type { Run } from './server.js'
import type { PlannerState } from './state.js'
import type { StepState } from './step-state.js'

/** Time to resume from a checkpoint, in milliseconds. */
const RESTORE_MILLISECONDS = 600

/** Cost of stopping one run, in any unit. */
export type RunCost = (step: StepState, run: Run) => number

/**
 * Returns the active groups of the included jobs, without long-running steps.
 *
 * @example
 * runningGroups(state, job => !claims.has(job), (step, run) => lostMilliseconds(step, run, now))
 */
export function runningGroups (state: PlannerState, isIncluded: (job: JobState) => boolean, costOf: RunCost): readonly VictimGroup[] {
  const groups: VictimGroup[] = []
  for (const job of state.openJobs) {
    state.work.add(1)
    if (!isIncluded(job)) continue
    for (const steps of job.activeOccurrences) for (const step of steps) addGroupsOf(state, step, costOf, groups)
  }
  return groups
}

/**
 * Estimates how much work stopping a run discards, in milliseconds. A run with checkpoints
 * saves one at the stop and loses only the time to resume from it.
 *
 * @example
 * lostMilliseconds(step, run, now)
 */
export function lostMilliseconds (step: StepState, run: Run, now: number): number {
  const elapsed = Math.max(0, now - run.startSentAt)
  return step.specification.savesCheckpoints ? Math.min(elapsed, RESTORE_MILLISECONDS) : elapsed
}

/**
 * Estimates the remaining run time in milliseconds, from its progress, from what its step takes on its backend server, or from the mean of its queue.
 *
 * @example
 * remainingMilliseconds(state, step, run, now)
 */
export function remainingMilliseconds (state: PlannerState, step: StepState, run: Run, now: number): number {
  const elapsed = Math.max(0, now - run.startSentAt)
  if (run.percent > 0) return elapsed * (100 - run.percent) / run.percent
  const expected = state.speeds.expectedMilliseconds(step, state, now, run.server) ?? state.meanRunTime(step.job.job.queue)
  return Math.max(0, expected - elapsed)
}

function addGroupsOf (state: PlannerState, step: StepState, costOf: RunCost, groups: VictimGroup[]): void {
  state.work.add(step.knownCount)
  if (step.knownCount === 0 || step.specification.isLasting) return
  for (const { members, needs } of state.runningGroups.of(step)) {
    let cost = 0
    for (const { run } of members) cost += costOf(step, run)
    groups.push({ members, needs, cost })
  }
}
