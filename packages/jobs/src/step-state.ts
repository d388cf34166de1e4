/**
 * State of a step in the planner that owns it. Only tasks that have something to remember have a state of their own;
 * all others are numbers: those that are done are in the job's set, and those that aren't wait.
 */
import { serverId, stepName, taskName, type RunNumber, type ServerId, type StepName } from './ids.js'
import type { StepSpecification } from './job.js'
import type { JobState } from './job-state.js'
import { LossRecord, type RunsByIndex } from './loss-record.js'
import type { Placement, StepProgress } from './progress.js'
import { RankedSet } from './ranked-set.js'
import { TaskSet } from './task-set.js'
import { TaskState } from './task-state.js'

/** Characters that the failed runs of one task take at least. */
const FAILED_TASK_CHARACTERS = 8

/** Stand for collections that are made with their first task: most steps have none. Nothing is added to them. */
const NO_TASKS = new Map<number, TaskState>()
const NO_TASK_SET = new Set<TaskState>()

/** Adds a task to a set, in place unless it is the shared empty one. */
function withTask (tasks: Set<TaskState>, task: TaskState): Set<TaskState> {
  return tasks === NO_TASK_SET ? new Set([task]) : tasks.add(task)
}

/** Permission to run a step on one incarnation of a backend server. */
export interface Ticket {
  readonly text: string
  readonly incarnation: number
  /** On the monotonic clock, in milliseconds. */
  readonly expiresAt: number
}

/** Answers of the advice service for a step. They never change; only tickets expire. */
export class StepAdvice {
  readonly tickets = new Map<ServerId, Ticket>()
  readonly refused = new Set<ServerId>()
  /** When advice was last requested; -Infinity once that is answered. */
  requestedAt = -Infinity
}

/** State of one step in one occurrence. */
export class StepState {
  readonly job: JobState
  readonly occurrence: number
  readonly number: number
  readonly specification: StepSpecification
  /** Number of its first task among all tasks of the job. */
  readonly firstTask: number
  /** When it first became ready to start, on the monotonic clock. */
  readySince: number | undefined
  /** Counts the changes after which its tasks may have other runs. */
  runChanges = 0
  /** Latest checkpoint of its gang; empty if there is none. */
  gangCheckpoint = ''
  /** The last run of its gang of which a member has ended, so that all others are stopped. */
  incompleteRun: RunNumber | undefined
  /** The last run of its gang of which a start came to nothing, so that all members are ready since before it. */
  unbegunRun: RunNumber | undefined
  /** States of the tasks that have something to remember, by index. */
  #tasks = NO_TASKS
  /** Indexes of the tasks that don't wait: those that are done or may be executing. */
  readonly #notWaiting: TaskSet
  /** No task below this index waits, and all below the other are done. */
  #firstWaiting = 0
  #firstOpen = 0
  /** Known tasks that wait and may lack the time since when they do. */
  #unready = NO_TASK_SET
  /** Tasks that aren't done and may run on a backend server. */
  #placed = NO_TASK_SET
  /** Tasks that aren't done, by the number of their failed runs. */
  #failed: RankedSet<TaskState> | undefined
  #done: number
  #highestFailures = 0
  #advice: StepAdvice | undefined
  #stalledOn: Set<ServerId> | undefined
  #progressedOn: Set<ServerId> | undefined
  #losses: LossRecord | undefined

  constructor (job: JobState, occurrence: number, number: number, firstTask: number) {
    this.job = job
    this.occurrence = occurrence
    this.number = number
    this.specification = job.job.steps[number]!
    this.firstTask = firstTask
    this.#done = job.done.countWithin(firstTask, firstTask + this.count)
    this.#notWaiting = new TaskSet(this.count)
    if (this.#done > 0) for (let index = 0; index < this.count; index += 1) if (this.isTaskDone(index)) this.#notWaiting.add(index)
    if (this.hasWaiting) job.noteWaiting(this, true)
  }

  get name (): StepName {
    return stepName(this.job.job.id, this.occurrence, this.number)
  }

  /** Number of its tasks. */
  get count (): number {
    return this.specification.count
  }

  get isDone (): boolean {
    return this.#done === this.count
  }

  /** True if a task of it is done. */
  get hasDone (): boolean {
    return this.#done > 0
  }

  /** Backend servers on which the advice service allows or refuses this step. */
  get advice (): StepAdvice {
    this.#advice ??= new StepAdvice()
    return this.#advice
  }

  /** Backend servers on which runs of it were stopped as stuck. */
  get stalledOn (): Set<ServerId> {
    this.#stalledOn ??= new Set()
    return this.#stalledOn
  }

  /** Backend servers on which runs of it have progressed. */
  get progressedOn (): Set<ServerId> {
    this.#progressedOn ??= new Set()
    return this.#progressedOn
  }

  /** Runs lost with their backend servers, if any may have been. */
  get knownLosses (): LossRecord | undefined {
    return this.#losses
  }

  /** Runs lost with their backend servers. */
  get losses (): LossRecord {
    this.#losses ??= new LossRecord()
    return this.#losses
  }

  isTaskDone (index: number): boolean {
    return this.job.done.has(this.firstTask + index)
  }

  /** Returns the state of a task, and keeps it from now on; undefined if there is no such task. */
  task (index: number): TaskState | undefined {
    const known = this.#tasks.get(index)
    if (known !== undefined || index >= this.count) return known
    const task = this.#createTask(index)
    this.keep(task)
    return task
  }

  /** Keeps the state of a task, which is about to change. */
  keep (task: TaskState): void {
    if (this.#tasks === NO_TASKS) this.#tasks = new Map()
    this.#tasks.set(task.index, task)
    if (task.isWaiting) this.#unready = withTask(this.#unready, task)
  }

  /** Forgets the state of a task that is done and runs nowhere. False if it is still needed. */
  release (task: TaskState): boolean {
    if (!task.isDone || task.runs.size > 0) return false
    this.#tasks.delete(task.index)
    if (this.isFinished) this.job.noteFinished(this)
    return true
  }

  /** True if it is done, and no state of a task is kept. */
  get isFinished (): boolean {
    return this.isDone && this.#tasks.size === 0
  }

  /** Notes that a task which is kept has begun or ceased to wait, or to run on a backend server. */
  noteChanged (task: TaskState): void {
    this.runChanges += 1
    const { isWaiting } = task
    this.#setWaiting(task.index, isWaiting)
    if (isWaiting) this.#unready = withTask(this.#unready, task)
    else this.#unready.delete(task)
    const isPlaced = !task.isDone && task.hasServers
    if (isPlaced === this.#placed.has(task)) return
    if (isPlaced) this.#placed = withTask(this.#placed, task)
    else this.#placed.delete(task)
    this.job.notePlaced(isPlaced ? 1 : -1)
  }

  #setWaiting (index: number, isWaiting: boolean): void {
    const hadWaiting = this.hasWaiting
    if (isWaiting) this.#notWaiting.delete(index)
    else this.#notWaiting.add(index)
    if (isWaiting) this.#firstWaiting = Math.min(this.#firstWaiting, index)
    if (this.hasWaiting !== hadWaiting) this.job.noteWaiting(this, this.hasWaiting)
  }

  /** The tasks whose states are kept, in no particular order. */
  get knownTasks (): Iterable<TaskState> {
    return this.#tasks.values()
  }

  /** Its tasks that aren't done and may run on a backend server. */
  get placedTasks (): Iterable<TaskState> {
    return this.#placed
  }

  /** How many of its tasks have states that are kept. */
  get knownCount (): number {
    return this.#tasks.size
  }

  /** The tasks that wait, in order. Each that isn't known yet has a new state, which isn't kept unless `keep` is called. */
  * waitingTasks (): IterableIterator<TaskState> {
    for (let index = this.#nextWaiting(0); index < this.count; index = this.#nextWaiting(index + 1)) yield this.#tasks.get(index) ?? this.#createTask(index)
  }

  /** True if a task waits. */
  get hasWaiting (): boolean {
    return this.waitingCount > 0
  }

  /** The first task that waits. */
  get firstWaiting (): TaskState | undefined {
    const index = this.#nextWaiting(0)
    return index < this.count ? this.#tasks.get(index) ?? this.#createTask(index) : undefined
  }

  /** Number of the tasks that wait. */
  get waitingCount (): number {
    return this.count - this.#notWaiting.size
  }

  /** The first task that isn't done. */
  get firstOpen (): TaskState | undefined {
    if (this.isDone) return undefined
    this.#firstOpen = this.job.done.nextAbsent(this.firstTask + this.#firstOpen) - this.firstTask
    return this.#tasks.get(this.#firstOpen) ?? this.#createTask(this.#firstOpen)
  }

  /** Notes that its waiting tasks are ready to start. */
  noteReady (now: number): void {
    this.readySince ??= now
    for (const task of this.#unready) task.readySince ??= now
    this.#unready = NO_TASK_SET
  }

  /** Marks a task as done; in a gang, all tasks. */
  complete (task: TaskState): void {
    if (!this.specification.isGang) {
      this.completeTask(task.index)
      return
    }
    for (let index = 0; index < this.count; index += 1) this.completeTask(index)
  }

  /** Marks one task as done. */
  completeTask (index: number): void {
    if (index >= this.count || !this.job.done.add(this.firstTask + index)) return
    this.#done += 1
    this.#losses?.forgetTask(index)
    this.#setWaiting(index, false)
    const task = this.#tasks.get(index)
    if (task !== undefined) {
      this.noteChanged(task)
      this.#failed?.delete(task)
    }
    if (this.isFinished) this.job.noteFinished(this)
  }

  /** Adds a run of a task that ended as failed. */
  addFailure (task: TaskState, run: number): void {
    this.keep(task)
    task.addFailedRun(run)
    this.#failed ??= new RankedSet()
    if (!task.isDone) this.#failed.set(task, task.failedRuns.size)
    this.#highestFailures = Math.max(this.#highestFailures, this.failuresOf(task))
  }

  /** Returns what counts its lost runs together: the index of a task, or 0 for a gang. */
  unitOf (task: TaskState): number {
    return this.specification.isGang ? 0 : task.index
  }

  /** True if backend servers have crashed so often under a task, or its gang, that it may be the cause. */
  isSuspect (task: TaskState): boolean {
    return this.#losses?.isSuspect(this.unitOf(task)) === true
  }

  /** True if so many have crashed under any of its tasks that aren't done. */
  get hasSuspect (): boolean {
    for (const unit of this.#losses?.suspects ?? []) if (!this.isTaskDone(unit)) return true
    return false
  }

  /** Indexes of the tasks under which backend servers have crashed. */
  get tasksWithCrashes (): readonly number[] {
    return this.#losses?.evidence.tasks ?? []
  }

  /** Counts the failed runs of a task; in a gang, the failed runs of all its tasks, each run number once. */
  failuresOf (task: TaskState): number {
    if (!this.specification.isGang) return task.failedRuns.size
    const failedRuns = new Set<number>()
    for (const each of this.#failed?.highest(this.count) ?? []) for (const run of each.failedRuns) failedRuns.add(run)
    return failedRuns.size
  }

  /** Highest number of failed runs of any task. */
  get highestFailures (): number {
    return this.#highestFailures
  }

  /**
   * Its stored form, without the tasks that are done, and with as many failed and lost runs as so many characters hold;
   * undefined if there is nothing to store.
   */
  progressWithin (characters: number): Omit<StepProgress, 'done'> | undefined {
    if (this.#placed.size === 0 && this.#highestFailures === 0 && this.#losses === undefined) return undefined
    const failed = this.#failedWithin(characters)
    const placements = this.#placements
    const losses = this.#losses?.progressWithin(characters - JSON.stringify(failed).length) ?? {}
    if (Object.keys(failed).length === 0 && placements.size === 0 && Object.keys(losses).length === 0) return undefined
    return { failed, ...losses, ...(placements.size === 0 ? {} : { placements: Object.fromEntries(placements) }) }
  }

  /** The failed runs by task, of those that failed most often if they don't all fit. */
  #failedWithin (characters: number): RunsByIndex {
    const listed: [number, readonly number[]][] = []
    let rest = characters
    for (const { index, failedRuns } of this.#failed?.highest(Math.floor(characters / FAILED_TASK_CHARACTERS)) ?? []) {
      const runs = [...failedRuns]
      rest -= JSON.stringify({ [index]: runs }).length
      if (rest < 0) break
      listed.push([index, runs])
    }
    return Object.fromEntries(listed)
  }

  /** Where tasks may run; one that is done isn't started again, wherever it runs. */
  get #placements (): ReadonlyMap<ServerId, Placement> {
    const placements = new Map<ServerId, { readonly address: string, readonly tasks: number[] }>()
    if (!this.job.arePlacementsListed) return placements
    for (const task of this.#placed) {
      for (const [server, address] of task.servers) {
        const known = placements.get(server)
        if (known === undefined) placements.set(server, { address, tasks: [task.index] })
        else known.tasks.push(task.index)
      }
    }
    return placements
  }

  /** Restores its stored form. The tasks that are done have been restored before. */
  restore (progress: StepProgress): void {
    for (const [index, runs] of Object.entries(progress.failed)) {
      const task = this.task(Number(index))
      if (task !== undefined) for (const run of runs) this.addFailure(task, run)
    }
    for (const [server, { address, tasks }] of Object.entries(progress.placements ?? {})) {
      for (const index of tasks) if (!this.isTaskDone(index)) this.task(index)?.addEarlierServer(serverId(server), address)
    }
    const { lost, attributed, lostAtStart, crashes, otherEnds } = progress
    if ([lost, attributed, lostAtStart, crashes, otherEnds].some(each => each !== undefined)) this.losses.restore(progress, this.specification.isGang)
  }

  #createTask (index: number): TaskState {
    return new TaskState(taskName({ job: this.job.job.id, occurrence: this.occurrence, step: this.number, index }), this, index)
  }

  /** Returns the lowest index from `start` on whose task waits; the number of tasks or more if there is none. */
  #nextWaiting (start: number): number {
    if (!this.hasWaiting) return this.count
    const index = this.#notWaiting.nextAbsent(Math.max(start, this.#firstWaiting))
    if (start <= this.#firstWaiting) this.#firstWaiting = index
    return index
  }
}
