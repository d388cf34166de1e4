/** Finds tasks by name. */
import { parseTaskName, type JobId, type TaskName } from './ids.js'
import type { JobState } from './job-state.js'
import type { TaskState } from './task-state.js'

/**
 * Returns the task with this name, if its job is known and has such a task.
 *
 * @example
 * findJobTask(jobs, taskName(address))?.isDone
 */
export function findJobTask (jobs: ReadonlyMap<JobId, JobState>, name: TaskName): TaskState | undefined {
  const address = parseTaskName(name)
  if (address === undefined) return undefined
  return jobs.get(address.job)?.task(address.occurrence, address.step, address.index)
}
