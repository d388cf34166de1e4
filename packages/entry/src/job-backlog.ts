/**
 * The jobs that wait in the store, since the owner already plans as many as it may. Of each it keeps an entry of some 200
 * bytes, whatever the size of the job, and the checkpoints of its tasks that were stopped and have not been started again.
 */
import { planningLoad, type JobId, type PoolName, type QueueName, type RestingJob, type TaskName } from '@cornelgauge/jobs'

/** A job that can wait in the store: nothing of it runs. */
export interface WaitingJob {
  readonly id: JobId
  readonly queue: QueueName
  readonly pool: PoolName
  readonly priority: number
  /** Since when it waits for its turn: it was accepted, became due or left the planner then. Milliseconds since 1970. */
  readonly since: number
  /** When its next task is due, in milliseconds since 1970; -Infinity if one is. */
  readonly dueAt: number
  /** Progress of it is stored. */
  readonly hasProgress: boolean
  /** A task of it has started. */
  readonly hasBegun: boolean
  /** Checkpoints that its tasks continue from. */
  readonly checkpoints: ReadonlyMap<TaskName, string>
  readonly load: number
  /** How often it was planned for a while, and nothing of it started. */
  readonly turn: number
}

/**
 * Returns the entry of a job.
 *
 * @example
 * backlog.add(waitingJobOf(storedRestingForm(job, progress)))
 */
export function waitingJobOf ({ job, nextDueAt, hasProgress, hasBegun, checkpoints }: RestingJob): WaitingJob {
  const { id, queue, pool, terms, acceptedAt } = job
  return { id, queue, pool, priority: terms?.priority ?? 0, since: Math.max(acceptedAt, nextDueAt), dueAt: nextDueAt, hasProgress, hasBegun, checkpoints, load: planningLoad(job), turn: 0 }
}

/**
 * Compares the order in which jobs are planned: those that had fewer turns first, then those with the higher priority, then
 * those that have waited longer.
 *
 * @example
 * comparePlanningOrder(job, other) < 0 // job is planned first
 */
export function comparePlanningOrder (job: WaitingJob, other: WaitingJob): number {
  return job.turn - other.turn || job.priority - other.priority || job.since - other.since || (job.id < other.id ? -1 : 1)
}

/** Entries in an order. */
export class OrderedJobs<Entry extends WaitingJob = WaitingJob> {
  readonly #compare: (entry: Entry, other: Entry) => number
  #entries: Entry[] = []

  constructor (compare: (entry: Entry, other: Entry) => number = comparePlanningOrder) {
    this.#compare = compare
  }

  get size (): number {
    return this.#entries.length
  }

  add (entry: Entry): void {
    let low = 0
    let high = this.#entries.length
    while (low < high) {
      const middle = (low + high) >> 1
      if (this.#compare(this.#entries[middle]!, entry) < 0) low = middle + 1
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
 * Entries by pool, so that the jobs of one pool don't hold up those of another. Entries that aren't due come after all others,
 * and are in no pool yet.
 *
 * @example
 * backlog.add(waitingJobOf(resting))
 * backlog.advance(Date.now())
 * const next = backlog.takeNext(pool => planner.plannedLoad(pool), 2)
 */
export class JobBacklog {
  readonly #entries = new Map<JobId, WaitingJob>()
  readonly #pools = new Map<PoolName, OrderedJobs>()
  readonly #later = new OrderedJobs((entry, other) => entry.dueAt - other.dueAt || (entry.id < other.id ? -1 : 1))
  #wallTime = -Infinity
  readonly #counts = new Map<QueueName, number>()

  get size (): number {
    return this.#entries.size
  }

  /** Planning load of the jobs that are due. */
  get dueLoad (): number {
    let load = 0
    for (const entry of this.#entries.values()) if (entry.dueAt <= this.#wallTime) load += entry.load
    return load
  }

  has (id: JobId): boolean {
    return this.#entries.has(id)
  }

  /** Number of the jobs of a queue of which no task has started. */
  countOf (queue: QueueName): number {
    return this.#counts.get(queue) ?? 0
  }

  add (entry: WaitingJob): void {
    if (this.has(entry.id)) return
    this.#entries.set(entry.id, entry)
    if (!entry.hasBegun) this.#counts.set(entry.queue, this.countOf(entry.queue) + 1)
    if (entry.dueAt > this.#wallTime) this.#later.add(entry)
    else this.#addDue(entry)
  }

  #addDue (entry: WaitingJob): void {
    const jobs = this.#pools.get(entry.pool) ?? new OrderedJobs()
    this.#pools.set(entry.pool, jobs)
    jobs.add(entry)
  }

  /** Adds the jobs that are due by now to their pools. */
  advance (wallTime: number): void {
    this.#wallTime = wallTime
    for (let { first } = this.#later; first !== undefined && first.dueAt <= wallTime; { first } = this.#later) {
      this.#later.removeFirst()
      if (this.#entries.get(first.id) === first) this.#addDue(first)
    }
  }

  /** Removes and returns the entry of a job. */
  take (id: JobId): WaitingJob | undefined {
    const entry = this.#entries.get(id)
    if (entry === undefined) return undefined
    this.#entries.delete(id)
    if (!entry.hasBegun) this.#counts.set(entry.queue, this.countOf(entry.queue) - 1)
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
