/**
 * Capped exponential backoff with full jitter: the delay before try n is drawn
 * evenly between zero and a ceiling that doubles with n, so that many clients of
 * a service that comes back do not return in step.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Gives a number from 0 to below 1. */
export type Random = () => number

/** Bounds of a backoff, in milliseconds. */
export interface BackoffLimits {
  readonly baseMilliseconds: number
  readonly capMilliseconds: number
}

/** Bounds towards the table service and the object store. */
export const STORE_BACKOFF: BackoffLimits = { baseMilliseconds: 50, capMilliseconds: 2000 }

const HIGHEST_EXPONENT = 30

/**
 * A source of random numbers that gives the same ones for the same seed.
 *
 * @example
 * seededRandom(7)() === seededRandom(7)() // true
 */
export function seededRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}

/**
 * Highest delay in milliseconds after so many failed tries, the first being 0.
 *
 * @example
 * backoffCeiling(3, { baseMilliseconds: 50, capMilliseconds: 2000 }) // 400
 */
export function backoffCeiling (failedTries: number, limits: BackoffLimits): number {
  const exponent = Math.min(failedTries, HIGHEST_EXPONENT)
  return Math.min(limits.capMilliseconds, limits.baseMilliseconds * 2 ** exponent)
}

/**
 * The delay in milliseconds before the next try.
 *
 * @example
 * backoffDelay(0, () => 0.5, { baseMilliseconds: 50, capMilliseconds: 2000 }) // 25
 */
export function backoffDelay (failedTries: number, random: Random, limits: BackoffLimits = STORE_BACKOFF): number {
  return random() * backoffCeiling(failedTries, limits)
}
