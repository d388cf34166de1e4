/**
 * Pending watch calls, which wait for a change.
 */
import { CornelgaugeError, type CellName } from '@cornelgauge/model'
import type { OwnerClaim } from './backend-server.js'
import type { CancelTimer, Clock } from './clock.js'

/** One pending watch call. */
interface Waiter {
  readonly claim: OwnerClaim
  readonly wake: () => void
  readonly reject: (failure: CornelgaugeError) => void
  readonly cancelTimer: CancelTimer
}

/**
 * Holds watch calls until something changes, their wait time is over, or a newer owner calls.
 *
 * @example
 * await queue.wait(claim, 1000)
 */
export class WatchQueue {
  readonly #clock: Clock
  readonly #waiters = new Set<Waiter>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  get size (): number {
    return this.#waiters.size
  }

  /** Resolves at the next change for the cell or when the time is over. Fails with `stale-epoch` if a newer owner calls. */
  wait (claim: OwnerClaim, waitMilliseconds: number): Promise<void> {
    return new Promise((resolve, reject) => {
      const waiter: Waiter = {
        claim,
        wake: () => { if (this.#remove(waiter)) resolve() },
        reject: failure => { if (this.#remove(waiter)) reject(failure) },
        cancelTimer: this.#clock.after(waitMilliseconds, () => waiter.wake())
      }
      this.#waiters.add(waiter)
    })
  }

  wake (cell: CellName): void {
    for (const waiter of this.#waitersOf(cell)) waiter.wake()
  }

  wakeAll (): void {
    for (const waiter of [...this.#waiters]) waiter.wake()
  }

  /** Fails the calls of earlier owners of the cell. */
  rejectOlderEpochs ({ cell, epoch }: OwnerClaim): void {
    for (const waiter of this.#waitersOf(cell)) {
      if (waiter.claim.epoch < epoch) waiter.reject(new CornelgaugeError('stale-epoch', { members: { highestEpoch: epoch } }))
    }
  }

  #waitersOf (cell: CellName): readonly Waiter[] {
    return [...this.#waiters].filter(({ claim }) => claim.cell === cell)
  }

  /** Removes a call; false if it was already removed. */
  #remove (waiter: Waiter): boolean {
    waiter.cancelTimer()
    return this.#waiters.delete(waiter)
  }
}
