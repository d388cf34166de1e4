/**
 * Who comes first. Answers the load that asks more than there is: within a priority,
 * work that earns most for the capacity it takes goes first, and work that waits rises.
 */
import type { JobState } from './job-state.js'

/** Waiting this long doubles the weight of a job, in milliseconds: about the objective of urgent work. */
export const AGE_WEIGHT_MILLISECONDS = 4000
/** The part of a job's worth that doesn't depend on its size, against the part of a mean job's. */
const FIXED_WORTH = 0.3

/** One job that waits, with what decides its place. */
export interface Candidate {
  readonly job: JobState
  readonly priority: number
  /** It claims accelerators that its workspace is guaranteed. */
  readonly isClaim: boolean
  /** Accelerator-milliseconds that it is expected to take. */
  readonly expectedWork: number
  /** The mean of that over its queue. */
  readonly meanWork: number
  readonly waitedMilliseconds: number
}

/**
 * The candidates in the order in which they get capacity.
 *
 * @example
 * const [first] = inOrder(candidates)
 */
export function inOrder (candidates: readonly Candidate[]): readonly Candidate[] {
  const weights = new Map(candidates.map(candidate => [candidate, weightOf(candidate)]))
  return [...candidates].sort((left, right) =>
    Number(right.isClaim) - Number(left.isClaim) ||
    left.priority - right.priority ||
    weights.get(right)! - weights.get(left)!)
}

/** Worth for the capacity it takes, raised with the time it has waited. */
function weightOf ({ expectedWork, meanWork, waitedMilliseconds }: Candidate): number {
  const size = meanWork === 0 ? 1 : expectedWork / meanWork
  const worth = FIXED_WORTH + (1 - FIXED_WORTH) * size
  return (worth / Math.max(size, Number.EPSILON)) * (1 + waitedMilliseconds / AGE_WEIGHT_MILLISECONDS)
}
