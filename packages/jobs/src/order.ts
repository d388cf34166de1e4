/**
 * Orders waiting jobs. Under overload, capacity is given to the jobs with the highest
 * remaining value per unit of work. A job that can no longer meet its objective has a
 * lower value, so jobs that can still meet theirs precede it, even at the next lower priority.
 */
import type { JobState } from './job-state.js'
import type { StepState } from './step-state.js'

/** Ratio between the weights of a priority and the next lower one. */
const PRIORITY_FACTOR = 4
/** Value of a late completion, relative to one in time. */
const LATE_FACTOR = 0.25
/** Value of a completion after `EXPIRY_OBJECTIVES`: above 0, so that such jobs run when nothing else waits. */
const EXPIRED_FACTOR = 0.01
/** A completion later than this many times the objective has no value for the caller. */
export const EXPIRY_OBJECTIVES = 3
/** Part of a job's value that doesn't depend on its size, as a share of a mean job's value. */
const FIXED_VALUE_SHARE = 0.3
/** Upper limit of a job's value, in multiples of a mean job's. */
const MAXIMUM_VALUE = 4

/** A waiting job with the data that determines its position in the order. */
export interface Candidate {
  readonly job: JobState
  readonly priority: number
  /** It claims guaranteed accelerators of its workspace. */
  readonly isClaim: boolean
  /** Expected work, in server-milliseconds. */
  readonly expectedWork: number
  /** Mean work of the jobs in its queue, in server-milliseconds. */
  readonly meanWork: number
  readonly waitedMilliseconds: number
  /** Expected time from its start to its end. */
  readonly remainingMilliseconds: number
  /** Time from acceptance within which it should end. */
  readonly objectiveMilliseconds: number
}

/**
 * Sorts the candidates into the order in which they get capacity.
 *
 * @example
 * const [first] = inPlacementOrder(candidates)
 */
export function inPlacementOrder (candidates: readonly Candidate[]): readonly Candidate[] {
  const weights = new Map(candidates.map(candidate => [candidate, weightOf(candidate)]))
  return [...candidates].sort((left, right) =>
    Number(right.isClaim) - Number(left.isClaim) ||
    weights.get(right)! - weights.get(left)! ||
    right.waitedMilliseconds - left.waitedMilliseconds)
}

/**
 * Returns a job's remaining value per unit of work, relative to a mean urgent job that ends in time.
 *
 * @example
 * weightOf(candidate)
 */
export function weightOf (candidate: Candidate): number {
  return fullWeightOf(candidate) * timeFactor(candidate, 0)
}

/**
 * Returns the value that a candidate gains by starting now instead of after a delay, in the
 * unit of `weightOf` times server-milliseconds.
 *
 * @example
 * gainOf(candidate, 1500)
 */
export function gainOf (candidate: Candidate, delayMilliseconds: number): number {
  const lost = timeFactor(candidate, 0) - timeFactor(candidate, delayMilliseconds)
  return lost * fullWeightOf(candidate) * candidate.expectedWork
}

/**
 * Returns the weight of a priority: that of a mean job that ends in time.
 *
 * @example
 * weightOfPriority(1) // a quarter of that of the most urgent work
 */
export function weightOfPriority (priority: number): number {
  return PRIORITY_FACTOR ** -priority
}

function fullWeightOf ({ priority, expectedWork, meanWork }: Candidate): number {
  const size = meanWork === 0 ? 1 : expectedWork / meanWork
  const value = Math.min(MAXIMUM_VALUE, FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * size)
  return weightOfPriority(priority) * (value / Math.max(size, Number.EPSILON))
}

function timeFactor ({ waitedMilliseconds, remainingMilliseconds, objectiveMilliseconds }: Candidate, delayMilliseconds: number): number {
  const end = waitedMilliseconds + delayMilliseconds + remainingMilliseconds
  if (end <= objectiveMilliseconds) return 1
  return end <= EXPIRY_OBJECTIVES * objectiveMilliseconds ? LATE_FACTOR : EXPIRED_FACTOR
}

/**
 * Returns the number of counted steps in the longest chain of dependencies of a job's last occurrence.
 *
 * @example
 * chainLength(job, step => !step.isDone)
 */
export function chainLength (job: JobState, isCounted: (step: StepState) => boolean): number {
  const lengths: number[] = []
  for (const step of job.lastSteps) {
    const before = Math.max(0, ...step.specification.after.map(number => lengths[number] ?? 0))
    lengths.push(before + (isCounted(step) ? 1 : 0))
  }
  return Math.max(0, ...lengths)
}

/**
 * True if more tasks of the candidates wait than may be started.
 *
 * @example
 * hasMoreWaiting(candidates, 64)
 */
export function hasMoreWaiting (candidates: readonly Candidate[], mostStarts: number): boolean {
  let waiting = 0
  return candidates.some(({ job }) => {
    for (const step of job.waitingSteps()) waiting += step.waitingCount
    return waiting > mostStarts
  })
}
