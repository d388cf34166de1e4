/** How much of an owner's memory and time a job takes while it is planned, however many tasks it has. */
import type { Job } from './job.js'

/** Bytes of memory that count as one unit; an ordinary job takes less, but each round examines it. */
const UNIT_BYTES = 8000
/** Bytes of a step as received, and of its state in one occurrence. */
const STEP_BYTES = 600
const STEP_STATE_BYTES = 400

/**
 * Returns the planning load of a job: 1 for an ordinary one, more for one with a long description or with many steps. One
 * occurrence is counted; what else of a schedule is active is limited for all jobs together, by `MAXIMUM_OVERLAPPING_STEPS`.
 *
 * @example
 * planningLoad(job) // 1.1 for a job of two steps
 */
export function planningLoad (job: Job): number {
  return 1 + (job.specification.length + (STEP_BYTES + STEP_STATE_BYTES) * job.steps.length) / UNIT_BYTES
}

/** Planning load above which the steps of an ended job are forgotten; those of others serve the mean work of their queue. */
const LONG_DESCRIPTION = 2

/**
 * Returns what is kept of a job that has ended: nothing of it starts any more.
 *
 * @example
 * endedForm(job).specification // ''
 */
export function endedForm (job: Job): Job {
  return { ...job, specification: '', steps: planningLoad(job) > LONG_DESCRIPTION ? [] : job.steps }
}
