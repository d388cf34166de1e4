/**
 * Reservations: a gang that finds no room gets members set aside, those that are
 * expected to be free first. From then on nothing is started on them that cannot
 * be stopped, so what is backfilled delays the gang by a preemption at most,
 * however wrong its declared run time is. Only urgent work of an earlier kind
 * still passes, until everything else has ended there.
 */
import type { Member } from '@cornelgauge/model'
import { addAmount, holdsAmount, NO_AMOUNT, type Amount } from './amount.js'
import { bisect } from './bisect.js'
import { enter, findServer, isOpen, type Server, type Task } from './capacity.js'
import { openClaim, type Step } from './claim.js'
import { keepsHeadroom } from './headroom.js'
import { place, spotsOf } from './placement.js'
import { arrivesBefore, firstJob, queueKey } from './queue.js'
import { freeAmount, pinnableAmount } from './room.js'
import { dropReservation } from './running.js'
import type { Job } from './scheduler.js'
import { isReclaimable, orderOf, type Reservation, type ScheduleState } from './state.js'
import { chooseVictims } from './victim.js'

/** The horizons looked at double from this one. */
const FIRST_HORIZON_MILLISECONDS = 1000
const HORIZONS = 32
const EARLIER_HORIZONS = Array.from({ length: HORIZONS }, (_, horizon) => horizon)

/** True of a shape that small jobs could starve. */
export function needsReservation (job: Job): boolean {
  return job.shape.accelerators > 0 || job.shape.slots > 1
}

/** True where a job of this kind holds a reservation already. */
export function hasReservation (state: ScheduleState, job: Job): boolean {
  return state.reservations.some(reservation => reservation.job.kind === job.kind)
}

/** Sets members aside for a job; the same state where no members will ever be free. */
export function reserve (state: ScheduleState, job: Job, now: number): ScheduleState {
  const found = findEarliest(state, job, now)
  if (found === undefined) return state
  const reservation: Reservation = { job, members: found.members, sequence: state.starts, expectedAt: found.expectedAt, closed: false }
  return {
    ...state,
    capacity: enter(state.capacity, 'reserved', found.members, 1),
    reservations: state.reservations.set(job.id, reservation)
  }
}

interface Found {
  readonly members: readonly Member[]
  readonly expectedAt: number
}

/** Bisects over horizons: more room is expected at a later one. */
function findEarliest (state: ScheduleState, job: Job, now: number): Found | undefined {
  const isPinned = !isReclaimable(state, job)
  const search = (horizon: number): Found | undefined => {
    const expectedAt = horizon === HORIZONS ? Infinity : now + FIRST_HORIZON_MILLISECONDS * 2 ** horizon
    const members = place(spotsOf(state.capacity, server => roomAt(server, expectedAt, isPinned)), job.shape, 'best-fit')
    return members === undefined ? undefined : { members, expectedAt }
  }
  const latest = search(HORIZONS)
  return latest === undefined ? undefined : bisect(EARLIER_HORIZONS, search) ?? latest
}

function roomAt (server: Server, time: number, isPinned: boolean): Amount {
  if (!isOpen(server)) return NO_AMOUNT
  let room = addAmount(server.description, server.reserved, -1)
  if (isPinned) room = addAmount(room, server.guaranteed, -1)
  for (const task of server.tasks) {
    const isOutside = !isPinned || task.grade === 'pinned'
    if (isOutside && task.expectedEnd > time) room = addAmount(room, task, -1)
  }
  return room
}

/** Turns each reservation whose members have come free, but for what was backfilled, into a claim. */
export function ripenReservations (state: ScheduleState, now: number): Step {
  const decisions: Step['decisions'][number][] = []
  let current = state
  const reservations = [...state.reservations.values()]
    .sort((first, second) => orderOf(state, first.job.kind) - orderOf(state, second.job.kind))
  for (const reservation of reservations) {
    if (isOvertaken(current, reservation)) {
      current = dropReservation(current, reservation.job.id)
      continue
    }
    const step = ripen(reopen(current, reservation, now), reservation, now)
    current = step.state
    decisions.push(...step.decisions)
  }
  return { state: current, decisions }
}

/** An earlier job of the same queue has come back, and goes first. */
function isOvertaken (state: ScheduleState, { job }: Reservation): boolean {
  const queue = state.waiting.queues.get(queueKey(job))
  if (queue === undefined) return false
  const first = firstJob(queue)
  return first.id !== job.id && !state.claims.has(first.id) && arrivesBefore(first, job)
}

function ripen (state: ScheduleState, reservation: Reservation, now: number): Step {
  const { job, members, sequence } = reservation
  const isBackfill = (task: Task): boolean => task.sequence >= sequence
  if (!isAllowed(state, reservation)) return { state: closeWhenAlone(state, reservation, now), decisions: [] }
  const victims = chooseVictims(state, members, isBackfill, now)
  if (victims === undefined) return { state: closeWhenAlone(state, reservation, now), decisions: [] }
  const { state: claimed, decisions } = openClaim(dropReservation(state, job.id), job, { members, hold: undefined }, victims, 'a reserved gang starts', now)
  return keepsHeadroom(claimed, job, now) ? { state: claimed, decisions } : { state, decisions: [] }
}

/** Work that cannot be reclaimed has to stay outside the guarantees of others. */
function isAllowed (state: ScheduleState, { job, members }: Reservation): boolean {
  if (isReclaimable(state, job)) return true
  return members.every(member => {
    const server = findServer(state.capacity, member.server)
    return server !== undefined && holdsAmount(pinnableAmount(server), member)
  })
}

/** Once only urgent work stands in the way, it is kept out as well; what runs is short and ends by itself. */
function closeWhenAlone (state: ScheduleState, reservation: Reservation, now: number): ScheduleState {
  if (state.reservations.get(reservation.job.id)?.closed !== false) return state
  const isAlone = reservation.members.every(member => {
    const server = findServer(state.capacity, member.server)
    return server !== undefined && holdsAmount(roomBesideUrgent(state, server, reservation.sequence), member)
  })
  if (!isAlone) return state
  const closed = {
    ...state,
    capacity: enter(state.capacity, 'closed', reservation.members, 1),
    reservations: state.reservations.set(reservation.job.id, { ...reservation, closed: true })
  }
  return keepsHeadroom(closed, reservation.job, now) ? closed : state
}

/** Urgent work is let in again where it has come to need the room. */
function reopen (state: ScheduleState, reservation: Reservation, now: number): ScheduleState {
  if (!reservation.closed || keepsHeadroom(state, reservation.job, now)) return state
  return {
    ...state,
    capacity: enter(state.capacity, 'closed', reservation.members, -1),
    reservations: state.reservations.set(reservation.job.id, { ...reservation, closed: false })
  }
}

function roomBesideUrgent (state: ScheduleState, server: Server, sequence: number): Amount {
  let room = freeAmount(server)
  for (const task of server.tasks) {
    const kind = state.running.get(task.id)?.job.kind
    const isUrgent = kind !== undefined && state.directory.kinds.get(kind)?.urgent === true
    const isBackfill = task.grade === 'reclaimable' && task.sequence >= sequence
    if (isUrgent || isBackfill) room = addAmount(room, task)
  }
  return room
}
