/** The choice of running jobs to stop for a claim: those that lose the least work. */
import type { Member, RequestId } from '@cornelgauge/model'
import { addAmount, holdsAmount, sumAmounts, type Amount } from './amount.js'
import { compareNames, findServer, isOpen, type Server, type Task } from './capacity.js'
import { freeAmount } from './room.js'
import { amountOf, type ScheduleState } from './state.js'

/** Work that a checkpoint and a later restart cost. */
const CHECKPOINT_MILLISECONDS = 1000

/** Jobs to stop, and the work that is lost with them, in milliseconds times slots and accelerators. */
export interface Victims {
  readonly ids: readonly RequestId[]
  readonly lostWork: number
}

/** Whether this task may be stopped. */
export type Eligible = (task: Task) => boolean

/** The work lost when a job is stopped now. */
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
 * The jobs to stop so that all members have room beside what is claimed already;
 * `undefined` where stopping every eligible one would not do.
 */
export function chooseVictims (state: ScheduleState, members: readonly Member[], eligible: Eligible, now: number): Victims | undefined {
  const chosen = new Set<RequestId>()
  for (const member of members) {
    const server = findServer(state.capacity, member.server)
    if (server === undefined || !isOpen(server)) return undefined
    const wanted = addAmount(server.claimed, member)
    const others = server.tasks.filter(task => !task.stopping && !chosen.has(task.id) && isEligible(task, eligible))
      .map(task => ({ task, lost: lostWork(state, task.id, now) }))
      .sort((first, second) => first.lost - second.lost || compareNames(first.task.id, second.task.id))
    for (const { task } of others) {
      if (holdsAmount(comingFree(server, chosen), wanted)) break
      if (helps(server, chosen, wanted, task)) chosen.add(task.id)
    }
    if (!holdsAmount(comingFree(server, chosen), wanted)) return undefined
  }
  const ids = [...chosen].sort(compareNames)
  return { ids, lostWork: ids.reduce((sum, id) => sum + lostWork(state, id, now), 0) }
}

function isEligible (task: Task, eligible: Eligible): boolean {
  return task.grade === 'reclaimable' && eligible(task)
}

function comingFree (server: Server, chosen: ReadonlySet<RequestId>): Amount {
  const stopped = sumAmounts(server.tasks.filter(task => !task.stopping && chosen.has(task.id)))
  return addAmount(addAmount(freeAmount(server), server.stopping), stopped)
}

/** A task that only gives what is there already is left alone. */
function helps (server: Server, chosen: ReadonlySet<RequestId>, wanted: Amount, task: Task): boolean {
  const free = comingFree(server, chosen)
  return (free.slots < wanted.slots && task.slots > 0) ||
    (free.accelerators < wanted.accelerators && task.accelerators > 0)
}
