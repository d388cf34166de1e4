/**
 * How much of the idle guaranteed capacity is lent to work that can't be stopped
 * cheaply. Answers bursts of claims that find the pool full of long work without
 * checkpoints: each second of it that is stopped for them was for nothing.
 */
import { acceleratorsOf } from './job.js'
import type { JobState } from './job-state.js'
import { CLAIM_MEMORY_MILLISECONDS } from './limits.js'

/** The claims of late: their accelerators now, and the peak that is still remembered. */
export class ClaimDemand {
  #peak = 0
  #at = -Infinity

  /** Takes the accelerators that claims hold or wait for now, and gives how many more are to be expected. */
  observe (claimed: number, now: number): number {
    const age = Math.max(0, now - this.#at)
    this.#peak = Math.max(claimed, this.#peak * Math.exp(-age / CLAIM_MEMORY_MILLISECONDS))
    this.#at = now
    return this.#peak - claimed
  }
}

/**
 * Accelerators that a set of jobs holds or waits for.
 *
 * @example
 * acceleratorsOfJobs(claims)
 */
export function acceleratorsOfJobs (jobs: Iterable<JobState>): number {
  let sum = 0
  for (const { job } of jobs) sum += Math.max(...job.steps.map(acceleratorsOf))
  return sum
}
