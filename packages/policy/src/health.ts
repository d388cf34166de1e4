/**
 * Backend servers that fail everything. They look idle and would attract work, so
 * after some failures in a row one is ejected: nothing new goes there but a probe,
 * a single piece of idempotent work. A success lets it back in.
 */
import { allServers, findServer, replaceServer, type Server } from './capacity.js'
import { dropPlansOn, type Site } from './running.js'
import type { Job, JobOutcome } from './scheduler.js'
import type { Health, RunningJob, ScheduleState } from './state.js'

const FAILURES_TO_EJECT = 3
/** At most this part of the backend servers is ejected at once, so that failing work cannot empty a cell. */
const MOST_EJECTED_SHARE = 0.2
const FIRST_PROBE_MILLISECONDS = 10_000
const MOST_DOUBLINGS = 5
/** Where no idempotent work comes by, an ejected backend server is let back in after this time, one failure from ejection. */
const PROBATION_MILLISECONDS = 600_000

const HEALTHY: Health = { failures: 0, ejections: 0 }

/** Notes how a job ended on its backend server; a gang's failure says nothing of a single one. */
export function noteOutcome (state: ScheduleState, running: RunningJob, outcome: JobOutcome, at: number): ScheduleState {
  const [member, ...others] = running.members
  if (member === undefined || others.length > 0) return state
  if (outcome === 'finished') return restore(state, member.server)
  return outcome === 'failed' ? noteFailure(state, member.server, at) : state
}

function restore (state: ScheduleState, name: string): ScheduleState {
  if (!state.health.has(name)) return state
  return setEjected({ ...state, health: state.health.delete(name) }, name, false)
}

function noteFailure (state: ScheduleState, name: string, at: number): ScheduleState {
  const before = state.health.get(name) ?? HEALTHY
  const failures = before.failures + 1
  const isEjected = before.probeAt !== undefined
  if (!isEjected && (failures < FAILURES_TO_EJECT || !mayEject(state))) {
    return { ...state, health: state.health.set(name, { ...before, failures }) }
  }
  const delay = FIRST_PROBE_MILLISECONDS * 2 ** Math.min(MOST_DOUBLINGS, before.ejections)
  const health = state.health.set(name, { failures, ejections: before.ejections + 1, probeAt: at + delay })
  return setEjected({ ...state, health }, name, true)
}

function mayEject (state: ScheduleState): boolean {
  const servers = allServers(state.capacity)
  const ejected = servers.filter(server => server.ejected).length
  return ejected + 1 <= Math.max(1, Math.floor(MOST_EJECTED_SHARE * servers.length))
}

function setEjected (state: ScheduleState, name: string, ejected: boolean): ScheduleState {
  const planless = dropPlansOn(state, name)
  const server = findServer(planless.capacity, name)
  if (server === undefined || server.ejected === ejected) return state
  return {
    ...planless,
    capacity: replaceServer(planless.capacity, server.description.name, { ...server, ejected }),
    guarantees: { ...planless.guarantees, stale: true }
  }
}

/** Where a job could run as a probe: an ejected, empty backend server whose time has come, and idempotent work without accelerators. */
export function findProbe (state: ScheduleState, job: Job, now: number): Site | undefined {
  if (state.health.size === 0 || job.shape.accelerators > 0) return undefined
  if (state.directory.kinds.get(job.kind)?.idempotent !== true) return undefined
  const server = allServers(state.capacity).find(candidate => isDue(state, candidate, now) && candidate.description.slots >= job.shape.slots)
  if (server === undefined) return undefined
  return { members: [{ server: server.description.name, slots: job.shape.slots, accelerators: 0 }], hold: undefined }
}

function isDue (state: ScheduleState, server: Server, now: number): boolean {
  const probeAt = state.health.get(server.description.name)?.probeAt
  return server.ejected && !server.leaving && server.tasks.length === 0 && probeAt !== undefined && probeAt <= now
}

/** Lets backend servers back in that have waited long for a probe. */
export function endEjections (state: ScheduleState, now: number): ScheduleState {
  if (state.health.size === 0) return state
  return [...state.health].reduce<ScheduleState>((current, [name, health]) => {
    if (health.probeAt === undefined || now < health.probeAt + PROBATION_MILLISECONDS) return current
    const probation = { failures: FAILURES_TO_EJECT - 1, ejections: health.ejections }
    return setEjected({ ...current, health: current.health.set(name, probation) }, name, false)
  }, state)
}
