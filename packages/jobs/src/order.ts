/**
 * Who comes first. Answers the load that asks more than there is: capacity goes to the
 * work that still earns most for the capacity it takes. A job that can't end in time
 * any more earns less, so it gives way to those that can, also of the next priority.
 */
import type { JobState } from './job-state.js'

/** How much more the work of one priority counts than that of the next. */
const PRIORITY_FACTOR = 4
/** What a late answer still counts, against one in time. */
const LATE_FACTOR = 0.25
/** What an answer counts that comes after three times the objective: it's done when nothing else is to do. */
const PAST_FACTOR = 0.01
/** An answer later than this many times its objective helps nobody. */
const LATEST_OBJECTIVES = 3
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
  /** Time that it is still expected to take once it has room. */
  readonly remainingMilliseconds: number
  /** Time from its acceptance in which it should end. */
  readonly objectiveMilliseconds: number
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
    weights.get(right)! - weights.get(left)! ||
    right.waitedMilliseconds - left.waitedMilliseconds)
}

/**
 * What a job still earns for the capacity it takes, against a mean urgent job that is in time.
 *
 * @example
 * weightOf(candidate)
 */
export function weightOf (candidate: Candidate): number {
  const { priority, expectedWork, meanWork } = candidate
  const size = meanWork === 0 ? 1 : expectedWork / meanWork
  const worth = FIXED_WORTH + (1 - FIXED_WORTH) * size
  return PRIORITY_FACTOR ** -priority * (worth / Math.max(size, Number.EPSILON)) * timeFactor(candidate)
}

function timeFactor ({ waitedMilliseconds, remainingMilliseconds, objectiveMilliseconds }: Candidate): number {
  const end = waitedMilliseconds + remainingMilliseconds
  if (end <= objectiveMilliseconds) return 1
  return end <= LATEST_OBJECTIVES * objectiveMilliseconds ? LATE_FACTOR : PAST_FACTOR
}
