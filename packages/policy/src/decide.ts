/** The decisions: which waiting jobs start where, and which can never run. */
import type { KindName } from '@cornelgauge/model'
import { freeAmount } from './capacity.js'
import { startJob } from './change.js'
import { place, spotsOf } from './placement.js'
import { forbiddingRule } from './possibility.js'
import { arrivesBefore, dequeue, firstJobs } from './queue.js'
import type { Decision, Job, Plan, PolicyState } from './scheduler.js'
import { inside, type ScheduleState } from './state.js'

/** How many jobs of one queue are looked at in one decision. */
const QUEUE_DEPTH = 32

/**
 * What to do now. The plan's state counts each `start` as running at once, so that
 * a later call never gives the same capacity twice; the owner confirms by
 * `job-started`, which changes nothing, or takes a start that failed back by
 * `job-ended` and `job-arrived`. A refused job is out of the queue at once.
 *
 * @example
 * const { state, decisions } = decide(before, 1000)
 */
export function decide (state: PolicyState, now: number): Plan {
  let current = inside(state)
  const decisions: Decision[] = []
  for (const kind of current.settings.kinds) {
    for (const job of waitingOfKind(current, kind.name)) {
      const members = place(spotsOf(current.capacity, freeAmount), job.shape, 'best-fit')
      if (members !== undefined) {
        current = startJob(current, job, members, now)
        decisions.push({ type: 'start', id: job.id, members })
        continue
      }
      const rule = forbiddingRule(current, job.shape)
      if (rule === undefined) continue
      current = { ...current, waiting: dequeue(current.waiting, job.id) }
      decisions.push({ type: 'refuse', id: job.id, rule })
    }
  }
  return { state: current, decisions }
}

function waitingOfKind (state: ScheduleState, kind: KindName): readonly Job[] {
  const found: Job[] = []
  for (const queue of state.waiting.queues.values()) {
    if (queue.kind === kind) found.push(...firstJobs(state.waiting, queue, QUEUE_DEPTH))
  }
  return found.sort((first, second) => arrivesBefore(first, second) ? -1 : 1)
}
