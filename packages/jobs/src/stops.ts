/** Marks runs for stopping; the next round sends the stops. */
import type { StopReason } from './command.js'
import type { RunNumber } from './ids.js'
import type { Run } from './server.js'
import type { TaskState } from './task-state.js'

/**
 * Marks a run for stopping; the next round sends the stop.
 *
 * @example
 * requestStop(run, 'reclaimed')
 */
export function requestStop (run: Run, reason: StopReason): Run {
  if (run.state === 'stopping') return run
  run.state = run.state === 'unconfirmed' ? 'unconfirmed' : 'stopping'
  run.stopReason ??= reason
  return run
}

/**
 * Marks the runs of a task for stopping, except one.
 *
 * @example
 * requestStops(task, 'done-elsewhere', run)
 */
export function requestStops (task: TaskState, reason: StopReason, except?: Run): void {
  for (const run of task.runs) if (run !== except) requestStop(run, reason)
}

/**
 * Stops the remaining members of a gang when one of them has ended.
 *
 * @example
 * stopRestOfGang(task, end.run)
 */
export function stopRestOfGang (task: TaskState, number: RunNumber): void {
  if (!task.step.specification.isGang) return
  for (const member of task.step.knownTasks) {
    for (const run of member.runs) if (run.run === number) requestStop(run, 'gang-incomplete')
  }
}
