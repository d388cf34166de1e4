/** The clock and timers of this package, injected so that tests can control time. */
export interface Timers {
  /** Monotonic time in milliseconds. */
  now (): number
  /** Calls the callback once after a delay; the returned function cancels it. */
  after (milliseconds: number, callback: () => void): CancelTimer
}

/** Cancels a timer; has no effect once it has fired. */
export type CancelTimer = () => void

/** The timers of the Node.js process. What arrived while its event loop was blocked is read before a callback runs, and may cancel it. */
export const SYSTEM_TIMERS: Timers = {
  now: () => performance.now(),
  after: (milliseconds, callback) => {
    let immediate: NodeJS.Immediate | undefined
    const timer = setTimeout(() => { immediate = setImmediate(callback) }, milliseconds)
    return () => {
      clearTimeout(timer)
      clearImmediate(immediate)
    }
  }
}
