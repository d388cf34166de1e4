/**
 * Baseline policies with the same interface, for comparison: one queue in order of
 * arrival, one queue in the document's order of kinds, and first fit. None of them
 * has guarantees, reservations, headroom, preemption, deadlines or ejection.
 */
import { admit } from './admission.js'
import { applyChange } from './change.js'
import { decide } from './decide.js'
import { place, roomByRack } from './placement.js'
import { infeasibilityReason } from './feasibility.js'
import { arrivesBefore, dequeue, firstJob, type Queue } from './queue.js'
import { reclaimableRoom } from './room.js'
import { startJob } from './running.js'
import type { Admission, Decision, Job, Plan, PolicyChange, PolicySettings, PolicyState } from './interface.js'
import { createPolicy, internalState, orderOf, type ScheduleState } from './state.js'

/** The functions of a policy, as its owner calls them. */
export interface Policy {
  readonly createPolicy: (settings: PolicySettings) => PolicyState
  readonly applyChange: (state: PolicyState, change: PolicyChange) => PolicyState
  readonly decide: (state: PolicyState, now: number) => Plan
  readonly admit: (state: PolicyState, job: Job, now: number) => Admission
}

/** Name of an available policy. */
export type PolicyName = 'cornelgauge' | 'first-come' | 'strict-order' | 'first-fit'

interface BaselineRules {
  readonly comesFirst: (state: ScheduleState, first: Job, second: Job) => boolean
  /** True if a job that can't be placed blocks all jobs behind it. */
  readonly blocks: boolean
}

function precedesInOrder (state: ScheduleState, first: Job, second: Job): boolean {
  const orders = orderOf(state, first.kind) - orderOf(state, second.kind)
  return orders === 0 ? arrivesBefore(first, second) : orders < 0
}

const BY_ARRIVAL: BaselineRules['comesFirst'] = (_state, first, second) => arrivesBefore(first, second)

/** Every policy by its name. */
export const POLICIES: Readonly<Record<PolicyName, Policy>> = {
  cornelgauge: { createPolicy, applyChange, decide, admit },
  'first-come': baseline({ comesFirst: BY_ARRIVAL, blocks: true }),
  'strict-order': baseline({ comesFirst: precedesInOrder, blocks: true }),
  'first-fit': baseline({ comesFirst: BY_ARRIVAL, blocks: false })
}

function baseline (rules: BaselineRules): Policy {
  return {
    createPolicy,
    applyChange: (state, change) => applyChange(state, withoutFailure(change)),
    decide: (state, now) => decideBaseline(internalState(state), rules, now),
    admit: (state, job) => admitBaseline(internalState(state), job)
  }
}

/** Reports a failure as an ordinary stop, because the baselines don't eject backend servers. */
function withoutFailure (change: PolicyChange): PolicyChange {
  return change.type === 'job-ended' && change.outcome === 'failed' ? { ...change, outcome: 'stopped' } : change
}

function decideBaseline (state: ScheduleState, rules: BaselineRules, now: number): Plan {
  const decisions: Decision[] = []
  const skipped = new Set<string>()
  let current = state
  for (let queue = firstQueue(current, rules, skipped); queue !== undefined; queue = firstQueue(current, rules, skipped)) {
    const job = firstJob(queue)
    const members = place(roomByRack(current.capacity, reclaimableRoom), job.shape, 'first-fit')
    const rule = members === undefined ? infeasibilityReason(current, job) : undefined
    if (members !== undefined) {
      current = startJob(current, job, { members, guarantee: undefined }, now)
      decisions.push({ type: 'start', id: job.id, members })
    } else if (rule !== undefined) {
      current = { ...current, waiting: dequeue(current.waiting, job.id) }
      decisions.push({ type: 'refuse', id: job.id, rule })
    } else if (rules.blocks) {
      break
    } else {
      skipped.add(queue.key)
    }
  }
  return { state: current, decisions }
}

function firstQueue (state: ScheduleState, rules: BaselineRules, skipped: ReadonlySet<string>): Queue | undefined {
  let best: Queue | undefined
  for (const queue of state.waiting.queues.values()) {
    if (skipped.has(queue.key)) continue
    if (best === undefined || rules.comesFirst(state, firstJob(queue), firstJob(best))) best = queue
  }
  return best
}

function admitBaseline (state: ScheduleState, job: Job): Admission {
  const rule = infeasibilityReason(state, job)
  return rule === undefined ? { admitted: true } : { admitted: false, code: 'impossible-shape', rule, retryAfterMilliseconds: 0 }
}
