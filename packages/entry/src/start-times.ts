/** Measures how long starts wait for their record, in the queue of their backend server, and for their answer. */
import type { StartCommand } from '@cornelgauge/jobs'

/** The longest times of some starts, in whole milliseconds. */
export interface LongestStartTimes {
  /** From the decision until the start is recorded. */
  readonly longestRecordWait: number
  /** From then until a connection is free. */
  readonly longestQueueWait: number
  /** From then until the answer, or the end of its time limit. */
  readonly longestAnswer: number
}

/** When a start passed from one part to the next, on the monotonic clock. */
interface StartTime {
  readonly decidedAt: number
  releasedAt?: number
  sentAt?: number
}

/**
 * Times of the starts of one owner.
 *
 * @example
 * times.noteDecided(command, now)
 * times.noteReleased(command, now)
 * times.noteSent(command, now)
 * times.noteEnded(command, now)
 * times.take().longestQueueWait
 */
export class StartTimes {
  readonly #times = new Map<StartCommand, StartTime>()
  #longest: LongestStartTimes = NO_TIMES

  noteDecided (command: StartCommand, now: number): void {
    this.#times.set(command, { decidedAt: now })
  }

  noteReleased (command: StartCommand, now: number): void {
    const time = this.#times.get(command)
    if (time !== undefined) time.releasedAt = now
  }

  noteSent (command: StartCommand, now: number): void {
    const time = this.#times.get(command)
    if (time !== undefined) time.sentAt = now
  }

  noteEnded (command: StartCommand, now: number): void {
    const time = this.#times.get(command)
    if (time === undefined) return
    this.#times.delete(command)
    const { decidedAt, releasedAt = now, sentAt = now } = time
    const { longestRecordWait, longestQueueWait, longestAnswer } = this.#longest
    this.#longest = {
      longestRecordWait: Math.max(longestRecordWait, Math.round(releasedAt - decidedAt)),
      longestQueueWait: Math.max(longestQueueWait, Math.round(sentAt - releasedAt)),
      longestAnswer: Math.max(longestAnswer, Math.round(now - sentAt))
    }
  }

  /** Returns the longest times of the starts that have ended since the last call. */
  take (): LongestStartTimes {
    const longest = this.#longest
    this.#longest = NO_TIMES
    return longest
  }
}

const NO_TIMES: LongestStartTimes = { longestRecordWait: 0, longestQueueWait: 0, longestAnswer: 0 }
