/** The planning load of the open jobs, by pool, and how much of it counts towards the limit. */
import type { PoolName } from './ids.js'
import type { JobState } from './job-state.js'
import { MAXIMUM_RUNNING_LOAD } from './limits.js'

/**
 * Planning loads. Jobs that run can't give way, so up to a limit of their own they take no room from those that wait: however
 * many run, others have to get their turn.
 *
 * @example
 * loads.add(job)
 * loads.noteRunning(openJobs)
 * loads.counted() // 0 if the job has runs
 */
export class PlannedLoads {
  readonly #loads = new Map<PoolName, number>()
  /** Those of the jobs with runs, as of the last round. */
  readonly #running = new Map<PoolName, number>()

  add ({ job: { pool }, load }: JobState): void {
    this.#loads.set(pool, this.#of(pool) + load)
  }

  remove ({ job: { pool }, load }: JobState): void {
    this.#loads.set(pool, this.#of(pool) - load)
  }

  /** Determines which of the open jobs have runs. */
  noteRunning (jobs: Iterable<JobState>): void {
    this.#running.clear()
    for (const { hasRuns, job: { pool }, load } of jobs) if (hasRuns) this.#running.set(pool, (this.#running.get(pool) ?? 0) + load)
  }

  /** The load of all open jobs. */
  get total (): number {
    return sumOf(this.#loads)
  }

  /** The load that counts towards the limit, of a pool or of all pools. */
  counted (pool?: PoolName): number {
    const running = sumOf(this.#running)
    const freeShare = running === 0 ? 0 : Math.min(1, MAXIMUM_RUNNING_LOAD / running)
    const countedOf = (each: PoolName): number => Math.max(0, this.#of(each) - freeShare * (this.#running.get(each) ?? 0))
    return pool === undefined ? [...this.#loads.keys()].reduce((sum, each) => sum + countedOf(each), 0) : countedOf(pool)
  }

  #of (pool: PoolName): number {
    return this.#loads.get(pool) ?? 0
  }
}

function sumOf (loads: ReadonlyMap<PoolName, number>): number {
  let sum = 0
  for (const load of loads.values()) sum += load
  return sum
}
