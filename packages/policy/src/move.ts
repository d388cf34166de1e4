/**
 * Moving an idle guarantee. Its members may change as long as they are outside other
 * guarantees and outside jobs that can't be preempted. A claim moves a guarantee to
 * the members on which preemption loses the least work.
 */
import { addAmount, NO_AMOUNT, type Amount } from './amount.js'
import { addAllocation, allServers, isOpen, type Server } from './capacity.js'
import { bisect } from './bisect.js'
import { replaceGuarantee, type Guarantee } from './guarantee.js'
import { place, roomByRack } from './placement.js'
import { pinnableAmount } from './room.js'
import type { Site } from './running.js'
import type { Job } from './interface.js'
import type { ScheduleState } from './state.js'
import { lostWork } from './victim.js'

/** Returns the site with the cheapest preemptions to which an idle guarantee can move; a list of at most one. */
export function movedSites (state: ScheduleState, job: Job, current: Site, now: number): readonly Site[] {
  const guarantee = guaranteeOf(state, current)
  if (guarantee === undefined || guarantee.occupants.length > 0 || current.members !== guarantee.members) return []
  const costs = new Map(allServers(state.capacity).map(server => [server.description.name, preemptionCost(state, server, now)]))
  const levels = [...new Set(costs.values())].sort((first, second) => first - second)
  const search = (level: number): Site | undefined => {
    const isAffordable = (server: Server): boolean => (costs.get(server.description.name) as number) <= level
    const room = (server: Server): Amount => isAffordable(server) ? movableRoom(server, guarantee) : NO_AMOUNT
    const members = place(roomByRack(state.capacity, room), job.shape, 'best-fit')
    return members === undefined ? undefined : { members, guarantee: guarantee.id }
  }
  const found = bisect(levels, search)
  return found === undefined ? [] : [found]
}

function guaranteeOf (state: ScheduleState, site: Site): Guarantee | undefined {
  return site.guarantee === undefined ? undefined : state.guarantees.byId.get(site.guarantee)
}

/** Returns the work lost if all reclaimable tasks of a backend server were stopped. */
function preemptionCost (state: ScheduleState, server: Server, now: number): number {
  let cost = 0
  for (const task of server.tasks) {
    if (task.preemptionClass === 'reclaimable' && !task.stopping) cost += lostWork(state, task.id, now)
  }
  return cost
}

function movableRoom (server: Server, guarantee: Guarantee): Amount {
  if (!isOpen(server)) return NO_AMOUNT
  const own = guarantee.members.filter(member => member.server === server.description.name)
  const room = addAmount(addAmount(pinnableAmount(server), server.claimed, -1), server.exclusive, -1)
  return own.reduce<Amount>((sum, member) => addAmount(sum, member), room)
}

/** Moves an idle guarantee to a site. */
export function moveGuarantee (state: ScheduleState, site: Site): ScheduleState {
  const guarantee = guaranteeOf(state, site)
  if (guarantee === undefined) return state
  const withoutGuarantee = addAllocation(state.capacity, 'guaranteed', guarantee.members, -1)
  return {
    ...state,
    capacity: addAllocation(withoutGuarantee, 'guaranteed', site.members, 1),
    guarantees: replaceGuarantee(state.guarantees, { ...guarantee, members: site.members })
  }
}
