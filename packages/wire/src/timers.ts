/** Time as this package sees it, handed in so that tests can drive it. */
export interface Timers {
  /** Milliseconds that never go back. */
  now (): number
  /** Calls back once after a delay; the result cancels it. */
  after (milliseconds: number, callback: () => void): CancelTimer
}

/** Cancels a timer; without effect once it has fired. */
export type CancelTimer = () => void

/** Timers of the process itself. */
export const SYSTEM_TIMERS: Timers = {
  now: () => performance.now(),
  after: (milliseconds, callback) => {
    const timer = setTimeout(callback, milliseconds)
    return () => clearTimeout(timer)
  }
}
