/** Groups the active runs into those that are stopped together, with the cost of stopping them. */
import type { JobState } from './job-state.js'
import type { VictimGroup } from './reclaim.js'
import type { Run } from './server.js'
import type { PlannerState } from './state.js'
import type { StepState } from './step-state.js'
import type { TaskState } from './task-state.js'

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
    for (const step of job.steps) {
      state.work.add(step.knownCount)
      if (!step.specification.isLasting) groups.push(...groupsOf(step, costOf))
    }
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
 * Estimates the remaining run time in milliseconds, from its progress or from the mean of its queue.
 *
 * @example
 * remainingMilliseconds(state, step, run, now)
 */
export function remainingMilliseconds (state: PlannerState, step: StepState, run: Run, now: number): number {
  const elapsed = Math.max(0, now - run.startSentAt)
  if (run.percent > 0) return elapsed * (100 - run.percent) / run.percent
  return Math.max(0, state.meanRunTime(step.job.job.queue) - elapsed)
}

function groupsOf (step: StepState, costOf: RunCost): readonly VictimGroup[] {
  const members: { readonly task: TaskState, readonly run: Run, readonly need: Run['need'] }[] = []
  for (const task of step.knownTasks) {
    for (const run of task.runs) {
      if (run.state === 'running' || run.state === 'starting') members.push({ task, run, need: run.need })
    }
  }
  if (members.length === 0) return []
  if (step.specification.isGang) return [{ members, cost: members.reduce((sum, { run }) => sum + costOf(step, run), 0) }]
  return members.map(member => ({ members: [member], cost: costOf(step, member.run) }))
}
