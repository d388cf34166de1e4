/**
 * Time as it is handed in: the clock of the machine, or one that tests move by hand.
 */

/** Takes back a timer; of no effect once it has fired. */
export type CancelTimer = () => void

/** Tells the time and calls back later. */
export interface Clock {
  /** Milliseconds since 1970; never goes back within one process. */
  now (): number
  after (delayMilliseconds: number, action: () => void): CancelTimer
}

/** The longest delay that Node's timers take. */
const LONGEST_DELAY_MILLISECONDS = 2_147_483_647

/**
 * The clock of this machine. It is monotonic: a step of the wall clock does not move it.
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

/** A timer that waits for its virtual time. */
interface VirtualTimer {
  readonly at: number
  readonly order: number
  readonly action: () => void
}

/**
 * A clock that moves only when it is told to.
 *
 * @example
 * const clock = new VirtualClock()
 * await clock.advance(50)
 */
export class VirtualClock implements Clock {
  #now: number
  #order = 0
  readonly #timers = new Set<VirtualTimer>()

  constructor (startMilliseconds = 1_000_000) {
    this.#now = startMilliseconds
  }

  now (): number {
    return this.#now
  }

  after (delayMilliseconds: number, action: () => void): CancelTimer {
    const timer = { at: this.#now + Math.max(0, delayMilliseconds), order: this.#order++, action }
    this.#timers.add(timer)
    return () => { this.#timers.delete(timer) }
  }

  /** Moves on and fires each timer that falls due on the way, in order of time. */
  async advance (milliseconds: number): Promise<void> {
    const end = this.#now + milliseconds
    await nextTurn()
    for (let timer = this.#nextTimer(end); timer !== undefined; timer = this.#nextTimer(end)) {
      this.#timers.delete(timer)
      this.#now = timer.at
      timer.action()
      await nextTurn()
    }
    this.#now = end
  }

  #nextTimer (end: number): VirtualTimer | undefined {
    const due = [...this.#timers].filter(timer => timer.at <= end)
    due.sort((left, right) => left.at - right.at || left.order - right.order)
    return due[0]
  }
}

/** Lets everything that is ready to run do so. */
function nextTurn (): Promise<void> {
  return new Promise(resolve => setImmediate(resolve))
}
