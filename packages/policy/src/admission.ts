/**
 * Admission: whether new work may be accepted. Work that could not be answered by
 * its deadline behind what waits already is refused at once, with advice when to
 * ask again; so the queues stay as short as the deadlines, and no capacity is spent
 * on answers that come too late.
 *
 * A refusal rests on measured run times only. Declarations are far off, and work
 * that is refused for its declaration would never run and so never be measured.
 */
import type { KindName, WorkspaceName } from '@cornelgauge/model'
import type { Amount } from './amount.js'
import { forbiddingRule } from './possibility.js'
import { shareKey, type Queue } from './queue.js'
import type { Admission, Job, PolicyState } from './scheduler.js'
import { durationsOf, inside, orderOf, usageOf, type ScheduleState } from './state.js'
import { measuredMean, measuredQuantile, NO_DURATIONS } from './statistics.js'

const RETRY_MILLISECONDS = 1000
const SHORTEST_RETRY_MILLISECONDS = 200
/** The run time that the deadline has to leave room for. */
const RUN_QUANTILE = 0.9
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
  const slack = job.deadline - now - measuredQuantile(durationsOf(current, job), RUN_QUANTILE)
  if (slack < 0) return refuse(current, job, 'overloaded', 'the deadline is nearer than such work runs', RETRY_MILLISECONDS)
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
 * How long a job would wait behind what is served before it, in milliseconds:
 * the waiting work over the capacity that its kind and those before it can have.
 * A workspace with little of its own waiting is not held up by the others' queues.
 */
export function expectedWait (state: ScheduleState, job: Job): number {
  const resource: Resource = job.shape.accelerators > 0 ? 'accelerators' : 'slots'
  const order = orderOf(state, job.kind)
  let ahead = 0
  let sameKind = 0
  let own = 0
  const others = new Set<WorkspaceName>()
  for (const queue of state.waiting.queues.values()) {
    if (orderOf(state, queue.kind) > order) continue
    const work = workOf(state, queue, resource)
    if (queue.kind !== job.kind) ahead += work
    else sameKind += work
    if (queue.shareKey === shareKey(job.kind, job.workspace)) own += work
    else if (queue.kind === job.kind) others.add(queue.workspace)
  }
  const weight = weightOf(state, job.workspace)
  const fairShare = weight / [...others].reduce((sum, name) => sum + weightOf(state, name), weight)
  const capacity = capacityFor(state, job.kind, resource)
  if (ahead + sameKind === 0) return 0
  return (ahead + Math.min(sameKind, own / fairShare)) / capacity
}

function weightOf (state: ScheduleState, workspace: WorkspaceName): number {
  return state.directory.workspaces.get(workspace)?.weight ?? 1
}

function workOf (state: ScheduleState, queue: Queue, resource: Resource): number {
  const durations = state.durations.get(queue.shareKey) ?? NO_DURATIONS
  return measuredMean(durations) * queue.amount[resource]
}

/** All but what later kinds hold now; at least the minimum share. */
function capacityFor (state: ScheduleState, kind: KindName, resource: Resource): number {
  const order = orderOf(state, kind)
  const total = state.capacity.total[resource]
  const minimum = state.directory.kinds.get(kind)?.minimumShare ?? 0
  const later = state.settings.kinds.filter(other => orderOf(state, other.name) > order)
  const held = later.reduce((sum, other) => sum + usageOf(state, other.name)[resource], 0)
  return Math.max(1, minimum * total, total - held)
}
