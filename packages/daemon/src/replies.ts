/** Pending calls to cell owners, by call id. */
import type { CallId, CallReply } from '@cornelgauge/scheduler'

/** Matches the replies of cell owners to the calls that wait for them. */
export class Replies {
  #nextCall = 1
  readonly #waiting = new Map<CallId, (reply: CallReply) => void>()

  /** Number of pending calls. */
  get size (): number {
    return this.#waiting.size
  }

  /** Registers a pending call, which `sendCall` passes to the owner; resolves with the reply. */
  open (sendCall: (call: CallId) => void): Promise<CallReply> {
    return new Promise(resolve => {
      const call = this.#nextCall++ as CallId
      this.#waiting.set(call, resolve)
      sendCall(call)
    })
  }

  /** Settles a call; a second reply to the same call is ignored. */
  settle (call: CallId, reply: CallReply): void {
    const resolve = this.#waiting.get(call)
    this.#waiting.delete(call)
    resolve?.(reply)
  }
}
