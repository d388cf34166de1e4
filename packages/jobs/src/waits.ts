/** How long waiting work may wait for something better than what is free. */
import { MAXIMUM_CLAIM_PLACEMENT_WAIT_MILLISECONDS, MAXIMUM_IDLE_POOL_WAIT_MILLISECONDS, MAXIMUM_RECLAIM_WAIT_MILLISECONDS, RECLAIM_WAIT_SHARE } from './limits.js'
import type { Candidate } from './order.js'
import type { PlannerState } from './state.js'
import type { StartUnit } from './start-unit.js'
import type { TaskState } from './task-state.js'

/**
 * The waits of one round.
 *
 * @example
 * new Waits(state, now, isMostlyIdle).mayWait(task)
 */
export class Waits {
  readonly #state: PlannerState
  readonly #now: number
  readonly #isMostlyIdle: boolean

  constructor (state: PlannerState, now: number, isMostlyIdle: boolean) {
    this.#state = state
    this.#now = now
    this.#isMostlyIdle = isMostlyIdle
  }

  /** True if a task may wait for a better placement. In a mostly idle pool the wait is limited, since it saves no capacity that other work needs. */
  mayWait (task: TaskState): boolean {
    return !this.#isMostlyIdle || this.readyMilliseconds(task) < MAXIMUM_IDLE_POOL_WAIT_MILLISECONDS
  }

  /** How long a task has been ready to start, in milliseconds. */
  readyMilliseconds ({ readySince = this.#now }: TaskState): number {
    return this.#now - readySince
  }

  /** A claim waits for a better placement, such as a single rack, only as long as the reclaim bound allows. */
  mayWaitForPlacement ({ first }: StartUnit, { isClaim }: Candidate): boolean {
    return isClaim ? this.readyMilliseconds(first) < MAXIMUM_CLAIM_PLACEMENT_WAIT_MILLISECONDS : this.mayWait(first)
  }

  /** How long work waits for capacity before others are stopped for it: less where stops take long, so that it can still end in time. */
  reclaimWaitMilliseconds ({ objectiveMilliseconds, remainingMilliseconds }: Candidate): number {
    if (!this.#state.rules.has('wait-by-slack')) return MAXIMUM_RECLAIM_WAIT_MILLISECONDS
    const slack = objectiveMilliseconds - remainingMilliseconds - this.#state.stopMilliseconds
    return Math.min(MAXIMUM_RECLAIM_WAIT_MILLISECONDS, RECLAIM_WAIT_SHARE * slack)
  }
}
