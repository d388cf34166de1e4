/**
 * Admission control. A job that would not finish by its deadline behind the jobs
 * already waiting is refused at once, with a time after which to retry. This limits
 * the queues to what can finish in time, and spends no capacity on late answers.
 *
 * Only measured run times lead to a refusal for load. Declared ones are unreliable,
 * and jobs refused on their account would never run, so never be measured.
 */
import type { WorkspaceName } from '@cornelgauge/model'
import type { Amount } from './amount.js'
import { infeasibilityReason } from './feasibility.js'
import type { Queue } from './queue.js'
import { reclaimableRoom, urgentRoom } from './room.js'
import type { Admission, Job, PolicyState } from './interface.js'
import { durationsOf, internalState, isReclaimable, orderOf, usageOf, type ScheduleState } from './state.js'
import { measuredMean, measuredQuantile, NO_DURATIONS } from './statistics.js'

const RETRY_MILLISECONDS = 1000
const SHORTEST_RETRY_MILLISECONDS = 200
/** Quantile of the run time that the deadline has to allow for. */
const RUN_QUANTILE = 0.99
/**
 * The run is assumed to take at most this fraction of the time to the deadline, or the
 * median run time if that is longer, so that a long tail of run times doesn't cause
 * refusals.
 */
const MAXIMUM_RUN_SHARE = 0.5
/** Retry delays are spread over this fraction of the delay, so that callers refused together don't retry together. */
const RETRY_SPREAD = 0.5

/**
 * Decides whether a job may be accepted now. The state is unchanged: the owner applies
 * `job-arrived` once the job is committed.
 *
 * @example
 * admit(state, job, 1000) // { admitted: true }
 */
export function admit (state: PolicyState, job: Job, now: number): Admission {
  const current = internalState(state)
  const rule = infeasibilityReason(current, job)
  if (rule !== undefined) return { admitted: false, code: 'impossible-shape', rule, retryAfterMilliseconds: 0 }
  const workspace = current.directory.workspaces.get(job.workspace)
  if (workspace !== undefined && pendingOf(current, job) >= workspace.maximumPending) {
    return refuse(current, job, 'quota-exceeded', 'the workspace has as many requests waiting as the document allows', RETRY_MILLISECONDS)
  }
  const remainingTime = job.deadline - now
  const durations = durationsOf(current, job)
  const median = measuredQuantile(durations, 0.5)
  if (median > remainingTime) return refuse(current, job, 'overloaded', 'the deadline is nearer than such work runs', RETRY_MILLISECONDS)
  const slack = remainingTime - Math.min(measuredQuantile(durations, RUN_QUANTILE), Math.max(median, remainingTime * MAXIMUM_RUN_SHARE))
  const wait = expectedWait(current, job)
  if (wait <= slack) return { admitted: true }
  return refuse(current, job, 'overloaded', 'the work that waits already would pass the deadline', wait - slack)
}

function refuse (state: ScheduleState, job: Job, code: 'overloaded' | 'quota-exceeded', rule: string, delay: number): Admission {
  const spread = 1 + RETRY_SPREAD * fractionOf(job.id, state.settings.seed)
  return { admitted: false, code, rule, retryAfterMilliseconds: Math.ceil(Math.max(SHORTEST_RETRY_MILLISECONDS, delay) * spread) }
}

/** Returns a pseudorandom number from 0 to 1, a hash of the id and the seed. */
function fractionOf (id: string, seed: number): number {
  let hash = seed | 0
  for (let index = 0; index < id.length; index++) hash = Math.imul(hash ^ id.charCodeAt(index), 0x01000193)
  return (hash >>> 0) / 2 ** 32
}

function pendingOf (state: ScheduleState, job: Job): number {
  let pending = 0
  for (const queue of state.waiting.queues.values()) if (queue.workspace === job.workspace) pending += queue.size
  return pending
}

type Resource = keyof Amount

/**
 * Returns how long a job would wait for the jobs served before it, in milliseconds:
 * the waiting work divided by the capacity available to its kind and the kinds before
 * it. Of the work of its kind in other workspaces, only the part that fair sharing
 * serves before the job's own workspace counts.
 */
export function expectedWait (state: ScheduleState, job: Job): number {
  const resource: Resource = job.shape.accelerators > 0 ? 'accelerators' : 'slots'
  const order = orderOf(state, job.kind)
  const waitingWork = new Map<WorkspaceName, number>()
  let ahead = 0
  for (const queue of state.waiting.queues.values()) {
    if (queue.kind === job.kind) waitingWork.set(queue.workspace, (waitingWork.get(queue.workspace) ?? 0) + waitingWorkOf(state, queue, resource))
    else if (orderOf(state, queue.kind) < order) ahead += waitingWorkOf(state, queue, resource)
  }
  if (ahead === 0 && waitingWork.size === 0) return 0
  const own = (waitingWork.get(job.workspace) ?? 0) / weightOf(state, job.workspace)
  for (const [workspace, workspaceWork] of waitingWork) ahead += Math.min(workspaceWork, weightOf(state, workspace) * own)
  return ahead / capacityFor(state, job, resource)
}

function weightOf (state: ScheduleState, workspace: WorkspaceName): number {
  return state.directory.workspaces.get(workspace)?.weight ?? 1
}

function waitingWorkOf (state: ScheduleState, queue: Queue, resource: Resource): number {
  const durations = state.durations.get(queue.shareKey) ?? NO_DURATIONS
  return measuredMean(durations) * queue.amount[resource]
}

/** Returns the capacity that this kind and those before it use or could use now, at least the kind's minimum share. */
function capacityFor (state: ScheduleState, job: Job, resource: Resource): number {
  const order = orderOf(state, job.kind)
  const minimum = state.directory.kinds.get(job.kind)?.minimumShare ?? 0
  let availableCapacity = 0
  for (const kind of state.settings.kinds) {
    if (orderOf(state, kind.name) <= order) availableCapacity += usageOf(state, kind.name)[resource]
  }
  const room = isReclaimable(state, job) ? reclaimableRoom : urgentRoom
  for (const rack of state.capacity.racks) {
    for (const server of rack.servers) availableCapacity += Math.max(0, room(server)[resource])
  }
  return Math.max(1, minimum * state.capacity.total[resource], availableCapacity)
}
