/**
 * The speed of one backend server, learnt from its runs. It answers a load whose backend servers differ, or turn slow and
 * well again, and no entry of the registry says which.
 */
import type { Estimate } from './step-work.js'

/** Standard deviation of the logarithm of the backend servers' speeds, before anything is known of them. */
const PRIOR_DEVIATION = 0.4
/** Runs that are remembered of each backend server. */
const REMEMBERED_RUNS = 16
/** Time after which a run counts half: a difference between machines lasts, and a change shows in the next runs. */
const HALF_LIFE_MILLISECONDS = 300_000
/** Slowness from which on a backend server has a fault, which passes: it is soon believed to be usual again unless runs show otherwise. */
const FAULT_LOG_SLOWNESS = Math.log(2)
const FAULT_HALF_LIFE_MILLISECONDS = 5000
/** Deviation from the other runs of a backend server from which on a run is probably slow, or fast, by itself. */
const OUTLIER_DEVIATION = 0.6
/** Deviation of two runs in succession from those before from which on the speed has changed. */
const CHANGE_DEVIATION = Math.log(2)
const ROUNDS_OF_WEIGHTING = 4

const PRIOR_PRECISION = 1 / PRIOR_DEVIATION ** 2

/** What one run has shown of its backend server: the logarithm of its time relative to that on a usual one. */
export interface SpeedObservation extends Estimate {
  /** Monotonic clock, in milliseconds. */
  readonly at: number
}

/** The believed logarithm of how many times as long as usual a task takes, and its standard deviation. */
export interface SpeedBelief {
  readonly logSlowness: number
  readonly deviation: number
}

/** The belief of a backend server of which nothing is known. */
export const UNKNOWN_SPEED: SpeedBelief = { logSlowness: 0, deviation: PRIOR_DEVIATION }

/**
 * The runs of one incarnation of a backend server, and the speed that they show.
 *
 * @example
 * const speed = new ServerSpeed()
 * speed.observe(run, { mean: Math.log(1.6), variance: 0.05, at: now })
 * speed.belief(now).logSlowness // towards Math.log(1.6)
 */
export class ServerSpeed {
  /** The last observation of each run, in the order of these. */
  readonly #observations = new Map<object, SpeedObservation>()
  #known: SpeedBelief = UNKNOWN_SPEED
  #knownAt = -Infinity
  #isCurrent = true

  /** Number of runs that it rests on. */
  get runs (): number {
    return this.#observations.size
  }

  /** Replaces what a run has shown. */
  observe (run: object, observation: SpeedObservation): void {
    this.#observations.delete(run)
    this.#forgetIfChanged(observation)
    this.#observations.set(run, observation)
    for (const oldest of this.#observations.keys()) {
      if (this.#observations.size <= REMEMBERED_RUNS) break
      this.#observations.delete(oldest)
    }
    this.#knownAt = Math.max(this.#knownAt, observation.at)
    this.#isCurrent = false
  }

  /** Forgets all but the last two runs if both are far from those before, on the same side. A single one may be long, or short, by itself. */
  #forgetIfChanged ({ mean }: SpeedObservation): void {
    const known = [...this.#observations]
    const before = medianOf(known.slice(0, -1).map(([, observation]) => observation.mean))
    const last = known.at(-1)
    if (known.length < 3 || Math.min(Math.abs(mean - before), Math.abs(last![1].mean - before)) < CHANGE_DEVIATION) return
    if ((mean > before) !== (last![1].mean > before)) return
    this.#observations.clear()
    this.#observations.set(...last!)
  }

  /** Adds what an earlier owner has believed, as one run. */
  inherit ({ logSlowness, deviation }: SpeedBelief, at: number): void {
    const precision = 1 / deviation ** 2 - PRIOR_PRECISION
    if (precision <= 0) return
    this.observe({}, { mean: logSlowness * (precision + PRIOR_PRECISION) / precision, variance: 1 / precision, at })
  }

  /** Forgets what was seen before its speed has changed. */
  forgetBefore (changedAt: number): void {
    for (const [run, { at }] of this.#observations) if (at <= changedAt) this.#observations.delete(run)
    this.#isCurrent = false
  }

  /** Returns its speed; without new runs it comes nearer to the usual one. */
  belief (now: number): SpeedBelief {
    if (!this.#isCurrent) this.#known = this.#weigh()
    this.#isCurrent = true
    if (this.#observations.size === 0) return UNKNOWN_SPEED
    const { logSlowness, deviation } = this.#known
    const precision = (1 / deviation ** 2 - PRIOR_PRECISION) * fading(now - this.#knownAt, logSlowness)
    const share = precision / (precision + PRIOR_PRECISION)
    const fullShare = 1 - PRIOR_PRECISION * deviation ** 2
    return { logSlowness: fullShare <= 0 ? 0 : logSlowness * share / fullShare, deviation: 1 / Math.sqrt(precision + PRIOR_PRECISION) }
  }

  /** The mean of its runs and the prior, where a run that is far from the others counts little. */
  #weigh (): SpeedBelief {
    const observations = [...this.#observations.values()].map(({ mean, variance, at }) => ({ mean, precision: fading(this.#knownAt - at, mean) / variance }))
    let logSlowness = medianOf(observations.map(({ mean }) => mean))
    let precision = 0
    for (let round = 0; round < ROUNDS_OF_WEIGHTING; round += 1) {
      precision = PRIOR_PRECISION
      let weighted = 0
      for (const each of observations) {
        const weight = each.precision / (1 + ((each.mean - logSlowness) / OUTLIER_DEVIATION) ** 2)
        precision += weight
        weighted += weight * each.mean
      }
      logSlowness = weighted / precision
    }
    return { logSlowness, deviation: 1 / Math.sqrt(precision) }
  }
}

/**
 * Returns the median of some numbers; 0 for none.
 *
 * @example
 * medianOf([3, 1, 2]) // 2
 */
export function medianOf (values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right)
  const middle = Math.floor(sorted.length / 2)
  return sorted.length % 2 === 1 ? sorted[middle]! : ((sorted[middle - 1] ?? 0) + (sorted[middle] ?? 0)) / 2
}

function fading (age: number, logSlowness: number): number {
  return 0.5 ** (Math.max(0, age) / (logSlowness > FAULT_LOG_SLOWNESS ? FAULT_HALF_LIFE_MILLISECONDS : HALF_LIFE_MILLISECONDS))
}
