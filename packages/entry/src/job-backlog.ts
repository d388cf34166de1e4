/**
 * The jobs that wait in the store, since the owner already plans as many as it may. Of each it keeps an entry of some 200
 * bytes, whatever the size of the job.
 */
import { planningLoad, type Job, type JobId, type PoolName, type QueueName } from '@cornelgauge/jobs'

/** A job that can wait in the store: nothing of it has started. */
export interface WaitingJob {
  readonly id: JobId
  readonly queue: QueueName
  readonly pool: PoolName
  readonly priority: number
  /** Milliseconds since 1970. */
  readonly acceptedAt: number
  readonly load: number
  /** How often it was planned for a while, and nothing of it started. */
  readonly turn: number
}

/**
 * Returns the entry of a job.
 *
 * @example
 * backlog.add(waitingJobOf(job))
 */
export function waitingJobOf (job: Job): WaitingJob {
  const { id, queue, pool, terms, acceptedAt } = job
  return { id, queue, pool, priority: terms?.priority ?? 0, acceptedAt, load: planningLoad(job), turn: 0 }
}

/**
 * Compares the order in which jobs are planned: those that had fewer turns first, then those with the higher priority, then
 * the earlier ones.
 *
 * @example
 * comparePlanningOrder(job, other) < 0 // job is planned first
 */
export function comparePlanningOrder (job: WaitingJob, other: WaitingJob): number {
  return job.turn - other.turn || job.priority - other.priority || job.acceptedAt - other.acceptedAt || (job.id < other.id ? -1 : 1)
}

/** Entries in planning order. */
export class OrderedJobs<Entry extends WaitingJob = WaitingJob> {
  #entries: Entry[] = []

  get size (): number {
    return this.#entries.length
  }

  add (entry: Entry): void {
    let low = 0
    let high = this.#entries.length
    while (low < high) {
      const middle = (low + high) >> 1
      if (comparePlanningOrder(this.#entries[middle]!, entry) < 0) low = middle + 1
      else high = middle
    }
    this.#entries.splice(low, 0, entry)
  }

  get first (): Entry | undefined {
    return this.#entries[0]
  }

  get last (): Entry | undefined {
    return this.#entries.at(-1)
  }

  removeFirst (): void {
    this.#entries.shift()
  }

  removeLast (): void {
    this.#entries.pop()
  }

  /** Removes and returns the entries that match. */
  remove (isMatch: (entry: Entry) => boolean): readonly Entry[] {
    const removed: Entry[] = []
    const kept: Entry[] = []
    for (const entry of this.#entries) (isMatch(entry) ? removed : kept).push(entry)
    this.#entries = kept
    return removed
  }
}

/**
 * Entries by pool, so that the jobs of one pool don't hold up those of another.
 *
 * @example
 * backlog.add(waitingJobOf(job))
 * const next = backlog.takeNext(pool => planner.plannedLoad(pool), 2)
 */
export class JobBacklog {
  readonly #entries = new Map<JobId, WaitingJob>()
  readonly #pools = new Map<PoolName, OrderedJobs>()
  readonly #counts = new Map<QueueName, number>()

  get size (): number {
    return this.#entries.size
  }

  has (id: JobId): boolean {
    return this.#entries.has(id)
  }

  countOf (queue: QueueName): number {
    return this.#counts.get(queue) ?? 0
  }

  add (entry: WaitingJob): void {
    if (this.has(entry.id)) return
    this.#entries.set(entry.id, entry)
    const jobs = this.#pools.get(entry.pool) ?? new OrderedJobs()
    this.#pools.set(entry.pool, jobs)
    jobs.add(entry)
    this.#counts.set(entry.queue, this.countOf(entry.queue) + 1)
  }

  /** Removes and returns the entry of a job. */
  take (id: JobId): WaitingJob | undefined {
    const entry = this.#entries.get(id)
    if (entry === undefined) return undefined
    this.#entries.delete(id)
    this.#counts.set(entry.queue, this.countOf(entry.queue) - 1)
    return entry
  }

  /** The next job of a pool. */
  firstOf (pool: PoolName): WaitingJob | undefined {
    const jobs = this.#pools.get(pool)
    // Entries that were taken by their ids are left in the order until they are met.
    while (jobs?.first !== undefined && this.#entries.get(jobs.first.id) !== jobs.first) jobs.removeFirst()
    if (jobs?.first === undefined) this.#pools.delete(pool)
    return jobs?.first
  }

  /** Removes and returns the next job, of the pool with the least planning load; undefined if its own load is over the limit. */
  takeNext (loadOf: (pool: PoolName) => number, mostLoad: number): WaitingJob | undefined {
    const firsts = [...this.#pools.keys()].map(pool => this.firstOf(pool)).filter(first => first !== undefined)
    const next = firsts.reduce<WaitingJob | undefined>((least, first) => least === undefined || loadOf(first.pool) < loadOf(least.pool) ? first : least, undefined)
    return next === undefined || next.load > mostLoad ? undefined : this.take(next.id)
  }
}
