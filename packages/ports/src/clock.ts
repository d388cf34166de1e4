/**
 * The injected source of time: the system clock, or a virtual clock that tests advance.
 */

/** Cancels a timer; has no effect once it has fired. */
export type CancelTimer = () => void

/** Reads the time and sets timers. */
export interface Clock {
  /** Milliseconds since the Unix epoch; never decreases within one process. */
  now (): number
  after (delayMilliseconds: number, action: () => void): CancelTimer
}

/** The longest delay that Node's timers support. */
const LONGEST_DELAY_MILLISECONDS = 2_147_483_647

/**
 * The clock of this machine. It is monotonic: steps of the wall clock do not affect it.
 *
 * @example
 * systemClock.after(100, () => console.log('a tenth of a second later'))
 */
export const systemClock: Clock = {
  now: () => Math.floor(performance.timeOrigin + performance.now()),
  after: (delayMilliseconds, action) => {
    const timer = setTimeout(action, Math.min(delayMilliseconds, LONGEST_DELAY_MILLISECONDS))
    return () => clearTimeout(timer)
  }
}

/** A pending timer of a `VirtualClock`. */
interface VirtualTimer {
  readonly dueAt: number
  /** Order of creation, which decides between timers due at the same time. */
  readonly sequence: number
  readonly action: () => void
}

/**
 * A clock that advances only by calls of `advance`.
 *
 * @example
 * const clock = new VirtualClock()
 * await clock.advance(50)
 */
export class VirtualClock implements Clock {
  #now: number
  #nextSequence = 0
  readonly #timers = new Set<VirtualTimer>()

  constructor (startMilliseconds = 1_000_000) {
    this.#now = startMilliseconds
  }

  now (): number {
    return this.#now
  }

  after (delayMilliseconds: number, action: () => void): CancelTimer {
    const timer = { dueAt: this.#now + Math.max(0, delayMilliseconds), sequence: this.#nextSequence++, action }
    this.#timers.add(timer)
    return () => { this.#timers.delete(timer) }
  }

  /** Advances the time and fires each timer that becomes due, in order of due time. */
  async advance (milliseconds: number): Promise<void> {
    const target = this.#now + milliseconds
    await yieldToEventLoop()
    for (let timer = this.#nextDueTimer(target); timer !== undefined; timer = this.#nextDueTimer(target)) {
      this.#timers.delete(timer)
      this.#now = timer.dueAt
      timer.action()
      await yieldToEventLoop()
    }
    this.#now = target
  }

  #nextDueTimer (target: number): VirtualTimer | undefined {
    const due = [...this.#timers].filter(timer => timer.dueAt <= target)
    due.sort((left, right) => left.dueAt - right.dueAt || left.sequence - right.sequence)
    return due[0]
  }
}

/** Lets pending promise callbacks and immediates run. */
function yieldToEventLoop (): Promise<void> {
  return new Promise(resolve => setImmediate(resolve))
}
