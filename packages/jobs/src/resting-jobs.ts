/** Finds begun jobs of which nothing runs, so that they can wait in the store in place of the planner. */
import { parseTaskName, type JobId, type TaskName } from './ids.js'
import type { Job } from './job.js'
import { JobState } from './job-state.js'
import type { JobProgress } from './progress.js'
import type { PlannerState } from './state.js'

/** A job that can be planned again later from its rows. */
export interface RestingJob {
  readonly job: Job
  /** Progress of it is stored. */
  readonly hasProgress: boolean
  /** A task of it has started. */
  readonly hasBegun: boolean
  /** When its next task is due, in milliseconds since 1970; -Infinity if one is ready. */
  readonly nextDueAt: number
  /** Checkpoints of its tasks, which aren't stored. */
  readonly checkpoints: ReadonlyMap<TaskName, string>
}

/**
 * Returns what is needed to plan a job again.
 *
 * @example
 * restingForm(job).nextDueAt <= Date.now()
 */
export function restingForm (job: JobState): RestingJob {
  return { job: job.job, hasProgress: job.hasProgress, hasBegun: job.phase !== 'queued', nextDueAt: job.nextDueAt, checkpoints: job.checkpoints }
}

/**
 * Returns what is needed to plan a stored job later than the others.
 *
 * @example
 * storedRestingForm(job, progress).nextDueAt <= Date.now()
 */
export function storedRestingForm (job: Job, progress?: JobProgress): RestingJob {
  return restingForm(new JobState(job, false, progress))
}

/**
 * Returns the open jobs with progress that the store has in full, and of which no run may be executing, may still begin, or
 * has been lost without its cause being determined.
 *
 * @example
 * for (const job of restingJobs(state)) state.removeJob(job)
 */
export function restingJobs (state: PlannerState): readonly JobState[] {
  const awaited = jobsOfOpenLosses(state)
  return [...state.openJobs].filter(job => job.hasProgress && !job.mayHaveRuns && !state.isUnstored(job.job.id) && !awaited.has(job.job.id))
}

/** Jobs of lost runs that are still to be counted, or whose cause is still to be determined. */
function jobsOfOpenLosses (state: PlannerState): ReadonlySet<JobId> {
  const tasks = new Set(state.exhaustedTasks)
  for (const { lost } of state.crashes) for (const { task } of lost) tasks.add(task)
  for (const { id } of state.missingRuns.servers) for (const { task } of state.missingRuns.of(id)) tasks.add(task)
  return new Set([...tasks].map(task => parseTaskName(task)?.job).filter(id => id !== undefined))
}
