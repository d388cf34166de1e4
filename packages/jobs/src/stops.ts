/** Marks runs for stopping; the next round sends the stops. */
import type { StopReason } from './command.js'
import type { JobId, RunNumber } from './ids.js'
import type { Run } from './server.js'
import type { PlannerState } from './state.js'
import type { TaskState } from './task-state.js'

/**
 * Marks a run for stopping; the next round sends the stop. A run that is reclaimed is stopped for another job.
 *
 * @example
 * requestStop(state, run, 'reclaimed', candidate.job.job.id)
 */
export function requestStop (state: PlannerState, run: Run, reason: StopReason, stoppedFor?: JobId): Run {
  if (run.state === 'stopping') return run
  run.state = run.state === 'unconfirmed' ? 'unconfirmed' : 'stopping'
  if (run.stopReason === undefined && stoppedFor !== undefined) run.stoppedFor = stoppedFor
  run.stopReason ??= reason
  const server = state.servers.get(run.server)
  if (server?.run(run.task, run.run) === run) server.stops.add(run)
  return run
}

/**
 * Marks the runs of a task for stopping, except one.
 *
 * @example
 * requestStops(state, task, 'done-elsewhere', run)
 */
export function requestStops (state: PlannerState, task: TaskState, reason: StopReason, except?: Run): void {
  for (const run of task.runs) if (run !== except) requestStop(state, run, reason)
}

/**
 * Stops the remaining members of a gang when one of them has ended. That is done once for each run, as every member comes
 * here in the end; members that are found later are stopped by `stopIfIncomplete`.
 *
 * @example
 * stopRestOfGang(state, task, end.run)
 */
export function stopRestOfGang (state: PlannerState, task: TaskState, number: RunNumber): void {
  const { step } = task
  if (!step.specification.isGang || step.incompleteRun === number) return
  step.incompleteRun = number
  for (const member of step.knownTasks) {
    for (const run of member.runs) if (run.run === number) requestStop(state, run, 'gang-incomplete')
  }
}

/**
 * Stops a member that has become known after the others of its run were stopped.
 *
 * @example
 * stopIfIncomplete(state, run)
 */
export function stopIfIncomplete (state: PlannerState, run: Run): Run {
  return run.step?.incompleteRun === run.run ? requestStop(state, run, 'gang-incomplete') : run
}

/**
 * Stops the other starts of a gang that is done. The members of the one that has ended so end by themselves.
 *
 * @example
 * stopOtherStarts(state, task, end.run)
 */
export function stopOtherStarts (state: PlannerState, task: TaskState, number: RunNumber): void {
  for (const member of task.step.knownTasks) {
    for (const run of member.runs) if (run.run !== number) requestStop(state, run, 'done-elsewhere')
  }
}
