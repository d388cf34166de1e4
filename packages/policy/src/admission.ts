/** Admission: whether new work may be accepted, and when to ask again where not. */
import { forbiddingRule } from './possibility.js'
import type { Admission, Job, PolicyState } from './scheduler.js'
import { inside, type ScheduleState } from './state.js'

/** Advice where the time until there is room is not known. */
const RETRY_MILLISECONDS = 1000

/**
 * Whether this job may be accepted now. Nothing changes; the owner applies
 * `job-arrived` once the job is committed.
 *
 * @example
 * admit(state, job, 1000) // { admitted: true }
 */
export function admit (state: PolicyState, job: Job, _now: number): Admission {
  const current = inside(state)
  const rule = forbiddingRule(current, job.shape)
  if (rule !== undefined) return { admitted: false, code: 'impossible-shape', rule, retryAfterMilliseconds: 0 }
  const workspace = current.settings.workspaces.find(candidate => candidate.name === job.workspace)
  if (workspace !== undefined && pendingOf(current, job) >= workspace.maximumPending) {
    return { admitted: false, code: 'quota-exceeded', rule: 'maximumPending of the workspace', retryAfterMilliseconds: RETRY_MILLISECONDS }
  }
  return { admitted: true }
}

function pendingOf (state: ScheduleState, job: Job): number {
  let pending = 0
  for (const queue of state.waiting.queues.values()) if (queue.workspace === job.workspace) pending += queue.size
  return pending
}
