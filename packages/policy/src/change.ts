/** The changes of a policy's state: one pure handler for each type of change. */
import type { BackendServerName, Member, RequestId } from '@cornelgauge/model'
import { emptyServer, findServer, replaceServer, type Server } from './capacity.js'
import { isSameShape } from './guarantee.js'
import { noteOutcome } from './health.js'
import { dequeue, enqueue } from './queue.js'
import { dropPlans, dropPlansOn, endJob, restoreTasks, startJob } from './running.js'
import type { Job, JobOutcome, PolicyChange, PolicySettings, PolicyState, ServerDescription } from './scheduler.js'
import { levelQueue } from './sharing.js'
import { emptyCapacity, inside, makeDirectory, type ScheduleState } from './state.js'
import { recordArrival } from './statistics.js'

type Handlers = { readonly [Type in PolicyChange['type']]: (state: ScheduleState, change: Extract<PolicyChange, { type: Type }>) => ScheduleState }

const HANDLERS: Handlers = {
  settings: (state, { settings }) => changeSettings(state, settings),
  'server-joined': (state, { server }) => joinServer(state, server),
  'server-leaving': (state, { server }) => changeServer(state, server, found => ({ ...found, leaving: true })),
  'server-lost': (state, { server }) => changeServer(state, server, () => undefined),
  'job-arrived': (state, { job }) => arriveJob(state, job),
  'job-withdrawn': (state, { id }) => withdrawJob(state, id),
  'job-started': (state, { job, members, at }) => confirmStart(state, job, members, at),
  'job-ended': (state, { id, outcome, at }) => finishJob(state, id, outcome, at)
}

/**
 * The state after a change; the state handed in stays as it was. A change that
 * was already counted in (a `job-started` that confirms a decision, the end of a
 * job that does not run) changes nothing.
 *
 * @example
 * const after = applyChange(before, { type: 'server-leaving', server, at: 1000 })
 */
export function applyChange (state: PolicyState, change: PolicyChange): PolicyState {
  const handler = HANDLERS[change.type] as (state: ScheduleState, change: PolicyChange) => ScheduleState
  return handler(inside(state), change)
}

/** Gangs look for members anew, because what may be reserved depends on the guarantees. */
function changeSettings (state: ScheduleState, settings: PolicySettings): ScheduleState {
  const planless = [...state.reservations.keys(), ...state.claims.keys()].reduce(dropPlans, state)
  return { ...planless, settings, directory: makeDirectory(settings), empty: emptyCapacity(settings, state.known), guarantees: { ...state.guarantees, stale: true } }
}

function joinServer (state: ScheduleState, description: ServerDescription): ScheduleState {
  const found = findServer(state.capacity, description.name)
  if (found !== undefined && !found.leaving && isSameServer(found.description, description)) return state
  const planless = dropPlansOn(state, description.name)
  const known = planless.known.set(description.name, description)
  return restoreTasks({
    ...planless,
    capacity: replaceServer(planless.capacity, description.name, emptyServer(description)),
    known,
    health: planless.health.delete(description.name),
    empty: planless.settings.declaredServers === undefined ? emptyCapacity(planless.settings, known) : planless.empty,
    guarantees: { ...planless.guarantees, stale: true }
  }, description.name)
}

function isSameServer (first: ServerDescription, second: ServerDescription): boolean {
  return first.rack === second.rack && first.rackPosition === second.rackPosition &&
    first.slots === second.slots && first.accelerators === second.accelerators
}

function changeServer (state: ScheduleState, name: BackendServerName, change: (server: Server) => Server | undefined): ScheduleState {
  const planless = dropPlansOn(state, name)
  const found = findServer(planless.capacity, name)
  if (found === undefined) return state
  return {
    ...planless,
    capacity: replaceServer(planless.capacity, name, change(found)),
    guarantees: { ...planless.guarantees, stale: true }
  }
}

function arriveJob (state: ScheduleState, job: Job): ScheduleState {
  if (state.running.has(job.id)) return state
  const arrivals = job.attempts === 0
    ? state.arrivals.set(job.kind, recordArrival(state.arrivals.get(job.kind), job.shape.slots, job.arrivedAt))
    : state.arrivals
  return { ...state, arrivals, sharing: levelQueue(state, job), waiting: enqueue(state.waiting, job) }
}

function withdrawJob (state: ScheduleState, id: RequestId): ScheduleState {
  const planless = dropPlans(state, id)
  return { ...planless, waiting: dequeue(planless.waiting, id) }
}

function finishJob (state: ScheduleState, id: RequestId, outcome: JobOutcome, at: number): ScheduleState {
  const running = state.running.get(id)
  return running === undefined ? state : noteOutcome(endJob(state, id, outcome, at), running, outcome, at)
}

/** Counts a job as running on these members, in place of whatever was known of it before. */
function confirmStart (state: ScheduleState, job: Job, members: readonly Member[], at: number): ScheduleState {
  const known = state.running.get(job.id)
  if (known !== undefined && isSamePlace(known.members, members)) return state
  const rest = endJob(state, job.id, 'stopped', at)
  return startJob(rest, job, { members, hold: idleHoldAt(rest, job, members) }, at)
}

/** The guarantee of the job's workspace that has this very shape and place, and is idle. */
function idleHoldAt (state: ScheduleState, job: Job, members: readonly Member[]): string | undefined {
  const ids = state.guarantees.byWorkspace.get(job.workspace) ?? []
  return ids.find(id => {
    const hold = state.guarantees.holds.get(id)
    return hold !== undefined && hold.occupants.length === 0 &&
      isSameShape(hold.shape, job.shape) && isSamePlace(hold.members, members)
  })
}

function isSamePlace (first: readonly Member[], second: readonly Member[]): boolean {
  return first.length === second.length && first.every((member, index) => {
    const other = second[index] as Member
    return member.server === other.server && member.slots === other.slots && member.accelerators === other.accelerators
  })
}
