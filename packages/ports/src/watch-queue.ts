/**
 * Watch calls that wait for a change.
 */
import { CornelgaugeError, type CellName } from '@cornelgauge/model'
import type { OwnerClaim } from './backend-server.js'
import type { CancelTimer, Clock } from './clock.js'

/** One waiting call. */
interface Waiter {
  readonly claim: OwnerClaim
  readonly wake: () => void
  readonly refuse: (failure: CornelgaugeError) => void
  readonly cancelTimer: CancelTimer
}

/**
 * Holds watch calls until something changes, their time is over, or a newer owner comes.
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

  /** Resolves at the next change for the cell, or when the time is over. Fails with `stale-epoch`. */
  wait (claim: OwnerClaim, waitMilliseconds: number): Promise<void> {
    return new Promise((resolve, reject) => {
      const waiter: Waiter = {
        claim,
        wake: () => { if (this.#drop(waiter)) resolve() },
        refuse: failure => { if (this.#drop(waiter)) reject(failure) },
        cancelTimer: this.#clock.after(waitMilliseconds, () => waiter.wake())
      }
      this.#waiters.add(waiter)
    })
  }

  wake (cell: CellName): void {
    for (const waiter of this.#of(cell)) waiter.wake()
  }

  wakeAll (): void {
    for (const waiter of [...this.#waiters]) waiter.wake()
  }

  /** Ends the calls of owners older than this one. */
  refuseOlder ({ cell, epoch }: OwnerClaim): void {
    for (const waiter of this.#of(cell)) {
      if (waiter.claim.epoch < epoch) waiter.refuse(new CornelgaugeError('stale-epoch', { members: { highestEpoch: epoch } }))
    }
  }

  #of (cell: CellName): readonly Waiter[] {
    return [...this.#waiters].filter(({ claim }) => claim.cell === cell)
  }

  #drop (waiter: Waiter): boolean {
    waiter.cancelTimer()
    return this.#waiters.delete(waiter)
  }
}
