/**
 * Time that has passed, by the more pessimistic of two clocks: the steady clock
 * stands still while a VM is suspended, and the time of day may be set back.
 */

/** A moment on both clocks, in milliseconds. */
export interface Moment {
  readonly steady: number
  readonly wall: number
}

/**
 * The present moment.
 *
 * @example
 * const started = moment()
 */
export function moment (): Moment {
  return { steady: performance.now(), wall: Date.now() }
}

/**
 * Milliseconds since a moment, at the most.
 *
 * @example
 * elapsedSince(started)
 */
export function elapsedSince (then: Moment, now: Moment = moment()): number {
  return Math.max(now.steady - then.steady, now.wall - then.wall)
}
