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
/** A job is worth at most this many times what a mean one is. */
const MOST_WORTH = 4

/** One job that waits, with what decides its place. */
export interface Candidate {
  readonly job: JobState
  readonly priority: number
  /** It claims accelerators that its workspace is guaranteed. */
  readonly isClaim: boolean
  /** Milliseconds of whole backend servers that it is expected to take. */
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
  return fullWeightOf(candidate) * timeFactor(candidate, 0)
}

/**
 * What a candidate earns if it starts now, more than if it starts after a delay; in the
 * unit of `weightOf` times milliseconds of whole backend servers.
 *
 * @example
 * gainOf(candidate, 1500)
 */
export function gainOf (candidate: Candidate, delayMilliseconds: number): number {
  const lost = timeFactor(candidate, 0) - timeFactor(candidate, delayMilliseconds)
  return lost * fullWeightOf(candidate) * candidate.expectedWork
}

/**
 * The weight of work of a priority, of a mean job that is in time.
 *
 * @example
 * weightOfPriority(1) // a quarter of that of the most urgent work
 */
export function weightOfPriority (priority: number): number {
  return PRIORITY_FACTOR ** -priority
}

function fullWeightOf ({ priority, expectedWork, meanWork }: Candidate): number {
  const size = meanWork === 0 ? 1 : expectedWork / meanWork
  const worth = Math.min(MOST_WORTH, FIXED_WORTH + (1 - FIXED_WORTH) * size)
  return weightOfPriority(priority) * (worth / Math.max(size, Number.EPSILON))
}

function timeFactor ({ waitedMilliseconds, remainingMilliseconds, objectiveMilliseconds }: Candidate, delayMilliseconds: number): number {
  const end = waitedMilliseconds + delayMilliseconds + remainingMilliseconds
  if (end <= objectiveMilliseconds) return 1
  return end <= LATEST_OBJECTIVES * objectiveMilliseconds ? LATE_FACTOR : PAST_FACTOR
}
