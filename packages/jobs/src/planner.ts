/**
 * The planner: receives events and decides which tasks run on which backend servers. It reads no
 * clock and does no I/O, so the same events at the same times result in the same commands.
 */
import type { Epoch } from '@cornelgauge/model'
import { applyAdvice } from './advice.js'
import { sumFreeAccelerators } from './capacity.js'
import type { Advice, AdviseCommand, Command, StartCommand, StartOutcome, StopCommand, StopOutcome } from './command.js'
import type { Configuration } from './configuration.js'
import { EarlyCancellations } from './early-cancellations.js'
import { applyEvacuations, runsInEvacuated } from './evacuations.js'
import { restoreIdleSince, storedIdleSince } from './idle-jobs.js'
import type { JobId, PoolName, QueueName, RunNumber, ServerId, TaskName } from './ids.js'
import type { Job, JobPhase } from './job.js'
import { endJob, failIfExhausted } from './job-end.js'
import { JobState } from './job-state.js'
import { LEASE_MILLISECONDS, MAXIMUM_ROW_BYTES, RETENTION_MILLISECONDS } from './limits.js'
import { countReplaced, findExhausted } from './lost-runs.js'
import type { JobProgress } from './progress.js'
import { assignUnknownRuns, dropExpired, dropReplaced, applyRestart, applyReport, applyStartOutcome, applyStopOutcome } from './reports.js'
import type { OperatingBounds } from './operating-bounds.js'
import { PLACEMENT_RULES, type PlacementRule } from './placement-rules.js'
import type { RoundTimes } from './placement-round.js'
import type { EarlierRuns, HeldServers, UnrecordedStarts } from './recovery.js'
import { restingForm, restingJobs, type RestingJob } from './resting-jobs.js'
import { decide } from './round.js'
import type { ServerEntry, ServerReport } from './server.js'
import type { PlannerEvent } from './planner-event.js'
import type { SpeedBelief } from './server-speed.js'
import type { StoredSpeed } from './server-speeds.js'
import { PlannerState } from './state.js'

/** A job as loaded from the store. */
export interface StoredJob {
  readonly job: Job
  readonly isCancelled: boolean
  readonly progress?: JobProgress
}

/** Contents of the next poll of a backend server. */
export interface PollRequest {
  readonly address: string
  /** The incarnation to which position and leases refer; undefined if none has answered, or it has restarted since. */
  readonly incarnation: number | undefined
  /** The effects of ended runs up to this position are stored. */
  readonly acknowledgedPosition: number
  /** Ended runs have been reported whose effects aren't stored yet. */
  readonly hasUnstoredEnds: boolean
  /** New end of the leases, on the backend server's clock; undefined if they are not renewed. */
  readonly leaseUntil: number | undefined
  /** Number of its runs. */
  readonly runs: number
}

/** The planner's load, for logs and metrics. */
export interface PlannerLoad {
  readonly jobsQueued: number
  readonly jobsRunning: number
  /** Open jobs in units of an ordinary one; see `planningLoad`. */
  readonly plannedLoad: number
  readonly runs: number
  /** Runs that are being stopped, or whose start or stop isn't confirmed. */
  readonly runsUnresolved: number
  /** Jobs of earlier owners that wait until all of their runs are known. */
  readonly jobsRecovering: number
  readonly serversUnanswered: number
  readonly serversUsable: number
  readonly servers: number
  /** Backend servers whose speed is known to some extent, and those of them that are too slow for the queue with the lowest stretch in their pool. */
  readonly serversTimed: number
  readonly serversSlow: number
  readonly acceleratorsFree: number
  /** Evacuated failure domains, and the runs that are left there. */
  readonly domainsEvacuated: number
  readonly runsEvacuated: number
}

/**
 * Plans the jobs of all pools.
 *
 * @example
 * const planner = new Planner(epoch, stored, { now, wallTime })
 * planner.configure(configuration)
 * planner.updateServers(entries, now)
 * const commands = planner.decide({ now, wallTime })
 */
export class Planner {
  readonly #state: PlannerState
  readonly #earlyCancellations = new EarlyCancellations()
  #lastTimes: RoundTimes

  /** Rules are disabled only for comparisons. */
  constructor (epoch: Epoch, stored: readonly StoredJob[], times: RoundTimes, rules: readonly PlacementRule[] = PLACEMENT_RULES, bounds: OperatingBounds = {}) {
    this.#state = new PlannerState(epoch, times.now, new Set(rules), bounds)
    this.#lastTimes = times
    for (const { job, isCancelled, progress } of stored) {
      const state = new JobState(job, job.acceptedUnder < epoch, progress)
      restoreIdleSince(state, progress?.idleSince, times)
      this.#state.addJob(state)
      findExhausted(this.#state, state)
      if (isCancelled) this.cancel(job.id, times.wallTime)
    }
  }

  get epoch (): Epoch {
    return this.#state.epoch
  }

  /** Ids of all backend servers that are polled. */
  get servers (): readonly ServerId[] {
    return [...this.#state.servers.keys()]
  }

  /**
   * Adds the backend servers that an earlier owner recorded by `serversToRecover`, and the bounds of the runs there that
   * earlier owners recorded by `unreachedServers`. A job of an earlier owner waits until each of them that may have runs of
   * it has answered a poll, also one that isn't registered, or until all leases there have expired. If earlier owners have
   * recorded their starts, all or those after `unrecorded`, this holds only for jobs and servers with others.
   */
  inheritServers (ids: Iterable<ServerId>, bounds: ReadonlyMap<ServerId, EarlierRuns> = new Map(), areStartsRecorded = false, unrecorded?: UnrecordedStarts): void {
    const { recovery, earlierServers } = this.#state
    recovery.inherit(ids, bounds, earlierServers, areStartsRecorded ? undefined : unrecorded ?? recovery.unrecordedStarts)
  }

  /** Ids of the backend servers that may have runs, which a later owner has to know. */
  serversToRecover (now: number): ReadonlySet<ServerId> {
    return this.#state.serversToRecover(now)
  }

  /**
   * Of the given backend servers, those that have not answered this owner, with the bounds of the runs that earlier owners
   * may have there. They hold for the next owner only if this one doesn't use the servers: see `holdServers`.
   */
  unreachedServers (ids: Iterable<ServerId>): ReadonlyMap<ServerId, EarlierRuns> {
    return this.#state.recorded.unreachedServers(ids, this.#lastTimes.now)
  }

  /** Of the given backend servers, those whose runs of the owners up to `upTo`, the last one whose starts may be missing in the record, are recorded; undefined if none are missing. */
  settledServers (ids: Iterable<ServerId>): Pick<UnrecordedStarts, 'upTo' | 'settledServers'> | undefined {
    return this.#state.recorded.settledServers(ids)
  }

  /** Starts of earlier owners that a later one has to look for, as long as those of this owner are recorded; undefined else. */
  get unrecordedStarts (): UnrecordedStarts | undefined {
    return this.#state.recorded.unrecordedStarts
  }

  /** Replaces the backend servers that get no starts and no renewals of leases, since the stored record may list them as unreached. */
  holdServers (ids: HeldServers): void {
    this.#state.holdServers(ids)
  }

  /** True if a backend server is held that has answered, so that it is to be removed from the record's unreached ones. */
  isWaitingForRecord (id: ServerId): boolean {
    const server = this.#state.servers.get(id)
    return server?.hasAnswered === true && server.isHeld
  }

  /** Applies the configuration in force. */
  configure (configuration: Configuration): void {
    this.#state.configure(configuration)
  }

  /** Replaces the failure domains that are evacuated: nothing is started there. */
  evacuate (failureDomains: ReadonlySet<string>, now: number): void {
    applyEvacuations(this.#state, failureDomains, now)
  }

  /**
   * Applies the registry's complete list of backend servers; those in a pool that isn't known are skipped.
   * `unreadable` counts the rows without an entry, which may hide backend servers for a while.
   *
   * @returns the backend servers whose entries newly show a restart that they have not reported
   */
  updateServers (registered: readonly ServerEntry[], now: number, unreadable = 0): readonly ServerId[] {
    this.#state.recovery.unreadableServers = unreadable
    const entries = this.#state.inKnownPools(registered)
    const listed = new Map(entries.map(entry => [entry.id, entry]))
    for (const server of this.#state.servers.values()) server.isListed = listed.has(server.id)
    this.#state.registryReadAt = now
    this.#state.measurePools(entries)
    const times = { now, wallTime: this.#wallTimeAt(now) }
    countReplaced(this.#state, entries.filter(entry => !this.#state.servers.has(entry.id)), times)
    const unreported: ServerId[] = []
    for (const entry of entries) {
      const server = this.#state.registerServer(entry, now)
      if (server.hasRestartedAs(entry.incarnation)) applyRestart(this.#state, server, entry.incarnation, 'registry', times)
      else if (server.mayHaveRestartedAs(entry.incarnation) && entry.incarnation !== server.listedIncarnation) unreported.push(entry.id)
      server.list(entry)
    }
    this.#forgetServers(now)
    return unreported
  }

  /**
   * Adds a job, with its progress if it has any; a job that is already known is not changed. `checkpoints` are those with which
   * it was released.
   *
   * @returns false if it was accepted under a newer owner, which has replaced this one
   */
  submit (job: Job, progress?: JobProgress, checkpoints: ReadonlyMap<TaskName, string> = new Map()): boolean {
    if (job.acceptedUnder > this.epoch) return false
    if (this.#state.jobs.has(job.id)) return true
    const state = new JobState(job, job.acceptedUnder < this.epoch, progress)
    restoreIdleSince(state, progress?.idleSince, this.#lastTimes)
    this.#state.addJob(state)
    findExhausted(this.#state, state)
    failIfExhausted(this.#state, state, this.#lastTimes.wallTime)
    for (const [name, checkpoint] of checkpoints) {
      const task = this.#state.task(name)
      if (task !== undefined) task.checkpoint = checkpoint
    }
    assignUnknownRuns(this.#state)
    const cancelledAt = this.#earlyCancellations.take(job.id)
    if (cancelledAt !== undefined) this.cancel(job.id, cancelledAt)
    return true
  }

  /**
   * Forgets an open job of which nothing is stored or has started, so that it can be submitted again later.
   *
   * @returns the job; undefined if it has to stay
   */
  release (id: JobId): RestingJob | undefined {
    return this.mayRelease(id) ? this.#forget(this.#state.jobs.get(id)!) : undefined
  }

  /** Forgets those that are selected of the open jobs that have begun, of which nothing runs and all progress is stored. They are submitted again later, with their progress. */
  releaseResting (select: (jobs: readonly RestingJob[]) => readonly RestingJob[]): readonly RestingJob[] {
    const jobs = new Map(restingJobs(this.#state).map(job => [job.job.id, job]))
    return select([...jobs.values()].map(restingForm)).map(({ job: { id } }) => this.#forget(jobs.get(id)!))
  }

  #forget (job: JobState): RestingJob {
    const form = restingForm(job)
    this.#state.removeJob(job)
    return form
  }

  /** True if `release` would forget the job. */
  mayRelease (id: JobId): boolean {
    const job = this.#state.jobs.get(id)
    return job?.isOpen === true && !job.hasProgress
  }

  /** Planning load of the open jobs of a pool, or of all pools, as far as it counts towards `MAXIMUM_PLANNED_LOAD`. */
  plannedLoad (pool?: PoolName): number {
    return this.#state.loads.counted(pool)
  }

  /**
   * Cancels a job; a job that has ended is not changed. A job that isn't known yet is cancelled when it is submitted.
   *
   * @returns false if the job isn't known yet
   */
  cancel (id: JobId, wallTime: number): boolean {
    const job = this.#state.jobs.get(id)
    if (job === undefined) {
      this.#earlyCancellations.add(id, wallTime)
      return false
    }
    if (job.isOpen) {
      endJob(this.#state, job, 'canceled', 'cancelled', wallTime)
      this.#state.markChanged(job)
    }
    return true
  }

  /** Returns a job's phase for callers; undefined if the job isn't known. */
  phaseOf (id: JobId): JobPhase | undefined {
    return this.#state.jobs.get(id)?.reportedPhase
  }

  /** Counts the jobs of a queue that have not started. */
  queuedIn (queue: QueueName): number {
    return [...this.#state.openJobs].filter(job => job.job.queue === queue && job.phase === 'queued').length
  }

  /** Prepares the next poll of a backend server; undefined if it isn't known. */
  pollRequest (id: ServerId, now: number): PollRequest | undefined {
    const server = this.#state.servers.get(id)
    if (server === undefined) return undefined
    // An unanswered renewal may still take effect later. Renewing only after an answered poll lets the leases expire for certain.
    const canRenew = server.clockAt(now) > 0 && server.runs.size > 0 && server.missedPolls === 0 && !server.isHeld && this.#state.recorded.mayRenew(server, now)
    return {
      address: server.entry.address,
      incarnation: server.hasAnswered ? server.entry.incarnation : undefined,
      acknowledgedPosition: server.acknowledgedPosition,
      hasUnstoredEnds: server.reportedPosition > server.acknowledgedPosition,
      leaseUntil: canRenew ? server.extendLease(now, LEASE_MILLISECONDS) : undefined,
      runs: server.runs.size
    }
  }

  /** Applies the answer to a poll. */
  applyReport (id: ServerId, report: ServerReport, wallTime: number): void {
    const server = this.#state.servers.get(id)
    if (server !== undefined) applyReport(this.#state, server, report, wallTime)
  }

  /**
   * Records a poll without an answer that was meant for this incarnation. It shows nothing of a later one that has answered since. One
   * that was meant for no known incarnation shows nothing of one that has answered a later poll.
   */
  recordMissedPoll (id: ServerId, incarnation: number | undefined, sentAt = Infinity): void {
    const server = this.#state.servers.get(id)
    if (server === undefined) return
    const isOfEarlier = incarnation === undefined ? sentAt < server.answeredPollAt : server.hasAnswered && incarnation !== server.entry.incarnation
    if (!isOfEarlier) server.missedPolls += 1
  }

  /** Records that another backend server at this address has answered a poll that was meant for this one. */
  recordReplacement (id: ServerId, address: string, sentAt: number): void {
    this.#state.recovery.noteRejection(id, address, sentAt)
  }

  /** True once the progress is stored that records where the run of a start may be. */
  isRecorded ({ job, change }: StartCommand): boolean {
    return this.#state.isStored(job, change)
  }

  /** True if a start that wasn't sent yet is still to be sent: its run isn't to be stopped, the store takes its progress, and the backend server neither drains nor is evacuated nor has restarted, to whose clock its lease refers. */
  isStartDue ({ server: id, incarnation, task, run: number, job }: StartCommand): boolean {
    const server = this.#state.servers.get(id)
    return server?.run(task, number)?.state === 'starting' && server.entry.incarnation === incarnation && !server.hasOtherIncarnation && !server.entry.isDraining && !this.#state.evacuations.has(server) && !this.#state.isRefused(job)
  }

  /** Notes that a start is sent before it is recorded. */
  noteUnrecordedStart ({ change }: StartCommand): void {
    this.#state.recorded.noteUnrecordedStart(change)
  }

  /** True if each run that may be executing is recorded, so that a new owner knows of all starts until now. */
  isRecordComplete (now: number): boolean {
    return this.#state.recorded.isComplete(now)
  }

  /** Applies the outcome of a start command. */
  applyStartOutcome (id: ServerId, task: TaskName, run: RunNumber, outcome: StartOutcome, now: number): void {
    applyStartOutcome(this.#state, id, task, run, outcome, now)
  }

  /** Applies the outcome of a stop command. */
  applyStopOutcome (command: StopCommand, outcome: StopOutcome, now: number): void {
    applyStopOutcome(this.#state, command, outcome, now)
  }

  /** Applies the answer to a request for advice; undefined if there was none. */
  applyAdvice (command: AdviseCommand, advice: Advice | undefined, now: number): void {
    const step = this.#state.step(command.step)
    if (step !== undefined) applyAdvice(step, command, advice, id => this.#state.servers.get(id)?.entry.incarnation, now)
  }

  /** Jobs with unstored progress, with the number of their last change. */
  get unstoredJobs (): ReadonlyMap<JobId, number> {
    return this.#state.unstoredJobs
  }

  /** Number of jobs with unstored progress. */
  get unstoredCount (): number {
    return this.#state.unstoredCount
  }

  /** Returns a job's progress in the form that is stored, and notes whether that lists where its tasks may run: see `markStarted`. */
  progressOf (id: JobId): JobProgress | undefined {
    const job = this.#state.jobs.get(id)
    if (job === undefined) return undefined
    const progress = job.progressWithin(this.#state.bounds.rowBytes ?? MAXIMUM_ROW_BYTES)
    this.#state.noteEncoded(job)
    return { ...progress, ...storedIdleSince(job, this.#lastTimes) }
  }

  /** Marks the progress of jobs as stored, as of these changes. */
  markStored (changes: ReadonlyMap<JobId, number>): void {
    this.#state.markStored(changes)
  }

  /** Notes that the store has refused the progress of a job for good. Nothing of the job is started until its progress is stored. */
  noteRefused (id: JobId): void {
    this.#state.noteRefused(id)
  }

  /** Returns the events of tasks and jobs since the last call, for the log. */
  drainEvents (): readonly PlannerEvent[] {
    return this.#state.drainEvents()
  }

  /** Runs one round, which decides what is started and stopped; without `mayStart` it stops only what can't go on. */
  decide (times: RoundTimes, mayStart = true): readonly Command[] {
    this.#lastTimes = times
    this.#state.settleEarlierRuns(times.now)
    for (const server of this.#state.servers.values()) {
      server.noteOutage(times.now)
      dropReplaced(this.#state, server, times)
      dropExpired(this.#state, server, times.now)
    }
    return decide(this.#state, times, mayStart)
  }

  /** Returns the believed speed of a backend server; undefined if it isn't known. */
  speedOf (id: ServerId): SpeedBelief | undefined {
    const server = this.#state.servers.get(id)
    return server && this.#state.speeds.of(server.entry.pool, this.#state, this.#lastTimes.now).beliefOf(id)
  }

  /** Adds the speeds of backend servers that an earlier owner has stored. */
  inheritSpeeds (stored: Iterable<StoredSpeed>): void {
    this.#state.speeds.inherit(stored, this.#lastTimes.now)
  }

  /** Returns the speeds for the next owner; none while all backend servers are fast enough. */
  speedsToStore (): readonly StoredSpeed[] {
    return this.#state.speeds.toStore(this.#lastTimes.now)
  }

  /** Number of backend servers, running groups and jobs that all rounds so far have examined: their work, whatever the machine. */
  get examinations (): number {
    return this.#state.work.examinations
  }

  /**
   * Removes jobs whose retention time has passed, and returns them. Both clocks have to
   * show it: the time of day may be set forward, also on the VM that wrote when a job ended.
   */
  retire ({ now, wallTime }: RoundTimes): readonly Job[] {
    const retired: Job[] = []
    for (const job of this.#state.jobs.values()) {
      if (!job.isFinalStored || job.hasRuns || this.#state.isUnstored(job.job.id)) continue
      if (job.finalSeenAt === undefined) {
        this.#state.forgetTasks(job)
        job.forgetWork()
        job.finalSeenAt = now
      }
      const age = Math.min(now - job.finalSeenAt, wallTime - (job.finishedAt ?? wallTime))
      if (age > RETENTION_MILLISECONDS) retired.push(job.job)
    }
    for (const { id } of retired) this.#state.removeJob(this.#state.jobs.get(id)!)
    return retired
  }

  /** Removes the cancellations whose jobs haven't arrived within the retention time, and returns their ids. */
  expireCancellations (now: number): readonly JobId[] {
    return this.#earlyCancellations.expire(now)
  }

  /** Current load, for logs and metrics. */
  get load (): PlannerLoad {
    const jobs = [...this.#state.openJobs]
    const servers = [...this.#state.servers.values()]
    const usable = servers.filter(server => server.isUsable && !this.#state.evacuations.has(server))
    const unknownEpochs = this.#state.recovery.unknownEpochs(this.#lastTimes.now)
    return {
      jobsQueued: jobs.filter(job => job.phase === 'queued').length,
      jobsRunning: jobs.filter(job => job.phase === 'running').length,
      plannedLoad: Math.round(this.#state.loads.total),
      runs: servers.reduce((sum, server) => sum + server.runs.size, 0),
      runsUnresolved: servers.reduce((sum, server) => sum + server.stops.size, 0) + [...this.#state.unsettledRuns].filter(run => run.state === 'unconfirmed' && run.stopReason === undefined).length,
      jobsRecovering: jobs.filter(job => this.#state.isRecovering(job, unknownEpochs) || job.earlierServers.length > 0).length,
      serversUnanswered: servers.filter(server => !server.hasAnswered).length + this.#state.recovery.absentServers(this.#lastTimes.now).length,
      serversUsable: usable.length,
      servers: servers.length,
      ...this.#state.speeds.counts,
      acceleratorsFree: sumFreeAccelerators(usable.map(server => server.free)),
      domainsEvacuated: this.#state.evacuations.size,
      runsEvacuated: runsInEvacuated(this.#state)
    }
  }

  #wallTimeAt (now: number): number {
    return this.#lastTimes.wallTime + now - this.#lastTimes.now
  }

  /** Removes backend servers that are neither registered nor reachable and have no runs, leases or late starts left. */
  #forgetServers (now: number): void {
    for (const server of this.#state.servers.values()) {
      const isGone = !server.isListed && server.missedPolls > 0 && server.leasesExpiredBy < now
      if (!isGone || server.runs.size > 0 || server.revokedStarts.hasPending(now)) continue
      this.#state.servers.delete(server.id)
      this.#state.speeds.forget(server.id)
    }
  }
}
