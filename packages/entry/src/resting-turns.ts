/** Chooses which begun jobs of which nothing runs go back to the store, so that others can be planned. */
import { planningLoad, type JobId, type RestingJob } from '@cornelgauge/jobs'
import { TURN_JOBS, TURN_MILLISECONDS } from './limits.js'

/** What a choice depends on. */
export interface RestingChoice {
  /** Monotonic time in milliseconds. */
  readonly now: number
  /** Milliseconds since 1970. */
  readonly wallTime: number
  /** Planning load that is needed for others. */
  readonly neededLoad: number
}

/**
 * The begun jobs of which nothing runs, as of the last choice. Those whose next task is due last go first; those whose next
 * task is due soon, or ready, go once nothing of them has run for some time.
 *
 * @example
 * const released = planner.releaseResting(jobs => turns.choose(jobs, { now, wallTime, neededLoad: 500 }))
 */
export class RestingTurns {
  /** Those whose next task is due soon, with the time since which nothing of them runs, as far as it was seen. */
  #since = new Map<JobId, number>()

  choose (jobs: readonly RestingJob[], { now, wallTime, neededLoad }: RestingChoice): readonly RestingJob[] {
    const soon = wallTime + TURN_MILLISECONDS
    const later = jobs.filter(({ nextDueAt }) => nextDueAt > soon).sort((one, other) => other.nextDueAt - one.nextDueAt)
    const due = jobs.filter(({ nextDueAt }) => nextDueAt <= soon)
    this.#since = new Map(due.map(({ job: { id } }) => [id, this.#since.get(id) ?? now]))
    const rested = due.filter(({ job: { id } }) => now - this.#since.get(id)! >= TURN_MILLISECONDS).slice(0, TURN_JOBS)
    let load = neededLoad
    return [...later, ...rested].filter(({ job }) => {
      const isNeeded = load > 0
      load -= planningLoad(job)
      return isNeeded
    })
  }
}
