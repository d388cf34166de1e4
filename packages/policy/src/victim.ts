/** Selection of preemption victims: the running jobs to stop for a claim, such that little work is lost. */
import type { PlacementMember, RequestId } from '@cornelgauge/model'
import { addAmount, coversAmount, sumAmounts, type Amount } from './amount.js'
import { compareNames, findServer, isOpen, type Server, type Task } from './capacity.js'
import { freeAmount } from './room.js'
import { amountOf, type ScheduleState } from './state.js'

/**
 * Upper bound of the work that is lost if a checkpointable job is preempted: the cost
 * of a checkpoint and a restart.
 */
const CHECKPOINT_MILLISECONDS = 1000

/** Jobs to stop, and the work that this loses, in milliseconds times the sum of slots and accelerators. */
export interface Victims {
  readonly ids: readonly RequestId[]
  readonly lostWork: number
}

/** Returns true if a task may be preempted. */
export type Eligible = (task: Task) => boolean

/** Returns the work that is lost if a job is stopped now. */
export function lostWork (state: ScheduleState, id: RequestId, now: number): number {
  const running = state.running.get(id)
  if (running === undefined) return 0
  const elapsed = now - running.startedAt
  const isCheckpointable = state.directory.kinds.get(running.job.kind)?.checkpointable === true
  const lost = isCheckpointable ? Math.min(elapsed, CHECKPOINT_MILLISECONDS) : elapsed
  const { slots, accelerators } = amountOf(running.members)
  return lost * (slots + accelerators)
}

/**
 * Chooses the jobs to stop so that all members fit beside the existing claims. Returns
 * `undefined` if they would not fit even if every eligible job were stopped.
 */
export function chooseVictims (state: ScheduleState, members: readonly PlacementMember[], eligible: Eligible, now: number): Victims | undefined {
  const chosen = new Set<RequestId>()
  for (const member of members) {
    const server = findServer(state.capacity, member.server)
    if (server === undefined || !isOpen(server)) return undefined
    const required = addAmount(server.claimed, member)
    const candidates = server.tasks.filter(task => !task.stopping && !chosen.has(task.id) && isEligible(task, eligible))
      .map(task => ({ task, lost: lostWork(state, task.id, now) }))
      .sort((first, second) => first.lost - second.lost || compareNames(first.task.id, second.task.id))
    for (const { task } of candidates) {
      if (coversAmount(freeAfterStopping(server, chosen), required)) break
      if (addsMissingCapacity(server, chosen, required, task)) chosen.add(task.id)
    }
    if (!coversAmount(freeAfterStopping(server, chosen), required)) return undefined
  }
  const ids = [...chosen].sort(compareNames)
  return { ids, lostWork: ids.reduce((sum, id) => sum + lostWork(state, id, now), 0) }
}

function isEligible (task: Task, eligible: Eligible): boolean {
  return task.preemptionClass === 'reclaimable' && eligible(task)
}

function freeAfterStopping (server: Server, chosen: ReadonlySet<RequestId>): Amount {
  const stopped = sumAmounts(server.tasks.filter(task => !task.stopping && chosen.has(task.id)))
  return addAmount(addAmount(freeAmount(server), server.stopping), stopped)
}

/** True if stopping a task frees some of a resource that is still missing. */
function addsMissingCapacity (server: Server, chosen: ReadonlySet<RequestId>, required: Amount, task: Task): boolean {
  const free = freeAfterStopping(server, chosen)
  return (free.slots < required.slots && task.slots > 0) ||
    (free.accelerators < required.accelerators && task.accelerators > 0)
}
