/**
 * Capped exponential backoff with full jitter: the delay before attempt n is drawn
 * uniformly between zero and a ceiling that doubles with n, so that the clients of
 * a recovering service do not retry in lockstep.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Returns a number from 0 inclusive to 1 exclusive. */
export type Random = () => number

/** Delay limits of a backoff, in milliseconds. */
export interface BackoffLimits {
  readonly baseMilliseconds: number
  readonly capMilliseconds: number
}

/** Backoff limits for calls to the table service and the object store. */
export const STORE_BACKOFF: BackoffLimits = { baseMilliseconds: 50, capMilliseconds: 2000 }

const HIGHEST_EXPONENT = 30

/**
 * Creates a random number generator that returns the same sequence for the same seed.
 *
 * @example
 * seededRandom(7)() === seededRandom(7)() // true
 */
export function seededRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}

/**
 * Returns the longest delay in milliseconds after the given number of failed attempts.
 *
 * @example
 * backoffCeiling(3, { baseMilliseconds: 50, capMilliseconds: 2000 }) // 400
 */
export function backoffCeiling (failedTries: number, limits: BackoffLimits): number {
  const exponent = Math.min(failedTries, HIGHEST_EXPONENT)
  return Math.min(limits.capMilliseconds, limits.baseMilliseconds * 2 ** exponent)
}

/**
 * Draws the delay in milliseconds before the next attempt.
 *
 * @example
 * backoffDelay(0, () => 0.5, { baseMilliseconds: 50, capMilliseconds: 2000 }) // 25
 */
export function backoffDelay (failedTries: number, random: Random, limits: BackoffLimits = STORE_BACKOFF): number {
  return random() * backoffCeiling(failedTries, limits)
}
