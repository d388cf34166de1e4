/** Holds the starts of an owner until they are recorded: the next owner relies on the record. */
import type { StartCommand } from '@cornelgauge/jobs'
import { START_RECORD_MILLISECONDS } from './limits.js'

/** What a gate asks of the planner. */
export interface StartRecord {
  /** True once the progress is stored that records where the run of a start may be. */
  isRecorded: (command: StartCommand) => boolean
  /** True if a start is still to be sent. */
  isStartDue: (command: StartCommand) => boolean
  /** Notes that a start is sent before it is recorded. */
  noteUnrecordedStart: (command: StartCommand) => void
}

/** Starts that leave a gate. */
export interface ReleasedStarts {
  /** To be sent now. */
  readonly due: readonly StartCommand[]
  /** Never to be sent: not needed any more, or not recorded in time. */
  readonly dropped: readonly StartCommand[]
}

/**
 * Holds starts until they are recorded, for a limited time.
 *
 * @example
 * gate.add(command, now)
 * const { due, dropped } = gate.release(now, false)
 */
export class StartGate {
  readonly #record: StartRecord
  /** Starts that aren't recorded yet, with the time at which they were decided. */
  readonly #waiting = new Map<StartCommand, number>()
  #isLate = false

  constructor (record: StartRecord) {
    this.#record = record
  }

  /** True if the store has not recorded earlier starts in time, and nothing since: further ones would only wait. */
  get isLate (): boolean {
    return this.#isLate
  }

  add (command: StartCommand, now: number): void {
    this.#waiting.set(command, now)
  }

  /** Notes that the store has recorded something. */
  noteStored (): void {
    this.#isLate = false
  }

  /**
   * Removes and returns the starts that need not wait any longer. Those that the store doesn't record in time are dropped,
   * or are due all the same if `mayStartUnrecorded` (see `RecordedStarts`).
   */
  release (now: number, mayStartUnrecorded: boolean): ReleasedStarts {
    const due: StartCommand[] = []
    const dropped: StartCommand[] = []
    for (const [command, since] of this.#waiting) {
      const isRecorded = this.#record.isRecorded(command)
      const isDue = this.#record.isStartDue(command)
      if (isDue && !isRecorded && now - since >= START_RECORD_MILLISECONDS) this.#isLate = true
      if (!isDue) {
        dropped.push(command)
      } else if (isRecorded) {
        due.push(command)
      } else if (this.#isLate && mayStartUnrecorded) {
        this.#record.noteUnrecordedStart(command)
        due.push(command)
      } else if (this.#isLate) {
        dropped.push(command)
      } else {
        continue
      }
      this.#waiting.delete(command)
    }
    return { due, dropped }
  }

  /** Removes and returns all starts, which are never sent. */
  clear (): readonly StartCommand[] {
    const dropped = [...this.#waiting.keys()]
    this.#waiting.clear()
    return dropped
  }
}
