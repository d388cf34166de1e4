/**
 * Reservations: a gang that can't be placed gets members set aside, those expected to
 * be free earliest. From then on only preemptible jobs are backfilled on them, so
 * backfilling delays the gang by one preemption at most, however wrong the declared run
 * times of the backfilled jobs are. Urgent work may still use the members until all
 * other work there has ended; then the reservation becomes exclusive.
 */
import type { PlacementMember } from '@cornelgauge/model'
import { addAmount, coversAmount, NO_AMOUNT, type Amount } from './amount.js'
import { bisect } from './bisect.js'
import { addAllocation, findServer, isOpen, type Server, type Task } from './capacity.js'
import { openClaim, type Step } from './claim.js'
import { keepsHeadroom } from './headroom.js'
import { place, roomByRack } from './placement.js'
import { arrivesBefore, firstJob, queueKey } from './queue.js'
import { freeAmount, pinnableAmount } from './room.js'
import { dropReservation } from './running.js'
import type { Job } from './interface.js'
import { isReclaimable, orderOf, type Reservation, type ScheduleState } from './state.js'
import { chooseVictims } from './victim.js'

/** The first search horizon; each further one is twice as long. */
const FIRST_HORIZON_MILLISECONDS = 1000
const HORIZONS = 32
const EARLIER_HORIZONS = Array.from({ length: HORIZONS }, (_, horizon) => horizon)

/** True if a job's shape is so large that smaller jobs could starve it. */
export function needsReservation (job: Job): boolean {
  return job.shape.accelerators > 0 || job.shape.slots > 1
}

/** True if a job of this kind already has a reservation. */
export function hasReservation (state: ScheduleState, job: Job): boolean {
  return state.reservations.some(reservation => reservation.job.kind === job.kind)
}

/** Reserves members for a job; returns the state unchanged if no members will ever be free. */
export function reserve (state: ScheduleState, job: Job, now: number): ScheduleState {
  const found = findEarliestMembers(state, job, now)
  if (found === undefined) return state
  const reservation: Reservation = { job, members: found.members, startSequence: state.startCount, expectedAt: found.expectedAt, exclusive: false }
  return {
    ...state,
    capacity: addAllocation(state.capacity, 'reserved', found.members, 1),
    reservations: state.reservations.set(job.id, reservation)
  }
}

interface EarliestMembers {
  readonly members: readonly PlacementMember[]
  readonly expectedAt: number
}

/**
 * Finds the members expected to be free earliest, by a binary search over horizons: the
 * later the horizon, the more capacity is expected to be free.
 */
function findEarliestMembers (state: ScheduleState, job: Job, now: number): EarliestMembers | undefined {
  const isPinned = !isReclaimable(state, job)
  const search = (horizon: number): EarliestMembers | undefined => {
    const expectedAt = horizon === HORIZONS ? Infinity : now + FIRST_HORIZON_MILLISECONDS * 2 ** horizon
    const members = place(roomByRack(state.capacity, server => expectedRoom(server, expectedAt, isPinned)), job.shape, 'best-fit')
    return members === undefined ? undefined : { members, expectedAt }
  }
  const latest = search(HORIZONS)
  return latest === undefined ? undefined : bisect(EARLIER_HORIZONS, search) ?? latest
}

function expectedRoom (server: Server, time: number, isPinned: boolean): Amount {
  if (!isOpen(server)) return NO_AMOUNT
  let room = addAmount(server.description, server.reserved, -1)
  if (isPinned) room = addAmount(room, server.guaranteed, -1)
  for (const task of server.tasks) {
    const isCounted = !isPinned || task.preemptionClass === 'pinned'
    if (isCounted && task.expectedEnd > time) room = addAmount(room, task, -1)
  }
  return room
}

/** Turns each reservation whose members are free, except for backfilled jobs, into a claim. */
export function claimReadyReservations (state: ScheduleState, now: number): Step {
  const decisions: Step['decisions'][number][] = []
  let current = state
  const reservations = [...state.reservations.values()]
    .sort((first, second) => orderOf(state, first.job.kind) - orderOf(state, second.job.kind))
  for (const reservation of reservations) {
    if (isSuperseded(current, reservation)) {
      current = dropReservation(current, reservation.job.id)
      continue
    }
    const step = claimIfReady(admitUrgentAgain(current, reservation, now), reservation, now)
    current = step.state
    decisions.push(...step.decisions)
  }
  return { state: current, decisions }
}

/** True if an earlier job of the same queue has been queued again, and has to be served first. */
function isSuperseded (state: ScheduleState, { job }: Reservation): boolean {
  const queue = state.waiting.queues.get(queueKey(job))
  if (queue === undefined) return false
  const first = firstJob(queue)
  return first.id !== job.id && !state.claims.has(first.id) && arrivesBefore(first, job)
}

function claimIfReady (state: ScheduleState, reservation: Reservation, now: number): Step {
  const { job, members, startSequence } = reservation
  const isBackfill = (task: Task): boolean => task.startSequence >= startSequence
  if (!respectsGuarantees(state, reservation)) return { state: makeExclusive(state, reservation, now), decisions: [] }
  const victims = chooseVictims(state, members, isBackfill, now)
  if (victims === undefined) return { state: makeExclusive(state, reservation, now), decisions: [] }
  const { state: claimed, decisions } = openClaim(dropReservation(state, job.id), job, { members, guarantee: undefined }, victims, 'a reserved gang starts', now)
  return keepsHeadroom(claimed, job, now) ? { state: claimed, decisions } : { state, decisions: [] }
}

/** True unless a job that can't be preempted would run inside guarantees of other workspaces. */
function respectsGuarantees (state: ScheduleState, { job, members }: Reservation): boolean {
  if (isReclaimable(state, job)) return true
  return members.every(member => {
    const server = findServer(state.capacity, member.server)
    return server !== undefined && coversAmount(pinnableAmount(server), member)
  })
}

/**
 * Makes a reservation exclusive once only urgent jobs occupy its members: no new ones
 * start there, and the running ones, which are short, end by themselves.
 */
function makeExclusive (state: ScheduleState, reservation: Reservation, now: number): ScheduleState {
  if (state.reservations.get(reservation.job.id)?.exclusive !== false) return state
  const isOnlyUrgentLeft = reservation.members.every(member => {
    const server = findServer(state.capacity, member.server)
    return server !== undefined && coversAmount(roomIgnoringUrgent(state, server, reservation.startSequence), member)
  })
  if (!isOnlyUrgentLeft) return state
  const exclusive = {
    ...state,
    capacity: addAllocation(state.capacity, 'exclusive', reservation.members, 1),
    reservations: state.reservations.set(reservation.job.id, { ...reservation, exclusive: true })
  }
  return keepsHeadroom(exclusive, reservation.job, now) ? exclusive : state
}

/** Lets urgent work use an exclusive reservation again if it needs that capacity as headroom. */
function admitUrgentAgain (state: ScheduleState, reservation: Reservation, now: number): ScheduleState {
  if (!reservation.exclusive || keepsHeadroom(state, reservation.job, now)) return state
  return {
    ...state,
    capacity: addAllocation(state.capacity, 'exclusive', reservation.members, -1),
    reservations: state.reservations.set(reservation.job.id, { ...reservation, exclusive: false })
  }
}

function roomIgnoringUrgent (state: ScheduleState, server: Server, startSequence: number): Amount {
  let room = freeAmount(server)
  for (const task of server.tasks) {
    const kind = state.running.get(task.id)?.job.kind
    const isUrgent = kind !== undefined && state.directory.kinds.get(kind)?.urgent === true
    const isBackfill = task.preemptionClass === 'reclaimable' && task.startSequence >= startSequence
    if (isUrgent || isBackfill) room = addAmount(room, task)
  }
  return room
}
