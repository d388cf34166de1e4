/**
 * The use of a backend server as it was a while ago.
 */
import type { WatchAnswer } from './backend-server.js'

/** Capacity in use. */
export interface Usage {
  readonly slots: number
  readonly accelerators: number
}

/** Use from a moment on. */
interface UsageSample extends Usage {
  readonly at: number
}

/**
 * Remembers each change of use for as long as its lag asks.
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
    this.#samples = [...this.#dropOld(now), { ...usage, at: now }]
  }

  /** The use that held one lag before now. */
  lagging (now: number): WatchAnswer['usage'] {
    const measuredAt = now - this.#lagMilliseconds
    const sample = this.#samples.findLast(({ at }) => at <= measuredAt)
    return { slots: sample?.slots ?? 0, accelerators: sample?.accelerators ?? 0, measuredAt }
  }

  #dropOld (now: number): readonly UsageSample[] {
    const newest = this.#samples.findLastIndex(({ at }) => at <= now - this.#lagMilliseconds)
    return this.#samples.slice(Math.max(0, newest))
  }
}
