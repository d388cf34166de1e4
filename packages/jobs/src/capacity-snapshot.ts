/** Free capacity during one round: a working copy from which placements are subtracted. */
import { addCapacity, timesFitting, type Capacity } from './capacity.js'
import type { StepState } from './step-state.js'
import type { ServerId } from './ids.js'
import type { RoundWork } from './round-work.js'
import { NO_TASKS, withTasks, type Server, type TaskCounts } from './server.js'

/** A backend server on which tasks can be placed in a round. */
export interface PlacementTarget {
  readonly server: Server
  free: Capacity
  /** Number of tasks on it, by step and occurrence. */
  tasksOf: TaskCounts
  /** Number of those that save no checkpoints. */
  tasksWithoutCheckpoints: number
}

/** The backend servers that may get work, with the free capacity of each. */
export class CapacitySnapshot {
  readonly targets: readonly PlacementTarget[]
  /** Counts the examinations of its targets. */
  readonly work: RoundWork
  /** Its targets by backend server, once one is looked up. */
  #byServer: ReadonlyMap<ServerId, PlacementTarget> | undefined
  #racks: readonly (readonly PlacementTarget[])[] | undefined

  constructor (targets: readonly PlacementTarget[], work: RoundWork) {
    this.targets = targets
    this.work = work
    work.add(targets.length)
  }

  /** Returns the target of a backend server; undefined if it may not get work. */
  targetOf (server: ServerId): PlacementTarget | undefined {
    this.#byServer ??= new Map(this.targets.map(target => [target.server.id, target]))
    return this.#byServer.get(server)
  }

  /** Its targets by rack, grouped once for all gangs that wait. */
  get racks (): readonly (readonly PlacementTarget[])[] {
    this.#racks ??= racksOf(this.targets)
    return this.#racks
  }

  /** Copies the snapshot for trial placements. */
  copy (): CapacitySnapshot {
    return new CapacitySnapshot(this.targets.map(target => ({ ...target })), this.work)
  }

  /** Subtracts one task's need from a target. */
  take (target: PlacementTarget, step: StepState): void {
    target.free = addCapacity(target.free, countedNeed(step), -1)
    target.tasksOf = withTasks(target.tasksOf, step, 1)
    if (!step.specification.savesCheckpoints) target.tasksWithoutCheckpoints += 1
  }

  /** Gives back what one task has taken of a target. */
  giveBack (target: PlacementTarget, step: StepState): void {
    target.free = addCapacity(target.free, countedNeed(step))
    target.tasksOf = withTasks(target.tasksOf, step, -1)
    if (!step.specification.savesCheckpoints) target.tasksWithoutCheckpoints -= 1
  }
}

/**
 * Returns the capacity that a task of a step takes; best-effort tasks take no processor.
 *
 * @example
 * countedNeed(step).processor // 0 for a best-effort step
 */
export function countedNeed (step: StepState): Capacity {
  const { need, fillsIdleProcessor } = step.specification
  return fillsIdleProcessor ? { ...need, processor: 0 } : need
}

/**
 * Returns how many tasks of a step may run on a target whatever capacity is free, at most `limit`.
 *
 * @example
 * mostTasksOn(target, step, 5) // 0 without the required label
 */
export function mostTasksOn ({ server, tasksOf }: Pick<PlacementTarget, 'server' | 'tasksOf'>, step: StepState, limit: number): number {
  const { requiredLabel, mostPerServer } = step.specification
  if (server.entry.pool !== step.job.job.pool) return 0
  if (requiredLabel !== undefined && !(server.isEntryCurrent && server.entry.labels.includes(requiredLabel))) return 0
  return mostPerServer === undefined ? limit : Math.min(limit, mostPerServer - (tasksOf.get(step) ?? 0))
}

/**
 * Counts how many tasks of a step fit on a target, at most `limit`.
 *
 * @example
 * countFitting(target, step, 5)
 */
export function countFitting (target: PlacementTarget, step: StepState, limit: number): number {
  return timesFitting(target.free, countedNeed(step), mostTasksOn(target, step, limit))
}

/**
 * Counts how many tasks of a step would fit on an empty backend server, at most `limit`.
 *
 * @example
 * countFittingEmpty(target.server, step, 5)
 */
export function countFittingEmpty (server: Server, step: StepState, limit: number): number {
  return timesFitting(server.entry.capacity, countedNeed(step), mostTasksOn({ server, tasksOf: NO_TASKS }, step, limit))
}

/**
 * Groups targets by rack.
 *
 * @example
 * racksOf(snapshot.targets).length
 */
export function racksOf (targets: readonly PlacementTarget[]): readonly (readonly PlacementTarget[])[] {
  const racks = new Map<string, PlacementTarget[]>()
  for (const target of targets) {
    const rack = racks.get(target.server.entry.rack)
    if (rack === undefined) racks.set(target.server.entry.rack, [target])
    else rack.push(target)
  }
  return [...racks.values()]
}
