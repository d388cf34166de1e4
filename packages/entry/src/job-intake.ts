/** Decides which accepted jobs the planner has, and reads those that wait in the store once there is room for them. */
import { pause, systemClock } from '@cornelgauge/coordination'
import { asFailure, CornelgaugeError } from '@cornelgauge/model'
import { MAXIMUM_PLANNED_LOAD, parseTaskName, storedRestingForm, type Job, type JobId, type JobProgress, type Planner, type PoolName, type QueueName, type RestingJob, type ServerReport } from '@cornelgauge/jobs'
import type { EmitEvent } from '@cornelgauge/telemetry'
import { comparePlanningOrder, JobBacklog, OrderedJobs, waitingJobOf, type WaitingJob } from './job-backlog.js'
import { INTAKE_BATCH, STORE_RETRY_MILLISECONDS, TURN_INTERVAL_MILLISECONDS, TURN_JOBS, TURN_MILLISECONDS } from './limits.js'
import { RestingTurns } from './resting-turns.js'

/** Options of an intake. */
export interface JobIntakeOptions {
  readonly planner: Planner
  /** Reads a stored job; undefined if there is none. Fails as the store does, or with `record-damaged`. */
  readonly readJob: (id: JobId) => Promise<Job | undefined>
  /** Reads the stored progress of a job; undefined if there is none. Fails as `readJob`. */
  readonly readProgress: (id: JobId) => Promise<JobProgress | undefined>
  readonly emit: EmitEvent
  /** Called when a job was accepted under a newer owner, which has replaced this one. */
  readonly onReplaced: () => void
  /** Called with any unexpected failure. */
  readonly onCrash: (thrown: unknown) => void
  readonly signal: AbortSignal
  /** Monotonic time in milliseconds. */
  readonly now?: () => number
  /** Milliseconds since 1970. */
  readonly wallTime?: () => number
}

/** Free planning load from which on there is room for most jobs, so that none has to give way. */
const MOST_FREE_LOAD = 50

/** Free planning load up to which begun jobs of which nothing runs give way: at least, and as far as jobs wait that are due. */
const LEAST_FREED_LOAD = MAXIMUM_PLANNED_LOAD / 8
const MOST_FREED_LOAD = MAXIMUM_PLANNED_LOAD / 2

/** A job that the planner has, and that can still be left in the store. */
type PlannedJob = WaitingJob & { readonly plannedAt: number }

/**
 * The way of jobs to the planner. What it may plan is bounded; the other jobs wait in the store and come next, in
 * order, and none is lost. A job of which nothing has started gives way to one that comes before it, and, after some
 * time, to those that had no turn: it may be one that can't run. So does a job that has begun while nothing of it runs; one
 * whose next task isn't due yet gives way at once.
 *
 * @example
 * intake.submit(job)
 * intake.fill()
 */
export class JobIntake {
  readonly #options: Required<JobIntakeOptions>
  readonly #backlog = new JobBacklog()
  /** Jobs that the planner has and that may give way, by pool; those that have started meanwhile are removed when they are met. */
  readonly #planned = new Map<PoolName, OrderedJobs<PlannedJob>>()
  /** Jobs that are being read, each with the end of its read. */
  readonly #reading = new Map<JobId, Promise<boolean>>()
  /** Jobs that are needed whatever room there is, until they are read. */
  readonly #required = new Set<JobId>()
  readonly #resting = new RestingTurns()
  #isFilling = false
  #nextTurnAt = 0

  /** `waiting` are the jobs that the load has left in the store, `planned` those that the planner has got. */
  constructor (options: JobIntakeOptions, { waiting, planned }: { readonly waiting: readonly WaitingJob[], readonly planned: readonly Job[] }) {
    this.#options = { now: () => performance.now(), wallTime: () => Date.now(), ...options }
    this.#backlog.advance(this.#options.wallTime())
    for (const entry of waiting) this.#backlog.add(entry)
    for (const job of planned) if (options.planner.mayRelease(job.id)) this.#notePlanned(waitingJobOf(storedRestingForm(job)))
  }

  /** Number of jobs that wait in the store. */
  get waitingCount (): number {
    return this.#backlog.size
  }

  /** Counts the jobs of a queue that wait in the store and of which no task has started. */
  waitingIn (queue: QueueName): number {
    return this.#backlog.countOf(queue)
  }

  /** Adds a stored job that isn't known; leaves it in the store if there is no room. True if the planner has got it. */
  submit (job: Job): boolean {
    const { planner, onReplaced } = this.#options
    if (job.acceptedUnder > planner.epoch) {
      onReplaced()
      return false
    }
    if (this.#backlog.has(job.id) || this.#reading.has(job.id)) return false
    const entry = waitingJobOf(storedRestingForm(job))
    if (!this.#isLater(entry) && this.#makeRoom(entry)) return this.#plan(job, entry)
    this.#backlog.add(entry)
    return false
  }

  /** Requires a job that waits in the store, since it was cancelled: it is read at once, and ends. */
  require (id: JobId): void {
    if (!this.#backlog.has(id) && !this.#reading.has(id)) return
    this.#required.add(id)
    this.fill()
  }

  /** Begins to read the jobs for which there is room by now. */
  fill (): void {
    if (this.#isFilling || this.#backlog.size === 0 || this.#options.signal.aborted) return
    this.#backlog.advance(this.#options.wallTime())
    this.#takeTurns()
    const batch = this.#nextBatch()
    if (batch.length === 0) return
    this.#isFilling = true
    this.#readAll(batch).catch(this.#options.onCrash).finally(() => { this.#isFilling = false })
  }

  /**
   * Reads the jobs of a report's runs and ends that wait in the store: an owner may have started them without a record, and
   * an end of a job that isn't known would be lost. False if one of them can't be read yet.
   */
  async readJobsOf ({ running, ended }: ServerReport): Promise<boolean> {
    if (this.#backlog.size + this.#reading.size === 0) return true
    const ids = new Set([...running, ...ended].map(({ task }) => parseTaskName(task)?.job).filter(id => id !== undefined))
    const reads = [...ids].map(id => {
      const entry = this.#backlog.take(id)
      return entry === undefined ? this.#reading.get(id) : this.#read(entry)
    })
    return (await Promise.all(reads)).every(isRead => isRead !== false)
  }

  /** The next jobs to be read: those that are required, and as many others as there is room for. */
  #nextBatch (): readonly WaitingJob[] {
    const { planner } = this.#options
    const batch = [...this.#required].slice(0, INTAKE_BATCH).map(id => this.#backlog.take(id)).filter(entry => entry !== undefined)
    let load = planner.plannedLoad()
    while (batch.length < INTAKE_BATCH) {
      const next = this.#backlog.takeNext(pool => planner.plannedLoad(pool), MAXIMUM_PLANNED_LOAD - load)
      if (next === undefined) break
      batch.push(next)
      load += next.load
    }
    return batch
  }

  async #readAll (batch: readonly WaitingJob[]): Promise<void> {
    const read = await Promise.all(batch.map(entry => this.#read(entry)))
    if (!read.every(Boolean)) await pause(systemClock, STORE_RETRY_MILLISECONDS, this.#options.signal)
  }

  /** Reads a job and hands it to the planner; false if it has to be read again. */
  #read (entry: WaitingJob): Promise<boolean> {
    const read = this.#tryRead(entry).finally(() => this.#reading.delete(entry.id))
    read.then(isRead => { if (isRead) this.#required.delete(entry.id) }, this.#options.onCrash)
    this.#reading.set(entry.id, read)
    return read
  }

  async #tryRead (entry: WaitingJob): Promise<boolean> {
    const { readJob, readProgress, emit, signal } = this.#options
    try {
      const [job, progress] = await Promise.all([readJob(entry.id), entry.hasProgress ? readProgress(entry.id) : undefined])
      // Without its progress the job would begin anew.
      if (job !== undefined && entry.hasProgress && progress === undefined) throw new CornelgaugeError('record-damaged', { detail: 'The job has begun, and has no progress' })
      if (job !== undefined && !signal.aborted) this.#plan(job, entry, progress)
      return true
    } catch (thrown) {
      const failure = asFailure(thrown)
      if (failure.code === 'record-damaged') {
        emit('record-unreadable', { details: { record: `${entry.id}: ${failure.message}` } })
        return true
      }
      emit('waiting-job-not-read', { details: { job: entry.id, failure: failure.code } })
      this.#backlog.add(entry)
      return false
    }
  }

  #plan (job: Job, entry: WaitingJob, progress?: JobProgress): boolean {
    const { planner, emit, onReplaced } = this.#options
    if (!planner.submit(job, progress, entry.checkpoints)) {
      onReplaced()
      return false
    }
    this.#notePlanned(entry)
    emit('job-planned', { details: { job: job.id, queue: job.queue, workspace: job.workspace, age: Date.now() - job.acceptedAt } })
    return true
  }

  #notePlanned (entry: WaitingJob): void {
    const jobs = this.#planned.get(entry.pool) ?? new OrderedJobs<PlannedJob>()
    this.#planned.set(entry.pool, jobs)
    jobs.add({ ...entry, plannedAt: this.#options.now() })
    if (jobs.size > 2 * MAXIMUM_PLANNED_LOAD) jobs.remove(({ id }) => !this.#options.planner.mayRelease(id))
  }

  /** True if there is room for a job, also after jobs that come later have given way. */
  #makeRoom (entry: WaitingJob): boolean {
    const { planner } = this.#options
    const first = this.#backlog.firstOf(entry.pool)
    if (first !== undefined && comparePlanningOrder(first, entry) < 0) return false
    while (planner.plannedLoad() + entry.load > MAXIMUM_PLANNED_LOAD) {
      const heaviest = [...this.#planned.keys()].reduce((most, pool) => planner.plannedLoad(pool) > planner.plannedLoad(most) ? pool : most, entry.pool)
      const isBelowShare = planner.plannedLoad(entry.pool) + entry.load <= MAXIMUM_PLANNED_LOAD / Math.max(1, this.#planned.size)
      if (!this.#giveWay(isBelowShare ? heaviest : entry.pool, last => isBelowShare || comparePlanningOrder(entry, last) < 0)) return false
    }
    return true
  }

  /** Leaves the last planned job of a pool in the store that hasn't started, if it is to give way. */
  #giveWay (pool: PoolName, isDue: (last: WaitingJob) => boolean): boolean {
    const jobs = this.#planned.get(pool)
    for (let last = jobs?.last; last !== undefined && isDue(last); last = jobs?.last) {
      jobs!.removeLast()
      const released = this.#options.planner.release(last.id)
      if (released !== undefined) {
        this.#backlog.add({ ...waitingJobOf(released), since: last.since, turn: last.turn })
        return true
      }
    }
    return false
  }

  /** True for a job that the planner need not have yet, since there is little room. */
  #isLater ({ dueAt }: WaitingJob): boolean {
    return dueAt > this.#options.wallTime() + TURN_MILLISECONDS && !this.#hasRoomForMost
  }

  get #hasRoomForMost (): boolean {
    return this.#options.planner.plannedLoad() + MOST_FREE_LOAD <= MAXIMUM_PLANNED_LOAD
  }

  /** If there is no room, lets the jobs give way that were planned for some time and of which nothing has started, or runs: they come again after the others. */
  #takeTurns (): void {
    const { planner } = this.#options
    const now = this.#options.now()
    if (now < this.#nextTurnAt || this.#hasRoomForMost) return
    this.#nextTurnAt = now + TURN_INTERVAL_MILLISECONDS
    this.#releaseResting(now)
    for (const jobs of this.#planned.values()) {
      jobs.remove(({ id }) => !planner.mayRelease(id))
      let count = 0
      const isDue = ({ plannedAt }: PlannedJob): boolean => count < TURN_JOBS && now - plannedAt >= TURN_MILLISECONDS && ++count > 0
      for (const { plannedAt, ...entry } of jobs.remove(isDue)) {
        const released = planner.release(entry.id)
        if (released !== undefined) this.#backlog.add(this.#entryAfterTurn(released, entry.turn + 1))
      }
    }
  }

  /** Lets as many begun jobs give way of which nothing runs as others need room. */
  #releaseResting (now: number): void {
    const { planner, wallTime } = this.#options
    const freedLoad = Math.min(MOST_FREED_LOAD, Math.max(LEAST_FREED_LOAD, this.#backlog.dueLoad))
    const neededLoad = planner.plannedLoad() + freedLoad - MAXIMUM_PLANNED_LOAD
    const released = planner.releaseResting(jobs => this.#resting.choose(jobs, { now, wallTime: wallTime(), neededLoad }))
    for (const job of released) this.#backlog.add(this.#entryAfterTurn(job, job.nextDueAt === -Infinity ? 1 : 0))
  }

  /** The entry of a job that comes again after those that wait already. */
  #entryAfterTurn (released: RestingJob, turn: number): WaitingJob {
    const entry = waitingJobOf(released)
    const now = this.#options.wallTime()
    return { ...entry, since: Math.max(entry.since, now), turn: entry.dueAt <= now ? turn : 0 }
  }
}
