/**
 * Stops what runs on backend servers that are about to shut down: in time for its ends to be reported, and before
 * that what will not end there and saves nothing, since each further moment of it is thrown away. Answers backend
 * servers that are taken away under long gangs, of which one member ends all.
 */
import { EVACUATION_MILLISECONDS } from './limits.js'
import type { Run, Server } from './server.js'
import type { PlannerState } from './state.js'
import { requestStop } from './stops.js'

/** Work is stopped ahead of time only if it is expected to need this many times what is left, since estimates are rough. */
const HOPELESS_FACTOR = 2

/**
 * Requests the stops on a draining backend server that are due by now.
 *
 * @example
 * for (const server of state.servers.values()) evacuateDraining(state, server, now)
 */
export function evacuateDraining (state: PlannerState, server: Server, now: number): void {
  const { isDraining, remainingMilliseconds } = server.entry
  // An entry of the earlier incarnation says nothing of the runs of this one.
  if (!isDraining || !server.isEntryCurrent || remainingMilliseconds === undefined) return
  const left = remainingMilliseconds - EVACUATION_MILLISECONDS
  for (const run of server.runs.values()) if (left <= 0 || isHopeless(run, left, now)) requestStop(state, run, 'leaving')
}

/** True if a run saves no checkpoints and is expected to be far from its end when it will be stopped. */
function isHopeless (run: Run, left: number, now: number): boolean {
  const specification = run.step?.specification
  if (run.state !== 'running' || specification === undefined || specification.savesCheckpoints || specification.isLasting) return false
  return leastRemainingMilliseconds(run, now) > HOPELESS_FACTOR * left
}

/** Run time that is left by the progress last reported, which may be older than the report; 0 before any. */
function leastRemainingMilliseconds ({ percent, confirmedAt, progressedAt }: Run, now: number): number {
  if (percent === 0) return 0
  return (progressedAt - confirmedAt) * (100 - percent) / percent - (now - progressedAt)
}
