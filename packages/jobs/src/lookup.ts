/** Finds tasks by their names. */
import { parseTaskName, type JobId, type TaskName } from './ids.js'
import type { JobState, TaskState } from './job-state.js'

/**
 * The task with a name, if its job is known and has it.
 *
 * @example
 * findJobTask(jobs, taskName(address))?.isDone
 */
export function findJobTask (jobs: ReadonlyMap<JobId, JobState>, name: TaskName): TaskState | undefined {
  const address = parseTaskName(name)
  if (address === undefined) return undefined
  return jobs.get(address.job)?.task(address.occurrence, address.step, address.index)
}
