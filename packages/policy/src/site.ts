/** The search for a site where a waiting job can start now, or for a guarantee that it can claim. */
import type { PlacementMember } from '@cornelgauge/model'
import { addAmount, coversAmount, minimumAmount, NO_AMOUNT, type Amount } from './amount.js'
import { findServer, type Server } from './capacity.js'
import { isSameShape, type Guarantee } from './guarantee.js'
import { freeRoomByRack, place, type RackRoom } from './placement.js'
import { nonUrgentRoom, pinnedRoom, reclaimableRoom, unguaranteedRoom, unreservedRoom, urgentRoom, type RoomView } from './room.js'
import type { Site } from './running.js'
import type { Job } from './interface.js'
import { isReclaimable, type ScheduleState } from './state.js'

/**
 * Returns the site where a job can start now. It tries, in this order: an idle
 * guarantee of the same shape, capacity outside guarantees and reservations, part of
 * a guarantee of the job's workspace, and for reclaimable jobs any free capacity. If
 * no capacity outside guarantees is left for the shape, only guarantees of the workspace
 * are tried.
 */
export function findSite (state: ScheduleState, job: Job, hasNoOtherRoom: boolean): Site | undefined {
  const guarantees = guaranteesFor(state, job)
  if (hasNoOtherRoom) return exactGuaranteeSite(state, job, guarantees) ?? partialGuaranteeSite(state, job, guarantees)
  return exactGuaranteeSite(state, job, guarantees) ?? siteInRoom(state, job, isReclaimable(state, job) ? unguaranteedRoom : pinnedRoom) ??
    partialGuaranteeSite(state, job, guarantees) ?? fallbackSite(state, job)
}

/**
 * Reclaimable jobs may borrow idle guarantees; urgent jobs may use reserved capacity
 * unless the reservation is exclusive.
 */
function fallbackSite (state: ScheduleState, job: Job): Site | undefined {
  if (isReclaimable(state, job)) return siteInRoom(state, job, hasReservedPeer(state, job) ? unreservedRoom : reclaimableRoom)
  const isUrgent = state.directory.kinds.get(job.kind)?.urgent === true
  return isUrgent && state.reservations.size > 0 ? siteInRoom(state, job, urgentRoom) : undefined
}

/** Returns a site for a reclaimable job that uses no slot which urgent work could use. */
export function findNonUrgentSite (state: ScheduleState, job: Job): Site | undefined {
  return isReclaimable(state, job) ? siteInRoom(state, job, nonUrgentRoom) : undefined
}

/**
 * True if a job of the same kind and shape has a reservation. A job started on that
 * reserved capacity would be preempted as soon as the reserved job can start.
 */
function hasReservedPeer (state: ScheduleState, { kind, shape }: Job): boolean {
  return state.reservations.some(({ job }) => job.kind === kind && isSameShape(job.shape, shape))
}

function siteInRoom (state: ScheduleState, job: Job, room: RoomView): Site | undefined {
  const members = place(freeRoomByRack(state.capacity, job.shape, room), job.shape, 'best-fit')
  return members === undefined ? undefined : { members, guarantee: undefined }
}

/** Returns the guarantees of a job's workspace that its shape could use. */
export function guaranteesFor (state: ScheduleState, job: Job): readonly Guarantee[] {
  const ids = state.guarantees.byWorkspace.get(job.workspace) ?? []
  const needsAccelerators = job.shape.accelerators > 0
  return ids.map(id => state.guarantees.byId.get(id) as Guarantee)
    .filter(guarantee => (guarantee.shape.accelerators > 0) === needsAccelerators)
}

function isExact (guarantee: Guarantee, job: Job): boolean {
  return guarantee.occupants.length === 0 && isSameShape(guarantee.shape, job.shape)
}

function isFree (state: ScheduleState, members: readonly PlacementMember[]): boolean {
  return members.every(member => {
    const server = findServer(state.capacity, member.server)
    return server !== undefined && coversAmount(reclaimableRoom(server), member)
  })
}

function exactGuaranteeSite (state: ScheduleState, job: Job, guarantees: readonly Guarantee[]): Site | undefined {
  const guarantee = guarantees.find(candidate => isExact(candidate, job) && !isClaimed(state, candidate) && isFree(state, candidate.members))
  return guarantee === undefined ? undefined : { members: guarantee.members, guarantee: guarantee.id }
}

/** Prefers a partly used guarantee to an idle one, so that idle ones stay available for jobs of their full shape. */
function partialGuaranteeSite (state: ScheduleState, job: Job, guarantees: readonly Guarantee[]): Site | undefined {
  for (const guarantee of partlyUsedFirst(guarantees)) {
    const members = place(unusedRoom(state, guarantee, reclaimableRoom), job.shape, 'best-fit')
    if (members !== undefined) return { members, guarantee: guarantee.id }
  }
  return undefined
}

function partlyUsedFirst (guarantees: readonly Guarantee[]): readonly Guarantee[] {
  return [...guarantees].sort((first, second) => Number(second.occupants.length > 0) - Number(first.occupants.length > 0))
}

function isClaimed (state: ScheduleState, guarantee: Guarantee): boolean {
  return state.claims.some(claim => claim.guarantee === guarantee.id)
}

/** Returns the part of a guarantee that no occupant or claim uses, limited by `room` if that is given. */
function unusedRoom (state: ScheduleState, guarantee: Guarantee, room: RoomView | undefined): readonly RackRoom[] {
  const taken = occupiedAmounts(state, guarantee)
  const racks = new Map<number, RackRoom & { servers: Array<RackRoom['servers'][number]> }>()
  for (const member of guarantee.members) {
    const server = findServer(state.capacity, member.server) as Server
    const left = addAmount(member, taken.get(member.server) ?? NO_AMOUNT, -1)
    const { slots, accelerators } = room === undefined ? left : minimumAmount(left, room(server))
    const { rackPosition: position } = server.description
    const rack = racks.get(position) ?? { position, servers: [] }
    rack.servers.push({ server: member.server, slots, accelerators })
    racks.set(position, rack)
  }
  return [...racks.values()].sort((first, second) => first.position - second.position)
}

function occupiedAmounts (state: ScheduleState, guarantee: Guarantee): ReadonlyMap<string, Amount> {
  const taken = new Map<string, Amount>()
  const claims = [...state.claims.values()].filter(claim => claim.guarantee === guarantee.id)
  const members = [
    ...guarantee.occupants.flatMap(id => state.running.get(id)?.members ?? []),
    ...claims.flatMap(claim => claim.members)
  ]
  for (const member of members) taken.set(member.server, addAmount(taken.get(member.server) ?? NO_AMOUNT, member))
  return taken
}

/** Returns the sites that a job could claim in its workspace's guarantees, whether or not they are lent at present. */
export function claimableSites (state: ScheduleState, job: Job): readonly Site[] {
  return partlyUsedFirst(guaranteesFor(state, job)).flatMap(guarantee => {
    if (isExact(guarantee, job) && !isClaimed(state, guarantee)) return [{ members: guarantee.members, guarantee: guarantee.id }]
    const members = place(unusedRoom(state, guarantee, undefined), job.shape, 'best-fit')
    return members === undefined ? [] : [{ members, guarantee: guarantee.id }]
  })
}
