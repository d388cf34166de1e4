/**
 * What the policy has measured: how long the work of each workspace and kind
 * runs, and how unevenly each kind arrives.
 */

/** Measured run times, as counts in buckets of half an octave. */
export interface Durations {
  readonly count: number
  readonly sumMilliseconds: number
  readonly buckets: readonly number[]
}

/** Slots that arrive in each window of time: slow and fast moving averages, and the variance. */
export interface Arrivals {
  /** Number of the window that is being filled. */
  readonly window: number
  readonly slots: number
  readonly slowMean: number
  readonly fastMean: number
  readonly variance: number
}

const BUCKETS = 64
const BUCKETS_PER_OCTAVE = 2
const MOST_COUNTED = 256
/** How many measured run times the declaration is worth. */
const DECLARATION_WEIGHT = 4

export const ARRIVAL_WINDOW_MILLISECONDS = 1000
const SLOW_WEIGHT = 1 / 64
const FAST_WEIGHT = 1 / 4
const MOST_EMPTY_WINDOWS = 512

export const NO_DURATIONS: Durations = { count: 0, sumMilliseconds: 0, buckets: [] }

function bucketOf (milliseconds: number): number {
  return Math.min(BUCKETS - 1, Math.max(0, Math.round(Math.log2(Math.max(1, milliseconds)) * BUCKETS_PER_OCTAVE)))
}

/** The run times with one more; old ones fade once there are many. */
export function recordDuration (durations: Durations, milliseconds: number): Durations {
  const fade = durations.count >= MOST_COUNTED ? 0.5 : 1
  const bucket = bucketOf(milliseconds)
  const buckets = Array.from({ length: Math.max(durations.buckets.length, bucket + 1) },
    (_, index) => (durations.buckets[index] ?? 0) * fade)
  buckets[bucket] = (buckets[bucket] as number) + 1
  return { count: durations.count * fade + 1, sumMilliseconds: durations.sumMilliseconds * fade + milliseconds, buckets }
}

/** The expected run time: the measured mean, shrunk towards the declaration while little is known. */
export function meanDuration (durations: Durations, declaredMilliseconds: number): number {
  const known = durations.sumMilliseconds + DECLARATION_WEIGHT * declaredMilliseconds
  return known / (durations.count + DECLARATION_WEIGHT)
}

/** How many run times must have been measured before a refusal may rest on them. */
const LEAST_MEASURED = 8

/** The measured mean; 0 while too little is measured to refuse anybody for it. */
export function measuredMean (durations: Durations): number {
  return durations.count < LEAST_MEASURED ? 0 : durations.sumMilliseconds / durations.count
}

/** A quantile of the measured run times; 0 while too little is measured to refuse anybody for it. */
export function measuredQuantile (durations: Durations, quantile: number): number {
  if (durations.count < LEAST_MEASURED) return 0
  const wanted = quantile * durations.count
  let passed = 0
  const bucket = durations.buckets.findIndex(count => {
    passed += count
    return passed >= wanted
  })
  return 2 ** (Math.max(0, bucket) / BUCKETS_PER_OCTAVE)
}

/** A quantile of the run time, from measured ones and the declaration. */
export function quantileDuration (durations: Durations, declaredMilliseconds: number, quantile: number): number {
  const declaredBucket = bucketOf(declaredMilliseconds)
  const wanted = quantile * (durations.count + DECLARATION_WEIGHT)
  const length = Math.max(durations.buckets.length, declaredBucket + 1)
  let passed = 0
  for (let bucket = 0; bucket < length; bucket++) {
    passed += (durations.buckets[bucket] ?? 0) + (bucket === declaredBucket ? DECLARATION_WEIGHT : 0)
    if (passed >= wanted) return 2 ** (bucket / BUCKETS_PER_OCTAVE)
  }
  return 2 ** ((length - 1) / BUCKETS_PER_OCTAVE)
}

/** The arrivals with some slots more at a moment. */
export function recordArrival (arrivals: Arrivals | undefined, slots: number, at: number): Arrivals {
  const window = Math.floor(at / ARRIVAL_WINDOW_MILLISECONDS)
  if (arrivals === undefined) return { window, slots, slowMean: 0, fastMean: 0, variance: 0 }
  const current = advanceArrivals(arrivals, at)
  return { ...current, slots: current.slots + slots }
}

/** Closes the windows that have passed. */
export function advanceArrivals (arrivals: Arrivals, at: number): Arrivals {
  const window = Math.floor(at / ARRIVAL_WINDOW_MILLISECONDS)
  const passed = Math.min(MOST_EMPTY_WINDOWS, window - arrivals.window)
  if (passed <= 0) return arrivals
  let { slots, slowMean, fastMean, variance } = arrivals
  for (let index = 0; index < passed; index++) {
    const difference = slots - slowMean
    variance = (1 - SLOW_WEIGHT) * (variance + SLOW_WEIGHT * difference * difference)
    slowMean += SLOW_WEIGHT * difference
    fastMean += FAST_WEIGHT * (slots - fastMean)
    slots = 0
  }
  return { window, slots, slowMean, fastMean, variance }
}

/**
 * Slots that arrivals keep busy at once, but for rare moments: the mean and some
 * standard deviations, the deviation being that of the measured arrivals.
 */
export function neededSlots (arrivals: Arrivals, meanMilliseconds: number, deviations: number): number {
  const windowsEach = meanMilliseconds / ARRIVAL_WINDOW_MILLISECONDS
  const mean = Math.max(arrivals.slowMean, arrivals.fastMean)
  const dispersion = arrivals.slowMean > 0 ? Math.max(1, arrivals.variance / arrivals.slowMean) : 1
  const busy = mean * windowsEach
  return busy + deviations * Math.sqrt(busy * dispersion)
}
