/**
 * Estimates how much idle guaranteed capacity must not be lent to work that can't be
 * stopped cheaply. Without that limit a burst of claims finds the pool full of long work
 * without checkpoints, and all of its progress is lost when it is stopped.
 */
import type { PlacementTarget } from './capacity-snapshot.js'
import { acceleratorsOf } from './job.js'
import type { JobState } from './job-state.js'
import { CLAIM_PEAK_DECAY_MILLISECONDS, MINIMUM_EXPECTED_CLAIM_SHARE } from './limits.js'

/** Expects the demand of claims to return to its recent peak, which decays over time. */
export class ClaimDemand {
  #peak = 0
  #observedAt = -Infinity

  /** Records the accelerators that claims currently hold or wait for, and returns how many more they are expected to need. */
  observe (claimedAccelerators: number, guaranteedAccelerators: number, now: number): number {
    const age = Math.max(0, now - this.#observedAt)
    this.#peak = Math.max(claimedAccelerators, this.#peak * Math.exp(-age / CLAIM_PEAK_DECAY_MILLISECONDS))
    this.#observedAt = now
    return Math.max(this.#peak - claimedAccelerators, MINIMUM_EXPECTED_CLAIM_SHARE * (guaranteedAccelerators - claimedAccelerators))
  }
}

/**
 * Counts the accelerators that a set of jobs holds or waits for.
 *
 * @example
 * acceleratorsOfJobs(claims)
 */
export function acceleratorsOfJobs (jobs: Iterable<JobState>): number {
  let sum = 0
  for (const { job } of jobs) sum += Math.max(...job.steps.map(acceleratorsOf))
  return sum
}

/**
 * Counts the accelerators that are free, or held by work that saves checkpoints and is no claim.
 *
 * @example
 * lendableAccelerators(snapshot.targets, claims)
 */
export function lendableAccelerators (targets: readonly PlacementTarget[], claims: ReadonlySet<JobState>): number {
  let available = 0
  for (const { free, server } of targets) {
    let reclaimable = free.accelerators
    for (const [{ job, specification }, count] of server.acceleratorTasksOf) {
      if (specification.savesCheckpoints && !claims.has(job)) reclaimable += count * specification.need.accelerators
    }
    available += Math.max(0, reclaimable)
  }
  return available
}
