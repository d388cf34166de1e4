/** The course of one job as its owner sees it. */
import { stepName, taskName, type ServerId, type StepName, type TaskName } from './ids.js'
import { dueAt, occurrencesOf, type Job, type JobPhase, type StepSpecification } from './job.js'
import type { JobProgress, StepProgress } from './progress.js'
import type { Run } from './server.js'

/** One task. */
export class TaskState {
  readonly name: TaskName
  readonly step: StepState
  readonly index: number
  isDone = false
  /** Numbers of the runs that ended as failed. */
  readonly failedRuns = new Set<number>()
  /** Newest checkpoint; empty if there is none. */
  checkpoint = ''
  /** Runs that may be alive. */
  readonly runs = new Set<Run>()
  /** When it last became ready to start, on the steady clock. */
  readySince: number | undefined

  constructor (name: TaskName, step: StepState, index: number) {
    this.name = name
    this.step = step
    this.index = index
  }

  get isWaiting (): boolean {
    return !this.isDone && this.runs.size === 0
  }
}

/** A permission to run a step on one life of a backend server. */
export interface Ticket {
  readonly text: string
  readonly life: number
  /** On the steady clock, in milliseconds. */
  readonly expiresAt: number
}

/** Where an outside service allows a step to run; that doesn't change, only tickets expire. */
export class StepAdvice {
  readonly tickets = new Map<ServerId, Ticket>()
  readonly refused = new Set<ServerId>()
  /** When it was last asked for, if that isn't answered yet. */
  askedAt = -Infinity
}

/** One step in one occurrence. */
export class StepState {
  readonly job: JobState
  readonly occurrence: number
  readonly number: number
  readonly specification: StepSpecification
  readonly tasks: readonly TaskState[]
  /** What an outside service has said of where it may run. */
  readonly advice = new StepAdvice()
  #done = 0

  constructor (job: JobState, occurrence: number, number: number, specification: StepSpecification) {
    this.job = job
    this.occurrence = occurrence
    this.number = number
    this.specification = specification
    const nameOf = (index: number): TaskName => taskName({ job: job.job.id, occurrence, step: number, index })
    this.tasks = Array.from({ length: specification.count }, (_, index) => new TaskState(nameOf(index), this, index))
  }

  get name (): StepName {
    return stepName(this.job.job.id, this.occurrence, this.number)
  }

  get isDone (): boolean {
    return this.#done === this.tasks.length
  }

  /** Marks a task, or of a gang all tasks, as done. */
  complete (task: TaskState): void {
    const ended = this.specification.isGang ? this.tasks : [task]
    for (const each of ended) {
      if (each.isDone) continue
      each.isDone = true
      this.#done += 1
    }
  }

  /** Failed runs that count against the limit: of the task, or of its gang as one. */
  failuresOf (task: TaskState): number {
    if (!this.specification.isGang) return task.failedRuns.size
    return new Set(this.tasks.flatMap(each => [...each.failedRuns])).size
  }

  get progress (): StepProgress {
    const failed = this.tasks.filter(task => task.failedRuns.size > 0).map(task => [task.index, [...task.failedRuns]])
    return { done: this.tasks.filter(task => task.isDone).map(task => task.index), failed: Object.fromEntries(failed) }
  }

  /** Takes over what was stored. */
  restore (progress: StepProgress): void {
    for (const index of progress.done) {
      const task = this.tasks[index]
      if (task !== undefined) this.complete(task)
    }
    for (const [index, runs] of Object.entries(progress.failed)) {
      for (const run of runs) this.tasks[Number(index)]?.failedRuns.add(run)
    }
  }
}

/** One job. */
export class JobState {
  readonly job: Job
  /** An earlier owner may have started it. */
  readonly isInherited: boolean
  phase: JobPhase = 'queued'
  finishedAt: number | undefined
  /** A final phase is told only once it is stored. */
  isFinalStored = false
  readonly #occurrences = new Map<number, readonly StepState[]>()

  constructor (job: Job, isInherited: boolean, progress?: JobProgress) {
    this.job = job
    this.isInherited = isInherited
    if (progress !== undefined) this.#restore(progress)
  }

  get isOpen (): boolean {
    return this.phase === 'queued' || this.phase === 'running'
  }

  /** What callers are told: a final phase only once it is stored. */
  get toldPhase (): JobPhase {
    return this.isOpen || this.isFinalStored ? this.phase : 'running'
  }

  get progress (): JobProgress {
    const steps: Record<string, StepProgress> = {}
    for (const [occurrence, states] of this.#occurrences) {
      for (const state of states) {
        const progress = state.progress
        if (progress.done.length > 0 || Object.keys(progress.failed).length > 0) steps[`${occurrence}.${state.number}`] = progress
      }
    }
    return {
      ...(this.isOpen ? {} : { phase: this.phase, finishedAt: this.finishedAt }),
      hasBegun: this.phase !== 'queued',
      steps
    }
  }

  /** Every occurrence has ended. */
  get isDone (): boolean {
    if (this.#occurrences.size < occurrencesOf(this.job)) return false
    return [...this.#occurrences.values()].every(steps => steps.every(step => step.isDone))
  }

  /** The steps of all occurrences that have begun to count, in order. */
  get steps (): readonly StepState[] {
    return [...this.#occurrences.values()].flat()
  }

  /** Brings in the occurrences that are due. */
  activate (wallTime: number): void {
    for (let occurrence = this.#occurrences.size; occurrence < occurrencesOf(this.job); occurrence += 1) {
      if (dueAt(this.job, occurrence) > wallTime) return
      this.#stepsOf(occurrence)
    }
  }

  /** The steps whose conditions hold and that aren't done. */
  readySteps (): readonly StepState[] {
    const ready: StepState[] = []
    for (const steps of this.#occurrences.values()) {
      for (const step of steps) {
        if (!step.isDone && step.specification.after.every(number => steps[number]?.isDone === true)) ready.push(step)
      }
    }
    return ready
  }

  /** A task by its place, also of an occurrence that another owner has begun. */
  task (occurrence: number, step: number, index: number): TaskState | undefined {
    if (occurrence >= occurrencesOf(this.job)) return undefined
    return this.#stepsOf(occurrence)[step]?.tasks[index]
  }

  /** All runs that may be alive. */
  get runs (): readonly Run[] {
    return this.steps.flatMap(step => step.tasks.flatMap(task => [...task.runs]))
  }

  #stepsOf (occurrence: number): readonly StepState[] {
    const known = this.#occurrences.get(occurrence)
    if (known !== undefined) return known
    for (let earlier = this.#occurrences.size; earlier < occurrence; earlier += 1) this.#stepsOf(earlier)
    const steps = this.job.steps.map((specification, number) => new StepState(this, occurrence, number, specification))
    this.#occurrences.set(occurrence, steps)
    return steps
  }

  #restore (progress: JobProgress): void {
    if (progress.hasBegun) this.phase = 'running'
    if (progress.phase !== undefined) {
      this.phase = progress.phase
      this.finishedAt = progress.finishedAt
      this.isFinalStored = true
    }
    for (const [key, step] of Object.entries(progress.steps)) {
      const [occurrence, number] = key.split('.').map(Number)
      this.#stepsOf(occurrence!)[number!]?.restore(step)
    }
  }
}

/** One start of a task or of a whole gang. */
export interface StartUnit {
  readonly step: StepState
  readonly tasks: readonly TaskState[]
}
