/** Tasks that start together. */
import type { StepState } from './step-state.js'
import type { TaskState } from './task-state.js'

/** Tasks of a step that are to be started; of a gang, all of its tasks. */
export interface StartUnit {
  readonly step: StepState
  /** The first of them. */
  readonly first: TaskState
  /** How many they are. */
  readonly count: number
}

/**
 * Returns the waiting tasks of a step; of a gang, all tasks or none.
 *
 * @example
 * startUnitOf(step)?.count
 */
export function startUnitOf (step: StepState): StartUnit | undefined {
  const first = step.firstWaiting
  if (first === undefined) return undefined
  const count = step.waitingCount
  return step.specification.isGang && count < step.count ? undefined : { step, first, count }
}

/**
 * Returns a task that starts by itself.
 *
 * @example
 * unitOf(task).count // 1
 */
export function unitOf (task: TaskState): StartUnit {
  return { step: task.step, first: task, count: 1 }
}
