/** Everything that the owner of the pools knows. */
import type { Epoch } from '@cornelgauge/model'
import { dominantShare, largestOf, NO_CAPACITY, type Capacity } from './capacity.js'
import { findJobTask } from './lookup.js'
import type { Configuration, Queue } from './configuration.js'
import type { JobId, PoolName, QueueName, RunNumber, ServerId, StepName, TaskName } from './ids.js'
import { runNumber } from './ids.js'
import type { JobPhase, StepSpecification } from './job.js'
import type { JobState, StepState, TaskState } from './job-state.js'
import { ClaimDemand } from './lending.js'
import { FIRST_RUN_GUESS_MILLISECONDS, LEASE_MILLISECONDS, LOST_OWNER_MILLISECONDS, RUNS_PER_EPOCH, RUN_TIME_WEIGHT, SERVER_CLOCK_SLOWEST } from './limits.js'
import type { PlacementRule } from './placement-rules.js'
import { Server, type RunEnd, type ServerEntry } from './server.js'

/** What the planner has learned of a task or job, for the log. */
export type Finding =
  | { readonly type: 'task-ended', readonly task: TaskName, readonly run: RunNumber, readonly server: ServerId, readonly how: RunEnd | 'gone' }
  | { readonly type: 'job-ended', readonly job: JobId, readonly phase: JobPhase, readonly milliseconds: number }

/** The jobs, backend servers and configuration, and what is not stored yet. */
export class PlannerState {
  readonly epoch: Epoch
  readonly rules: ReadonlySet<PlacementRule>
  readonly jobs = new Map<JobId, JobState>()
  readonly servers = new Map<ServerId, Server>()
  configuration: Configuration | undefined
  readonly claimDemand = new ClaimDemand()
  /** Queues of earlier versions, for jobs that were accepted on them. */
  readonly #queues = new Map<QueueName, Queue>()
  /** Jobs whose size isn't in the means yet. */
  readonly #unsized: JobState[] = []
  /** The largest backend server of each pool. */
  readonly #largest = new Map<PoolName, Capacity>()
  readonly #meanWorks = new Map<QueueName, number>()
  readonly #meanRuns = new Map<QueueName, number>()
  /** Jobs whose progress isn't stored, with the change that made them so. */
  readonly #unsaved = new Map<JobId, number>()
  /** Positions in lists of ends, to be noted once a change is stored. */
  #notes: { readonly server: Server, readonly life: number, readonly position: number, readonly change: number }[] = []
  #change = 0
  #findings: Finding[] = []
  #runs = 0
  /** When every run of earlier owners is known of or has lapsed. */
  readonly #inheritedUntil: number
  #isSettled = false

  constructor (epoch: Epoch, now: number, rules: ReadonlySet<PlacementRule>) {
    this.epoch = epoch
    this.rules = rules
    this.#inheritedUntil = now + LEASE_MILLISECONDS / SERVER_CLOCK_SLOWEST + LOST_OWNER_MILLISECONDS
  }

  /** The next run number: above all of earlier owners. */
  nextRun (): RunNumber {
    this.#runs += 1
    return runNumber(this.epoch * RUNS_PER_EPOCH + this.#runs)
  }

  /** True once no run of an earlier owner can be alive unknown. */
  isSettled (now: number): boolean {
    if (this.#isSettled) return true
    const open = [...this.servers.values()].some(server => !server.isJoined && server.lapsedBy > now)
    this.#isSettled = this.servers.size > 0 && !open
    return this.#isSettled || now > this.#inheritedUntil
  }

  /** Takes the configuration in force. */
  configure (configuration: Configuration): void {
    this.configuration = configuration
    for (const queue of configuration.queues) this.#queues.set(queue.name, queue)
  }

  /** Accelerators guaranteed to all workspaces together. */
  get guaranteed (): number {
    return (this.configuration?.workspaces ?? []).reduce((sum, workspace) => sum + workspace.guaranteedAccelerators, 0)
  }

  /** The queue of a job, as it is or last was. */
  queueOf (job: JobState): Queue | undefined {
    return this.#queues.get(job.job.queue)
  }

  /** Mean run time of a queue's tasks, in milliseconds. */
  meanRun (queue: QueueName): number {
    return this.#meanRuns.get(queue) ?? FIRST_RUN_GUESS_MILLISECONDS
  }

  /** The part of a whole backend server of a pool that one task of a step takes. */
  shareOf ({ need }: StepSpecification, pool: PoolName): number {
    return dominantShare(need, this.#largest.get(pool) ?? NO_CAPACITY)
  }

  /** Work of a whole job as it is expected, in milliseconds of whole backend servers. */
  workOf ({ job }: JobState): number {
    return job.steps.reduce((sum, step) => sum + step.count * this.shareOf(step, job.pool), 0) * this.meanRun(job.queue)
  }

  /** Mean work of a queue's jobs, in milliseconds of whole backend servers. */
  meanWork (queue: QueueName): number {
    this.#learnSizes()
    return this.#meanWorks.get(queue) ?? 0
  }

  /** Takes a job that was accepted. */
  add (job: JobState): void {
    this.jobs.set(job.job.id, job)
    this.#unsized.push(job)
  }

  /** Learns the sizes of jobs once a backend server is known to measure them by. */
  #learnSizes (): void {
    if (this.#largest.size === 0) return
    for (const job of this.#unsized.splice(0)) {
      const { queue } = job.job
      const work = this.workOf(job)
      const mean = this.#meanWorks.get(queue) ?? work
      this.#meanWorks.set(queue, mean + RUN_TIME_WEIGHT * (work - mean))
    }
  }

  /** Takes the run time of a task that was done. */
  learnRun (queue: QueueName, milliseconds: number): void {
    const mean = this.meanRun(queue)
    this.#meanRuns.set(queue, mean + RUN_TIME_WEIGHT * (milliseconds - mean))
  }

  /** The task with a name. */
  task (name: TaskName): TaskState | undefined {
    return findJobTask(this.jobs, name)
  }

  /** The step with a name. */
  step (name: StepName): StepState | undefined {
    return findJobTask(this.jobs, `${name}.0` as TaskName)?.step
  }

  /** Adds a backend server, or takes its new entry. */
  list (entry: ServerEntry, now: number): Server {
    this.#largest.set(entry.pool, largestOf(this.#largest.get(entry.pool) ?? NO_CAPACITY, entry.capacity))
    const known = this.servers.get(entry.id)
    if (known !== undefined) return known
    const server = new Server(entry, Math.max(now, this.#inheritedUntil))
    this.servers.set(entry.id, server)
    return server
  }

  /** Keeps a finding for the log. */
  find (finding: Finding): void {
    this.#findings.push(finding)
  }

  /** The findings since the last call. */
  takeFindings (): readonly Finding[] {
    const findings = this.#findings
    this.#findings = []
    return findings
  }

  /** Marks a job's progress as changed. */
  touch (job: JobState): void {
    this.#change += 1
    this.#unsaved.set(job.job.id, this.#change)
  }

  /** Notes ends up to a position once everything changed so far is stored. */
  noteLater (server: Server, position: number): void {
    if (this.#unsaved.size === 0) server.notedPosition = Math.max(server.notedPosition, position)
    else this.#notes.push({ server, life: server.entry.life, position, change: this.#change })
  }

  /** The jobs whose progress is to be stored. */
  get unsaved (): ReadonlyMap<JobId, number> {
    return this.#unsaved
  }

  /** Takes that the progress of jobs is stored as it was at given changes. */
  saved (changes: ReadonlyMap<JobId, number>): void {
    for (const [id, change] of changes) {
      if (this.#unsaved.get(id) === change) this.#unsaved.delete(id)
      const job = this.jobs.get(id)
      if (job !== undefined && !job.isOpen && !this.#unsaved.has(id)) job.isFinalStored = true
    }
    const oldest = Math.min(...this.#unsaved.values(), Infinity)
    for (const { server, life, position, change } of this.#notes) {
      if (change < oldest && server.entry.life === life) server.notedPosition = Math.max(server.notedPosition, position)
    }
    this.#notes = this.#notes.filter(note => note.change >= oldest)
  }
}
