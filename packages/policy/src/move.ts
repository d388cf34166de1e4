/**
 * Moving an idle guarantee: its place may change as long as it still is outside
 * the other guarantees and outside work that cannot be reclaimed. A claim uses
 * this to meet the borrowers that lose the least.
 */
import { addAmount, NO_AMOUNT, type Amount } from './amount.js'
import { allServers, enter, isOpen, type Server } from './capacity.js'
import { bisect } from './bisect.js'
import { replaceHold, type Hold } from './guarantee.js'
import { place, spotsOf } from './placement.js'
import { pinnableAmount } from './room.js'
import type { Site } from './running.js'
import type { Job } from './scheduler.js'
import type { ScheduleState } from './state.js'
import { lostWork } from './victim.js'

/** The cheapest other place of an idle guarantee, if there is one; at most one. */
export function movedSites (state: ScheduleState, job: Job, home: Site, now: number): readonly Site[] {
  const hold = holdOf(state, home)
  if (hold === undefined || hold.occupants.length > 0 || home.members !== hold.members) return []
  const costs = new Map(allServers(state.capacity).map(server => [server.description.name, costOf(state, server, now)]))
  const levels = [...new Set(costs.values())].sort((first, second) => first - second)
  const search = (level: number): Site | undefined => {
    const isAffordable = (server: Server): boolean => (costs.get(server.description.name) as number) <= level
    const room = (server: Server): Amount => isAffordable(server) ? movableRoom(server, hold) : NO_AMOUNT
    const members = place(spotsOf(state.capacity, room), job.shape, 'best-fit')
    return members === undefined ? undefined : { members, hold: hold.id }
  }
  const found = bisect(levels, search)
  return found === undefined ? [] : [found]
}

function holdOf (state: ScheduleState, site: Site): Hold | undefined {
  return site.hold === undefined ? undefined : state.guarantees.holds.get(site.hold)
}

/** What stopping everything reclaimable there would lose. */
function costOf (state: ScheduleState, server: Server, now: number): number {
  let cost = 0
  for (const task of server.tasks) {
    if (task.grade === 'reclaimable' && !task.stopping) cost += lostWork(state, task.id, now)
  }
  return cost
}

function movableRoom (server: Server, hold: Hold): Amount {
  if (!isOpen(server)) return NO_AMOUNT
  const own = hold.members.filter(member => member.server === server.description.name)
  const room = addAmount(addAmount(pinnableAmount(server), server.claimed, -1), server.closed, -1)
  return own.reduce<Amount>((sum, member) => addAmount(sum, member), room)
}

/** The state with an idle guarantee moved to this site. */
export function moveHold (state: ScheduleState, site: Site): ScheduleState {
  const hold = holdOf(state, site)
  if (hold === undefined) return state
  const without = enter(state.capacity, 'guaranteed', hold.members, -1)
  return {
    ...state,
    capacity: enter(without, 'guaranteed', site.members, 1),
    guarantees: replaceHold(state.guarantees, { ...hold, members: site.members })
  }
}
