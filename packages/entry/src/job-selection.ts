/** Selects, while the store is read page by page, which jobs a new owner plans and which wait in the store. */
import { endedForm, MAXIMUM_PLANNED_LOAD, planningLoad, type StoredJob } from '@cornelgauge/jobs'
import { OrderedJobs, waitingJobOf, type WaitingJob } from './job-backlog.js'

/** The selected jobs. */
export interface SelectedJobs {
  /** In the order in which they were accepted. */
  readonly jobs: readonly StoredJob[]
  readonly waiting: readonly WaitingJob[]
}

/**
 * Keeps the jobs with progress, since runs of them may be executing and ends of them may be listed, and of the others as
 * many as an owner may plan: those that come first. A job that has ended is kept without its description.
 *
 * @example
 * const selection = new JobSelection()
 * selection.add({ job, isCancelled: false })
 * const { jobs, waiting } = selection.selected
 */
export class JobSelection {
  readonly #jobs = new Map<string, StoredJob>()
  /** Those that may still have to wait. */
  readonly #unstarted = new OrderedJobs()
  readonly #waiting: WaitingJob[] = []
  #load = 0

  add (stored: StoredJob): void {
    const { job, progress, isCancelled } = stored
    if (isCancelled || progress?.phase !== undefined) {
      this.#jobs.set(job.id, { ...stored, job: endedForm(job) })
      return
    }
    this.#jobs.set(job.id, stored)
    this.#load += planningLoad(job)
    if (progress === undefined) this.#unstarted.add(waitingJobOf(job))
    for (let last = this.#unstarted.last; last !== undefined && this.#load > MAXIMUM_PLANNED_LOAD; last = this.#unstarted.last) {
      this.#unstarted.removeLast()
      this.#jobs.delete(last.id)
      this.#load -= last.load
      this.#waiting.push(last)
    }
  }

  get selected (): SelectedJobs {
    const jobs = [...this.#jobs.values()].sort((left, right) => left.job.acceptedAt - right.job.acceptedAt)
    return { jobs, waiting: this.#waiting }
  }
}
