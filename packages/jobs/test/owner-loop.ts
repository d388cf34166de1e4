/** The event loop of a simulated owner, which stalls, and afterwards handles what has arrived meanwhile. */
import type { SeededRandom, VirtualTime } from './virtual-time.js'

/**
 * Runs the actions of one owner until it ends.
 *
 * @example
 * loop.after(250, () => poll())
 * loop.stall(1500)
 */
export class OwnerLoop {
  readonly #time: VirtualTime
  readonly #random: SeededRandom
  #stalledUntil = 0
  #hasEnded = false
  #messages: (() => void)[] = []
  #timers: (() => void)[] = []

  constructor (time: VirtualTime, random: SeededRandom) {
    this.#time = time
    this.#random = random
  }

  get now (): number {
    return this.#time.now
  }

  get hasEnded (): boolean {
    return this.#hasEnded
  }

  end (): void {
    this.#hasEnded = true
  }

  /** Runs an action that a message causes. */
  post (action: () => void): void {
    this.#add(this.#messages, action)
  }

  /** Runs an action later; the function that is returned cancels it. */
  after (milliseconds: number, action: () => void): () => void {
    let isCancelled = false
    const cancel = this.#time.after(milliseconds, () => this.#add(this.#timers, () => { if (!isCancelled) action() }))
    return () => {
      isCancelled = true
      cancel()
    }
  }

  /** Handles nothing for some time; then timers and messages in either order. */
  stall (milliseconds: number): void {
    if (this.now >= this.#stalledUntil) this.#time.after(milliseconds, () => this.#resume())
    this.#stalledUntil = Math.max(this.#stalledUntil, this.now + milliseconds)
  }

  #add (backlog: (() => void)[], action: () => void): void {
    if (this.#hasEnded) return
    if (this.now < this.#stalledUntil) backlog.push(action)
    else action()
  }

  #resume (): void {
    if (this.now < this.#stalledUntil) {
      this.#time.after(this.#stalledUntil - this.now, () => this.#resume())
      return
    }
    const actions = this.#random.chance(0.5) ? [...this.#messages, ...this.#timers] : [...this.#timers, ...this.#messages]
    this.#messages = []
    this.#timers = []
    for (const action of actions) if (!this.#hasEnded) action()
  }
}
