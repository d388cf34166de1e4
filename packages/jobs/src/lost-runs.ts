/**
 * Counts the runs that are lost with their backend servers. A task that crashes them is given
 * up; one that was only beside it is not, since a suspect is started where nothing else runs.
 */
import { DOMAIN_OUTAGE_MILLISECONDS, MOST_LOST_RUNS, PROVEN_LOST_RUNS } from './limits.js'
import { endJob } from './job-end.js'
import type { ListedRun, Run, Server, ServerEntry } from './server.js'
import type { PlannerState } from './state.js'

/**
 * Removes and returns the runs that a backend server had when its incarnation ended: those that
 * may have been executing, and those whose leases have expired since.
 *
 * @example
 * const lost = takeLostRuns(state, server)
 */
export function takeLostRuns (state: PlannerState, server: Server): readonly Run[] {
  const missing = state.missingRuns.take(server.id)
  return server.entry.isDraining ? [] : [...missing, ...mayExecute(server)]
}

/**
 * Counts lost runs of a backend server, and ends the jobs of which a task is the cause.
 *
 * @example
 * countLostRuns(state, server, takeLostRuns(state, server), Date.now())
 */
export function countLostRuns (state: PlannerState, server: Server, lost: readonly Run[], wallTime: number): void {
  for (const run of lost) {
    const task = state.task(run.task)
    if (task === undefined || task.isDone || !task.step.job.isOpen) continue
    const { step } = task
    const unit = step.unitOf(task)
    if (!step.losses.add(unit, run.run, placeOf(server, run))) continue
    step.losses.change = state.markChanged(step.job)
    const lostRuns = step.losses.count(unit)
    const isAlone = lost.every(other => other.run === run.run)
    state.recordEvent({ type: 'run-lost-with-server', task: run.task, run: run.run, server: server.id, lostRuns, alone: isAlone })
    const isProven = lostRuns >= PROVEN_LOST_RUNS && isAlone && !isDomainOutage(state, server, run)
    if (step.specification.isLasting || !(isProven || lostRuns >= MOST_LOST_RUNS)) continue
    state.recordEvent({ type: 'job-given-up', job: step.job.job.id, task: run.task, lostRuns })
    endJob(state, step.job, 'failed', 'job-failed', wallTime)
  }
}

/**
 * Counts the lost runs of backend servers that new ones have replaced at their addresses, or that
 * were removed and are back under their ids.
 *
 * @example
 * countReplaced(state, entries.filter(entry => !state.servers.has(entry.id)), Date.now())
 */
export function countReplaced (state: PlannerState, added: readonly ServerEntry[], wallTime: number): void {
  if (added.length === 0) return
  const byAddress = new Map(added.map(entry => [entry.address, entry]))
  const byId = new Map(added.map(entry => [entry.id, entry]))
  const unreachable = [...state.servers.values()].filter(server => server.missedPolls > 0 && server.runs.size > 0)
  for (const server of new Set([...state.missingRuns.servers, ...unreachable])) {
    const isReplaced = byAddress.has(server.entry.address) && byAddress.get(server.entry.address)?.id !== server.id
    const isRestarted = (byId.get(server.id)?.incarnation ?? -Infinity) > server.entry.incarnation
    if (isReplaced || isRestarted) countLostRuns(state, server, takeLostRuns(state, server), wallTime)
  }
}

/**
 * Corrects the count of a run that was assumed lost and is listed by the next incarnation.
 *
 * @example
 * correctLoss(state, server, entry)
 */
export function correctLoss (state: PlannerState, server: Server, listed: ListedRun): void {
  const task = state.task(listed.task)
  if (task === undefined || !task.step.losses.correct(task.step.unitOf(task), listed.run, placeOf(server, listed))) return
  state.markChanged(task.step.job)
}

function placeOf (server: Server, { task }: { readonly task: string }): string {
  return `${server.id} ${task}`
}

/**
 * Returns the runs that may be executing on a backend server.
 *
 * @example
 * mayExecute(server)
 */
export function mayExecute (server: Server): readonly Run[] {
  return [...server.runs.values()].filter(run => !run.isStopConfirmed)
}

/** True if other backend servers of the failure domain, which didn't have the run, became unreachable at about the same time. */
function isDomainOutage (state: PlannerState, server: Server, { run: number }: Run): boolean {
  const hadRun = (other: Server): boolean => state.missingRuns.has(other.id, number) || [...other.runs.values()].some(run => run.run === number)
  for (const other of state.servers.values()) {
    if (other.id === server.id || other.entry.failureDomain !== server.entry.failureDomain) continue
    if (Math.abs(other.outageAt - server.outageAt) <= DOMAIN_OUTAGE_MILLISECONDS && !hadRun(other)) return true
  }
  return false
}
