/**
 * The recent capacity usage of a backend server, which it reports with a lag.
 */
import type { WatchResponse } from './backend-server.js'

/** Capacity in use. */
export interface Usage {
  readonly slots: number
  readonly accelerators: number
}

/** Usage from a point in time until the next sample. */
interface UsageSample extends Usage {
  readonly takenAt: number
}

/**
 * Keeps the changes of usage that are needed to report it one lag ago.
 *
 * @example
 * const history = new UsageHistory(1000)
 * history.record({ slots: 1, accelerators: 0 }, clock.now())
 */
export class UsageHistory {
  readonly #lagMilliseconds: number
  #samples: readonly UsageSample[] = []

  constructor (lagMilliseconds: number) {
    this.#lagMilliseconds = lagMilliseconds
  }

  record (usage: Usage, now: number): void {
    this.#samples = [...this.#retainedSamples(now), { ...usage, takenAt: now }]
  }

  /** The usage one lag before `now`. */
  laggedUsage (now: number): WatchResponse['usage'] {
    const measuredAt = now - this.#lagMilliseconds
    const sample = this.#samples.findLast(({ takenAt }) => takenAt <= measuredAt)
    return { slots: sample?.slots ?? 0, accelerators: sample?.accelerators ?? 0, measuredAt }
  }

  /** The samples that a report from `now` on can still need. */
  #retainedSamples (now: number): readonly UsageSample[] {
    const newest = this.#samples.findLastIndex(({ takenAt }) => takenAt <= now - this.#lagMilliseconds)
    return this.#samples.slice(Math.max(0, newest))
  }
}
