/**
 * One cell that this VM owns: its claim, its lease, and the timer of its ticks.
 */
import type { CellClaim, HeldLease } from '@cornelgauge/coordination'
import type { Clock } from '@cornelgauge/ports'
import { TICK_MILLISECONDS, type OwnerEvent } from '@cornelgauge/scheduler'

/** How a drain ended. */
export type DrainOutcome = 'drained' | 'stopped'

/** Holds one ownership from its claim to its end. */
export class OwnedCell {
  readonly claim: CellClaim
  lease: HeldLease
  readonly #abort: AbortController
  readonly #clock: Clock
  readonly #put: (event: OwnerEvent) => void
  #serving = false
  #cancelTick: () => void = () => {}
  #tickAt = Infinity
  #onDrained: ((outcome: DrainOutcome) => void) | undefined

  constructor (claim: CellClaim, lease: HeldLease, abort: AbortController, clock: Clock, put: (event: OwnerEvent) => void) {
    this.claim = claim
    this.lease = lease
    this.#abort = abort
    this.#clock = clock
    this.#put = put
  }

  /** Ends with the ownership. */
  get signal (): AbortSignal {
    return this.#abort.signal
  }

  /** True once recovered and until given up. */
  get isServing (): boolean {
    return this.#serving
  }

  /** Begins to serve and to tick. */
  serve (): void {
    this.#serving = true
    this.wake(this.#clock.now() + TICK_MILLISECONDS)
  }

  /** Puts an event into the loop. */
  put (event: OwnerEvent): void {
    if (this.#serving) this.#put(event)
  }

  /** Sees to it that a tick comes at this time at the latest. */
  wake (at: number): void {
    if (!this.#serving || at >= this.#tickAt) return
    this.#cancelTick()
    this.#tickAt = at
    this.#cancelTick = this.#clock.after(Math.max(at - this.#clock.now(), 0), () => { this.#tick() })
  }

  /** Asks the owner to finish what is staged; resolves when it has, or when the ownership has ended. */
  drain (): Promise<DrainOutcome> {
    if (!this.#serving) return Promise.resolve('stopped')
    return new Promise(resolve => {
      this.#onDrained = resolve
      this.#put({ type: 'drain' })
    })
  }

  /** The owner has finished. */
  drained (): void {
    this.#serving = false
    this.#onDrained?.('drained')
  }

  /** Ends the ownership on this side. */
  stop (): void {
    this.#serving = false
    this.#cancelTick()
    this.#abort.abort()
    this.#onDrained?.('stopped')
  }

  #tick (): void {
    this.#tickAt = Infinity
    this.wake(this.#clock.now() + TICK_MILLISECONDS)
    this.put({ type: 'tick' })
  }
}
