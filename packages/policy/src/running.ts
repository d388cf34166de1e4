/**
 * Running jobs: each start or end updates the job, the allocation totals, the
 * guarantees and the fair-sharing charges together.
 */
import type { PlacementMember, RequestId } from '@cornelgauge/model'
import { addAllocation, addTasks, findServer, removeTasks, type PreemptionClass } from './capacity.js'
import { layOutGuarantees, replaceGuarantee, type Guarantees } from './guarantee.js'
import { dequeue, shareKey } from './queue.js'
import type { Job, JobOutcome } from './interface.js'
import { chargeStart, correctCharge, countStopping } from './sharing.js'
import { expectedDuration, isReclaimable, type RunningJob, type ScheduleState } from './state.js'
import { NO_DURATIONS, recordDuration } from './statistics.js'

/** Where a job can start: the slots and accelerators on each backend server, and the id of the guarantee that they belong to, if any. */
export interface Site {
  readonly members: readonly PlacementMember[]
  readonly guarantee: string | undefined
}

/** Records a job as running at a site. */
export function startJob (state: ScheduleState, job: Job, site: Site, at: number): ScheduleState {
  const released = dropClaimAndReservation(state, job.id)
  const running: RunningJob = {
    job,
    members: site.members,
    startedAt: at,
    startSequence: state.startCount,
    expectedMilliseconds: expectedDuration(state, job),
    preemptionClass: preemptionClassOf(state, job, site.guarantee),
    guarantee: site.guarantee,
    stopping: false
  }
  return addRunning({
    ...released,
    startCount: released.startCount + 1,
    waiting: dequeue(released.waiting, job.id),
    sharing: chargeStart(released, running)
  }, running)
}

function preemptionClassOf (state: ScheduleState, job: Job, guarantee: string | undefined): PreemptionClass {
  if (guarantee !== undefined) return 'entitled'
  return isReclaimable(state, job) ? 'reclaimable' : 'pinned'
}

function addRunning (state: ScheduleState, running: RunningJob): ScheduleState {
  const { job: { id }, preemptionClass, startSequence, stopping, guarantee } = running
  const expectedEnd = running.startedAt + running.expectedMilliseconds
  return {
    ...state,
    capacity: addTasks(state.capacity, running.members, { id, preemptionClass, startSequence, expectedEnd, stopping }),
    running: state.running.set(id, running),
    guarantees: changeOccupants(state.guarantees, guarantee, occupants => [...occupants.filter(occupant => occupant !== id), id])
  }
}

function changeOccupants (guarantees: Guarantees, id: string | undefined, change: (occupants: readonly RequestId[]) => readonly RequestId[]): Guarantees {
  const guarantee = id === undefined ? undefined : guarantees.byId.get(id)
  return guarantee === undefined ? guarantees : replaceGuarantee(guarantees, { ...guarantee, occupants: change(guarantee.occupants) })
}

/** Removes a running job. */
export function endJob (state: ScheduleState, id: RequestId, outcome: JobOutcome, at: number): ScheduleState {
  const running = state.running.get(id)
  if (running === undefined) return state
  return {
    ...state,
    capacity: removeTasks(state.capacity, id, running.members),
    running: state.running.delete(id),
    guarantees: changeOccupants(state.guarantees, running.guarantee, occupants => occupants.filter(occupant => occupant !== id)),
    sharing: correctCharge(state, running, at),
    durations: outcome === 'finished' ? recordRunTime(state, running, at) : state.durations
  }
}

function recordRunTime (state: ScheduleState, { job, startedAt }: RunningJob, at: number): ScheduleState['durations'] {
  const keys: readonly string[] = [shareKey(job.kind, job.workspace), job.kind]
  return keys.reduce((durations, key) =>
    durations.set(key, recordDuration(durations.get(key) ?? NO_DURATIONS, at - startedAt)), state.durations)
}

/** Changes attributes of a running job, and all totals that depend on them. */
export function changeRunning (state: ScheduleState, running: RunningJob, changes: Partial<RunningJob>): ScheduleState {
  const withoutTasks = {
    ...state,
    capacity: removeTasks(state.capacity, running.job.id, running.members),
    guarantees: changeOccupants(state.guarantees, running.guarantee, occupants => occupants.filter(occupant => occupant !== running.job.id))
  }
  return addRunning(withoutTasks, { ...running, ...changes })
}

/** Drops the claim and the reservation of a job. */
export function dropClaimAndReservation (state: ScheduleState, id: RequestId): ScheduleState {
  return dropClaim(dropReservation(state, id), id)
}

/** Drops the claim of a job; capacity freed for it becomes available to all jobs. */
export function dropClaim (state: ScheduleState, id: RequestId): ScheduleState {
  const claim = state.claims.get(id)
  if (claim === undefined) return state
  return { ...state, claims: state.claims.delete(id), capacity: addAllocation(state.capacity, 'claimed', claim.members, -1) }
}

/** Drops the reservation of a job. */
export function dropReservation (state: ScheduleState, id: RequestId): ScheduleState {
  const reservation = state.reservations.get(id)
  if (reservation === undefined) return state
  const unreserved = addAllocation(state.capacity, 'reserved', reservation.members, -1)
  const capacity = reservation.exclusive ? addAllocation(unreserved, 'exclusive', reservation.members, -1) : unreserved
  return { ...state, reservations: state.reservations.delete(id), capacity }
}

/** Drops all claims and reservations with a member on this backend server. */
export function dropClaimsAndReservationsOn (state: ScheduleState, server: string): ScheduleState {
  const entries = [...state.claims.values(), ...state.reservations.values()]
  return entries.filter(plan => plan.members.some(member => member.server === server))
    .reduce((current, plan) => dropClaimAndReservation(current, plan.job.id), state)
}

/** Lays out the guarantees again if backend servers or settings have changed. */
export function refreshGuarantees (state: ScheduleState): ScheduleState {
  if (!state.guarantees.stale) return state
  const running = [...state.running.values()].map(({ job, members }) => ({ id: job.id, workspace: job.workspace, shape: job.shape, members }))
  const { capacity, guarantees } = layOutGuarantees(state.settings, state.guarantees, state.capacity, running)
  const guaranteeByJob = new Map([...guarantees.byId.values()].flatMap(guarantee => guarantee.occupants.map(id => [id, guarantee.id] as const)))
  const laidOut = { ...state, capacity, guarantees }
  return [...state.running.values()].reduce<ScheduleState>((current, running) => {
    const guarantee = guaranteeByJob.get(running.job.id)
    const preemptionClass = preemptionClassOf(current, running.job, guarantee)
    return guarantee === running.guarantee && preemptionClass === running.preemptionClass ? current : changeRunning(current, running, { guarantee, preemptionClass })
  }, laidOut)
}

/** Adds the tasks of the running jobs to a backend server that has joined again. */
export function restoreTasks (state: ScheduleState, name: string): ScheduleState {
  if (findServer(state.capacity, name) === undefined) return state
  return [...state.running.values()].reduce<ScheduleState>((current, running) => {
    const members = running.members.filter(member => member.server === name)
    if (members.length === 0) return current
    const { job: { id }, preemptionClass, startSequence, stopping } = running
    const expectedEnd = running.startedAt + running.expectedMilliseconds
    return { ...current, capacity: addTasks(current.capacity, members, { id, preemptionClass, startSequence, expectedEnd, stopping }) }
  }, state)
}

/** Marks a running job as stopping. */
export function markStopping (state: ScheduleState, id: RequestId): ScheduleState {
  const running = state.running.get(id)
  if (running === undefined || running.stopping) return state
  const counted = { ...state, sharing: { ...state.sharing, stopping: countStopping(state, running, 1) } }
  return changeRunning(counted, running, { stopping: true })
}
