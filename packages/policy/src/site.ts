/** Where a waiting job could start at once, and which guarantee it could claim. */
import type { Member } from '@cornelgauge/model'
import { addAmount, holdsAmount, leastAmount, NO_AMOUNT, type Amount } from './amount.js'
import { findServer, type Server } from './capacity.js'
import { isSameShape, type Hold } from './guarantee.js'
import { freeSpotsOf, place, type SpotRack } from './placement.js'
import { commonRoom, lentRoom, pinnedRoom, reclaimableRoom, unreservedRoom, urgentRoom, type Room } from './room.js'
import type { Site } from './running.js'
import type { Job } from './scheduler.js'
import { isReclaimable, type ScheduleState } from './state.js'

/**
 * The site where a job can start at once. In this order: an idle guarantee of the
 * very shape, capacity outside guarantees and reservations, part of an own
 * guarantee, and for what can be reclaimed any free capacity. Where the rest is
 * known to be full, only the guarantees are looked at.
 */
export function findSite (state: ScheduleState, job: Job, isFull: boolean): Site | undefined {
  const holds = holdsFor(state, job)
  if (isFull) return exactHoldSite(state, job, holds) ?? partHoldSite(state, job, holds)
  return exactHoldSite(state, job, holds) ?? roomSite(state, job, isReclaimable(state, job) ? commonRoom : pinnedRoom) ??
    partHoldSite(state, job, holds) ?? lastSite(state, job)
}

/** What can be reclaimed may borrow; urgent work passes reservations that are not closed. */
function lastSite (state: ScheduleState, job: Job): Site | undefined {
  if (isReclaimable(state, job)) return roomSite(state, job, isBehindItsLike(state, job) ? unreservedRoom : reclaimableRoom)
  const isUrgent = state.directory.kinds.get(job.kind)?.urgent === true
  return isUrgent && state.reservations.size > 0 ? roomSite(state, job, urgentRoom) : undefined
}

/** The site where a job that can be reclaimed takes nothing that urgent work could use. */
export function findLentSite (state: ScheduleState, job: Job): Site | undefined {
  return isReclaimable(state, job) ? roomSite(state, job, lentRoom) : undefined
}

/** True where a job of the same kind and shape has a reservation, which this one would only be stopped for. */
function isBehindItsLike (state: ScheduleState, { kind, shape }: Job): boolean {
  return state.reservations.some(({ job }) => job.kind === kind && isSameShape(job.shape, shape))
}

function roomSite (state: ScheduleState, job: Job, room: Room): Site | undefined {
  const members = place(freeSpotsOf(state.capacity, job.shape, room), job.shape, 'best-fit')
  return members === undefined ? undefined : { members, hold: undefined }
}

/** The guarantees of a job's workspace that its shape could use. */
export function holdsFor (state: ScheduleState, job: Job): readonly Hold[] {
  const ids = state.guarantees.byWorkspace.get(job.workspace) ?? []
  const needsAccelerators = job.shape.accelerators > 0
  return ids.map(id => state.guarantees.holds.get(id) as Hold)
    .filter(hold => (hold.shape.accelerators > 0) === needsAccelerators)
}

function isExact (hold: Hold, job: Job): boolean {
  return hold.occupants.length === 0 && isSameShape(hold.shape, job.shape)
}

function isFree (state: ScheduleState, members: readonly Member[]): boolean {
  return members.every(member => {
    const server = findServer(state.capacity, member.server)
    return server !== undefined && holdsAmount(reclaimableRoom(server), member)
  })
}

function exactHoldSite (state: ScheduleState, job: Job, holds: readonly Hold[]): Site | undefined {
  const hold = holds.find(candidate => isExact(candidate, job) && !isClaimed(state, candidate) && isFree(state, candidate.members))
  return hold === undefined ? undefined : { members: hold.members, hold: hold.id }
}

/** A partly used guarantee before an idle one, so that whole shapes stay whole. */
function partHoldSite (state: ScheduleState, job: Job, holds: readonly Hold[]): Site | undefined {
  for (const hold of usedFirst(holds)) {
    const members = place(holdSpots(state, hold, reclaimableRoom), job.shape, 'best-fit')
    if (members !== undefined) return { members, hold: hold.id }
  }
  return undefined
}

function usedFirst (holds: readonly Hold[]): readonly Hold[] {
  return [...holds].sort((first, second) => Number(second.occupants.length > 0) - Number(first.occupants.length > 0))
}

function isClaimed (state: ScheduleState, hold: Hold): boolean {
  return state.claims.some(claim => claim.hold === hold.id)
}

/** What is left of a guarantee beside its occupants and claims, and no more than `room` where that is given. */
function holdSpots (state: ScheduleState, hold: Hold, room: Room | undefined): readonly SpotRack[] {
  const taken = takenOf(state, hold)
  const racks = new Map<number, SpotRack & { spots: Array<SpotRack['spots'][number]> }>()
  for (const member of hold.members) {
    const server = findServer(state.capacity, member.server) as Server
    const left = addAmount(member, taken.get(member.server) ?? NO_AMOUNT, -1)
    const { slots, accelerators } = room === undefined ? left : leastAmount(left, room(server))
    const { rackPosition: position } = server.description
    const rack = racks.get(position) ?? { position, spots: [] }
    rack.spots.push({ server: member.server, slots, accelerators })
    racks.set(position, rack)
  }
  return [...racks.values()].sort((first, second) => first.position - second.position)
}

function takenOf (state: ScheduleState, hold: Hold): ReadonlyMap<string, Amount> {
  const taken = new Map<string, Amount>()
  const claims = [...state.claims.values()].filter(claim => claim.hold === hold.id)
  const members = [
    ...hold.occupants.flatMap(id => state.running.get(id)?.members ?? []),
    ...claims.flatMap(claim => claim.members)
  ]
  for (const member of members) taken.set(member.server, addAmount(taken.get(member.server) ?? NO_AMOUNT, member))
  return taken
}

/** The members that a job could claim in each of its guarantees, whoever borrows them now. */
export function claimableSites (state: ScheduleState, job: Job): readonly Site[] {
  return usedFirst(holdsFor(state, job)).flatMap(hold => {
    if (isExact(hold, job) && !isClaimed(state, hold)) return [{ members: hold.members, hold: hold.id }]
    const members = place(holdSpots(state, hold, undefined), job.shape, 'best-fit')
    return members === undefined ? [] : [{ members, hold: hold.id }]
  })
}
