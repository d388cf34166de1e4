/**
 * Isolates units under which backend servers have crashed: each starts where nothing else runs,
 * and nothing else starts there for a while. So a further crash shows whether the unit is the
 * cause, and takes no other work with it.
 */
import { CapacitySnapshot, type PlacementTarget } from './capacity-snapshot.js'
import { ISOLATION_MILLISECONDS, MAXIMUM_ISOLATION_WAIT_MILLISECONDS } from './limits.js'
import { stepsWithOpenCause } from './lost-runs.js'
import type { Run, Server } from './server.js'
import type { PlannerState } from './state.js'
import type { StartUnit } from './start-unit.js'
import type { StepState } from './step-state.js'
import type { Waits } from './waits.js'

/**
 * True if nothing else starts beside a run.
 *
 * @example
 * isIsolated(run, now)
 */
export function isIsolated ({ isolatedUntil = -Infinity }: Run, now: number): boolean {
  return now < isolatedUntil
}

/**
 * The isolated backend servers of one round.
 *
 * @example
 * const targets = isolation.choose(snapshot, unit, true, allowed => placeGang(allowed, step, true))
 */
export class Isolation {
  readonly #state: PlannerState
  readonly #now: number
  readonly #waits: Waits
  readonly #servers = new Set<Server>()
  /** Steps of which the cause of a crash isn't determined yet. */
  readonly #withOpenCause: ReadonlySet<StepState>
  /** Snapshots without the isolated backend servers, until there is another one. */
  readonly #excluded = new Map<CapacitySnapshot, CapacitySnapshot>()

  constructor (state: PlannerState, now: number, waits: Waits) {
    this.#state = state
    this.#now = now
    this.#waits = waits
    this.#withOpenCause = stepsWithOpenCause(state)
    for (const run of state.isolatedRuns) {
      const server = state.servers.get(run.server)
      if (isIsolated(run, now) && server?.run(run.task, run.run) === run) this.#servers.add(server)
      else state.isolatedRuns.delete(run)
    }
  }

  /** True if backend servers have crashed so often under a unit that it is isolated. */
  isSuspect ({ step, first }: StartUnit): boolean {
    return step.isSuspect(first)
  }

  /** True if a unit isn't to be started yet: its lost runs aren't stored, so that another owner would not know them, the cause of its last crash isn't determined, or it waits for empty backend servers. */
  mayHold (unit: StartUnit): boolean {
    return this.isSuspect(unit) && (!this.#isReady(unit) || this.#mayWait(unit))
  }

  /** Returns when the isolation of a unit that starts now ends; undefined if it isn't isolated. */
  endFor (unit: StartUnit): number | undefined {
    return this.isSuspect(unit) ? this.#now + ISOLATION_MILLISECONDS : undefined
  }

  /** Adds a run that starts now, if it is isolated. */
  add (server: Server, run: Run): void {
    if (run.isolatedUntil === undefined) return
    this.#state.isolatedRuns.add(run)
    this.#servers.add(server)
    this.#excluded.clear()
  }

  /** Excludes the isolated backend servers. */
  exclude (snapshot: CapacitySnapshot): CapacitySnapshot {
    if (this.#servers.size === 0) return snapshot
    const known = this.#excluded.get(snapshot)
    if (known !== undefined) return known
    const excluded = new CapacitySnapshot(snapshot.targets.filter(target => !this.#servers.has(target.server)), snapshot.work)
    this.#excluded.set(snapshot, excluded)
    return excluded
  }

  /**
   * Chooses targets for a unit outside the isolated backend servers, unless it can't wait for
   * others. A suspect gets empty backend servers, and after a limited wait those with the fewest runs.
   */
  choose<Targets> (snapshot: CapacitySnapshot, unit: StartUnit, mayWaitForOthers: boolean, place: (allowed: CapacitySnapshot) => Targets | undefined): Targets | undefined {
    const allowed = mayWaitForOthers ? this.exclude(snapshot) : snapshot
    if (!this.isSuspect(unit)) return place(allowed)
    if (!this.#isReady(unit)) return undefined
    const runsOn = ({ server }: PlacementTarget): number => server.runs.size
    const limits = this.#mayWait(unit) ? [0] : [...new Set(allowed.targets.map(runsOn))].sort((left, right) => left - right)
    for (const limit of limits) {
      const among = allowed.targets.filter(target => runsOn(target) <= limit)
      // A backend server that has crashed before may do so again without the suspect.
      const steady = among.filter(({ server }) => server.restarts === 0)
      for (const choice of steady.length < among.length ? [steady, among] : [among]) {
        const targets = choice.length === 0 ? undefined : place(new CapacitySnapshot(choice, allowed.work))
        if (targets !== undefined) return targets
      }
    }
    return undefined
  }

  #mayWait ({ first }: StartUnit): boolean {
    return this.#waits.readyMilliseconds(first) < MAXIMUM_ISOLATION_WAIT_MILLISECONDS
  }

  /** True if the cause of its last crash is determined as far as possible, and its lost runs are stored. */
  #isReady ({ step }: StartUnit): boolean {
    return this.#state.isStored(step.job.job.id, step.losses.change) && !this.#withOpenCause.has(step)
  }
}
