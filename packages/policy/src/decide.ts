/**
 * Scheduling decisions: which waiting jobs start on which backend servers, which
 * running jobs are preempted for them, and which jobs are refused.
 */
import { SkippedQueues } from './skipped-queues.js'
import { dequeue, queuedJobs, type Queue } from './queue.js'
import { claimGuarantee, fulfilClaims, type Step } from './claim.js'
import { keepsUnreservedHeadroom } from './headroom.js'
import { endEjections, findProbe } from './health.js'
import { infeasibilityReason } from './feasibility.js'
import { claimReadyReservations, hasReservation, needsReservation, reserve } from './reservation.js'
import { dropClaimAndReservation, refreshGuarantees, startJob, type Site } from './running.js'
import type { Decision, Job, Plan, PolicyState } from './interface.js'
import { nextQueue } from './sharing.js'
import { findNonUrgentSite, findSite, guaranteesFor } from './site.js'
import { durationAt, internalState, isReclaimable, type ScheduleState } from './state.js'
import { preemptForUrgent } from './urgent.js'

/** Quantile of the run time by which an urgent job must be able to end before its deadline; otherwise it is refused. */
const LONG_RUN_QUANTILE = 0.9

/**
 * Decides what to do now. In the returned state each `start` already counts as running,
 * so that no later call allocates the same capacity again. The owner confirms a start
 * with `job-started`, which changes nothing, or reverts a failed one with `job-ended`
 * and `job-arrived`. A preempted job keeps its capacity until its `job-ended`; the job
 * that claimed the capacity is started by a later call. A refused job is removed from
 * its queue immediately.
 *
 * @example
 * const { state, decisions } = decide(before, 1000)
 */
export function decide (state: PolicyState, now: number): Plan {
  const steps: ReadonlyArray<(current: ScheduleState, at: number) => Step> = [fulfilClaims, claimReadyReservations, fulfilClaims, serveQueues, preemptForUrgent]
  const decisions: Decision[] = []
  let current = refreshGuarantees(endEjections(internalState(state), now))
  for (const step of steps) {
    const result = step(current, now)
    current = result.state
    decisions.push(...result.decisions)
  }
  return { state: current, decisions, wakeAt: nextDeadline(current) }
}

/** Returns the earliest deadline among the first jobs of the urgent queues. */
function nextDeadline (state: ScheduleState): number | undefined {
  let earliest: number | undefined
  for (const queue of state.waiting.queues.values()) {
    if (queue.heap === undefined || state.directory.kinds.get(queue.kind)?.urgent !== true) continue
    earliest = Math.min(earliest ?? Infinity, queue.heap.item.deadline)
  }
  return earliest
}

function serveQueues (state: ScheduleState, now: number): Step {
  const skipped = new SkippedQueues()
  const decisions: Decision[] = []
  let current = state
  for (let queue = nextQueue(current, skipped.keys); queue !== undefined; queue = nextQueue(current, skipped.keys)) {
    const result = serveQueue(current, queue, skipped, now)
    if (result.decisions.length === 0) skipped.add(queue)
    current = result.state
    decisions.push(...result.decisions)
  }
  return { state: current, decisions }
}

/**
 * Serves the first job of a queue that waits for neither a reservation nor a claim. The
 * jobs before it are tried only in the guarantees of their workspace.
 */
function serveQueue (state: ScheduleState, queue: Queue, skipped: SkippedQueues, now: number): Step {
  for (const job of queuedJobs(state.waiting, queue)) {
    if (willMissDeadline(state, job, now)) return refuse(state, job, 'the deadline cannot be met any more')
    if (waitsForOwnMembers(state, job)) {
      const step = serveFromGuarantee(state, job, now)
      if (step !== undefined) return step
      continue
    }
    return skipped.isKindExhausted(queue) ? { state, decisions: [] } : serveJob(state, job, skipped, now)
  }
  return { state, decisions: [] }
}

/**
 * True if a job waits for the members of its reservation or claim. An urgent job with a
 * claim also takes other capacity that becomes free earlier.
 */
function waitsForOwnMembers (state: ScheduleState, job: Job): boolean {
  if (state.reservations.has(job.id)) return true
  return state.claims.has(job.id) && !isUrgent(state, job)
}

function isUrgent (state: ScheduleState, job: Job): boolean {
  return state.directory.kinds.get(job.kind)?.urgent === true
}

function willMissDeadline (state: ScheduleState, job: Job, now: number): boolean {
  if (!isUrgent(state, job)) return false
  const longDuration = durationAt(state, job, LONG_RUN_QUANTILE)
  const expected = longDuration <= job.deadline - job.arrivedAt ? longDuration : durationAt(state, job, 0.5)
  return now + expected > job.deadline
}

function serveJob (state: ScheduleState, job: Job, skipped: SkippedQueues, now: number): Step {
  const site = findProbe(state, job, now) ?? findSite(state, job, skipped.hasNoRoom(job))
  if (site !== undefined) {
    const step = startAt(state, job, site, now) ?? startInNonUrgentRoom(state, job, now)
    if (step !== undefined) return step
    skipped.markNoRoom(job)
    return serveFromGuarantee(state, job, now) ?? { state: reserveIfNeeded(state, job, now), decisions: [] }
  }
  const hadNoRoom = skipped.hasNoRoom(job)
  skipped.markNoRoom(job)
  if (state.claims.has(job.id)) return { state, decisions: [] }
  const claim = claimGuarantee(state, job, now)
  if (claim !== undefined) return claim
  const rule = hadNoRoom && isReclaimable(state, job) ? undefined : infeasibilityReason(state, job)
  if (rule !== undefined) return refuse(state, job, rule)
  return { state: reserveIfNeeded(state, job, now), decisions: [] }
}

/**
 * Starts a job in a guarantee of its workspace, or claims one, even if the job has a
 * reservation; not if it already has a claim.
 */
function serveFromGuarantee (state: ScheduleState, job: Job, now: number): Step | undefined {
  if (state.claims.has(job.id) || guaranteesFor(state, job).length === 0) return undefined
  const site = findSite(state, job, true)
  return site === undefined ? claimGuarantee(state, job, now) : startAt(state, job, site, now)
}

function reserveIfNeeded (state: ScheduleState, job: Job, now: number): ScheduleState {
  return needsReservation(job) && !hasReservation(state, job) ? reserve(state, job, now) : state
}

/**
 * Starts a job at a site, unless that would use up the headroom. In a guarantee of its
 * own workspace a job may always start.
 */
function startAt (state: ScheduleState, job: Job, site: Site, now: number): Step | undefined {
  const started = startJob(state, job, site, now)
  if (site.guarantee === undefined && !keepsUnreservedHeadroom(started, job, now)) return undefined
  return { state: started, decisions: [{ type: 'start', id: job.id, members: site.members }] }
}

/** Starts a job on capacity that urgent work can't use, such as idle guarantees. */
function startInNonUrgentRoom (state: ScheduleState, job: Job, now: number): Step | undefined {
  const site = findNonUrgentSite(state, job)
  if (site === undefined) return undefined
  return { state: startJob(state, job, site, now), decisions: [{ type: 'start', id: job.id, members: site.members }] }
}

function refuse (state: ScheduleState, job: Job, rule: string): Step {
  const released = dropClaimAndReservation(state, job.id)
  return { state: { ...released, waiting: dequeue(released.waiting, job.id) }, decisions: [{ type: 'refuse', id: job.id, rule }] }
}
