/** Changes to the policy's state: one pure handler for each type of change. */
import type { BackendServerName, PlacementMember, RequestId } from '@cornelgauge/model'
import { emptyServer, findServer, replaceServer, type Server } from './capacity.js'
import { isSameShape } from './guarantee.js'
import { recordOutcome } from './health.js'
import { dequeue, enqueue } from './queue.js'
import { dropClaimAndReservation, dropClaimsAndReservationsOn, endJob, restoreTasks, startJob } from './running.js'
import type { Job, JobOutcome, PolicyChange, PolicySettings, PolicyState, ServerDescription } from './interface.js'
import { raiseToFloor } from './sharing.js'
import { emptyCapacity, internalState, makeDirectory, type ScheduleState } from './state.js'
import { recordArrival } from './statistics.js'

type Handlers = { readonly [Type in PolicyChange['type']]: (state: ScheduleState, change: Extract<PolicyChange, { type: Type }>) => ScheduleState }

const HANDLERS: Handlers = {
  settings: (state, { settings }) => changeSettings(state, settings),
  'server-joined': (state, { server }) => joinServer(state, server),
  'server-leaving': (state, { server }) => changeServer(state, server, found => ({ ...found, leaving: true })),
  'server-lost': (state, { server }) => changeServer(state, server, () => undefined),
  'job-arrived': (state, { job }) => addWaitingJob(state, job),
  'job-withdrawn': (state, { id }) => withdrawJob(state, id),
  'job-started': (state, { job, members, at }) => confirmStart(state, job, members, at),
  'job-ended': (state, { id, outcome, at }) => endRunningJob(state, id, outcome, at)
}

/**
 * Returns the state after a change; the given state is not modified. Changes that are
 * already reflected in the state have no effect, such as a `job-started` that confirms
 * a decision, or the end of a job that is not running.
 *
 * @example
 * const after = applyChange(before, { type: 'server-leaving', server, at: 1000 })
 */
export function applyChange (state: PolicyState, change: PolicyChange): PolicyState {
  const handler = HANDLERS[change.type] as (state: ScheduleState, change: PolicyChange) => ScheduleState
  return handler(internalState(state), change)
}

/**
 * Drops all reservations and claims, so that they are made again under the new
 * settings: what may be reserved depends on the guarantees.
 */
function changeSettings (state: ScheduleState, settings: PolicySettings): ScheduleState {
  const released = [...state.reservations.keys(), ...state.claims.keys()].reduce(dropClaimAndReservation, state)
  return { ...released, settings, directory: makeDirectory(settings), emptyCell: emptyCapacity(settings, state.knownServers), guarantees: { ...state.guarantees, stale: true } }
}

function joinServer (state: ScheduleState, description: ServerDescription): ScheduleState {
  const found = findServer(state.capacity, description.name)
  if (found !== undefined && !found.leaving && isSameServer(found.description, description)) return state
  const released = dropClaimsAndReservationsOn(state, description.name)
  const known = released.knownServers.set(description.name, description)
  return restoreTasks({
    ...released,
    capacity: replaceServer(released.capacity, description.name, emptyServer(description)),
    knownServers: known,
    health: released.health.delete(description.name),
    emptyCell: released.settings.declaredServers === undefined ? emptyCapacity(released.settings, known) : released.emptyCell,
    guarantees: { ...released.guarantees, stale: true }
  }, description.name)
}

function isSameServer (first: ServerDescription, second: ServerDescription): boolean {
  return first.rack === second.rack && first.rackPosition === second.rackPosition &&
    first.slots === second.slots && first.accelerators === second.accelerators
}

function changeServer (state: ScheduleState, name: BackendServerName, change: (server: Server) => Server | undefined): ScheduleState {
  const released = dropClaimsAndReservationsOn(state, name)
  const found = findServer(released.capacity, name)
  if (found === undefined) return state
  return {
    ...released,
    capacity: replaceServer(released.capacity, name, change(found)),
    guarantees: { ...released.guarantees, stale: true }
  }
}

function addWaitingJob (state: ScheduleState, job: Job): ScheduleState {
  if (state.running.has(job.id)) return state
  const arrivals = job.attempts === 0
    ? state.arrivals.set(job.kind, recordArrival(state.arrivals.get(job.kind), job.shape.slots, job.arrivedAt))
    : state.arrivals
  return { ...state, arrivals, sharing: raiseToFloor(state, job), waiting: enqueue(state.waiting, job) }
}

function withdrawJob (state: ScheduleState, id: RequestId): ScheduleState {
  const released = dropClaimAndReservation(state, id)
  return { ...released, waiting: dequeue(released.waiting, id) }
}

function endRunningJob (state: ScheduleState, id: RequestId, outcome: JobOutcome, at: number): ScheduleState {
  const running = state.running.get(id)
  return running === undefined ? state : recordOutcome(endJob(state, id, outcome, at), running, outcome, at)
}

/** Records a job as running on these members, replacing any earlier record of it. */
function confirmStart (state: ScheduleState, job: Job, members: readonly PlacementMember[], at: number): ScheduleState {
  const known = state.running.get(job.id)
  if (known !== undefined && haveSameMembers(known.members, members)) return state
  const withoutJob = endJob(state, job.id, 'stopped', at)
  return startJob(withoutJob, job, { members, guarantee: idleGuaranteeAt(withoutJob, job, members) }, at)
}

/** Returns the idle guarantee of the job's workspace that has exactly the job's shape and members, if there is one. */
function idleGuaranteeAt (state: ScheduleState, job: Job, members: readonly PlacementMember[]): string | undefined {
  const ids = state.guarantees.byWorkspace.get(job.workspace) ?? []
  return ids.find(id => {
    const guarantee = state.guarantees.byId.get(id)
    return guarantee !== undefined && guarantee.occupants.length === 0 &&
      isSameShape(guarantee.shape, job.shape) && haveSameMembers(guarantee.members, members)
  })
}

function haveSameMembers (first: readonly PlacementMember[], second: readonly PlacementMember[]): boolean {
  return first.length === second.length && first.every((member, index) => {
    const other = second[index] as PlacementMember
    return member.server === other.server && member.slots === other.slots && member.accelerators === other.accelerators
  })
}
