/**
 * Time as a port: a monotonic clock and one-shot timers, so that every part of
 * this package runs the same on a virtual clock.
 */

/** Takes back a timer that has not fired yet; does nothing after that. */
export type CancelTimer = () => void

/** A monotonic clock of this process with one-shot timers. */
export interface Clock {
  /** Milliseconds since an arbitrary moment; never falls. */
  now (): number
  after (delayMilliseconds: number, action: () => void): CancelTimer
}

/** The clock of the process itself. */
export const systemClock: Clock = {
  now: () => performance.now(),
  after (delayMilliseconds, action) {
    const timer = setTimeout(action, delayMilliseconds)
    return () => clearTimeout(timer)
  }
}

/**
 * Waits, at most until the signal aborts.
 *
 * @example
 * await pause(systemClock, 100, new AbortController().signal)
 */
export function pause (clock: Clock, delayMilliseconds: number, signal: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal.aborted) return resolve()
    const finish = () => {
      cancel()
      signal.removeEventListener('abort', finish)
      resolve()
    }
    const cancel = clock.after(delayMilliseconds, finish)
    signal.addEventListener('abort', finish)
  })
}
