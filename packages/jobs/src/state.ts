/** The planner's state. */
import type { Epoch } from '@cornelgauge/model'
import { CapacityHolds } from './capacity-holds.js'
import { dominantShare, isSameCapacity, largestOf, NO_CAPACITY, orLastKnown, type Capacity } from './capacity.js'
import { findJobTask } from './lookup.js'
import type { Configuration, Queue, QueueTerms } from './configuration.js'
import { CrashHistory } from './crash-history.js'
import { Evacuations } from './evacuations.js'
import type { JobId, PoolName, QueueName, RunNumber, ServerId, StepName, TaskName } from './ids.js'
import { runNumber } from './ids.js'
import type { StepSpecification } from './job.js'
import type { JobState } from './job-state.js'
import { ClaimDemand } from './lending.js'
import { INITIAL_RUN_TIME_ESTIMATE_MILLISECONDS, RUNS_PER_EPOCH, LONGEST_STOP_MILLISECONDS, MOVING_AVERAGE_WEIGHT, STOP_TIME_DECAY } from './limits.js'
import { IdleJobs } from './idle-jobs.js'
import type { Crash } from './lost-runs.js'
import { MissingRuns } from './missing-runs.js'
import type { OperatingBounds } from './operating-bounds.js'
import type { PlacementRule } from './placement-rules.js'
import { PendingAcknowledgements } from './pending-acknowledgements.js'
import { PlacementTurns } from './placement-turns.js'
import { PlannedLoads } from './planned-loads.js'
import type { PlannerEvent } from './planner-event.js'
import { RecordedRuns } from './recorded-runs.js'
import { Recovery, type HeldServers, type UnknownEpochs } from './recovery.js'
import { RoundWork } from './round-work.js'
import { RunningGroupCache } from './running-group-cache.js'
import { SearchTurns } from './search-turns.js'
import { Server, type Run, type ServerEntry } from './server.js'
import { ServerSpeeds } from './server-speeds.js'
import { SpeedReport } from './speed-report.js'
import { StartLimit } from './start-limit.js'
import type { StepState } from './step-state.js'
import type { TaskState } from './task-state.js'

/** Numbers of the first and the last change of a job that aren't stored. */
interface UnstoredChanges {
  readonly first: number
  readonly last: number
}

/** Jobs, backend servers, configuration, and changes that are not stored yet. */
export class PlannerState {
  readonly epoch: Epoch
  readonly rules: ReadonlySet<PlacementRule>
  readonly bounds: OperatingBounds
  readonly jobs = new Map<JobId, JobState>()
  /** Jobs that have not ended, in the order of `jobs`. */
  readonly openJobs = new Set<JobState>()
  readonly servers = new Map<ServerId, Server>()
  configuration: Configuration | undefined
  /** When the registry was last read, on our monotonic clock. */
  registryReadAt = -Infinity
  /** Runs whose starts are under way, and some that were. */
  readonly #startingRuns = new Set<Run>()
  /** Runs whose start wasn't answered, until the round in which they are settled or given up. */
  readonly unsettledRuns = new Set<Run>()
  /** Runs that are isolated, until a round in which they have ended or their isolation has. */
  readonly isolatedRuns = new Set<Run>()
  /** Runs whose leases have expired while their backend server was unreachable. */
  readonly missingRuns = new MissingRuns()
  /** Crashes whose cause isn't determined yet. */
  readonly crashes = new Set<Crash>()
  /** Tasks that may have been started as often as one that crashes its backend servers may be. */
  readonly exhaustedTasks = new Set<TaskName>()
  /** Recent crashes of all backend servers. */
  readonly crashHistory: CrashHistory
  /** Jobs that have nothing running though most of the pool is idle. */
  readonly idleJobs = new IdleJobs()
  /** Counts the work of its rounds. */
  readonly work = new RoundWork()
  readonly runningGroups = new RunningGroupCache()
  /** Turns of the claims that need capacity of others, and of the gangs that wait for a reservation. */
  readonly claimTurns = new SearchTurns(this.work)
  readonly reservationTurns = new SearchTurns(this.work)
  /** Turns of the gangs that wait for capacity. */
  readonly placementTurns = new PlacementTurns(this.work)
  readonly claimDemand = new ClaimDemand()
  /** Failure domains in which nothing is started. */
  readonly evacuations = new Evacuations()
  /** Capacity that is being freed for waiting steps. */
  readonly holds = new CapacityHolds()
  /** Speeds of the backend servers, as their runs show them. */
  readonly speeds = new ServerSpeeds()
  readonly speedReport = new SpeedReport()
  /** How many starts may be under way. */
  readonly startLimit = new StartLimit()
  /** All queues ever configured, so that jobs of a removed queue keep its settings. */
  readonly #queues = new Map<QueueName, Queue>()
  /** Queues whose settings have become known since the last call of `takeNewQueues`. */
  #newQueues = new Set<QueueName>()
  /** All pools ever configured, and those of all jobs: they may have runs. */
  readonly #pools = new Set<PoolName>()
  /** Registered backend servers in other pools, each of which was logged. */
  readonly #loggedUnknownServers = new Set<ServerId>()
  /** Tasks that were found by name; their steps keep them too. */
  readonly #tasks = new Map<TaskName, TaskState>()
  /** Planning load of the open jobs. */
  readonly loads = new PlannedLoads()
  /** Jobs whose work is not included in the mean work of their queue yet. */
  #unmeasuredJobs: JobState[] = []
  /** Maximum capacity of a registered backend server in each pool, per resource. */
  readonly #largestCapacities = new Map<PoolName, Capacity>()
  readonly #meanWorks = new Map<QueueName, number>()
  readonly #meanRunTimes = new Map<QueueName, number>()
  #stopMilliseconds = 0
  readonly #unstoredJobs = new Map<JobId, UnstoredChanges>()
  /** Jobs with unstored changes whose progress the store has refused. */
  readonly #refusedJobs = new Set<JobId>()
  /** Ended runs that are acknowledged once they are stored. */
  readonly #acknowledgements = new PendingAcknowledgements()
  #lastChange = 0
  #events: PlannerEvent[] = []
  #runCount = 0
  /** Runs of earlier owners that may be unknown. */
  readonly recovery: Recovery
  /** Which runs are recorded for the next owner. */
  readonly recorded: RecordedRuns
  /** Address of each backend server with recorded runs of earlier owners. */
  readonly #earlierServers = new Map<ServerId, string>()
  /** Tasks with such runs, by backend server. */
  readonly #earlierTasks = new Map<ServerId, Set<TaskState>>()
  /** Jobs that may have runs of earlier owners which their progress doesn't list. */
  readonly #jobsWithUnlistedRuns = new Set<JobState>()
  /** Backend servers that must not be used. */
  #heldServers: HeldServers = new Set<ServerId>()

  constructor (epoch: Epoch, now: number, rules: ReadonlySet<PlacementRule>, bounds: OperatingBounds = {}) {
    this.epoch = epoch
    this.rules = rules
    this.bounds = bounds
    this.crashHistory = new CrashHistory(now)
    this.recovery = new Recovery(epoch, now, this.servers)
    this.recorded = new RecordedRuns(this.recovery, this.servers, () => ({ last: this.#lastChange, oldestUnstored: this.#oldestUnstoredChange() }))
  }

  /** Returns the next run number, above all numbers of earlier owners. */
  nextRun (): RunNumber {
    this.#runCount += 1
    return runNumber(this.epoch * RUNS_PER_EPOCH + this.#runCount)
  }

  /** Replaces the backend servers that get no starts and no renewals of leases, however they answer. */
  holdServers (ids: HeldServers): void {
    if (ids.size === 0 && this.#heldServers.size === 0) return
    this.#heldServers = ids
    for (const server of this.servers.values()) server.isHeld = ids.has(server.id)
  }

  /** Ids of the backend servers that may have runs of this owner or of earlier ones. */
  serversToRecover (now: number): ReadonlySet<ServerId> {
    const ids = new Set(this.recovery.absentServers(now))
    for (const server of this.servers.values()) {
      const hasEnded = !server.isListed && this.recovery.isReplaced(server)
      if (server.mayHaveRuns(now) && !hasEnded) ids.add(server.id)
    }
    return ids
  }

  /** True if a job waits for backend servers that may have runs of it which aren't recorded; the epochs are `recovery.unknownEpochs`. */
  isRecovering (job: JobState, { latest, unrecorded }: UnknownEpochs): boolean {
    return job.mayHaveRunsUnder(unrecorded) || (job.hasUnlistedRuns && job.mayHaveRunsUnder(latest))
  }

  /** Backend servers on which earlier owners have recorded runs that this one doesn't know yet, with their addresses. */
  get earlierServers (): ReadonlyMap<ServerId, string> {
    return this.#earlierServers
  }

  #addEarlierRun (task: TaskState, id: ServerId, address: string): void {
    this.#earlierServers.set(id, address)
    this.#earlierTasks.set(id, (this.#earlierTasks.get(id) ?? new Set<TaskState>()).add(task))
  }

  /** Lets the tasks start whose recorded runs are known by now, or have ended. */
  settleEarlierRuns (now: number): void {
    if (this.#jobsWithUnlistedRuns.size > 0 && this.recovery.unknownEpochs(now).latest === undefined) {
      for (const job of this.#jobsWithUnlistedRuns) job.hasUnlistedRuns = false
      this.#jobsWithUnlistedRuns.clear()
    }
    for (const [id, tasks] of this.#earlierTasks) {
      if (this.recovery.mayHideRuns(id, now)) continue
      this.#earlierTasks.delete(id)
      this.#earlierServers.delete(id)
      for (const task of tasks) this.#settleEarlierRun(task, id)
    }
  }

  /** Forgets a recorded run of an earlier owner. If it has ended, the record must not list it any longer, or the next owner may wait for it. */
  #settleEarlierRun (task: TaskState, id: ServerId): void {
    task.removeEarlierServer(id)
    if (task.isWaiting && task.step.job.isOpen) this.markChanged(task.step.job)
  }

  #oldestUnstoredChange (isLeftOut = (_id: JobId): boolean => false): number {
    let oldest = Infinity
    for (const [id, { first }] of this.#unstoredJobs) if (!isLeftOut(id)) oldest = Math.min(oldest, first)
    return oldest
  }

  /** Applies the configuration in force. */
  configure (configuration: Configuration): void {
    this.configuration = configuration
    for (const queue of configuration.queues) {
      if (!this.#queues.has(queue.name)) this.#newQueues.add(queue.name)
      this.#queues.set(queue.name, queue)
      this.#pools.add(queue.pool)
    }
    for (const { name } of configuration.pools) this.#pools.add(name)
  }

  /** Returns the queues whose settings have become known since the last call. */
  takeNewQueues (): ReadonlySet<QueueName> {
    const queues = this.#newQueues
    this.#newQueues = new Set()
    return queues
  }

  /** Accelerators guaranteed to all workspaces in total. */
  get guaranteedAccelerators (): number {
    return (this.configuration?.workspaces ?? []).reduce((sum, workspace) => sum + workspace.guaranteedAccelerators, 0)
  }

  /** Returns the terms of a job's queue as last configured, or else those under which the job was accepted. */
  termsOf ({ job }: JobState): QueueTerms | undefined {
    return this.#queues.get(job.queue) ?? job.terms
  }

  /** Returns the mean run time of a queue's tasks, in milliseconds. */
  meanRunTime (queue: QueueName): number {
    return this.#meanRunTimes.get(queue) ?? INITIAL_RUN_TIME_ESTIMATE_MILLISECONDS
  }

  /** Returns the dominant share that one task of a step takes of a backend server in a pool. */
  shareOf ({ need }: StepSpecification, pool: PoolName): number {
    return dominantShare(need, this.#largestCapacities.get(pool) ?? NO_CAPACITY)
  }

  /** Returns the expected work of a job, in server-milliseconds: dominant share times run time. */
  workOf ({ job }: JobState): number {
    return job.steps.reduce((sum, step) => sum + step.count * this.shareOf(step, job.pool), 0) * this.meanRunTime(job.queue)
  }

  /** Returns the mean work of a queue's jobs, in server-milliseconds. */
  meanWork (queue: QueueName): number {
    this.#updateMeanWorks()
    return this.#meanWorks.get(queue) ?? 0
  }

  /** Adds an accepted job. */
  addJob (job: JobState): void {
    this.jobs.set(job.job.id, job)
    this.#pools.add(job.job.pool)
    if (job.isOpen) {
      this.openJobs.add(job)
      this.loads.add(job)
    }
    this.#unmeasuredJobs.push(job)
    if (job.hasUnlistedRuns) this.#jobsWithUnlistedRuns.add(job)
    for (const { knownTasks } of job.steps) {
      for (const task of knownTasks) for (const [id, address] of task.earlierServers) this.#addEarlierRun(task, id, address)
    }
  }

  /** Takes a job that has ended out of the open ones. */
  closeJob (job: JobState): void {
    if (this.openJobs.delete(job)) this.loads.remove(job)
  }

  /** Removes a job that has ended, or that is to be planned anew later. */
  removeJob (job: JobState): void {
    this.closeJob(job)
    this.forgetTasks(job)
    this.jobs.delete(job.job.id)
    this.#unmeasuredJobs = this.#unmeasuredJobs.filter(other => other !== job)
  }

  /** Forgets the tasks of a job that were found by name. */
  forgetTasks (job: JobState): void {
    for (const step of job.steps) for (const { name } of step.knownTasks) this.#tasks.delete(name)
  }

  /** Updates the mean works; waits for the first backend server, since work is relative to its capacity. */
  #updateMeanWorks (): void {
    if (this.#largestCapacities.size === 0) return
    for (const job of this.#unmeasuredJobs.splice(0)) {
      if (job.job.steps.length === 0) continue
      const { queue } = job.job
      const work = this.workOf(job)
      const mean = this.#meanWorks.get(queue) ?? work
      this.#meanWorks.set(queue, mean + MOVING_AVERAGE_WEIGHT * (work - mean))
    }
  }

  /** Updates the mean run time of a queue with that of a completed task. */
  recordRunTime (queue: QueueName, milliseconds: number): void {
    const mean = this.meanRunTime(queue)
    this.#meanRunTimes.set(queue, mean + MOVING_AVERAGE_WEIGHT * (milliseconds - mean))
  }

  /** Returns how long a stop takes at most, in milliseconds, as recent ones have shown; 0 before the first. */
  get stopMilliseconds (): number {
    return this.#stopMilliseconds
  }

  /** Updates that with the duration of one stop. */
  recordStopTime (milliseconds: number): void {
    const decayed = this.#stopMilliseconds + STOP_TIME_DECAY * (milliseconds - this.#stopMilliseconds)
    this.#stopMilliseconds = Math.min(LONGEST_STOP_MILLISECONDS, Math.max(milliseconds, decayed))
  }

  /** Finds a task by name. Each round finds the tasks of all runs several times, so names that were parsed are kept. */
  task (name: TaskName): TaskState | undefined {
    const known = this.#tasks.get(name)
    if (known !== undefined) return known
    const task = findJobTask(this.jobs, name)
    if (task?.name === name) this.#tasks.set(name, task)
    return task
  }

  /** Forgets the state of a task if it is done and runs nowhere. */
  release (task: TaskState): void {
    if (task.step.release(task)) this.#tasks.delete(task.name)
  }

  /** Finds a step by name. */
  step (name: StepName): StepState | undefined {
    return this.task(`${name}.0` as TaskName)?.step
  }

  /** Selects the entries whose pool may have runs; before the first configuration, all. Each other one is logged once. */
  inKnownPools (entries: readonly ServerEntry[]): readonly ServerEntry[] {
    if (this.configuration === undefined) return entries
    return entries.filter(({ id, pool }) => {
      if (this.#pools.has(pool)) return true
      if (!this.#loggedUnknownServers.has(id)) this.recordEvent({ type: 'server-pool-unknown', server: id, pool })
      this.#loggedUnknownServers.add(id)
      return false
    })
  }

  /** Returns the backend server of an entry; adds it if it is new. */
  registerServer (entry: ServerEntry, now: number): Server {
    this.recovery.noteRegistered(entry.id, now)
    const known = this.servers.get(entry.id)
    if (known !== undefined) return known
    const server = new Server(entry, Math.max(now, this.recovery.boundsOf(entry.id).until))
    server.isHeld = this.#heldServers.has(entry.id)
    const outageAt = this.missingRuns.outageOf(entry.id)
    if (outageAt !== undefined) server.continueOutage(outageAt)
    this.servers.set(entry.id, server)
    return server
  }

  /** Measures the capacity to which shares and work are relative: the largest of the registered backend servers of each pool. */
  measurePools (entries: readonly ServerEntry[]): void {
    const present = new Map<PoolName, Capacity>()
    for (const { pool, capacity } of entries) present.set(pool, largestOf(present.get(pool) ?? NO_CAPACITY, capacity))
    for (const [pool, capacity] of present) {
      const last = this.#largestCapacities.get(pool)
      const largest = last === undefined ? capacity : orLastKnown(capacity, last)
      if (last !== undefined && isSameCapacity(largest, last)) continue
      this.#largestCapacities.set(pool, largest)
      this.#measureAgain()
    }
  }

  /** Forgets the mean works, which are relative to an earlier capacity, so that they are computed again from all known jobs. */
  #measureAgain (): void {
    this.#meanWorks.clear()
    this.#unmeasuredJobs = [...this.jobs.values()]
  }

  /** Records an event for the log. */
  recordEvent (event: PlannerEvent): void {
    this.#events.push(event)
  }

  /** Returns the events since the last call. */
  drainEvents (): readonly PlannerEvent[] {
    const events = this.#events
    this.#events = []
    return events
  }

  /** Adds a run whose start is under way. */
  noteStarting (run: Run): void {
    this.#startingRuns.add(run)
  }

  /** Returns the runs whose starts are under way. */
  startsUnderWay (): Iterable<Run> {
    for (const run of this.#startingRuns) if (run.state !== 'starting' || this.servers.get(run.server)?.run(run.task, run.run) !== run) this.#startingRuns.delete(run)
    return this.#startingRuns
  }

  /** Marks a job's progress as changed by a start, unless the stored form covers runs that it doesn't list. Returns the number of the change that records it. */
  markStarted (job: JobState): number {
    const { unlistedChange, arePlacementsListed } = job
    const isCovered = !arePlacementsListed && unlistedChange !== undefined && this.isStored(job.job.id, unlistedChange)
    return isCovered ? unlistedChange : this.markChanged(job)
  }

  /** Notes that the progress of a job was encoded with all its changes. If too many of its tasks may run, this form covers starts that it doesn't list. */
  noteEncoded (job: JobState): void {
    if (!job.isOpen || job.arePlacementsListed || job.phase === 'queued') job.unlistedChange = undefined
    else job.unlistedChange ??= this.#unstoredJobs.get(job.job.id)?.last
  }

  /** Marks a job's progress as changed and not stored. Returns the number of the change. */
  markChanged (job: JobState): number {
    job.hasProgress = true
    this.#lastChange += 1
    const first = this.#unstoredJobs.get(job.job.id)?.first ?? this.#lastChange
    this.#unstoredJobs.set(job.job.id, { first, last: this.#lastChange })
    return this.#lastChange
  }

  /** Acknowledges ended runs up to a position, of these jobs among others, once all changes so far are stored. A refused job holds up only its own ends, and those that a backend server has listed after them. */
  acknowledgeWhenStored (server: Server, position: number, jobs: ReadonlySet<JobId>): void {
    this.#acknowledgements.add({ server, incarnation: server.entry.incarnation, position, change: this.#lastChange, jobs })
    if (this.#unstoredJobs.size === this.#refusedJobs.size) this.#acknowledgeStored()
  }

  #acknowledgeStored (): void {
    const oldest = this.#oldestUnstoredChange(id => this.#refusedJobs.has(id))
    this.#acknowledgements.acknowledge(({ change, jobs }) => change < oldest && [...jobs].every(id => this.isStored(id, change)))
  }

  /** Notes that the store has refused the progress of a job: nothing of it is started before it is stored. */
  noteRefused (id: JobId): void {
    if (!this.#refusedJobs.has(id)) this.recordEvent({ type: 'progress-refused', job: id })
    this.#refusedJobs.add(id)
    this.#acknowledgeStored()
  }

  /** True if the store has refused the progress of a job. */
  isRefused (id: JobId): boolean {
    return this.#refusedJobs.has(id)
  }

  /** Jobs with unstored progress, with the number of their last change. */
  get unstoredJobs (): ReadonlyMap<JobId, number> {
    return new Map([...this.#unstoredJobs].map(([id, { last }]) => [id, last]))
  }

  /** Number of jobs with unstored progress. */
  get unstoredCount (): number {
    return this.#unstoredJobs.size
  }

  /** True if a job has unstored progress. */
  isUnstored (id: JobId): boolean {
    return this.#unstoredJobs.has(id)
  }

  /** True if a change of a job is stored. */
  isStored (id: JobId, change: number): boolean {
    return change < (this.#unstoredJobs.get(id)?.first ?? Infinity)
  }

  /** Marks the progress of jobs as stored, as of the given changes. */
  markStored (changes: ReadonlyMap<JobId, number>): void {
    for (const [id, change] of changes) {
      this.#refusedJobs.delete(id)
      const unstored = this.#unstoredJobs.get(id)
      if (unstored?.last === change) this.#unstoredJobs.delete(id)
      else if (unstored !== undefined) this.#unstoredJobs.set(id, { ...unstored, first: Math.max(unstored.first, change + 1) })
      const job = this.jobs.get(id)
      if (job !== undefined && !job.isOpen && !this.#unstoredJobs.has(id)) job.isFinalStored = true
    }
    this.#acknowledgeStored()
  }
}
