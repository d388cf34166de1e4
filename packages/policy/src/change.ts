/** The changes of a policy's state: one pure handler for each type of change. */
import type { BackendServerName, Member } from '@cornelgauge/model'
import { addTask, emptyServer, findServer, occupy, release, replaceServer, updateServer } from './capacity.js'
import { dequeue, enqueue } from './queue.js'
import type { Job, PolicyChange, PolicyState, ServerDescription } from './scheduler.js'
import { inside, type ScheduleState } from './state.js'

type Handlers = { readonly [Type in PolicyChange['type']]: (state: ScheduleState, change: Extract<PolicyChange, { type: Type }>) => ScheduleState }

const HANDLERS: Handlers = {
  settings: (state, { settings }) => ({ ...state, settings }),
  'server-joined': (state, { server }) => joinServer(state, server),
  'server-leaving': (state, { server }) => ({
    ...state,
    capacity: updateServer(state.capacity, server, found => ({ ...found, leaving: true }))
  }),
  'server-lost': (state, { server }) => loseServer(state, server),
  'job-arrived': (state, { job }) => state.running.has(job.id) ? state : { ...state, waiting: enqueue(state.waiting, job) },
  'job-withdrawn': (state, { id }) => ({ ...state, waiting: dequeue(state.waiting, id) }),
  'job-started': (state, { job, members, at }) => startJob(state, job, members, at),
  'job-ended': (state, { id }) => endJob(state, id)
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

/** A backend server that comes back keeps the tasks that are still counted as running there. */
function joinServer (state: ScheduleState, description: ServerDescription): ScheduleState {
  let server = emptyServer(description)
  for (const [id, { members }] of state.running) {
    for (const member of members) {
      if (member.server === description.name) server = addTask(server, { id, slots: member.slots, accelerators: member.accelerators })
    }
  }
  return {
    ...state,
    capacity: replaceServer(state.capacity, description.name, server),
    known: state.known.set(description.name, description)
  }
}

function loseServer (state: ScheduleState, name: BackendServerName): ScheduleState {
  if (findServer(state.capacity, name) === undefined) return state
  return { ...state, capacity: replaceServer(state.capacity, name, undefined) }
}

/** Counts a job as running on these members, in place of whatever was known of it before. */
export function startJob (state: ScheduleState, job: Job, members: readonly Member[], at: number): ScheduleState {
  const known = state.running.get(job.id)
  if (known !== undefined && isSamePlace(known.members, members)) return state
  const rest = known === undefined ? state : endJob(state, job.id)
  return {
    ...rest,
    waiting: dequeue(rest.waiting, job.id),
    capacity: occupy(rest.capacity, job.id, members),
    running: rest.running.set(job.id, { job, members, startedAt: at })
  }
}

function isSamePlace (first: readonly Member[], second: readonly Member[]): boolean {
  return first.length === second.length && first.every((member, index) => {
    const other = second[index] as Member
    return member.server === other.server && member.slots === other.slots && member.accelerators === other.accelerators
  })
}

function endJob (state: ScheduleState, id: Job['id']): ScheduleState {
  const ended = state.running.get(id)
  if (ended === undefined) return state
  return { ...state, capacity: release(state.capacity, id, ended.members), running: state.running.delete(id) }
}
