/** Remembers the recent crashes of backend servers, against which those under one task are weighed. */
import type { PoolName, ServerId, TaskName } from './ids.js'
import { BACKGROUND_MILLISECONDS } from './limits.js'

/** A crash of a backend server. */
interface RecentCrash {
  readonly server: ServerId
  readonly pool: PoolName
  /** First sign of it, on our monotonic clock. */
  readonly at: number
  /** Tasks that may have been executing there. */
  readonly tasks: ReadonlySet<TaskName>
}

/** How often backend servers crash on which a task doesn't run. */
export interface Background {
  /** Recent crashes. */
  readonly crashes: number
  /** Mean rate of one backend server, per millisecond. */
  readonly crashesPerServerMillisecond: number
  /** They have been watched for long enough. */
  readonly isKnown: boolean
}

/**
 * The crashes of the last while that did not come at the start of a run.
 *
 * @example
 * state.crashHistory.beside(task.name, pool, servers, now).crashes
 */
export class CrashHistory {
  readonly #watchedSince: number
  #crashes: readonly RecentCrash[] = []

  constructor (now: number) {
    this.#watchedSince = now
  }

  /** Adds a crash; drops those that no longer matter. */
  add (crash: RecentCrash, now: number): void {
    const isKnown = this.#crashes.some(({ server, at }) => server === crash.server && at === crash.at)
    this.#crashes = [...this.#crashes.filter(({ at }) => at > now - BACKGROUND_MILLISECONDS), ...(isKnown ? [] : [crash])]
  }

  /** Returns the background of a task in a pool with so many backend servers. */
  beside (task: TaskName, pool: PoolName, servers: number, now: number): Background {
    const watchedMilliseconds = Math.min(now - this.#watchedSince, BACKGROUND_MILLISECONDS)
    const crashes = this.#crashes.filter(crash => crash.pool === pool && crash.at > now - BACKGROUND_MILLISECONDS && !crash.tasks.has(task)).length
    return {
      crashes,
      crashesPerServerMillisecond: crashes / Math.max(1, servers) / Math.max(1, watchedMilliseconds),
      isKnown: watchedMilliseconds >= BACKGROUND_MILLISECONDS
    }
  }
}
