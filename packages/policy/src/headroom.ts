/**
 * Slots kept free for urgent work, so that it never queues behind long work. Their
 * number follows from how unevenly urgent work has arrived and how long it runs.
 */
import type { Job } from './scheduler.js'
import { pinnedRoom, urgentRoom, type Room } from './room.js'
import { isBelowShare } from './sharing.js'
import { usageOf, type ScheduleState } from './state.js'
import { advanceArrivals, meanDuration, neededSlots, NO_DURATIONS } from './statistics.js'

const HEADROOM_DEVIATIONS = 3

/** Slots that urgent work needs beyond those it holds. */
function wantedHeadroom (state: ScheduleState, now: number): number {
  let wanted = 0
  for (const kind of state.settings.kinds) {
    const arrivals = state.arrivals.get(kind.name)
    if (!kind.urgent || arrivals === undefined) continue
    const mean = meanDuration(state.durations.get(kind.name) ?? NO_DURATIONS, 0)
    const needed = neededSlots(advanceArrivals(arrivals, now), mean, HEADROOM_DEVIATIONS)
    wanted += Math.max(0, needed - usageOf(state, kind.name).slots)
  }
  return Math.ceil(wanted)
}

/** Slots that urgent work could have at once; outside of reservations, with `pinnedRoom`. */
function freeHeadroom (state: ScheduleState, room: Room): number {
  let free = 0
  for (const rack of state.capacity.racks) {
    for (const server of rack.servers) free += Math.max(0, room(server).slots)
  }
  return free
}

/** Whether a state in which this job has its capacity leaves urgent work what it needs. */
export function keepsHeadroom (state: ScheduleState, job: Job, now: number): boolean {
  return !mustKeepHeadroom(state, job) || hasHeadroom(state, now)
}

/** The same for a job without a reservation, which leaves the headroom free outside of those of others. */
export function keepsHeadroomBeside (state: ScheduleState, job: Job, now: number): boolean {
  return !mustKeepHeadroom(state, job) || freeHeadroom(state, pinnedRoom) >= wantedHeadroom(state, now)
}

/** Whether urgent work could have at once what its arrivals make likely. */
export function hasHeadroom (state: ScheduleState, now: number): boolean {
  return freeHeadroom(state, urgentRoom) >= wantedHeadroom(state, now)
}

/** Whether a job is bound to leave the headroom free: not where it is urgent itself, or owed its minimum share. */
function mustKeepHeadroom (state: ScheduleState, job: Job): boolean {
  return state.directory.kinds.get(job.kind)?.urgent !== true && !isBelowShare(state, job.kind)
}
