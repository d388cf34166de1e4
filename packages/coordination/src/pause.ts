/**
 * Waiting on a clock that is handed in.
 */
import type { Clock } from '@cornelgauge/ports'

/**
 * Waits, at most until the signal aborts.
 *
 * @example
 * await pause(systemClock, 100, new AbortController().signal)
 */
export function pause (clock: Clock, delayMilliseconds: number, signal?: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal?.aborted === true) return resolve()
    const finish = () => {
      cancel()
      signal?.removeEventListener('abort', finish)
      resolve()
    }
    const cancel = clock.after(delayMilliseconds, finish)
    signal?.addEventListener('abort', finish)
  })
}
