/**
 * Admission: whether new work may be accepted. Work that could not be answered by
 * its deadline behind what waits already is refused at once, with advice when to
 * ask again; so the queues stay as short as the deadlines, and no capacity is spent
 * on answers that come too late.
 *
 * A refusal rests on measured run times only. Declarations are far off, and work
 * that is refused for its declaration would never run and so never be measured.
 */
import type { WorkspaceName } from '@cornelgauge/model'
import type { Amount } from './amount.js'
import { forbiddingRule } from './possibility.js'
import type { Queue } from './queue.js'
import { reclaimableRoom, urgentRoom } from './room.js'
import type { Admission, Job, PolicyState } from './scheduler.js'
import { durationsOf, inside, isReclaimable, orderOf, usageOf, type ScheduleState } from './state.js'
import { measuredMean, measuredQuantile, NO_DURATIONS } from './statistics.js'

const RETRY_MILLISECONDS = 1000
const SHORTEST_RETRY_MILLISECONDS = 200
/** The run time that the deadline has to leave room for. */
const RUN_QUANTILE = 0.99
/** Stragglers are not planned for: the run takes no more of the time than this, unless even the median does. */
const MOST_RUN_SHARE = 0.5
/** Callers that were refused together come back spread over this part of the delay. */
const RETRY_SPREAD = 0.5

/**
 * Whether this job may be accepted now. Nothing changes; the owner applies
 * `job-arrived` once the job is committed.
 *
 * @example
 * admit(state, job, 1000) // { admitted: true }
 */
export function admit (state: PolicyState, job: Job, now: number): Admission {
  const current = inside(state)
  const rule = forbiddingRule(current, job)
  if (rule !== undefined) return { admitted: false, code: 'impossible-shape', rule, retryAfterMilliseconds: 0 }
  const workspace = current.directory.workspaces.get(job.workspace)
  if (workspace !== undefined && pendingOf(current, job) >= workspace.maximumPending) {
    return refuse(current, job, 'quota-exceeded', 'the workspace has as many requests waiting as the document allows', RETRY_MILLISECONDS)
  }
  const time = job.deadline - now
  const durations = durationsOf(current, job)
  const median = measuredQuantile(durations, 0.5)
  if (median > time) return refuse(current, job, 'overloaded', 'the deadline is nearer than such work runs', RETRY_MILLISECONDS)
  const slack = time - Math.min(measuredQuantile(durations, RUN_QUANTILE), Math.max(median, time * MOST_RUN_SHARE))
  const wait = expectedWait(current, job)
  if (wait <= slack) return { admitted: true }
  return refuse(current, job, 'overloaded', 'the work that waits already would pass the deadline', wait - slack)
}

function refuse (state: ScheduleState, job: Job, code: 'overloaded' | 'quota-exceeded', rule: string, delay: number): Admission {
  const spread = 1 + RETRY_SPREAD * fractionOf(job.id, state.settings.seed)
  return { admitted: false, code, rule, retryAfterMilliseconds: Math.ceil(Math.max(SHORTEST_RETRY_MILLISECONDS, delay) * spread) }
}

/** A number from 0 to 1 that follows from the id and the seed. */
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
 * How long a job would wait behind what is served before it, in milliseconds: the
 * waiting work over the capacity that its kind and those before it can have. Of
 * the other workspaces' work of its kind only as much counts as fair sharing serves
 * before the workspace's own.
 */
export function expectedWait (state: ScheduleState, job: Job): number {
  const resource: Resource = job.shape.accelerators > 0 ? 'accelerators' : 'slots'
  const order = orderOf(state, job.kind)
  const work = new Map<WorkspaceName, number>()
  let ahead = 0
  for (const queue of state.waiting.queues.values()) {
    if (queue.kind === job.kind) work.set(queue.workspace, (work.get(queue.workspace) ?? 0) + workOf(state, queue, resource))
    else if (orderOf(state, queue.kind) < order) ahead += workOf(state, queue, resource)
  }
  if (ahead === 0 && work.size === 0) return 0
  const own = (work.get(job.workspace) ?? 0) / weightOf(state, job.workspace)
  for (const [workspace, theirs] of work) ahead += Math.min(theirs, weightOf(state, workspace) * own)
  return ahead / capacityFor(state, job, resource)
}

function weightOf (state: ScheduleState, workspace: WorkspaceName): number {
  return state.directory.workspaces.get(workspace)?.weight ?? 1
}

function workOf (state: ScheduleState, queue: Queue, resource: Resource): number {
  const durations = state.durations.get(queue.shareKey) ?? NO_DURATIONS
  return measuredMean(durations) * queue.amount[resource]
}

/** What this kind and those before it hold or could take at once; at least the minimum share. */
function capacityFor (state: ScheduleState, job: Job, resource: Resource): number {
  const order = orderOf(state, job.kind)
  const minimum = state.directory.kinds.get(job.kind)?.minimumShare ?? 0
  let held = 0
  for (const kind of state.settings.kinds) {
    if (orderOf(state, kind.name) <= order) held += usageOf(state, kind.name)[resource]
  }
  const room = isReclaimable(state, job) ? reclaimableRoom : urgentRoom
  for (const rack of state.capacity.racks) {
    for (const server of rack.servers) held += Math.max(0, room(server)[resource])
  }
  return Math.max(1, minimum * state.capacity.total[resource], held)
}
