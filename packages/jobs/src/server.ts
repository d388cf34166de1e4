/** State of one backend server in the planner, and the reports that it sends. */
import { Map as PersistentMap } from 'immutable'
import { addCapacity, NO_CAPACITY, type Capacity } from './capacity.js'
import type { StopReason } from './command.js'
import type { JobId, PoolName, RunNumber, ServerId, TaskName } from './ids.js'
import { LEASE_MILLISECONDS, LONGEST_LEASE_MILLISECONDS, MINIMUM_SERVER_CLOCK_RATE, UNHEALTHY_AFTER_FAILURES } from './limits.js'
import { PendingStops } from './pending-stops.js'
import { RevokedStarts } from './revoked-starts.js'
import type { StepState } from './step-state.js'

/** A backend server's entry in the platform's registry. */
export interface ServerEntry {
  readonly id: ServerId
  readonly pool: PoolName
  readonly address: string
  readonly failureDomain: string
  readonly capacity: Capacity
  readonly labels: readonly string[]
  /** Rack, as named by one of the labels. */
  readonly rack: string
  readonly isDraining: boolean
  /** Minimum time until a draining backend server stops, in milliseconds. */
  readonly remainingMilliseconds?: number
  /** Start time of the current incarnation; a restart under the same id changes it. */
  readonly incarnation: number
}

/** How one run of a task ended. */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

/** A running run in a backend server's report. */
export interface ListedRun {
  readonly task: TaskName
  readonly run: RunNumber
  readonly checkpoint: string
  /** Completed share of the work, 0 to 100. */
  readonly percent: number
}

/** An ended run in a backend server's report. */
export interface ListedEnd {
  /** Position in the backend server's list of ended runs; starts at 1 in each incarnation. */
  readonly position: number
  readonly task: TaskName
  readonly run: RunNumber
  readonly how: RunEnd
  readonly checkpoint: string
}

/** A backend server's answer to a poll. */
export interface ServerReport {
  readonly incarnation: number
  /** Address to which the poll was sent, which may have changed in its entry since; that of its entry if absent. */
  readonly address?: string
  /** The backend server's monotonic clock, in milliseconds. */
  readonly clock: number
  readonly running: readonly ListedRun[]
  readonly ended: readonly ListedEnd[]
  /** The list of ends may be cut: further ends follow once these are acknowledged. */
  readonly hasMoreEnds: boolean
  /** Our monotonic clock when the poll was sent and when its answer was received, in milliseconds. */
  readonly sentAt: number
  readonly receivedAt: number
}

/**
 * State of one run.
 * - `starting`: the start was sent.
 * - `running`: the backend server has confirmed the start.
 * - `stopping`: a stop has been requested.
 * - `unconfirmed`: the start was not answered. The next poll that lists the run confirms it; if none does, a stop resolves it.
 */
export type RunState = 'starting' | 'running' | 'stopping' | 'unconfirmed'

/** One run that may be executing on a backend server. */
export interface Run {
  readonly task: TaskName
  readonly run: RunNumber
  readonly server: ServerId
  /** Address of the backend server when it was started, or found. */
  readonly address: string
  /** The incarnation that its start was meant for, or that has listed it. */
  incarnation: number
  readonly need: Capacity
  /** The step of its task, once its job is known. */
  step?: StepState
  /** Its job wasn't known when it was found, so neither was what it needs. */
  readonly isNeedUnknown?: boolean
  state: RunState
  /** When its task had become ready to start, on our monotonic clock; absent if an earlier owner started it. */
  readonly readySince?: number
  /** When the start was sent, on our monotonic clock. */
  readonly startSentAt: number
  /** When the start was confirmed, on our monotonic clock; Infinity before that. */
  confirmedAt: number
  /** Its start was answered. */
  isAnswered?: boolean
  /** When the start was found to have no answer, on our monotonic clock. */
  unansweredAt?: number
  /** A stop was confirmed: a start that has not arrived yet can no longer take effect. */
  isStopConfirmed: boolean
  /** When the stop was confirmed. */
  stopConfirmedAt: number
  percent: number
  /** When the percentage last increased. */
  progressedAt: number
  checkpoint: string
  /** Why it is stopped, once a stop has been requested. */
  stopReason?: StopReason
  /** The job that gets its capacity, if it is reclaimed. */
  stoppedFor?: JobId
  /** When a stop was last sent; unanswered stops are sent again. */
  stopSentAt: number
  /** When the first stop was sent. */
  firstStopSentAt?: number
  /** When the last poll that listed it was sent, on our monotonic clock; absent before the first. */
  listedAt?: number
  /** An earlier owner started it, so that its age isn't known. */
  readonly isAdopted?: boolean
  /** Until when nothing else is started on its backend server, if it is isolated. */
  readonly isolatedUntil?: number
}

/** Numbers of tasks by step and occurrence. */
export type TaskCounts = PersistentMap<StepState, number>

export const NO_TASKS: TaskCounts = PersistentMap()

/** A backend server with its runs. */
export class Server {
  entry: ServerEntry
  /** It is in the registry. */
  isListed = true
  /** Incarnation in its registry entry. Its answers may show a newer one first, whose capacity and labels aren't known yet. */
  listedIncarnation: number
  /** The current incarnation has answered a poll of this owner. */
  hasAnswered = false
  /** The last report may lack ends: a run that it doesn't list may have ended or not. */
  hasMoreEnds = false
  /** The current incarnation has listed all its runs and ends to this owner. */
  hasListedAll = false
  /** It gets no starts and no renewals of leases until the record for the next owner no longer says so. */
  isHeld = false
  /** Polls without an answer since the last one that was answered. */
  missedPolls = 0
  lastAnswerAt = -Infinity
  /** When the last poll that the current incarnation has answered was sent. */
  answeredPollAt = -Infinity
  /** When this owner learned of the last restart. */
  restartedAt = -Infinity
  /** When it was first seen to be unreachable, or to have restarted, in the present or last outage. */
  outageAt = -Infinity
  /** When this owner learned that another backend server has taken its address. */
  replacedAt = -Infinity
  /** Restarts that this owner has seen. */
  restarts = 0
  /** The runs that were lost with its last incarnation, or with it when it was replaced. */
  lostRuns: readonly Run[] = []
  /** Highest position of an ended run that was reported, and highest whose effects are stored. */
  reportedPosition = 0
  acknowledgedPosition = 0
  readonly runs = new Map<string, Run>()
  readonly stops = new PendingStops()
  readonly revokedStarts = new RevokedStarts()
  /** When a run of it may first be stuck, on our monotonic clock. */
  nextStuckCheckAt = -Infinity
  /** Failures since a task last completed there. */
  consecutiveFailures = 0
  lastFailureAt = -Infinity
  /** When the last start that was given up since was found to have no answer. */
  unansweredStartAt = -Infinity
  /** When a start was last answered. */
  answeredStartAt = -Infinity
  /** It has refused a start for lack of capacity; no starts until the next poll. */
  hasRefusedForCapacity = false
  /** A start has found another incarnation; no starts until the next poll. */
  hasOtherIncarnation = false
  /** Highest start time of the incarnations before, and of the entries that were listed when a later one became known. */
  #highestEarlierIncarnation = -Infinity
  /** The registry has listed the current incarnation. */
  #isIncarnationListed = true
  /** Earlier owners can start nothing in any incarnation that this one has known, since one of them has answered. */
  #areEarlierOwnersFenced = false
  #isOut = false
  #used: Capacity = NO_CAPACITY
  /** Runs whose need isn't known: while there are any, neither is what is free. */
  #runsOfUnknownNeed = 0
  #tasksOf = NO_TASKS
  readonly #acceleratorTasksOf = new Map<StepState, number>()
  #tasksWithoutCheckpoints = 0
  #clock = 0
  #clockReadAt = -Infinity
  #leaseUntil = 0
  /** When the leases of all its runs have expired at the latest, on our monotonic clock. */
  #leasesExpiredBy: number

  constructor (entry: ServerEntry, leasesExpiredBy: number) {
    this.entry = entry
    this.listedIncarnation = entry.incarnation
    this.#leasesExpiredBy = leasesExpiredBy
  }

  get id (): ServerId {
    return this.entry.id
  }

  /** Free capacity. */
  get free (): Capacity {
    return addCapacity(this.entry.capacity, this.#used, -1)
  }

  /** Free capacity once all runs that are being stopped have ended. */
  get freeAfterStops (): Capacity {
    return addCapacity(this.free, this.stops.need)
  }

  /** Number of its runs, by step and occurrence. */
  get tasksOf (): TaskCounts {
    return this.#tasksOf
  }

  /** Those of steps that need accelerators. */
  get acceleratorTasksOf (): ReadonlyMap<StepState, number> {
    return this.#acceleratorTasksOf
  }

  /** Number of its runs that save no checkpoints. */
  get tasksWithoutCheckpoints (): number {
    return this.#tasksWithoutCheckpoints
  }

  /** When the leases of all its runs have expired at the latest, unless they are renewed before. */
  get leasesExpiredBy (): number {
    return this.#leasesExpiredBy
  }

  /** True if it has runs of jobs that aren't known, or weren't when the runs were found. */
  get hasRunsOfUnknownNeed (): boolean {
    return this.#runsOfUnknownNeed > 0
  }

  /** True if its capacity and labels are those of the incarnation that answers. */
  get isEntryCurrent (): boolean {
    return this.listedIncarnation === this.entry.incarnation
  }

  /** True if an entry of the registry with this start time may be of a later incarnation. */
  mayHaveRestartedAs (incarnation: number): boolean {
    return incarnation > this.entry.incarnation
  }

  /**
   * True if such an entry shows that the current incarnation has ended. While that answers, only its own reports say so: the entry
   * may be of another writer. If a clock was set back, or before the registry has listed the current one, the entry may be of an earlier one.
   */
  hasRestartedAs (incarnation: number): boolean {
    if (!this.mayHaveRestartedAs(incarnation)) return false
    if (!this.hasAnswered) return true
    return this.missedPolls > 0 && this.#isIncarnationListed && this.entry.incarnation > this.#highestEarlierIncarnation
  }

  /** Replaces its entry by the one that is listed, but for the incarnation, which its reports show first. */
  list (entry: ServerEntry): void {
    this.entry = { ...entry, incarnation: this.entry.incarnation }
    this.listedIncarnation = entry.incarnation
    this.#isIncarnationListed ||= this.isEntryCurrent
  }

  /** True if it may get new work. */
  get isUsable (): boolean {
    return this.isListed && this.hasAnswered && !this.isHeld && !this.entry.isDraining && this.missedPolls === 0 && !this.hasRefusedForCapacity && !this.hasOtherIncarnation && !this.hasRunsOfUnknownNeed
  }

  /** True if it has runs, may still begin some, or gets new ones. */
  mayHaveRuns (now: number): boolean {
    const getsNewRuns = this.isListed && !this.entry.isDraining
    return getsNewRuns || this.mayHideRuns(now) || this.runs.size > 0 || this.revokedStarts.hasPending(now)
  }

  /**
   * True if it may have runs of earlier owners, or ends of them, that it hasn't listed to this one.
   * Ends that aren't acknowledged remain after the leases have expired while it is reachable.
   */
  mayHideRuns (now: number): boolean {
    if (this.hasListedAll) return false
    return this.#leasesExpiredBy > now || this.isListCut
  }

  /** True if it is reachable, and no report to this owner was complete. */
  get isListCut (): boolean {
    return this.hasAnswered && this.missedPolls === 0 && !this.hasListedAll
  }

  /** True after several consecutive failures. */
  get isUnhealthy (): boolean {
    return this.consecutiveFailures >= UNHEALTHY_AFTER_FAILURES
  }

  /** Estimates its clock from the last answer; 0 if there was none. */
  clockAt (now: number): number {
    return this.#clock === 0 ? 0 : Math.floor(this.#clock + now - this.#clockReadAt)
  }

  /** True if a later answer of this incarnation is applied than the one with this clock. */
  hasAnsweredAfter (clock: number): boolean {
    return clock > 0 && clock < this.#clock
  }

  /** Records an answered poll. The first one fences earlier owners, which can renew no lease from then on. */
  recordAnswer ({ clock, sentAt, receivedAt, running }: ServerReport): void {
    // Runs in its first list may be late starts of earlier owners, which were meant for another incarnation.
    if (!this.hasAnswered) this.#leasesExpiredBy = receivedAt + (running.length > 0 ? LONGEST_LEASE_MILLISECONDS : this.#longestGrantedLease) / MINIMUM_SERVER_CLOCK_RATE
    this.hasAnswered = true
    this.hasOtherIncarnation = false
    this.#areEarlierOwnersFenced = true
    this.#clock = clock
    this.#clockReadAt = receivedAt
    this.lastAnswerAt = receivedAt
    this.answeredPollAt = Math.max(this.answeredPollAt, sentAt)
    this.missedPolls = 0
    this.#isOut = false
  }

  /** Notes when an outage is first seen. */
  noteOutage (now: number): void {
    if (this.#isOut || this.missedPolls === 0) return
    this.#isOut = true
    this.outageAt = now
  }

  /** Notes that the outage had been seen when it was last known, before it was forgotten. */
  continueOutage (outageAt: number): void {
    this.#isOut = true
    this.outageAt = outageAt
  }

  /** Notes that another backend server has taken its address, which is the first sign of its outage if it missed no poll before. */
  noteReplacement (now: number): void {
    if (!this.#isOut) this.outageAt = now
    this.#isOut = true
    this.replacedAt = now
  }

  /** Records that its leases may be extended by this time, and returns their new end on its clock. */
  extendLease (now: number, milliseconds: number): number {
    const until = this.clockAt(now) + milliseconds
    this.#leaseUntil = Math.max(this.#leaseUntil, until)
    this.#leasesExpiredBy = Math.max(this.#leasesExpiredBy, this.#clockReadAt + (this.#leaseUntil - this.#clock) / MINIMUM_SERVER_CLOCK_RATE)
    return until
  }

  /** Starts a new incarnation, which resets its clock and its list of ended runs. Starts that aren't confirmed may still begin there. */
  restart (incarnation: number, now: number): void {
    this.#isIncarnationListed = incarnation === this.listedIncarnation
    this.#highestEarlierIncarnation = Math.max(this.#highestEarlierIncarnation, this.entry.incarnation, this.#isIncarnationListed ? -Infinity : this.listedIncarnation)
    this.entry = { ...this.entry, incarnation }
    this.restartedAt = now
    this.restarts += 1
    if (!this.#isOut) this.outageAt = now
    this.hasAnswered = false
    this.answeredPollAt = -Infinity
    this.hasMoreEnds = false
    this.hasListedAll = false
    this.reportedPosition = 0
    this.acknowledgedPosition = 0
    this.#clock = 0
    this.#clockReadAt = -Infinity
    this.#leaseUntil = 0
    if (this.#areEarlierOwnersFenced) this.#leasesExpiredBy = this.runs.size === 0 ? now : now + this.#longestGrantedLease / MINIMUM_SERVER_CLOCK_RATE
    this.consecutiveFailures = 0
    this.lastFailureAt = -Infinity
    this.unansweredStartAt = -Infinity
    this.answeredStartAt = -Infinity
    this.hasRefusedForCapacity = false
    this.hasOtherIncarnation = false
  }

  /** Longest lease that a run may have which this incarnation began before it answered; those known by then were started in the earlier one. */
  get #longestGrantedLease (): number {
    return this.runs.size === 0 ? LEASE_MILLISECONDS : LONGEST_LEASE_MILLISECONDS
  }

  /** Adds a run. */
  add (run: Run): void {
    this.runs.set(runKey(run.task, run.run), run)
    this.#used = addCapacity(this.#used, run.need)
    if (run.isNeedUnknown === true) this.#runsOfUnknownNeed += 1
    if (run.stopReason !== undefined) this.stops.add(run)
    this.#countTask(run, 1)
  }

  /** Sets the step of a run that was found before its job was known. */
  setStep (run: Run, step: StepState): void {
    if (run.step !== undefined) return
    run.step = step
    this.#countTask(run, 1)
  }

  #countTask ({ step }: Run, difference: 1 | -1): void {
    if (step === undefined) return
    this.#tasksOf = withTasks(this.#tasksOf, step, difference)
    if (!step.specification.savesCheckpoints) this.#tasksWithoutCheckpoints += difference
    if (step.specification.need.accelerators === 0) return
    const count = (this.#acceleratorTasksOf.get(step) ?? 0) + difference
    if (count === 0) this.#acceleratorTasksOf.delete(step)
    else this.#acceleratorTasksOf.set(step, count)
  }

  /** Removes a run. */
  remove (run: Run): void {
    if (!this.runs.delete(runKey(run.task, run.run))) return
    this.#used = addCapacity(this.#used, run.need, -1)
    if (run.isNeedUnknown === true) this.#runsOfUnknownNeed -= 1
    this.stops.delete(run)
    this.#countTask(run, -1)
  }

  /** Finds a run by its task and number. */
  run (task: TaskName, number: RunNumber): Run | undefined {
    return this.runs.get(runKey(task, number))
  }
}

/**
 * Adds to the number of tasks of a step.
 *
 * @example
 * withTasks(target.tasksOf, step, 1)
 */
export function withTasks (counts: TaskCounts, step: StepState, difference: number): TaskCounts {
  const count = (counts.get(step) ?? 0) + difference
  return count === 0 ? counts.delete(step) : counts.set(step, count)
}

function runKey (task: TaskName, run: RunNumber): string {
  return `${task}#${run}`
}
