/** State of one task that has something to remember. */
import type { ServerId, TaskName } from './ids.js'
import type { Run } from './server.js'
import type { StepState } from './step-state.js'

const NO_SERVERS: ReadonlyMap<ServerId, string> = new Map()
const NO_RUNS: ReadonlySet<number> = new Set()

/** State of one task. */
export class TaskState {
  readonly name: TaskName
  readonly step: StepState
  readonly index: number
  /** When it last became ready to start, on the monotonic clock. */
  readySince: number | undefined
  /** How often a run of it was stopped as stuck. */
  stalls = 0
  readonly #runs = new Set<Run>()
  #checkpoint = ''
  #failedRuns: Set<number> | undefined
  #earlierServers: Map<ServerId, string> | undefined
  #lateServers: Map<ServerId, string> | undefined

  constructor (name: TaskName, step: StepState, index: number) {
    this.name = name
    this.step = step
    this.index = index
    this.readySince = step.readySince
  }

  get isDone (): boolean {
    return this.step.isTaskDone(this.index)
  }

  get isWaiting (): boolean {
    return !this.isDone && this.#runs.size === 0 && this.earlierServers.size === 0
  }

  /** Runs that may still be executing. */
  get runs (): ReadonlySet<Run> {
    return this.#runs
  }

  addRun (run: Run): void {
    if (this.#runs.has(run)) return
    this.#runs.add(run)
    this.step.job.noteRuns(1)
    this.step.noteChanged(this)
  }

  removeRun (run: Run): void {
    if (!this.#runs.delete(run)) return
    this.step.job.noteRuns(-1)
    this.step.noteChanged(this)
  }

  /** Numbers of the runs that ended as failed. */
  get failedRuns (): ReadonlySet<number> {
    return this.#failedRuns ?? NO_RUNS
  }

  /** Adds one; only called by its step, which counts them. */
  addFailedRun (run: number): void {
    this.#failedRuns = (this.#failedRuns ?? new Set<number>()).add(run)
  }

  /** Backend servers on which earlier owners have recorded runs of it that may still be executing, with their addresses. */
  get earlierServers (): ReadonlyMap<ServerId, string> {
    return this.#earlierServers ?? NO_SERVERS
  }

  addEarlierServer (id: ServerId, address: string): void {
    if (!this.earlierServers.has(id)) this.step.job.noteEarlierServer(id, 1)
    this.#earlierServers = (this.#earlierServers ?? new Map<ServerId, string>()).set(id, address)
    this.step.noteChanged(this)
  }

  removeEarlierServer (id: ServerId): void {
    if (this.#earlierServers?.delete(id) !== true) return
    this.step.job.noteEarlierServer(id, -1)
    this.step.noteChanged(this)
  }

  /** Adds a backend server at which a start of it may arrive that was given up. */
  addLateServer (id: ServerId, address: string): void {
    this.#lateServers = (this.#lateServers ?? new Map<ServerId, string>()).set(id, address)
    this.step.noteChanged(this)
  }

  /** True if there are any `servers`. */
  get hasServers (): boolean {
    return this.#runs.size + this.earlierServers.size + (this.#lateServers?.size ?? 0) > 0
  }

  /** Latest checkpoint, which the tasks of a gang share; empty if there is none. */
  get checkpoint (): string {
    return this.step.specification.isGang ? this.step.gangCheckpoint : this.#checkpoint
  }

  set checkpoint (checkpoint: string) {
    if (this.step.specification.isGang) this.step.gangCheckpoint = checkpoint
    else this.#checkpoint = checkpoint
  }

  /** Backend servers on which a run of it may be executing, or may begin, with their addresses. */
  get servers (): ReadonlyMap<ServerId, string> {
    if (!this.hasServers) return NO_SERVERS
    const servers = new Map([...this.earlierServers, ...this.#lateServers ?? NO_SERVERS])
    for (const { server, address } of this.#runs) servers.set(server, address)
    return servers
  }
}
