/**
 * Outlier ejection of backend servers. A server that fails every job quickly is
 * always idle and would attract ever more work, so it is ejected after some
 * consecutive failures: from then on it receives only probes, single idempotent jobs
 * without accelerators. A successful job ends the ejection.
 */
import { allServers, findServer, replaceServer, type Server } from './capacity.js'
import { dropClaimsAndReservationsOn, type Site } from './running.js'
import type { Job, JobOutcome } from './interface.js'
import type { Health, RunningJob, ScheduleState } from './state.js'

const FAILURES_TO_EJECT = 3
/**
 * At most this fraction of the backend servers is ejected at the same time, so that
 * faulty jobs can't take a whole cell out of service.
 */
const MAXIMUM_EJECTED_SHARE = 0.2
const FIRST_PROBE_DELAY_MILLISECONDS = 10_000
const MAXIMUM_DOUBLINGS = 5
/**
 * If no job can serve as a probe, the ejection ends this long after the probe was due;
 * one further failure then ejects the server again.
 */
const PROBATION_MILLISECONDS = 600_000

const HEALTHY: Health = { failures: 0, ejections: 0 }

/**
 * Records how a job ended on its backend server. A gang's outcome is ignored, because
 * it can't be attributed to one server.
 */
export function recordOutcome (state: ScheduleState, running: RunningJob, outcome: JobOutcome, at: number): ScheduleState {
  const [member, ...others] = running.members
  if (member === undefined || others.length > 0) return state
  if (outcome === 'finished') return clearFailures(state, member.server)
  return outcome === 'failed' ? recordFailure(state, member.server, at) : state
}

function clearFailures (state: ScheduleState, name: string): ScheduleState {
  if (!state.health.has(name)) return state
  return setEjected({ ...state, health: state.health.delete(name) }, name, false)
}

function recordFailure (state: ScheduleState, name: string, at: number): ScheduleState {
  const before = state.health.get(name) ?? HEALTHY
  const failures = before.failures + 1
  const isEjected = before.probeAt !== undefined
  if (!isEjected && (failures < FAILURES_TO_EJECT || !mayEject(state))) {
    return { ...state, health: state.health.set(name, { ...before, failures }) }
  }
  const delay = FIRST_PROBE_DELAY_MILLISECONDS * 2 ** Math.min(MAXIMUM_DOUBLINGS, before.ejections)
  const health = state.health.set(name, { failures, ejections: before.ejections + 1, probeAt: at + delay })
  return setEjected({ ...state, health }, name, true)
}

function mayEject (state: ScheduleState): boolean {
  const servers = allServers(state.capacity)
  const ejected = servers.filter(server => server.ejected).length
  return ejected + 1 <= Math.max(1, Math.floor(MAXIMUM_EJECTED_SHARE * servers.length))
}

function setEjected (state: ScheduleState, name: string, ejected: boolean): ScheduleState {
  const released = dropClaimsAndReservationsOn(state, name)
  const server = findServer(released.capacity, name)
  if (server === undefined || server.ejected === ejected) return state
  return {
    ...released,
    capacity: replaceServer(released.capacity, server.description.name, { ...server, ejected }),
    guarantees: { ...released.guarantees, stale: true }
  }
}

/**
 * Returns the site where a job can run as a probe: an ejected, empty backend server
 * whose probe is due. Only idempotent jobs without accelerators serve as probes.
 */
export function findProbe (state: ScheduleState, job: Job, now: number): Site | undefined {
  if (state.health.size === 0 || job.shape.accelerators > 0) return undefined
  if (state.directory.kinds.get(job.kind)?.idempotent !== true) return undefined
  const server = allServers(state.capacity).find(candidate => isDue(state, candidate, now) && candidate.description.slots >= job.shape.slots)
  if (server === undefined) return undefined
  return { members: [{ server: server.description.name, slots: job.shape.slots, accelerators: 0 }], guarantee: undefined }
}

function isDue (state: ScheduleState, server: Server, now: number): boolean {
  const probeAt = state.health.get(server.description.name)?.probeAt
  return server.ejected && !server.leaving && server.tasks.length === 0 && probeAt !== undefined && probeAt <= now
}

/** Ends the ejection of backend servers that have waited for a probe longer than the probation time. */
export function endEjections (state: ScheduleState, now: number): ScheduleState {
  if (state.health.size === 0) return state
  return [...state.health].reduce<ScheduleState>((current, [name, health]) => {
    if (health.probeAt === undefined || now < health.probeAt + PROBATION_MILLISECONDS) return current
    const probation = { failures: FAILURES_TO_EJECT - 1, ejections: health.ejections }
    return setEjected({ ...current, health: current.health.set(name, probation) }, name, false)
  }, state)
}
