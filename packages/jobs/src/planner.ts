/**
 * The owner of the pools: takes what happens and decides what runs where. It reads
 * no clock and does no I/O, so the same events at the same times give the same commands.
 */
import type { Epoch } from '@cornelgauge/model'
import { takeAdvice } from './advice.js'
import type { Advice, AdviseCommand, Command, StartOutcome, StopOutcome } from './command.js'
import type { Configuration } from './configuration.js'
import type { JobId, QueueName, RunNumber, ServerId, TaskName } from './ids.js'
import type { Job, JobPhase } from './job.js'
import { JobState } from './job-state.js'
import { LEASE_MILLISECONDS, RETENTION_MILLISECONDS } from './limits.js'
import type { JobProgress } from './progress.js'
import { close, dropLapsed, takeNewLife, takeReport, takeStartOutcome, takeStopOutcome } from './reports.js'
import { PLACEMENT_RULES, type PlacementRule } from './placement-rules.js'
import type { RoundTimes } from './placement-round.js'
import { decide } from './round.js'
import type { ServerEntry, ServerReport } from './server.js'
import { PlannerState, type Finding } from './state.js'

/** A job as an owner finds it stored. */
export interface StoredJob {
  readonly job: Job
  readonly isCancelled: boolean
  readonly progress?: JobProgress
}

/** What the next look at a backend server carries. */
export interface LookRequest {
  readonly address: string
  /** Ends up to here are stored. */
  readonly notedPosition: number
  /** Ends are known that aren't stored yet. */
  readonly isNotePending: boolean
  /** End of the lease on its clock; nothing where it isn't renewed. */
  readonly leaseUntil: number | undefined
  readonly isIdle: boolean
}

/** Counts of the planner's load, for logs and metrics. */
export interface PlannerLoad {
  readonly jobsQueued: number
  readonly jobsRunning: number
  readonly runs: number
  readonly serversUsable: number
  readonly servers: number
  readonly acceleratorsFree: number
}

/**
 * Plans the jobs of all pools.
 *
 * @example
 * const planner = new Planner(epoch, stored, now)
 * planner.configure(configuration)
 * planner.list(entries, now)
 * const commands = planner.decide({ now, wallTime })
 */
export class Planner {
  readonly #state: PlannerState

  /** `rules` are left out only to compare. */
  constructor (epoch: Epoch, stored: readonly StoredJob[], times: RoundTimes, rules: readonly PlacementRule[] = PLACEMENT_RULES) {
    this.#state = new PlannerState(epoch, times.now, new Set(rules))
    for (const { job, isCancelled, progress } of stored) {
      const state = new JobState(job, job.acceptedUnder < epoch, progress)
      this.#state.add(state)
      if (isCancelled) this.cancel(job.id, times.wallTime)
    }
  }

  get epoch (): Epoch {
    return this.#state.epoch
  }

  /** Ids of all backend servers that are looked at. */
  get servers (): readonly ServerId[] {
    return [...this.#state.servers.keys()]
  }

  /** Takes the configuration in force. */
  configure (configuration: Configuration): void {
    this.#state.configure(configuration)
  }

  /** Takes the registry's list of backend servers, whole. */
  list (entries: readonly ServerEntry[], now: number): void {
    const listed = new Map(entries.map(entry => [entry.id, entry]))
    for (const server of this.#state.servers.values()) server.isListed = listed.has(server.id)
    for (const entry of entries) {
      const server = this.#state.list(entry, now)
      const isNewLife = entry.life > server.entry.life
      if (isNewLife) takeNewLife(this.#state, server, entry.life, now)
      server.entry = { ...entry, life: Math.max(entry.life, server.entry.life) }
    }
    this.#forgetServers(now)
  }

  /**
   * Takes a job; one that is known stays as it is.
   *
   * @returns false if it was accepted under a newer owner: this one has been replaced
   */
  submit (job: Job): boolean {
    if (job.acceptedUnder > this.epoch) return false
    if (!this.#state.jobs.has(job.id)) this.#state.add(new JobState(job, job.acceptedUnder < this.epoch))
    return true
  }

  /** Cancels a job; one that has ended stays as it is. False if it isn't known. */
  cancel (id: JobId, wallTime: number): boolean {
    const job = this.#state.jobs.get(id)
    if (job?.isOpen === true) {
      close(this.#state, job, 'canceled', 'cancelled', wallTime)
      this.#state.touch(job)
    }
    return job !== undefined
  }

  /** What is told of a job; nothing if it isn't known here. */
  phaseOf (id: JobId): JobPhase | undefined {
    return this.#state.jobs.get(id)?.toldPhase
  }

  /** Jobs of a queue of which nothing has started. */
  queuedIn (queue: QueueName): number {
    return [...this.#state.jobs.values()].filter(job => job.job.queue === queue && job.phase === 'queued').length
  }

  /** What the next look at a backend server carries. */
  lookRequest (id: ServerId, now: number): LookRequest | undefined {
    const server = this.#state.servers.get(id)
    if (server === undefined) return undefined
    // A renewal without an answer may be carried out late; without renewals the leases are sure to lapse.
    const canRenew = server.clockAt(now) > 0 && server.runs.size > 0 && server.missedLooks === 0
    return {
      address: server.entry.address,
      notedPosition: server.notedPosition,
      isNotePending: server.heardPosition > server.notedPosition,
      leaseUntil: canRenew ? server.extendLease(now, LEASE_MILLISECONDS) : undefined,
      isIdle: server.runs.size === 0
    }
  }

  /** Takes the answer to a look. */
  hear (id: ServerId, report: ServerReport, wallTime: number): void {
    const server = this.#state.servers.get(id)
    if (server !== undefined) takeReport(this.#state, server, report, wallTime)
  }

  /** Takes that a look had no answer. */
  miss (id: ServerId): void {
    const server = this.#state.servers.get(id)
    if (server !== undefined) server.missedLooks += 1
  }

  /** Takes the answer to a start. */
  answerStart (id: ServerId, task: TaskName, run: RunNumber, outcome: StartOutcome, now: number): void {
    takeStartOutcome(this.#state, id, task, run, outcome, now)
  }

  /** Takes the answer to a stop. */
  answerStop (id: ServerId, task: TaskName, run: RunNumber, outcome: StopOutcome, now: number): void {
    takeStopOutcome(this.#state, id, task, run, outcome, now)
  }

  /** Takes the answer to a call for advice; nothing if there was none. */
  answerAdvice (command: AdviseCommand, advice: Advice | undefined, now: number): void {
    const step = this.#state.step(command.step)
    if (step !== undefined) takeAdvice(step, command, advice, id => this.#state.servers.get(id)?.entry.life, now)
  }

  /** Jobs whose progress is to be stored, with the change that each is at. */
  get unsaved (): ReadonlyMap<JobId, number> {
    return new Map(this.#state.unsaved)
  }

  /** The progress of a job as it is to be stored. */
  progressOf (id: JobId): JobProgress | undefined {
    return this.#state.jobs.get(id)?.progress
  }

  /** Takes that the progress of jobs is stored as it was at these changes. */
  saved (changes: ReadonlyMap<JobId, number>): void {
    this.#state.saved(changes)
  }

  /** What was learned of tasks and jobs since the last call, for the log. */
  takeFindings (): readonly Finding[] {
    return this.#state.takeFindings()
  }

  /** Decides what starts and stops. */
  decide (times: RoundTimes): readonly Command[] {
    for (const server of this.#state.servers.values()) dropLapsed(this.#state, server, times.now)
    return decide(this.#state, times)
  }

  /** Takes out jobs whose final state has been told long enough, and gives their ids. */
  retire (wallTime: number): readonly JobId[] {
    const retired = [...this.#state.jobs.values()].filter(job => job.isFinalStored && job.runs.length === 0 && wallTime - (job.finishedAt ?? wallTime) > RETENTION_MILLISECONDS)
    for (const { job } of retired) this.#state.jobs.delete(job.id)
    return retired.map(({ job }) => job.id)
  }

  /** Counts for logs and metrics. */
  get load (): PlannerLoad {
    const jobs = [...this.#state.jobs.values()]
    const servers = [...this.#state.servers.values()]
    const usable = servers.filter(server => server.isUsable)
    return {
      jobsQueued: jobs.filter(job => job.phase === 'queued').length,
      jobsRunning: jobs.filter(job => job.phase === 'running').length,
      runs: servers.reduce((sum, server) => sum + server.runs.size, 0),
      serversUsable: usable.length,
      servers: servers.length,
      acceleratorsFree: usable.reduce((sum, server) => sum + server.free.accelerators, 0)
    }
  }

  /** A backend server that is gone for good takes no more looks. */
  #forgetServers (now: number): void {
    for (const server of this.#state.servers.values()) {
      if (!server.isListed && server.runs.size === 0 && server.lapsedBy < now && server.missedLooks > 0) this.#state.servers.delete(server.id)
    }
  }
}
