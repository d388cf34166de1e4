/** Ends jobs with a final phase. */
import type { StopReason } from './command.js'
import type { JobState } from './job-state.js'
import type { PlannerState } from './state.js'
import { requestStop } from './stops.js'

/**
 * Completes a job if all of its steps are done.
 *
 * @example
 * completeIfDone(state, step.job, Date.now())
 */
export function completeIfDone (state: PlannerState, job: JobState, wallTime: number): void {
  if (job.isOpen && job.isDone) setFinalPhase(state, job, 'completed', wallTime)
}

/**
 * Ends a job with a final phase and stops its remaining runs.
 *
 * @example
 * endJob(state, job, 'canceled', 'cancelled', Date.now())
 */
export function endJob (state: PlannerState, job: JobState, phase: 'failed' | 'canceled', reason: StopReason, wallTime: number): void {
  setFinalPhase(state, job, phase, wallTime)
  for (const run of job.runs) requestStop(state, run, reason)
}

/**
 * Fails the open jobs of queues that have just become known and one of whose tasks has used up its
 * attempts: its last failure may have been reported before.
 *
 * @example
 * failExhausted(state, Date.now())
 */
export function failExhausted (state: PlannerState, wallTime: number): void {
  const queues = state.takeNewQueues()
  if (queues.size === 0) return
  for (const job of [...state.openJobs]) if (queues.has(job.job.queue)) failIfExhausted(state, job, wallTime)
}

/**
 * Fails an open job one of whose tasks has used up its attempts, as far as the terms of its queue are known.
 *
 * @example
 * failIfExhausted(state, job, Date.now())
 */
export function failIfExhausted (state: PlannerState, job: JobState, wallTime: number): void {
  const attempts = state.termsOf(job)?.attempts ?? Infinity
  if (!job.isOpen || job.steps.every(step => step.isDone || step.highestFailures < attempts)) return
  endJob(state, job, 'failed', 'job-failed', wallTime)
  state.markChanged(job)
}

function setFinalPhase (state: PlannerState, job: JobState, phase: 'completed' | 'failed' | 'canceled', wallTime: number): void {
  job.phase = phase
  job.finishedAt = wallTime
  state.closeJob(job)
  state.recordEvent({ type: 'job-ended', job: job.job.id, phase, milliseconds: wallTime - job.job.acceptedAt })
}
