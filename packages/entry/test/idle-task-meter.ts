/** Measures how long tasks are idle in a play: nothing of them runs anywhere, though half of the reachable pool is free. */
import type { PlayedPool } from './played-server.js'

/** How long tasks were idle. */
export interface IdleTimes {
  /** The longest time of a task no run or start of which was on a lost backend server since it last ran on a reachable one. */
  readonly withoutLoss: number
  /** The longest time of a task with such a loss, divided by the number of its losses. */
  readonly perLoss: number
}

/** A task that isn't done. */
interface MeteredTask {
  /** How long nothing of it ran since a reachable backend server last ran it. */
  idleMilliseconds: number
  /** Its runs and starts on lost backend servers since then. */
  losses: number
}

/**
 * Knows of each task what the backend servers know, whatever an owner assumes.
 *
 * @example
 * const meter = new IdleTaskMeter(pool)
 * meter.add('job-0.0.0.0')
 * meter.measure(50)
 */
export class IdleTaskMeter {
  readonly #pool: PlayedPool
  readonly #tasks = new Map<string, MeteredTask>()
  #withoutLoss = 0
  #perLoss = 0
  #losses = 0

  constructor (pool: PlayedPool) {
    this.#pool = pool
  }

  /** Adds a task that is ready. */
  add (task: string): void {
    this.#tasks.set(task, { idleMilliseconds: 0, losses: 0 })
  }

  /** Counts a run or a start of a task on a backend server that is lost. */
  addLoss (task: string): void {
    const metered = this.#tasks.get(task)
    if (metered === undefined) return
    metered.losses += 1
    this.#losses += 1
  }

  /** Number of tasks that aren't done. */
  get openTasks (): number {
    return this.#tasks.size
  }

  /** Runs and starts on lost backend servers. */
  get losses (): number {
    return this.#losses
  }

  get idleTimes (): IdleTimes {
    return { withoutLoss: this.#withoutLoss, perLoss: Math.round(this.#perLoss) }
  }

  /** Adds a step of the play to the time of each task that is idle. */
  measure (milliseconds: number): void {
    const { reachable, unreachable } = this.#runningTasks()
    for (const { doneTasks } of this.#pool.servers) {
      for (const task of doneTasks) this.#tasks.delete(task)
      doneTasks.clear()
    }
    const isHalfFree = 2 * reachable.size <= this.#pool.reachableAccelerators
    for (const [name, task] of this.#tasks) {
      if (reachable.has(name)) Object.assign(task, { idleMilliseconds: 0, losses: 0 })
      else if (!unreachable.has(name) && isHalfFree) this.#addIdle(task, milliseconds)
    }
  }

  #addIdle (task: MeteredTask, milliseconds: number): void {
    task.idleMilliseconds += milliseconds
    if (task.losses === 0) this.#withoutLoss = Math.max(this.#withoutLoss, task.idleMilliseconds)
    else this.#perLoss = Math.max(this.#perLoss, task.idleMilliseconds / task.losses)
  }

  #runningTasks (): { readonly reachable: ReadonlySet<string>, readonly unreachable: ReadonlySet<string> } {
    const reachable = new Set<string>()
    const unreachable = new Set<string>()
    for (const { isReachable, running } of this.#pool.servers) for (const task of running.keys()) (isReachable ? reachable : unreachable).add(task)
    return { reachable, unreachable }
  }
}
