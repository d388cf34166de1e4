/** Running jobs: each start and end as one step that keeps all sums in agreement. */
import type { Member, RequestId } from '@cornelgauge/model'
import { enter, findServer, occupy, release, type Grade } from './capacity.js'
import { layOutGuarantees, replaceHold, type Guarantees } from './guarantee.js'
import { dequeue, shareKey } from './queue.js'
import type { Job, JobOutcome } from './scheduler.js'
import { chargeStart, countStopping, settleEnd } from './sharing.js'
import { expectedDuration, isReclaimable, type RunningJob, type ScheduleState } from './state.js'
import { NO_DURATIONS, recordDuration } from './statistics.js'

/** Where a job starts: its members, and the guarantee they belong to, if they do. */
export interface Site {
  readonly members: readonly Member[]
  readonly hold: string | undefined
}

/** Counts a job as running at a site. */
export function startJob (state: ScheduleState, job: Job, site: Site, at: number): ScheduleState {
  const rest = dropPlans(state, job.id)
  const running: RunningJob = {
    job,
    members: site.members,
    startedAt: at,
    sequence: state.starts,
    expectedMilliseconds: expectedDuration(state, job),
    grade: gradeOf(state, job, site.hold),
    hold: site.hold,
    stopping: false
  }
  return occupyWith({
    ...rest,
    starts: rest.starts + 1,
    waiting: dequeue(rest.waiting, job.id),
    sharing: chargeStart(rest, running)
  }, running)
}

function gradeOf (state: ScheduleState, job: Job, hold: string | undefined): Grade {
  if (hold !== undefined) return 'entitled'
  return isReclaimable(state, job) ? 'reclaimable' : 'pinned'
}

function occupyWith (state: ScheduleState, running: RunningJob): ScheduleState {
  const { job: { id }, grade, sequence, stopping, hold } = running
  const expectedEnd = running.startedAt + running.expectedMilliseconds
  return {
    ...state,
    capacity: occupy(state.capacity, running.members, { id, grade, sequence, expectedEnd, stopping }),
    running: state.running.set(id, running),
    guarantees: changeOccupants(state.guarantees, hold, occupants => [...occupants.filter(occupant => occupant !== id), id])
  }
}

function changeOccupants (guarantees: Guarantees, id: string | undefined, change: (occupants: readonly RequestId[]) => readonly RequestId[]): Guarantees {
  const hold = id === undefined ? undefined : guarantees.holds.get(id)
  return hold === undefined ? guarantees : replaceHold(guarantees, { ...hold, occupants: change(hold.occupants) })
}

/** Takes a job out of the running ones. */
export function endJob (state: ScheduleState, id: RequestId, outcome: JobOutcome, at: number): ScheduleState {
  const running = state.running.get(id)
  if (running === undefined) return state
  return {
    ...state,
    capacity: release(state.capacity, id, running.members),
    running: state.running.delete(id),
    guarantees: changeOccupants(state.guarantees, running.hold, occupants => occupants.filter(occupant => occupant !== id)),
    sharing: settleEnd(state, running, at),
    durations: outcome === 'finished' ? learn(state, running, at) : state.durations
  }
}

function learn (state: ScheduleState, { job, startedAt }: RunningJob, at: number): ScheduleState['durations'] {
  const keys: readonly string[] = [shareKey(job.kind, job.workspace), job.kind]
  return keys.reduce((durations, key) =>
    durations.set(key, recordDuration(durations.get(key) ?? NO_DURATIONS, at - startedAt)), state.durations)
}

/** The running job with another grade or mark, and all sums with it. */
export function changeRunning (state: ScheduleState, running: RunningJob, changes: Partial<RunningJob>): ScheduleState {
  const without = {
    ...state,
    capacity: release(state.capacity, running.job.id, running.members),
    guarantees: changeOccupants(state.guarantees, running.hold, occupants => occupants.filter(occupant => occupant !== running.job.id))
  }
  return occupyWith(without, { ...running, ...changes })
}

/** Forgets the claim and the reservation of a job. */
export function dropPlans (state: ScheduleState, id: RequestId): ScheduleState {
  return dropClaim(dropReservation(state, id), id)
}

/** Forgets the claim of a job; what comes free is for anybody. */
export function dropClaim (state: ScheduleState, id: RequestId): ScheduleState {
  const claim = state.claims.get(id)
  if (claim === undefined) return state
  return { ...state, claims: state.claims.delete(id), capacity: enter(state.capacity, 'claimed', claim.members, -1) }
}

/** Forgets the reservation of a job. */
export function dropReservation (state: ScheduleState, id: RequestId): ScheduleState {
  const reservation = state.reservations.get(id)
  if (reservation === undefined) return state
  const open = enter(state.capacity, 'reserved', reservation.members, -1)
  const capacity = reservation.closed ? enter(open, 'closed', reservation.members, -1) : open
  return { ...state, reservations: state.reservations.delete(id), capacity }
}

/** Forgets all claims and reservations that need this backend server. */
export function dropPlansOn (state: ScheduleState, server: string): ScheduleState {
  const plans = [...state.claims.values(), ...state.reservations.values()]
  return plans.filter(plan => plan.members.some(member => member.server === server))
    .reduce((current, plan) => dropPlans(current, plan.job.id), state)
}

/** Lays out the guarantees afresh where backend servers or settings have changed. */
export function settleGuarantees (state: ScheduleState): ScheduleState {
  if (!state.guarantees.stale) return state
  const standing = [...state.running.values()].map(({ job, members }) => ({ id: job.id, workspace: job.workspace, shape: job.shape, members }))
  const { capacity, guarantees } = layOutGuarantees(state.settings, state.guarantees, state.capacity, standing)
  const holdOf = new Map([...guarantees.holds.values()].flatMap(hold => hold.occupants.map(id => [id, hold.id] as const)))
  const laidOut = { ...state, capacity, guarantees }
  return [...state.running.values()].reduce<ScheduleState>((current, running) => {
    const hold = holdOf.get(running.job.id)
    const grade = gradeOf(current, running.job, hold)
    return hold === running.hold && grade === running.grade ? current : changeRunning(current, running, { hold, grade })
  }, laidOut)
}

/** The backend server's tasks as the running jobs have them. */
export function restoreTasks (state: ScheduleState, name: string): ScheduleState {
  if (findServer(state.capacity, name) === undefined) return state
  return [...state.running.values()].reduce<ScheduleState>((current, running) => {
    const members = running.members.filter(member => member.server === name)
    if (members.length === 0) return current
    const { job: { id }, grade, sequence, stopping } = running
    const expectedEnd = running.startedAt + running.expectedMilliseconds
    return { ...current, capacity: occupy(current.capacity, members, { id, grade, sequence, expectedEnd, stopping }) }
  }, state)
}

/** The capacity with a job marked as stopping. */
export function markStopping (state: ScheduleState, id: RequestId): ScheduleState {
  const running = state.running.get(id)
  if (running === undefined || running.stopping) return state
  const counted = { ...state, sharing: { ...state.sharing, stopping: countStopping(state, running, 1) } }
  return changeRunning(counted, running, { stopping: true })
}
