/** State of jobs, steps and tasks in the planner that owns them. */
import type { Epoch } from '@cornelgauge/model'
import { serverId, stepName, taskName, type ServerId, type StepName, type TaskName } from './ids.js'
import { dueAt, occurrencesOf, type Job, type JobPhase, type StepSpecification } from './job.js'
import { ENTRY_CHARACTERS, MAXIMUM_LISTED_ENTRIES, PLACEMENT_CHARACTERS, STEP_ENTRIES } from './limits.js'
import { LossRecord } from './loss-record.js'
import type { JobProgress, Placement, StepProgress } from './progress.js'
import type { Run } from './server.js'
import { decodeBits, encodeBits } from './task-bits.js'

const NO_SERVERS: ReadonlyMap<ServerId, string> = new Map()

/** State of one task. */
export class TaskState {
  readonly name: TaskName
  readonly step: StepState
  readonly index: number
  isDone = false
  /** Numbers of the runs that ended as failed. */
  readonly failedRuns = new Set<number>()
  /** Latest checkpoint; empty if there is none. */
  checkpoint = ''
  /** Runs that may still be executing. */
  readonly runs = new Set<Run>()
  /** Backend servers on which earlier owners have recorded runs of it that may still be executing, with their addresses. */
  readonly earlierServers = new Map<ServerId, string>()
  /** Backend servers at which a start of it may arrive that was given up, with their addresses. */
  readonly lateServers = new Map<ServerId, string>()
  /** When it last became ready to start, on the monotonic clock. */
  readySince: number | undefined
  /** How often a run of it was stopped as stuck. */
  stalls = 0

  constructor (name: TaskName, step: StepState, index: number) {
    this.name = name
    this.step = step
    this.index = index
  }

  get isWaiting (): boolean {
    return !this.isDone && this.runs.size === 0 && this.earlierServers.size === 0
  }

  /** Backend servers on which a run of it may be executing, or may begin, with their addresses. */
  get servers (): ReadonlyMap<ServerId, string> {
    if (this.runs.size + this.earlierServers.size + this.lateServers.size === 0) return NO_SERVERS
    return new Map([...this.earlierServers, ...this.lateServers, ...[...this.runs].map(({ server, address }) => [server, address] as const)])
  }
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
  readonly tasks: readonly TaskState[]
  /** Backend servers on which the advice service allows or refuses this step. */
  readonly advice = new StepAdvice()
  /** Backend servers on which runs of it were stopped as stuck. */
  readonly stalledOn = new Set<ServerId>()
  /** Runs lost with their backend servers. */
  readonly losses = new LossRecord()
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

  /** Marks a task as done; in a gang, all tasks. */
  complete (task: TaskState): void {
    const ended = this.specification.isGang ? this.tasks : [task]
    for (const each of ended) {
      if (each.isDone) continue
      each.isDone = true
      this.#done += 1
    }
  }

  /** Returns what counts its lost runs together: the index of a task, or 0 for a gang. */
  unitOf (task: TaskState): number {
    return this.specification.isGang ? 0 : task.index
  }

  /** Counts the failed runs of a task; in a gang, the failed runs of all its tasks, each run number once. */
  failuresOf (task: TaskState): number {
    if (!this.specification.isGang) return task.failedRuns.size
    const failedRuns = new Set<number>()
    for (const each of this.tasks) for (const run of each.failedRuns) failedRuns.add(run)
    return failedRuns.size
  }

  /** Highest number of failed runs of any task. */
  get highestFailures (): number {
    if (this.specification.isGang) return this.failuresOf(this.tasks[0]!)
    return this.tasks.reduce((highest, task) => Math.max(highest, task.failedRuns.size), 0)
  }

  get progress (): StepProgress {
    const failed = this.tasks.filter(task => task.failedRuns.size > 0).map(task => [task.index, [...task.failedRuns]])
    const placements = this.#placements
    return { done: this.tasks.filter(task => task.isDone).map(task => task.index), failed: Object.fromEntries(failed), ...this.losses.progress, ...(placements.size === 0 ? {} : { placements: Object.fromEntries(placements) }) }
  }

  /** Where tasks may run; one that is done isn't started again, wherever it runs. */
  get #placements (): ReadonlyMap<ServerId, Placement> {
    const placements = new Map<ServerId, { readonly address: string, readonly tasks: number[] }>()
    if (!this.job.isOpen) return placements
    for (const task of this.tasks) {
      if (task.isDone) continue
      for (const [server, address] of task.servers) {
        const known = placements.get(server)
        if (known === undefined) placements.set(server, { address, tasks: [task.index] })
        else known.tasks.push(task.index)
      }
    }
    return placements
  }

  /** Restores stored progress. */
  restore (progress: StepProgress): void {
    for (const index of progress.done) {
      const task = this.tasks[index]
      if (task !== undefined) this.complete(task)
    }
    for (const [index, runs] of Object.entries(progress.failed)) {
      for (const run of runs) this.tasks[Number(index)]?.failedRuns.add(run)
    }
    for (const [server, { address, tasks }] of Object.entries(progress.placements ?? {})) {
      for (const index of tasks) {
        const task = this.tasks[index]
        if (task?.isDone === false) task.earlierServers.set(serverId(server), address)
      }
    }
    this.losses.restore(progress, this.specification.isGang)
  }
}

/** State of one job. */
export class JobState {
  readonly job: Job
  /** Accepted under an earlier owner, which may have started it. */
  readonly isInherited: boolean
  phase: JobPhase = 'queued'
  finishedAt: number | undefined
  /** The final phase is stored and may be reported. */
  isFinalStored = false
  /** When this owner first saw the stored final phase, on the monotonic clock. */
  finalSeenAt: number | undefined
  /** Earlier owners may have started tasks of it on backend servers that its progress doesn't list. */
  hasUnlistedRuns = false
  /** Since when nothing of it runs, on the monotonic clock, as far as known; undefined from the start of a run until that is noticed. */
  idleSince: number | undefined
  readonly #occurrences = new Map<number, readonly StepState[]>()
  /** Those that aren't known to be done. */
  readonly #openOccurrences = new Map<number, readonly StepState[]>()

  constructor (job: Job, isInherited: boolean, progress?: JobProgress) {
    this.job = job
    this.isInherited = isInherited
    if (progress !== undefined) this.#restore(progress)
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
    return [...new Set(this.openSteps.flatMap(({ tasks }) => tasks.flatMap(task => [...task.earlierServers.keys()])))]
  }

  /** Phase for callers: a final phase only once it is stored. */
  get reportedPhase (): JobPhase {
    return this.isOpen || this.isFinalStored ? this.phase : 'running'
  }

  get progress (): JobProgress {
    const steps: Record<string, StepProgress> = {}
    for (const [occurrence, states] of this.#occurrences) {
      for (const state of states) {
        const progress = state.progress
        if (progress.done.length > 0 || Object.keys(progress.failed).length > 0 || progress.lost !== undefined || progress.placements !== undefined) steps[`${occurrence}.${state.number}`] = progress
      }
    }
    const listed = Object.values(steps)
    const placements = listed.reduce((sum, step) => sum + placementEntries(step), 0)
    const areListed = placements <= MAXIMUM_LISTED_ENTRIES
    const progress = {
      ...(this.isOpen ? {} : { phase: this.phase, finishedAt: this.finishedAt }),
      ...(this.hasUnlistedRuns || !areListed ? { hasUnlistedRuns: true } : {}),
      hasBegun: this.phase !== 'queued',
      steps: areListed ? steps : withoutPlacements(steps)
    }
    const entries = listed.reduce((sum, { done }) => sum + done.length, STEP_ENTRIES * listed.length + (areListed ? placements : 0))
    return entries <= MAXIMUM_LISTED_ENTRIES ? progress : { ...progress, steps: withoutDone(progress.steps), doneBits: encodeBits(this.#doneTasks()) }
  }

  /** Numbers of the completed tasks, in the order of occurrences, steps and tasks. */
  * #doneTasks (): Iterable<number> {
    let number = 0
    for (const { tasks } of this.steps) {
      for (const task of tasks) {
        if (task.isDone) yield number
        number += 1
      }
    }
  }

  /** All steps of all occurrences are done. */
  get isDone (): boolean {
    if (this.#occurrences.size < occurrencesOf(this.job)) return false
    return [...this.#occurrences.values()].every(steps => steps.every(step => step.isDone))
  }

  /** Steps of all activated occurrences, in order. */
  get steps (): readonly StepState[] {
    return [...this.#occurrences.values()].flat()
  }

  /** Steps of the activated occurrences that aren't known to be done, in order. */
  get openSteps (): readonly StepState[] {
    return [...this.#openOccurrences.values()].flat()
  }

  /** Steps of the last activated occurrence. */
  get lastSteps (): readonly StepState[] {
    return this.#occurrences.get(this.#occurrences.size - 1) ?? []
  }

  /** Activates the occurrences that are due. */
  activate (wallTime: number): void {
    for (let occurrence = this.#occurrences.size; occurrence < occurrencesOf(this.job); occurrence += 1) {
      if (dueAt(this.job, occurrence) > wallTime) return
      this.#stepsOf(occurrence)
    }
  }

  /** Steps that aren't done and whose dependencies are. */
  readySteps (): readonly StepState[] {
    const ready: StepState[] = []
    for (const [occurrence, steps] of this.#openOccurrences) {
      if (steps.every(step => step.isDone)) this.#openOccurrences.delete(occurrence)
      for (const step of steps) {
        if (!step.isDone && step.specification.after.every(number => steps[number]?.isDone === true)) ready.push(step)
      }
    }
    return ready
  }

  /** Looks up a task; activates its occurrence, which an earlier owner may have started. */
  task (occurrence: number, step: number, index: number): TaskState | undefined {
    if (occurrence >= occurrencesOf(this.job)) return undefined
    return this.#stepsOf(occurrence)[step]?.tasks[index]
  }

  /** All runs that may still be executing. */
  get runs (): readonly Run[] {
    return this.steps.flatMap(step => step.tasks.flatMap(task => [...task.runs]))
  }

  #stepsOf (occurrence: number): readonly StepState[] {
    const known = this.#occurrences.get(occurrence)
    if (known !== undefined) return known
    for (let earlier = this.#occurrences.size; earlier < occurrence; earlier += 1) this.#stepsOf(earlier)
    const steps = this.job.steps.map((specification, number) => new StepState(this, occurrence, number, specification))
    this.#occurrences.set(occurrence, steps)
    this.#openOccurrences.set(occurrence, steps)
    return steps
  }

  #restoreBits (doneBits: string): void {
    const tasksPerOccurrence = this.job.steps.reduce((sum, { count }) => sum + count, 0)
    for (const number of decodeBits(doneBits)) {
      const occurrence = Math.floor(number / tasksPerOccurrence)
      if (occurrence >= occurrencesOf(this.job)) return
      let index = number % tasksPerOccurrence
      const step = this.#stepsOf(occurrence).find(({ tasks }) => {
        if (index < tasks.length) return true
        index -= tasks.length
        return false
      })
      step?.complete(step.tasks[index]!)
    }
  }

  #restore (progress: JobProgress): void {
    if (progress.hasBegun) this.phase = 'running'
    this.hasUnlistedRuns = progress.hasUnlistedRuns === true
    if (progress.phase !== undefined) {
      this.phase = progress.phase
      this.finishedAt = progress.finishedAt
      this.isFinalStored = true
    }
    for (const [key, step] of Object.entries(progress.steps)) {
      const [occurrence, number] = key.split('.').map(Number)
      if (occurrence! < occurrencesOf(this.job)) this.#stepsOf(occurrence!)[number!]?.restore(step)
    }
    if (progress.doneBits !== undefined) this.#restoreBits(progress.doneBits)
    for (const { tasks } of this.steps) for (const task of tasks) if (task.isDone) task.earlierServers.clear()
  }
}

/** Drops the lists of completed tasks, and the steps that have no other progress. */
function withoutDone (steps: JobProgress['steps']): JobProgress['steps'] {
  const rest = Object.entries(steps).map(([key, step]) => [key, { ...step, done: [] }] as const)
  return Object.fromEntries(rest.filter(([, { failed, lost, attributed, placements }]) => Object.keys(failed).length > 0 || lost !== undefined || attributed !== undefined || placements !== undefined))
}

/** Counts the entries of a list of tasks that take as much room as the placements of a step. */
function placementEntries ({ placements = {} }: StepProgress): number {
  return Object.entries(placements).reduce((sum, [id, { address, tasks }]) => sum + Math.ceil((id.length + address.length + PLACEMENT_CHARACTERS) / ENTRY_CHARACTERS) + tasks.length, 0)
}

/** Drops the backend servers on which tasks may run. */
function withoutPlacements (steps: JobProgress['steps']): JobProgress['steps'] {
  return Object.fromEntries(Object.entries(steps).map(([key, { placements, ...step }]) => [key, step]))
}

/** Tasks of a step that are to be started; of a gang, all of its tasks. */
export interface StartUnit {
  readonly step: StepState
  readonly tasks: readonly TaskState[]
}
