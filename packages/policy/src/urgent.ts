/**
 * Preemption for urgent work that would otherwise wait too long. Reclaimable jobs of
 * later kinds are preempted, as long as their kind keeps its minimum share.
 */
import type { PlacementMember } from '@cornelgauge/model'
import { addAmount, coversAmount, dominantShare, type Amount } from './amount.js'
import { allServers, type Task } from './capacity.js'
import { openClaim, type Step } from './claim.js'
import { queuedJobs } from './queue.js'
import { pinnableAmount } from './room.js'
import type { Decision, Job, KindSettings } from './interface.js'
import { stoppingOf } from './sharing.js'
import { isReclaimable, orderOf, usageOf, type ScheduleState } from './state.js'
import { meanDuration, NO_DURATIONS } from './statistics.js'
import { chooseVictims, type Victims } from './victim.js'

/** Jobs are preempted for urgent work once its expected wait exceeds this fraction of the reclaim bound. */
const WAIT_SHARE_BEFORE_PREEMPTION = 0.04
/** Maximum number of claims that one call of `decide` opens for a kind. */
const MAXIMUM_CLAIMS_PER_KIND = 16

/** Opens claims for urgent work until its expected wait is short enough. */
export function preemptForUrgent (state: ScheduleState, now: number): Step {
  const decisions: Decision[] = []
  let current = state
  for (const kind of state.settings.kinds) {
    if (!kind.urgent) continue
    for (let claims = 0; claims < MAXIMUM_CLAIMS_PER_KIND && waitsTooLong(current, kind); claims++) {
      const step = claimForNextJob(current, kind, now)
      if (step === undefined) break
      current = step.state
      decisions.push(...step.decisions)
    }
  }
  return { state: current, decisions }
}

function waitsTooLong (state: ScheduleState, kind: KindSettings): boolean {
  let waiting = 0
  for (const queue of state.waiting.queues.values()) if (queue.kind === kind.name) waiting += queue.amount.slots
  if (waiting === 0) return false
  const claims = [...state.claims.values()].filter(claim => claim.job.kind === kind.name)
  const claimed = claims.reduce((sum, claim) => sum + claim.job.shape.slots, 0)
  if (waiting <= claimed) return false
  const mean = meanDuration(state.durations.get(kind.name) ?? NO_DURATIONS, 0)
  const usedSlots = usageOf(state, kind.name).slots + claimed
  return usedSlots === 0 || waiting * mean > usedSlots * state.settings.reclaimMilliseconds * WAIT_SHARE_BEFORE_PREEMPTION
}

function claimForNextJob (state: ScheduleState, kind: KindSettings, now: number): Step | undefined {
  for (const queue of [...state.waiting.queues.values()].sort((first, second) => first.key < second.key ? -1 : 1)) {
    if (queue.kind !== kind.name) continue
    for (const job of queuedJobs(state.waiting, queue)) {
      if (state.claims.has(job.id) || job.shape.accelerators > 0) continue
      return claimSlots(state, job, now)
    }
  }
  return undefined
}

function claimSlots (state: ScheduleState, job: Job, now: number): Step | undefined {
  const order = orderOf(state, job.kind)
  const eligible = (task: Task): boolean => !endsSoon(state, task, now) && mayPreempt(state, task, order)
  let best: { readonly members: readonly PlacementMember[], readonly victims: Victims } | undefined
  for (const server of allServers(state.capacity)) {
    const members = [{ server: server.description.name, slots: job.shape.slots, accelerators: 0 }]
    const allowed = isReclaimable(state, job) || coversAmount(addAmount(pinnableAmount(server), server.claimed, -1), members[0] as Amount)
    const victims = allowed ? chooseVictims(state, members, eligible, now) : undefined
    if (victims === undefined) continue
    if (best === undefined || victims.lostWork < best.victims.lostWork) best = { members, victims }
  }
  if (best === undefined) return undefined
  return openClaim(state, job, { members: best.members, guarantee: undefined }, best.victims, 'urgent work would wait too long', now)
}

/** True if a task is expected to end before it could be stopped; it isn't preempted then. An overdue task may be. */
function endsSoon (state: ScheduleState, task: Task, now: number): boolean {
  const remaining = task.expectedEnd - now
  return remaining >= 0 && remaining <= state.settings.reclaimMilliseconds
}

function mayPreempt (state: ScheduleState, task: Task, order: number): boolean {
  const job = state.running.get(task.id)?.job
  if (job === undefined || orderOf(state, job.kind) <= order) return false
  const left = addAmount(addAmount(usageOf(state, job.kind), stoppingOf(state, job.kind), -1), task, -1)
  return dominantShare(left, state.capacity.total) >= (state.directory.kinds.get(job.kind)?.minimumShare ?? 0)
}
