/**
 * The order of service. A kind that holds less than its minimum share comes first,
 * then the order of the document; inside a kind, the workspace that has been given
 * the least work for its weight.
 */
import type { KindName } from '@cornelgauge/model'
import { addAmount, dominantShare, NO_AMOUNT, type Amount } from './amount.js'
import { compareNames } from './capacity.js'
import { arrivesBefore, firstJob, queueKey, shareKey, type Queue } from './queue.js'
import type { Job } from './scheduler.js'
import { amountOf, orderOf, usageOf, type RunningJob, type ScheduleState, type Sharing } from './state.js'

/** True where a kind holds less of the cell than the document promises it. */
export function isBelowShare (state: ScheduleState, kind: KindName): boolean {
  const minimum = state.directory.kinds.get(kind)?.minimumShare ?? 0
  return dominantShare(usageOf(state, kind), state.capacity.total) < minimum
}

/** The queue to serve next, but for those in `passed`; `undefined` where none is left. */
export function nextQueue (state: ScheduleState, passed: ReadonlySet<string>): Queue | undefined {
  const below = new Map<KindName, boolean>()
  const isBelow = (kind: KindName): boolean => {
    const known = below.get(kind) ?? isBelowShare(state, kind)
    below.set(kind, known)
    return known
  }
  let best: Queue | undefined
  for (const queue of state.waiting.queues.values()) {
    if (passed.has(queue.key)) continue
    if (best === undefined || comesFirst(state, queue, best, isBelow)) best = queue
  }
  return best
}

function comesFirst (state: ScheduleState, first: Queue, second: Queue, isBelow: (kind: KindName) => boolean): boolean {
  if (first.kind !== second.kind) {
    const shares = Number(isBelow(second.kind)) - Number(isBelow(first.kind))
    if (shares !== 0) return shares < 0
    const orders = orderOf(state, first.kind) - orderOf(state, second.kind)
    return (orders || compareNames(first.kind, second.kind)) < 0
  }
  if (first.workspace === second.workspace) return arrivesBefore(firstJob(first), firstJob(second))
  const served = servedOf(state.sharing, first.shareKey) - servedOf(state.sharing, second.shareKey)
  return (served || compareNames(first.workspace, second.workspace)) < 0
}

function servedOf (sharing: Sharing, key: string): number {
  return sharing.served.get(key) ?? 0
}

function workOf (state: ScheduleState, job: Job, amount: Amount, milliseconds: number): number {
  const weight = state.directory.workspaces.get(job.workspace)?.weight ?? 1
  return milliseconds * dominantShare(amount, state.capacity.total) / weight
}

/** A queue that had nothing waiting starts level with the others, and saves up nothing while idle. */
export function levelQueue (state: ScheduleState, job: Job): Sharing {
  const key = shareKey(job.kind, job.workspace)
  if (state.waiting.queues.has(queueKey(job))) return state.sharing
  const level = Math.max(servedOf(state.sharing, key), state.sharing.floors.get(job.kind) ?? 0)
  return { ...state.sharing, served: state.sharing.served.set(key, level) }
}

/** Charges a start with its expected run time. */
export function chargeStart (state: ScheduleState, running: RunningJob): Sharing {
  const { sharing } = state
  const { job } = running
  const key = shareKey(job.kind, job.workspace)
  const amount = amountOf(running.members)
  const served = servedOf(sharing, key)
  return {
    ...sharing,
    served: sharing.served.set(key, served + workOf(state, job, amount, running.expectedMilliseconds)),
    floors: sharing.floors.set(job.kind, Math.max(sharing.floors.get(job.kind) ?? 0, served)),
    usage: sharing.usage.set(job.kind, addAmount(usageOf(state, job.kind), amount))
  }
}

/** Settles the charge once the true run time is known. */
export function settleEnd (state: ScheduleState, running: RunningJob, at: number): Sharing {
  const { sharing } = state
  const { job } = running
  const key = shareKey(job.kind, job.workspace)
  const amount = amountOf(running.members)
  const excess = at - running.startedAt - running.expectedMilliseconds
  return {
    ...sharing,
    served: sharing.served.set(key, servedOf(sharing, key) + workOf(state, job, amount, excess)),
    usage: sharing.usage.set(job.kind, addAmount(usageOf(state, job.kind), amount, -1)),
    stopping: running.stopping ? countStopping(state, running, -1) : sharing.stopping
  }
}

/** What is being stopped of each kind, with a job more or less. */
export function countStopping (state: ScheduleState, { job, members }: RunningJob, times: number): Sharing['stopping'] {
  return state.sharing.stopping.set(job.kind, addAmount(stoppingOf(state, job.kind), amountOf(members), times))
}

/** What is being stopped of a kind. */
export function stoppingOf (state: ScheduleState, kind: KindName): Amount {
  return state.sharing.stopping.get(kind) ?? NO_AMOUNT
}
