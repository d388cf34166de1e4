/** The pace of one run: how long it would take for all of its work, from the percentages that polls show. */
import { WORK_DONE_PERCENT } from './limits.js'

/** Progress below which a pace is too coarse, since percentages are whole numbers. */
const LEAST_PERCENT = 4
/** Ratio of two paces of one run from which on its backend server has turned slow, or well: more than rounded percentages explain. */
const CHANGE_FACTOR = 2

/** A percentage with its time, in milliseconds. */
export interface ProgressPoint {
  readonly percent: number
  readonly at: number
}

/** What a new percentage shows of a run. */
export interface ObservedPace {
  /** Time that all of its work would take at this pace. */
  readonly milliseconds: number
  /** When its pace was last seen to change, if it is by this percentage. */
  readonly changedAt?: number
}

/**
 * Follows the percentages of one run. A run that resumes from a checkpoint, or that an earlier owner started,
 * has no known beginning: its pace is measured from when its percentage first rises.
 *
 * @example
 * const pace = new RunPace({ percent: 0, at: 1000 })
 * pace.observe(50, 2000)?.milliseconds // 2000
 */
export class RunPace {
  /** Since when its pace has been about the same. */
  #from: ProgressPoint | undefined
  /** The last percentage that showed a pace. */
  #last: ProgressPoint | undefined
  #lastMilliseconds: number | undefined
  #firstPercent: number | undefined

  constructor (beginning?: ProgressPoint) {
    this.#from = beginning
    this.#last = beginning
  }

  /** Adds a percentage; undefined if it shows no pace. A member of a gang that has done its work waits for the others. */
  observe (percent: number, at: number): ObservedPace | undefined {
    if (percent >= WORK_DONE_PERCENT) return undefined
    if (this.#last === undefined) {
      this.#firstPercent ??= percent
      if (percent > this.#firstPercent) this.#from = this.#last = { percent, at }
      return undefined
    }
    const rise = percent - this.#last.percent
    const known = this.#lastMilliseconds
    // One that hardly progresses any longer has at most one percent more than it shows.
    const hasStopped = known !== undefined && timeForAll(this.#last, { percent: percent + 1, at }) > CHANGE_FACTOR * known
    if (rise < LEAST_PERCENT && !hasStopped) return undefined
    const milliseconds = timeForAll(this.#last, { percent: Math.max(percent, this.#last.percent + 1), at })
    const hasChanged = known !== undefined && Math.max(milliseconds / known, known / milliseconds) > CHANGE_FACTOR
    const changedAt = this.#last.at
    if (hasChanged) this.#from = this.#last
    this.#last = { percent, at }
    this.#lastMilliseconds = milliseconds
    return hasChanged ? { milliseconds, changedAt } : { milliseconds: timeForAll(this.#from!, { percent, at }) }
  }

  /** Returns the pace of a run that has done all of its work; undefined if its beginning isn't known. */
  end (at: number): ObservedPace | undefined {
    return this.#from === undefined ? undefined : { milliseconds: timeForAll(this.#from, { percent: 100, at }) }
  }
}

function timeForAll (from: ProgressPoint, to: ProgressPoint): number {
  return Math.max(1, (to.at - from.at) * 100 / (to.percent - from.percent))
}
