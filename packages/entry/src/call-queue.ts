/** Limits the calls to one peer that are under way. */
import { CornelgaugeError } from '@cornelgauge/model'

/**
 * A queue in front of a number of connections. A call that waits for its turn is known not to have been sent, so
 * the time limit of the call itself begins with its turn. How many wait is up to the callers: starts and stops are limited
 * for each backend server.
 *
 * @example
 * const queue = new CallQueue(3)
 * const answer = await queue.run(() => origin.call(request), 600)
 */
export class CallQueue {
  readonly #limit: number
  readonly #waiting = new Set<() => void>()
  #underWay = 0

  /** `limit` is the number of calls that may be under way. */
  constructor (limit: number) {
    this.#limit = limit
  }

  /**
   * Makes a call once fewer than the limit are under way.
   *
   * @throws {CornelgaugeError} `timeout`, with the member `sent` false, if its turn doesn't come in time; else the call's failure
   */
  async run<Result> (call: () => Promise<Result>, waitMilliseconds: number): Promise<Result> {
    if (this.#underWay >= this.#limit) await this.#turn(waitMilliseconds)
    else this.#underWay += 1
    try {
      return await call()
    } finally {
      this.#release()
    }
  }

  /** Resolves once a call that has ended leaves its place to this one. */
  #turn (milliseconds: number): Promise<void> {
    return new Promise((resolve, reject) => {
      let lateness: NodeJS.Immediate | undefined
      const begin = (): void => {
        clearTimeout(timer)
        clearImmediate(lateness)
        resolve()
      }
      const expire = (): void => {
        this.#waiting.delete(begin)
        reject(new CornelgaugeError('timeout', { detail: 'The call was not sent in time', members: { sent: false } }))
      }
      // Answers that arrived while the event loop was blocked are read first: they may let this call begin.
      const timer = setTimeout(() => { lateness = setImmediate(expire) }, milliseconds)
      this.#waiting.add(begin)
    })
  }

  #release (): void {
    const [next] = this.#waiting
    if (next === undefined) {
      this.#underWay -= 1
      return
    }
    this.#waiting.delete(next)
    next()
  }
}
