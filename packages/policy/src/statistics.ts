/**
 * Statistics: a histogram of run times for each kind and workspace, and the mean and
 * variance of the arrivals of each kind.
 */

/** Measured run times: a histogram with two buckets per octave. */
export interface Durations {
  readonly count: number
  readonly sumMilliseconds: number
  readonly buckets: readonly number[]
}

/** Slots that arrive per time window: slow and fast moving averages, and the variance. */
export interface Arrivals {
  /** Number of the current window. */
  readonly windowNumber: number
  readonly slots: number
  readonly slowMean: number
  readonly fastMean: number
  readonly variance: number
}

const BUCKETS = 64
const BUCKETS_PER_OCTAVE = 2
const MAXIMUM_COUNT = 256
/** Weight of the declared run time, as a number of measured ones. */
const DECLARATION_WEIGHT = 4

export const ARRIVAL_WINDOW_MILLISECONDS = 1000
const SLOW_WEIGHT = 1 / 64
const FAST_WEIGHT = 1 / 4
const MAXIMUM_EMPTY_WINDOWS = 512

export const NO_DURATIONS: Durations = { count: 0, sumMilliseconds: 0, buckets: [] }

function bucketOf (milliseconds: number): number {
  return Math.min(BUCKETS - 1, Math.max(0, Math.round(Math.log2(Math.max(1, milliseconds)) * BUCKETS_PER_OCTAVE)))
}

/** Adds a run time. Once `MAXIMUM_COUNT` are counted, the older ones lose half their weight. */
export function recordDuration (durations: Durations, milliseconds: number): Durations {
  const decay = durations.count >= MAXIMUM_COUNT ? 0.5 : 1
  const bucket = bucketOf(milliseconds)
  const buckets = Array.from({ length: Math.max(durations.buckets.length, bucket + 1) },
    (_, index) => (durations.buckets[index] ?? 0) * decay)
  buckets[bucket] = (buckets[bucket] as number) + 1
  return { count: durations.count * decay + 1, sumMilliseconds: durations.sumMilliseconds * decay + milliseconds, buckets }
}

/**
 * Returns the expected run time: the mean of the measured run times and of the declared
 * one, which counts `DECLARATION_WEIGHT` times.
 */
export function meanDuration (durations: Durations, declaredMilliseconds: number): number {
  const total = durations.sumMilliseconds + DECLARATION_WEIGHT * declaredMilliseconds
  return total / (durations.count + DECLARATION_WEIGHT)
}

/** Number of measured run times below which no job is refused on their account. */
const MINIMUM_MEASURED = 8

/** Returns the measured mean, or 0 while fewer than `MINIMUM_MEASURED` run times are known. */
export function measuredMean (durations: Durations): number {
  return durations.count < MINIMUM_MEASURED ? 0 : durations.sumMilliseconds / durations.count
}

/** Returns a quantile of the measured run times, or 0 while fewer than `MINIMUM_MEASURED` are known. */
export function measuredQuantile (durations: Durations, quantile: number): number {
  if (durations.count < MINIMUM_MEASURED) return 0
  const targetCount = quantile * durations.count
  let cumulative = 0
  const bucket = durations.buckets.findIndex(count => {
    cumulative += count
    return cumulative >= targetCount
  })
  return 2 ** (Math.max(0, bucket) / BUCKETS_PER_OCTAVE)
}

/** Returns a quantile of the measured run times and the declared one, which counts `DECLARATION_WEIGHT` times. */
export function quantileDuration (durations: Durations, declaredMilliseconds: number, quantile: number): number {
  const declaredBucket = bucketOf(declaredMilliseconds)
  const targetCount = quantile * (durations.count + DECLARATION_WEIGHT)
  const bucketCount = Math.max(durations.buckets.length, declaredBucket + 1)
  let cumulative = 0
  for (let bucket = 0; bucket < bucketCount; bucket++) {
    cumulative += (durations.buckets[bucket] ?? 0) + (bucket === declaredBucket ? DECLARATION_WEIGHT : 0)
    if (cumulative >= targetCount) return 2 ** (bucket / BUCKETS_PER_OCTAVE)
  }
  return 2 ** ((bucketCount - 1) / BUCKETS_PER_OCTAVE)
}

/** Adds arrived slots to the window of the given time. */
export function recordArrival (arrivals: Arrivals | undefined, slots: number, at: number): Arrivals {
  const windowNumber = Math.floor(at / ARRIVAL_WINDOW_MILLISECONDS)
  if (arrivals === undefined) return { windowNumber, slots, slowMean: 0, fastMean: 0, variance: 0 }
  const current = advanceArrivals(arrivals, at)
  return { ...current, slots: current.slots + slots }
}

/** Closes the windows that have elapsed, updating the averages and the variance. */
export function advanceArrivals (arrivals: Arrivals, at: number): Arrivals {
  const windowNumber = Math.floor(at / ARRIVAL_WINDOW_MILLISECONDS)
  const elapsed = Math.min(MAXIMUM_EMPTY_WINDOWS, windowNumber - arrivals.windowNumber)
  if (elapsed <= 0) return arrivals
  let { slots, slowMean, fastMean, variance } = arrivals
  for (let index = 0; index < elapsed; index++) {
    const difference = slots - slowMean
    variance = (1 - SLOW_WEIGHT) * (variance + SLOW_WEIGHT * difference * difference)
    slowMean += SLOW_WEIGHT * difference
    fastMean += FAST_WEIGHT * (slots - fastMean)
    slots = 0
  }
  return { windowNumber, slots, slowMean, fastMean, variance }
}

/**
 * Returns the number of slots that arrivals rarely exceed at the same time: the
 * expected busy slots plus a number of standard deviations, scaled by the dispersion
 * of the measured arrivals.
 */
export function neededSlots (arrivals: Arrivals, meanMilliseconds: number, standardDeviations: number): number {
  const windowsPerRun = meanMilliseconds / ARRIVAL_WINDOW_MILLISECONDS
  const mean = Math.max(arrivals.slowMean, arrivals.fastMean)
  const dispersion = arrivals.slowMean > 0 ? Math.max(1, arrivals.variance / arrivals.slowMean) : 1
  const busy = mean * windowsPerRun
  return busy + standardDeviations * Math.sqrt(busy * dispersion)
}
