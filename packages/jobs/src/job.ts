/** Jobs as submitted by callers; immutable. */
import type { Epoch, WorkspaceName } from '@cornelgauge/model'
import type { Capacity } from './capacity.js'
import type { QueueTerms } from './configuration.js'
import type { JobId, PoolName, QueueName } from './ids.js'

/** A set of identical tasks that become ready together. */
export interface StepSpecification {
  /** Number of tasks. */
  readonly count: number
  /** Resources of each task. */
  readonly need: Capacity
  /** The caller's rough estimate of a task's run time, in milliseconds. */
  readonly estimateMilliseconds: number
  /** Numbers of the earlier steps that this step depends on. */
  readonly after: readonly number[]
  /** The tasks save checkpoints that a later run can resume from. */
  readonly savesCheckpoints: boolean
  /** The tasks form a gang: they start and end together. */
  readonly isGang: boolean
  /** The tasks run slower when spread over several racks. */
  readonly wantsOneRack: boolean
  /** Label that a backend server must have. */
  readonly requiredLabel?: string
  /** Rack that holds the input data; tasks run slower elsewhere. */
  readonly dataRack?: string
  /** Maximum number of tasks of the step, within one occurrence, on one backend server. */
  readonly mostPerServer?: number
  /** Several copies of a task may run at the same time. */
  readonly allowsCopies: boolean
  /** The tasks are long-running: they run until the job is cancelled. */
  readonly isLasting: boolean
  /** How many tasks of a long-running step the scheduler may disrupt at the same time. */
  readonly mayBeAway?: number
  /** Image of the tasks; tasks with the same image behave alike. */
  readonly image?: string
  /** Target for the tail latency of a serving task, in milliseconds. */
  readonly tailTargetMilliseconds?: number
  /** Best-effort tasks: they use idle processor time only, and their processor need is not counted. */
  readonly fillsIdleProcessor: boolean
}

/** Repetition of a job's steps. */
export interface Schedule {
  readonly occurrences: number
  /** Due time of the first occurrence, in milliseconds since 1970. */
  readonly startAt: number
  readonly intervalMilliseconds: number
}

/** An accepted job. */
export interface Job {
  readonly id: JobId
  readonly queue: QueueName
  /** Terms of its queue when it was accepted, which hold once the queue has been removed; absent in jobs of earlier releases. */
  readonly terms?: QueueTerms
  readonly pool: PoolName
  readonly workspace: WorkspaceName
  /** Passed to each task unchanged. */
  readonly specification: string
  readonly steps: readonly StepSpecification[]
  readonly schedule?: Schedule
  /** Time of acceptance, in milliseconds since 1970. */
  readonly acceptedAt: number
  /**
   * Epoch of the owner at the time it was stored. An owner with a lower epoch must not
   * start it, so a later owner knows which jobs no earlier owner can have started.
   */
  readonly acceptedUnder: Epoch
}

/** Phase of a job as reported to callers. */
export type JobPhase = 'queued' | 'running' | 'completed' | 'failed' | 'canceled'

export const FINAL_PHASES: ReadonlySet<JobPhase> = new Set(['completed', 'failed', 'canceled'])

/**
 * Returns how many times the steps of a job run.
 *
 * @example
 * occurrencesOf(job) // 1 for a job without a schedule
 */
export function occurrencesOf (job: Job): number {
  return job.schedule?.occurrences ?? 1
}

/**
 * Returns when an occurrence is due, in milliseconds since 1970.
 *
 * @example
 * dueAt(job, 0)
 */
export function dueAt (job: Job, occurrence: number): number {
  return job.schedule === undefined ? job.acceptedAt : job.schedule.startAt + occurrence * job.schedule.intervalMilliseconds
}

/**
 * Counts the accelerators of all tasks of a step.
 *
 * @example
 * acceleratorsOf(step) // 24 for three tasks of eight
 */
export function acceleratorsOf (step: StepSpecification): number {
  return step.count * step.need.accelerators
}
