/**
 * Baselines behind the same contract, to compare with: one first-come queue, the
 * document's order in one queue, and first fit. None of them knows guarantees,
 * reservations, headroom, preemption, deadlines or ejection.
 */
import { admit } from './admission.js'
import { applyChange } from './change.js'
import { decide } from './decide.js'
import { place, spotsOf } from './placement.js'
import { forbiddingRule } from './possibility.js'
import { arrivesBefore, dequeue, firstJob, type Queue } from './queue.js'
import { reclaimableRoom } from './room.js'
import { startJob } from './running.js'
import type { Admission, Decision, Job, Plan, PolicyChange, PolicySettings, PolicyState } from './scheduler.js'
import { createPolicy, inside, orderOf, type ScheduleState } from './state.js'

/** A policy as its owner drives it. */
export interface Scheduler {
  readonly createPolicy: (settings: PolicySettings) => PolicyState
  readonly applyChange: (state: PolicyState, change: PolicyChange) => PolicyState
  readonly decide: (state: PolicyState, now: number) => Plan
  readonly admit: (state: PolicyState, job: Job, now: number) => Admission
}

/** The name of a policy that can be chosen. */
export type SchedulerName = 'cornelgauge' | 'first-come' | 'strict-order' | 'first-fit'

interface BaselineRules {
  readonly comesFirst: (state: ScheduleState, first: Job, second: Job) => boolean
  /** Whether a job without room holds up those behind it. */
  readonly blocks: boolean
}

function inOrder (state: ScheduleState, first: Job, second: Job): boolean {
  const orders = orderOf(state, first.kind) - orderOf(state, second.kind)
  return orders === 0 ? arrivesBefore(first, second) : orders < 0
}

const BY_ARRIVAL: BaselineRules['comesFirst'] = (_state, first, second) => arrivesBefore(first, second)

/** Every policy by its name. */
export const SCHEDULERS: Readonly<Record<SchedulerName, Scheduler>> = {
  cornelgauge: { createPolicy, applyChange, decide, admit },
  'first-come': baseline({ comesFirst: BY_ARRIVAL, blocks: true }),
  'strict-order': baseline({ comesFirst: inOrder, blocks: true }),
  'first-fit': baseline({ comesFirst: BY_ARRIVAL, blocks: false })
}

function baseline (rules: BaselineRules): Scheduler {
  return {
    createPolicy,
    applyChange: (state, change) => applyChange(state, withoutFailure(change)),
    decide: (state, now) => decideSimply(inside(state), rules, now),
    admit: (state, job) => admitSimply(inside(state), job)
  }
}

/** Baselines eject nobody: to them a failure is an end like any other. */
function withoutFailure (change: PolicyChange): PolicyChange {
  return change.type === 'job-ended' && change.outcome === 'failed' ? { ...change, outcome: 'stopped' } : change
}

function decideSimply (state: ScheduleState, rules: BaselineRules, now: number): Plan {
  const decisions: Decision[] = []
  const passed = new Set<string>()
  let current = state
  for (let queue = firstQueue(current, rules, passed); queue !== undefined; queue = firstQueue(current, rules, passed)) {
    const job = firstJob(queue)
    const members = place(spotsOf(current.capacity, reclaimableRoom), job.shape, 'first-fit')
    const rule = members === undefined ? forbiddingRule(current, job) : undefined
    if (members !== undefined) {
      current = startJob(current, job, { members, hold: undefined }, now)
      decisions.push({ type: 'start', id: job.id, members })
    } else if (rule !== undefined) {
      current = { ...current, waiting: dequeue(current.waiting, job.id) }
      decisions.push({ type: 'refuse', id: job.id, rule })
    } else if (rules.blocks) {
      break
    } else {
      passed.add(queue.key)
    }
  }
  return { state: current, decisions }
}

function firstQueue (state: ScheduleState, rules: BaselineRules, passed: ReadonlySet<string>): Queue | undefined {
  let best: Queue | undefined
  for (const queue of state.waiting.queues.values()) {
    if (passed.has(queue.key)) continue
    if (best === undefined || rules.comesFirst(state, firstJob(queue), firstJob(best))) best = queue
  }
  return best
}

function admitSimply (state: ScheduleState, job: Job): Admission {
  const rule = forbiddingRule(state, job)
  return rule === undefined ? { admitted: true } : { admitted: false, code: 'impossible-shape', rule, retryAfterMilliseconds: 0 }
}
