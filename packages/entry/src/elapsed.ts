/**
 * Elapsed time as the larger of two clocks' readings: the steady clock stops
 * while a VM is suspended, and the wall clock may be set back.
 */

/** A point in time on both clocks, in milliseconds. */
export interface Moment {
  readonly steady: number
  readonly wall: number
}

/**
 * The current time on both clocks.
 *
 * @example
 * const started = moment()
 */
export function moment (): Moment {
  return { steady: performance.now(), wall: Date.now() }
}

/**
 * Upper bound on the milliseconds since a point in time.
 *
 * @example
 * elapsedSince(started)
 */
export function elapsedSince (since: Moment, now: Moment = moment()): number {
  return Math.max(now.steady - since.steady, now.wall - since.wall)
}

/**
 * The point in time that many milliseconds before another one.
 *
 * @example
 * before(moment(), 500)
 */
export function before ({ steady, wall }: Moment, milliseconds: number): Moment {
  return { steady: steady - milliseconds, wall: wall - milliseconds }
}
