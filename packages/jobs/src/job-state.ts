/** State of jobs in the planner that owns them. */
import type { Epoch } from '@cornelgauge/model'
import type { ServerId, TaskName } from './ids.js'
import { dueAt, occurrencesOf, type Job, type JobPhase } from './job.js'
import { LISTED_AGAIN_SHARE, MAXIMUM_ACTIVE_STEPS, MAXIMUM_LISTED_ENTRIES, MAXIMUM_OPEN_STEPS, MAXIMUM_ROW_BYTES, PROGRESS_RESERVE_BYTES } from './limits.js'
import { endedForm, planningLoad } from './planning-load.js'
import type { JobProgress, StepProgress } from './progress.js'
import type { Run } from './server.js'
import { StepState } from './step-state.js'
import { storedForm } from './stored-form.js'
import { decodeBits } from './task-bits.js'
import { TaskSet } from './task-set.js'
import type { TaskState } from './task-state.js'

/** State of one job. */
export class JobState {
  /** Accepted under an earlier owner, which may have started it. */
  readonly isInherited: boolean
  /** Its tasks that are done, numbered in the order of occurrences, steps and tasks. */
  readonly done: TaskSet
  /** How much of what an owner can plan it takes. */
  readonly load: number
  /** Something of it is stored or to be stored, so that it can't be planned anew from its row alone. */
  hasProgress: boolean
  phase: JobPhase = 'queued'
  finishedAt: number | undefined
  /** The final phase is stored and may be reported. */
  isFinalStored = false
  /** When this owner first saw the stored final phase, on the monotonic clock. */
  finalSeenAt: number | undefined
  /** Earlier owners may have started tasks of it on backend servers that its progress doesn't list. */
  hasUnlistedRuns = false
  /** Number of the change with which its progress was first encoded without placements, since there are too many; undefined if it was last encoded with them. */
  unlistedChange: number | undefined
  /** Since when nothing of it runs, on the monotonic clock, as far as known; undefined from the start of a run until that is noticed. */
  idleSince: number | undefined
  #job: Job
  /** Number of the tasks of all steps. */
  readonly tasksPerOccurrence: number
  /** Steps of the occurrences that are activated and not done, in order. */
  #occurrences = new Map<number, readonly StepState[]>()
  /** The first occurrence that may still have to be activated. */
  #nextOccurrence = 0
  #lastOccurrence = -1
  /** Steps with tasks that wait, whether they are ready or not. */
  readonly #waitingSteps = new Set<StepState>()
  /** Occurrences of which a step has been finished since the last activation. */
  readonly #finishedOccurrences = new Set<number>()
  #runCount = 0
  #placedCount = 0
  /** Placements up to which its progress lists them. */
  #mostListed = MAXIMUM_LISTED_ENTRIES
  /** Number of tasks with recorded runs of earlier owners, by backend server. */
  readonly #earlierServers = new Map<ServerId, number>()

  constructor (job: Job, isInherited: boolean, progress?: JobProgress) {
    this.#job = job
    this.load = planningLoad(job)
    this.hasProgress = progress !== undefined
    this.isInherited = isInherited
    this.tasksPerOccurrence = job.steps.reduce((sum, { count }) => sum + count, 0)
    this.done = new TaskSet(this.tasksPerOccurrence * occurrencesOf(job))
    if (progress !== undefined) this.#restore(progress)
  }

  get job (): Job {
    return this.#job
  }

  get isOpen (): boolean {
    return this.phase === 'queued' || this.phase === 'running'
  }

  /** Records that a run of it is known to exist. */
  noteRunning (): void {
    if (this.phase === 'queued') this.phase = 'running'
    this.idleSince = undefined
  }

  /** True if an owner up to this epoch may have started it; undefined stands for none. */
  mayHaveRunsUnder (latest: Epoch | undefined): boolean {
    return this.isInherited && latest !== undefined && this.job.acceptedUnder <= latest
  }

  /** Backend servers on which earlier owners have recorded runs of it that aren't known yet. */
  get earlierServers (): readonly ServerId[] {
    return [...this.#earlierServers.keys()]
  }

  /** Notes that a task of it has got, or has no longer, a recorded run of an earlier owner on a backend server. */
  noteEarlierServer (id: ServerId, difference: 1 | -1): void {
    const count = (this.#earlierServers.get(id) ?? 0) + difference
    if (count === 0) this.#earlierServers.delete(id)
    else this.#earlierServers.set(id, count)
  }

  /** Notes that a run of it has been added or removed. */
  noteRuns (difference: 1 | -1): void {
    this.#runCount += difference
  }

  /** Notes that a task that isn't done may run on a backend server, or may no longer. */
  notePlaced (difference: 1 | -1): void {
    this.#placedCount += difference
  }

  /** Notes that tasks of a step wait, or no longer. */
  noteWaiting (step: StepState, hasWaiting: boolean): void {
    if (hasWaiting) this.#waitingSteps.add(step)
    else this.#waitingSteps.delete(step)
  }

  /** Notes that a step is finished. */
  noteFinished ({ occurrence }: StepState): void {
    this.#finishedOccurrences.add(occurrence)
  }

  /** True if its progress may list where its tasks may run: it is open, and they aren't too many. */
  get arePlacementsListed (): boolean {
    return this.isOpen && this.#placedCount <= this.#mostListed
  }

  /** Phase for callers: a final phase only once it is stored. */
  get reportedPhase (): JobPhase {
    return this.isOpen || this.isFinalStored ? this.phase : 'running'
  }

  get progress (): JobProgress {
    return this.progressWithin(MAXIMUM_ROW_BYTES)
  }

  /** Its progress in a form that fits a row of so many bytes. If that doesn't list where its tasks may run, later ones don't either until there are fewer. */
  progressWithin (rowBytes: number): JobProgress {
    const wereListed = this.arePlacementsListed
    const { progress, arePlacementsListed } = storedForm(this, rowBytes - PROGRESS_RESERVE_BYTES)
    if (arePlacementsListed) this.#mostListed = MAXIMUM_LISTED_ENTRIES
    else if (wereListed) this.#mostListed = Math.floor(this.#placedCount * LISTED_AGAIN_SHARE)
    return progress
  }

  /** All steps of all occurrences are done. */
  get isDone (): boolean {
    return this.done.size === this.tasksPerOccurrence * occurrencesOf(this.job)
  }

  /** Steps of the activated occurrences that aren't known to be done, in order. */
  get steps (): readonly StepState[] {
    return [...this.#occurrences.values()].flat()
  }

  /** The same steps by occurrence. */
  get activeOccurrences (): Iterable<readonly StepState[]> {
    return this.#occurrences.values()
  }

  /** Steps of the last activated occurrence. */
  get lastSteps (): readonly StepState[] {
    return this.#occurrences.get(this.#lastOccurrence) ?? []
  }

  /** Steps of the activated occurrences, without those of one occurrence. */
  get overlappingSteps (): number {
    return Math.max(0, this.#occurrences.size - 1) * this.job.steps.length
  }

  /**
   * Activates the occurrences that are due, in order, and forgets those that are done. Once a number of steps wait, later
   * occurrences are activated when earlier ones have started. One occurrence may always be active, whatever `room` there is
   * for steps of others.
   */
  activate (wallTime: number, room = Infinity): void {
    this.#forgetFinished()
    if (this.#nextOccurrence === occurrencesOf(this.job)) return
    const { length } = this.job.steps
    const mostOverlapping = this.overlappingSteps + room
    let waiting = new Set(this.#readyWaiting().map(({ occurrence }) => occurrence)).size * length
    const mostActive = this.job.steps.some(step => step.isLasting) ? Infinity : MAXIMUM_ACTIVE_STEPS
    while (waiting < MAXIMUM_OPEN_STEPS && this.#occurrences.size * length < mostActive && this.#nextOccurrence < occurrencesOf(this.job)) {
      const occurrence = this.#nextOccurrence
      if (dueAt(this.job, occurrence) > wallTime) return
      if (this.#occurrences.size > 0 && this.#occurrences.size * length > mostOverlapping) return
      if (!this.#occurrences.has(occurrence) && !this.#isOccurrenceDone(occurrence)) waiting += this.#stepsOf(occurrence).length
      this.#nextOccurrence += 1
    }
  }

  /** Steps that aren't done and whose dependencies are. */
  readySteps (): readonly StepState[] {
    return [...this.#occurrences.values()].flatMap(readyOf)
  }

  /** Those of them with tasks that wait, in order. */
  waitingSteps (): readonly StepState[] {
    const steps = this.#readyWaiting()
    return steps.length < 2 ? steps : steps.sort((left, right) => left.firstTask - right.firstTask)
  }

  #readyWaiting (): StepState[] {
    const steps: StepState[] = []
    for (const step of this.#waitingSteps) if (isReady(step, this.#occurrences.get(step.occurrence)!)) steps.push(step)
    return steps
  }

  /** Forgets the occurrences whose steps are all finished. */
  #forgetFinished (): void {
    if (this.#finishedOccurrences.size === 0) return
    for (const occurrence of this.#finishedOccurrences) {
      if (this.#occurrences.get(occurrence)?.every(step => step.isFinished) === true) this.#occurrences.delete(occurrence)
    }
    this.#finishedOccurrences.clear()
    if (this.#occurrences.has(this.#lastOccurrence)) return
    this.#lastOccurrence = -1
    for (const occurrence of this.#occurrences.keys()) this.#lastOccurrence = Math.max(this.#lastOccurrence, occurrence)
  }

  /** Forgets the work of a job that has ended and of which nothing runs. */
  forgetWork (): void {
    this.#job = endedForm(this.#job)
    this.#occurrences.clear()
    this.#waitingSteps.clear()
    this.#nextOccurrence = occurrencesOf(this.#job)
  }

  /** Looks up a task; activates its occurrence, which an earlier owner may have started. */
  task (occurrence: number, step: number, index: number): TaskState | undefined {
    if (occurrence >= occurrencesOf(this.job) || step >= this.job.steps.length) return undefined
    return this.#stepsOf(occurrence)[step]!.task(index)
  }

  /** True if a run of it may still be executing. */
  get hasRuns (): boolean {
    return this.#runCount > 0
  }

  /** True if a run of it may still be executing or begin, as far as this owner knows. */
  get mayHaveRuns (): boolean {
    return this.hasRuns || this.#placedCount > 0 || this.#earlierServers.size > 0 || this.hasUnlistedRuns
  }

  /** When its next task is due, in milliseconds since 1970; -Infinity if one is ready, or is ready once others end. */
  get nextDueAt (): number {
    for (const steps of this.#occurrences.values()) if (steps.some(step => !step.isDone)) return -Infinity
    const next = Math.floor(this.done.nextAbsent(this.#nextOccurrence * this.tasksPerOccurrence) / this.tasksPerOccurrence)
    return this.job.schedule === undefined || next >= occurrencesOf(this.job) ? -Infinity : dueAt(this.job, next)
  }

  /** Checkpoints of the tasks that aren't done, by task; one task stands for its gang. */
  get checkpoints (): ReadonlyMap<TaskName, string> {
    const checkpoints = new Map<TaskName, string>()
    for (const step of this.steps) {
      const { firstOpen, gangCheckpoint } = step
      if (firstOpen !== undefined && gangCheckpoint !== '') checkpoints.set(firstOpen.name, gangCheckpoint)
      else for (const task of step.knownTasks) if (!task.isDone && task.checkpoint !== '') checkpoints.set(task.name, task.checkpoint)
    }
    return checkpoints
  }

  /** All runs that may still be executing. */
  get runs (): readonly Run[] {
    return this.#knownTasks.flatMap(task => [...task.runs])
  }

  get #knownTasks (): readonly TaskState[] {
    return this.steps.flatMap(step => [...step.knownTasks])
  }

  #stepsOf (occurrence: number): readonly StepState[] {
    const known = this.#occurrences.get(occurrence)
    if (known !== undefined) return known
    let firstTask = occurrence * this.tasksPerOccurrence
    const steps = this.job.steps.map(({ count }, number) => {
      const step = new StepState(this, occurrence, number, firstTask)
      firstTask += count
      return step
    })
    this.#occurrences.set(occurrence, steps)
    if (steps.some(step => step.isFinished)) this.#finishedOccurrences.add(occurrence)
    if (occurrence < this.#lastOccurrence) this.#occurrences = new Map([...this.#occurrences].sort(([left], [right]) => left - right))
    this.#lastOccurrence = Math.max(this.#lastOccurrence, occurrence)
    return steps
  }

  #isOccurrenceDone (occurrence: number): boolean {
    const first = occurrence * this.tasksPerOccurrence
    return this.done.nextAbsent(first) >= first + this.tasksPerOccurrence
  }

  #restore (progress: JobProgress): void {
    if (progress.hasBegun) this.phase = 'running'
    this.hasUnlistedRuns = progress.hasUnlistedRuns === true
    if (progress.phase !== undefined) {
      this.phase = progress.phase
      this.finishedAt = progress.finishedAt
      this.isFinalStored = true
    }
    const steps = Object.entries(progress.steps).map(([key, step]) => {
      const [occurrence, number] = key.split('.').map(Number) as [number, number]
      return { occurrence, number, step }
    }).filter(({ occurrence, number }) => occurrence < occurrencesOf(this.job) && number < this.job.steps.length)
    if (progress.doneBits !== undefined) for (const number of decodeBits(progress.doneBits)) this.done.add(number)
    for (const { occurrence, number, step } of steps) this.#restoreDone(occurrence, number, step.done)
    for (const { occurrence, number, step } of steps) if (hasMoreThanDone(step)) this.#stepsOf(occurrence)[number]!.restore(step)
  }

  #restoreDone (occurrence: number, step: number, indexes: readonly number[]): void {
    const { count, isGang } = this.job.steps[step]!
    const first = occurrence * this.tasksPerOccurrence + this.job.steps.slice(0, step).reduce((sum, each) => sum + each.count, 0)
    const done = indexes.filter(index => index < count)
    // One end stands for the whole gang.
    const ended = isGang && done.length > 0 ? Array.from({ length: count }, (_, index) => index) : done
    for (const index of ended) this.done.add(first + index)
  }
}

/** The steps of an occurrence that aren't done and whose dependencies are. */
function readyOf (steps: readonly StepState[]): readonly StepState[] {
  return steps.filter(step => isReady(step, steps))
}

/** True if a step of an occurrence isn't done and its dependencies are. */
function isReady (step: StepState, steps: readonly StepState[]): boolean {
  return !step.isDone && step.specification.after.every(number => steps[number]?.isDone === true)
}

/** True if a step's progress has more than the tasks that are done. */
function hasMoreThanDone ({ done, failed, ...rest }: StepProgress): boolean {
  return Object.keys(failed).length > 0 || Object.keys(rest).length > 0
}
