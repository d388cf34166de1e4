/** Selects, while the store is read page by page, which jobs a new owner plans and which wait in the store. */
import { endedForm, MAXIMUM_PLANNED_LOAD, MAXIMUM_RUNNING_LOAD, planningLoad, storedRestingForm, type Job, type JobProgress, type StoredJob } from '@cornelgauge/jobs'
import { comparePlanningOrder, OrderedJobs, waitingJobOf, type WaitingJob } from './job-backlog.js'

/** The selected jobs. */
export interface SelectedJobs {
  /** In the order in which they were accepted. */
  readonly jobs: readonly StoredJob[]
  readonly waiting: readonly WaitingJob[]
}

/**
 * Keeps the jobs with recorded runs, and of the others as many as an owner may plan: those that come first. The runs and ends
 * that a backend server lists without a record have their jobs read then. A job that has ended is kept without its description.
 *
 * @example
 * const selection = new JobSelection()
 * selection.add({ job, isCancelled: false })
 * const { jobs, waiting } = selection.selected
 */
export class JobSelection {
  readonly #jobs = new Map<string, StoredJob>()
  /** Those that may still have to wait; the last ones are those that aren't due. */
  readonly #releasable: OrderedJobs
  readonly #waiting: WaitingJob[] = []
  #load = 0
  /** That of the jobs with recorded runs. */
  #runningLoad = 0

  constructor (wallTime = Date.now()) {
    const isLater = ({ dueAt }: WaitingJob): number => dueAt > wallTime ? 1 : 0
    this.#releasable = new OrderedJobs((entry, other) => isLater(entry) - isLater(other) || comparePlanningOrder(entry, other))
  }

  add (stored: StoredJob): void {
    const { job, progress, isCancelled } = stored
    if (isCancelled || progress?.phase !== undefined) {
      this.#jobs.set(job.id, { ...stored, job: endedForm(job) })
      return
    }
    this.#jobs.set(job.id, stored)
    if (mayHaveRuns(progress)) {
      this.#runningLoad += planningLoad(job)
    } else {
      this.#load += planningLoad(job)
      this.#releasable.add(waitingJobOf(storedRestingForm(job, progress)))
    }
    for (let { last } = this.#releasable; last !== undefined && this.#isFull; { last } = this.#releasable) {
      this.#releasable.removeLast()
      this.#jobs.delete(last.id)
      this.#load -= last.load
      this.#waiting.push(last)
    }
  }

  /** Adds a begun job without recorded runs whose progress isn't kept: it is read with it when it comes first. */
  addWaiting (job: Job, hasBegun: boolean): void {
    this.#waiting.push(waitingJobOf({ job, hasProgress: true, hasBegun, nextDueAt: -Infinity, checkpoints: new Map() }))
  }

  get #isFull (): boolean {
    return this.#load + Math.max(0, this.#runningLoad - MAXIMUM_RUNNING_LOAD) > MAXIMUM_PLANNED_LOAD
  }

  get selected (): SelectedJobs {
    const jobs = [...this.#jobs.values()].sort((left, right) => left.job.acceptedAt - right.job.acceptedAt)
    return { jobs, waiting: this.#waiting }
  }
}

/**
 * True if progress records runs that may be executing, or that there may be others.
 *
 * @example
 * mayHaveRuns({ hasBegun: true, steps: {} }) // false
 */
export function mayHaveRuns (progress: JobProgress | undefined): boolean {
  return progress !== undefined && (progress.hasUnlistedRuns === true || Object.values(progress.steps).some(({ placements }) => placements !== undefined))
}
