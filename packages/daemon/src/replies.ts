/**
 * Calls into the loop that wait for their reply, by call id.
 */
import type { CallId, CallReply } from '@cornelgauge/scheduler'

/** Pairs calls with their replies. */
export class Replies {
  #nextCall = 1
  readonly #waiting = new Map<CallId, (reply: CallReply) => void>()

  /** Calls that wait at this moment. */
  get size (): number {
    return this.#waiting.size
  }

  /** Opens a call; `ask` puts it into the loop. */
  open (ask: (call: CallId) => void): Promise<CallReply> {
    return new Promise(resolve => {
      const call = this.#nextCall++ as CallId
      this.#waiting.set(call, resolve)
      ask(call)
    })
  }

  /** Settles a call; a second reply to the same call is left out. */
  settle (call: CallId, reply: CallReply): void {
    const resolve = this.#waiting.get(call)
    this.#waiting.delete(call)
    resolve?.(reply)
  }
}
