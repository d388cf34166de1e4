/**
 * The order of service. Kinds below their minimum share come first, then kinds in the
 * document's order. Within a kind, weighted fair sharing serves the workspace that has
 * received the least work relative to its weight.
 */
import type { KindName } from '@cornelgauge/model'
import { addAmount, dominantShare, NO_AMOUNT, type Amount } from './amount.js'
import { compareNames } from './capacity.js'
import { arrivesBefore, firstJob, queueKey, shareKey, type Queue } from './queue.js'
import type { Job } from './interface.js'
import { amountOf, orderOf, usageOf, type RunningJob, type ScheduleState, type Sharing } from './state.js'

/** True if a kind's dominant share of the cell is below its minimum share. */
export function isBelowShare (state: ScheduleState, kind: KindName): boolean {
  const minimum = state.directory.kinds.get(kind)?.minimumShare ?? 0
  return dominantShare(usageOf(state, kind), state.capacity.total) < minimum
}

/** Returns the queue to serve next, except those in `skipped`, or `undefined` if there is none. */
export function nextQueue (state: ScheduleState, skipped: ReadonlySet<string>): Queue | undefined {
  const below = new Map<KindName, boolean>()
  const isBelow = (kind: KindName): boolean => {
    const known = below.get(kind) ?? isBelowShare(state, kind)
    below.set(kind, known)
    return known
  }
  let best: Queue | undefined
  for (const queue of state.waiting.queues.values()) {
    if (skipped.has(queue.key)) continue
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

/**
 * Raises the work counted for a queue that becomes active to the floor of its kind, so
 * that no workspace accumulates credit while idle.
 */
export function raiseToFloor (state: ScheduleState, job: Job): Sharing {
  const key = shareKey(job.kind, job.workspace)
  if (state.waiting.queues.has(queueKey(job))) return state.sharing
  const level = Math.max(servedOf(state.sharing, key), state.sharing.floors.get(job.kind) ?? 0)
  return { ...state.sharing, served: state.sharing.served.set(key, level) }
}

/** Charges the expected run time of a job at its start. */
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

/** Corrects the charge to the actual run time when a job ends. */
export function correctCharge (state: ScheduleState, running: RunningJob, at: number): Sharing {
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

/** Adds a job `times` times to the capacity of its kind that is being stopped; -1 subtracts it. */
export function countStopping (state: ScheduleState, { job, members }: RunningJob, times: number): Sharing['stopping'] {
  return state.sharing.stopping.set(job.kind, addAmount(stoppingOf(state, job.kind), amountOf(members), times))
}

/** Returns the capacity of a kind's jobs that are being stopped. */
export function stoppingOf (state: ScheduleState, kind: KindName): Amount {
  return state.sharing.stopping.get(kind) ?? NO_AMOUNT
}
