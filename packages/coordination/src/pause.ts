/** A cancellable delay on a given clock. */
import type { Clock } from '@cornelgauge/ports'

/**
 * Resolves after the delay, or as soon as the signal aborts.
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
