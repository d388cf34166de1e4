/** Jobs as their callers hand them in: immutable values. */
import type { Epoch, WorkspaceName } from '@cornelgauge/model'
import type { Capacity } from './capacity.js'
import type { JobId, PoolName, QueueName } from './ids.js'

/** Tasks that are alike and start under the same conditions. */
export interface StepSpecification {
  /** Number of tasks. */
  readonly count: number
  /** What each task takes of a backend server. */
  readonly need: Capacity
  /** The caller's rough estimate of a task's run time, in milliseconds. */
  readonly estimateMilliseconds: number
  /** Numbers of earlier steps whose tasks must all be done first. */
  readonly after: readonly number[]
  /** The tasks save checkpoints that a later run can go on from. */
  readonly savesCheckpoints: boolean
  /** The tasks only work all together and end together. */
  readonly isGang: boolean
  /** The tasks are slow when they are spread over racks. */
  readonly wantsOneRack: boolean
  /** A label that a backend server must have. */
  readonly requiredLabel?: string
  /** The rack that holds the data; tasks elsewhere are slow. */
  readonly dataRack?: string
  /** The most tasks of the step, in one occurrence, on one backend server. */
  readonly mostPerServer?: number
  /** Copies of a task may run side by side. */
  readonly allowsCopies: boolean
  /** The tasks run until the job is cancelled. */
  readonly isLasting: boolean
  /** How many tasks of a lasting step may be away at once through our own doing. */
  readonly mayBeAway?: number
  /** What the tasks run; tasks of one image behave alike. */
  readonly image?: string
  /** Bound on the tail of a serving task's response times, in milliseconds. */
  readonly tailTargetMilliseconds?: number
  /** The tasks use processor time that others leave over; theirs isn't counted. */
  readonly fillsIdleProcessor: boolean
}

/** When the steps of a job run again. */
export interface Schedule {
  readonly occurrences: number
  /** Due time of the first occurrence, in milliseconds since 1970. */
  readonly startAt: number
  readonly intervalMilliseconds: number
}

/** A job that was accepted. */
export interface Job {
  readonly id: JobId
  readonly queue: QueueName
  readonly pool: PoolName
  readonly workspace: WorkspaceName
  /** Handed to each task unchanged. */
  readonly specification: string
  readonly steps: readonly StepSpecification[]
  readonly schedule?: Schedule
  /** Time of acceptance, in milliseconds since 1970. */
  readonly acceptedAt: number
  /**
   * Epoch of the owner under whom it was stored. No earlier owner may start it, so that
   * a later one knows which jobs nobody before it can have started.
   */
  readonly acceptedUnder: Epoch
}

/** What a caller is told of a job. */
export type JobPhase = 'queued' | 'running' | 'completed' | 'failed' | 'canceled'

export const FINAL_PHASES: ReadonlySet<JobPhase> = new Set(['completed', 'failed', 'canceled'])

/**
 * How many times the steps of a job run.
 *
 * @example
 * occurrencesOf(job) // 1 for a job without a schedule
 */
export function occurrencesOf (job: Job): number {
  return job.schedule?.occurrences ?? 1
}

/**
 * When an occurrence is due, in milliseconds since 1970.
 *
 * @example
 * dueAt(job, 0)
 */
export function dueAt (job: Job, occurrence: number): number {
  return job.schedule === undefined ? job.acceptedAt : job.schedule.startAt + occurrence * job.schedule.intervalMilliseconds
}

/**
 * Accelerators that a step's tasks hold together.
 *
 * @example
 * acceleratorsOf(step) // 24 for three tasks of eight
 */
export function acceleratorsOf (step: StepSpecification): number {
  return step.count * step.need.accelerators
}
