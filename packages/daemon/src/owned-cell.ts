/** A cell that this VM owns: its claim, its lease, and the timer of its ticks. */
import type { CellClaim, HeldLease } from '@cornelgauge/coordination'
import type { Clock } from '@cornelgauge/ports'
import { TICK_MILLISECONDS, type OwnerEvent } from '@cornelgauge/scheduler'

/** Outcome of a drain: all staged work is committed, or the ownership ended before. */
export type DrainOutcome = 'drained' | 'stopped'

/** One ownership of a cell, from the claim to its end. */
export class OwnedCell {
  readonly claim: CellClaim
  lease: HeldLease
  readonly #abort: AbortController
  readonly #clock: Clock
  readonly #put: (event: OwnerEvent) => void
  #serving = false
  #cancelTick: () => void = () => {}
  #tickAt = Infinity
  #resolveDrain: ((outcome: DrainOutcome) => void) | undefined

  constructor (claim: CellClaim, lease: HeldLease, abort: AbortController, clock: Clock, put: (event: OwnerEvent) => void) {
    this.claim = claim
    this.lease = lease
    this.#abort = abort
    this.#clock = clock
    this.#put = put
  }

  /** Aborted when the ownership ends. */
  get signal (): AbortSignal {
    return this.#abort.signal
  }

  /** True from the end of the recovery until the cell is drained or given up. */
  get isServing (): boolean {
    return this.#serving
  }

  /** Starts serving, and the periodic tick. */
  startServing (): void {
    this.#serving = true
    this.scheduleTick(this.#clock.now() + TICK_MILLISECONDS)
  }

  /** Queues an event for the owner, unless the cell is not being served. */
  put (event: OwnerEvent): void {
    if (this.#serving) this.#put(event)
  }

  /** Ensures that a tick occurs no later than at this time. */
  scheduleTick (at: number): void {
    if (!this.#serving || at >= this.#tickAt) return
    this.#cancelTick()
    this.#tickAt = at
    this.#cancelTick = this.#clock.after(Math.max(at - this.#clock.now(), 0), () => { this.#tick() })
  }

  /** Has the owner commit all staged work; resolves when that is done or the ownership has ended. */
  drain (): Promise<DrainOutcome> {
    if (!this.#serving) return Promise.resolve('stopped')
    return new Promise(resolve => {
      this.#resolveDrain = resolve
      this.#put({ type: 'drain' })
    })
  }

  /** Called when the owner is drained: stops serving. */
  finishDrain (): void {
    this.#serving = false
    this.#resolveDrain?.('drained')
  }

  /** Ends the ownership on this VM; does not release the owner row. */
  stop (): void {
    this.#serving = false
    this.#cancelTick()
    this.#abort.abort()
    this.#resolveDrain?.('stopped')
  }

  #tick (): void {
    this.#tickAt = Infinity
    this.scheduleTick(this.#clock.now() + TICK_MILLISECONDS)
    this.put({ type: 'tick' })
  }
}
