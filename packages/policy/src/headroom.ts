/**
 * Headroom: slots kept free for urgent work, so that it doesn't queue behind long
 * jobs. Their number is computed from the rate and variance of urgent arrivals and
 * from the mean run time.
 */
import type { Job } from './interface.js'
import { pinnedRoom, urgentRoom, type RoomView } from './room.js'
import { isBelowShare } from './sharing.js'
import { usageOf, type ScheduleState } from './state.js'
import { advanceArrivals, meanDuration, neededSlots, NO_DURATIONS } from './statistics.js'

const HEADROOM_STANDARD_DEVIATIONS = 3

/** Returns the slots that urgent work needs beyond those it already uses. */
function requiredHeadroom (state: ScheduleState, now: number): number {
  let headroom = 0
  for (const kind of state.settings.kinds) {
    const arrivals = state.arrivals.get(kind.name)
    if (!kind.urgent || arrivals === undefined) continue
    const mean = meanDuration(state.durations.get(kind.name) ?? NO_DURATIONS, 0)
    const needed = neededSlots(advanceArrivals(arrivals, now), mean, HEADROOM_STANDARD_DEVIATIONS)
    headroom += Math.max(0, needed - usageOf(state, kind.name).slots)
  }
  return Math.ceil(headroom)
}

/**
 * Returns the free slots in a view: with `urgentRoom` all that urgent work could use
 * now, with `pinnedRoom` only those outside of reservations.
 */
function availableHeadroom (state: ScheduleState, room: RoomView): number {
  let free = 0
  for (const rack of state.capacity.racks) {
    for (const server of rack.servers) free += Math.max(0, room(server).slots)
  }
  return free
}

/**
 * True if the headroom is kept in `state`, in which the job already has its capacity,
 * or if the job need not keep it.
 */
export function keepsHeadroom (state: ScheduleState, job: Job, now: number): boolean {
  return !mustKeepHeadroom(state, job) || hasHeadroom(state, now)
}

/**
 * The same for a job without a reservation, which has to keep the headroom free outside
 * of other jobs' reservations.
 */
export function keepsUnreservedHeadroom (state: ScheduleState, job: Job, now: number): boolean {
  return !mustKeepHeadroom(state, job) || availableHeadroom(state, pinnedRoom) >= requiredHeadroom(state, now)
}

/** True if the slots that urgent work is likely to need are available to it now. */
export function hasHeadroom (state: ScheduleState, now: number): boolean {
  return availableHeadroom(state, urgentRoom) >= requiredHeadroom(state, now)
}

/** True if a job has to leave the headroom free; urgent jobs and kinds below their minimum share are exempt. */
function mustKeepHeadroom (state: ScheduleState, job: Job): boolean {
  return state.directory.kinds.get(job.kind)?.urgent !== true && !isBelowShare(state, job.kind)
}
