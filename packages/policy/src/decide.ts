/** The decisions: which waiting jobs start where, what is stopped for them, and which can never run. */
import { PassedQueues } from './passed.js'
import { dequeue, queuedJobs, type Queue } from './queue.js'
import { claimGuarantee, fulfilClaims, type Step } from './claim.js'
import { keepsHeadroomBeside } from './headroom.js'
import { endEjections, findProbe } from './health.js'
import { forbiddingRule } from './possibility.js'
import { hasReservation, needsReservation, reserve, ripenReservations } from './reservation.js'
import { dropPlans, settleGuarantees, startJob, type Site } from './running.js'
import type { Decision, Job, Plan, PolicyState } from './scheduler.js'
import { nextQueue } from './sharing.js'
import { findLentSite, findSite, holdsFor } from './site.js'
import { durationAt, inside, isReclaimable, type ScheduleState } from './state.js'
import { relieveUrgent } from './urgent.js'

/** Work is given up once it would probably end after its deadline. */
const LONG_RUN_QUANTILE = 0.9

/**
 * What to do now. The plan's state counts each `start` as running at once, so that
 * a later call never gives the same capacity twice; the owner confirms by
 * `job-started`, which changes nothing, or takes a start that failed back by
 * `job-ended` and `job-arrived`. A preempted job holds its capacity until its
 * `job-ended`, and the claim it is stopped for starts by a later call. A refused
 * job is out of the queue at once.
 *
 * @example
 * const { state, decisions } = decide(before, 1000)
 */
export function decide (state: PolicyState, now: number): Plan {
  const steps: ReadonlyArray<(current: ScheduleState, at: number) => Step> = [fulfilClaims, ripenReservations, fulfilClaims, serveQueues, relieveUrgent]
  const decisions: Decision[] = []
  let current = settleGuarantees(endEjections(inside(state), now))
  for (const step of steps) {
    const result = step(current, now)
    current = result.state
    decisions.push(...result.decisions)
  }
  return { state: current, decisions, wakeAt: nextDeadline(current) }
}

/** The earliest deadline at the front of an urgent queue. */
function nextDeadline (state: ScheduleState): number | undefined {
  let earliest: number | undefined
  for (const queue of state.waiting.queues.values()) {
    if (queue.heap === undefined || state.directory.kinds.get(queue.kind)?.urgent !== true) continue
    earliest = Math.min(earliest ?? Infinity, queue.heap.item.deadline)
  }
  return earliest
}

function serveQueues (state: ScheduleState, now: number): Step {
  const passed = new PassedQueues()
  const decisions: Decision[] = []
  let current = state
  for (let queue = nextQueue(current, passed.keys); queue !== undefined; queue = nextQueue(current, passed.keys)) {
    const result = serveQueue(current, queue, passed, now)
    if (result.decisions.length === 0) passed.add(queue)
    current = result.state
    decisions.push(...result.decisions)
  }
  return { state: current, decisions }
}

/** Serves the first job of a queue that does not wait for members of its own. */
function serveQueue (state: ScheduleState, queue: Queue, passed: PassedQueues, now: number): Step {
  for (const job of queuedJobs(state.waiting, queue)) {
    if (isLate(state, job, now)) return refuse(state, job, 'the deadline cannot be met any more')
    if (hasPlan(state, job)) {
      const step = serveFromGuarantee(state, job, now)
      if (step !== undefined) return step
      continue
    }
    return passed.isKindSpent(queue) ? { state, decisions: [] } : serveJob(state, job, passed, now)
  }
  return { state, decisions: [] }
}

/** A gang with members of its own waits for those; urgent work takes whatever is free first. */
function hasPlan (state: ScheduleState, job: Job): boolean {
  if (state.reservations.has(job.id)) return true
  return state.claims.has(job.id) && !isUrgent(state, job)
}

function isUrgent (state: ScheduleState, job: Job): boolean {
  return state.directory.kinds.get(job.kind)?.urgent === true
}

function isLate (state: ScheduleState, job: Job, now: number): boolean {
  if (!isUrgent(state, job)) return false
  const long = durationAt(state, job, LONG_RUN_QUANTILE)
  const expected = long <= job.deadline - job.arrivedAt ? long : durationAt(state, job, 0.5)
  return now + expected > job.deadline
}

function serveJob (state: ScheduleState, job: Job, passed: PassedQueues, now: number): Step {
  const site = findProbe(state, job, now) ?? findSite(state, job, passed.isFull(job))
  if (site !== undefined) {
    const step = startAt(state, job, site, now) ?? startOnLent(state, job, now)
    if (step !== undefined) return step
    passed.markFull(job)
    return serveFromGuarantee(state, job, now) ?? { state: reserveOnce(state, job, now), decisions: [] }
  }
  const isKnownFull = passed.isFull(job)
  passed.markFull(job)
  if (state.claims.has(job.id)) return { state, decisions: [] }
  const claim = claimGuarantee(state, job, now)
  if (claim !== undefined) return claim
  const rule = isKnownFull && isReclaimable(state, job) ? undefined : forbiddingRule(state, job)
  if (rule !== undefined) return refuse(state, job, rule)
  return { state: reserveOnce(state, job, now), decisions: [] }
}

/** A workspace's own guarantee is there for a job whatever it waits for otherwise, unless it has a claim already. */
function serveFromGuarantee (state: ScheduleState, job: Job, now: number): Step | undefined {
  if (state.claims.has(job.id) || holdsFor(state, job).length === 0) return undefined
  const site = findSite(state, job, true)
  return site === undefined ? claimGuarantee(state, job, now) : startAt(state, job, site, now)
}

function reserveOnce (state: ScheduleState, job: Job, now: number): ScheduleState {
  return needsReservation(job) && !hasReservation(state, job) ? reserve(state, job, now) : state
}

/** Starts a job at a site, unless that takes what urgent work needs; its own guarantee is a job's own. */
function startAt (state: ScheduleState, job: Job, site: Site, now: number): Step | undefined {
  const started = startJob(state, job, site, now)
  if (site.hold === undefined && !keepsHeadroomBeside(started, job, now)) return undefined
  return { state: started, decisions: [{ type: 'start', id: job.id, members: site.members }] }
}

/** Starts a job on idle guarantees only, which urgent work has no use for. */
function startOnLent (state: ScheduleState, job: Job, now: number): Step | undefined {
  const site = findLentSite(state, job)
  if (site === undefined) return undefined
  return { state: startJob(state, job, site, now), decisions: [{ type: 'start', id: job.id, members: site.members }] }
}

function refuse (state: ScheduleState, job: Job, rule: string): Step {
  const planless = dropPlans(state, job.id)
  return { state: { ...planless, waiting: dequeue(planless.waiting, job.id) }, decisions: [{ type: 'refuse', id: job.id, rule }] }
}
