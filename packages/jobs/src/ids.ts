/** Branded ids of jobs, tasks, queues and backend servers. */
import type { Branded } from '@cornelgauge/model'

/** Id of a job, chosen by its caller. */
export type JobId = Branded<string, 'JobId'>
/** Name of a queue: jobs of one kind, with one priority. */
export type QueueName = Branded<string, 'QueueName'>
/** Name of a pool: backend servers that run the tasks of some queues. */
export type PoolName = Branded<string, 'PoolName'>
/** Id of a backend server; stays the same across restarts. */
export type ServerId = Branded<string, 'ServerId'>
/** Name of one task: `job.occurrence.step.index`. */
export type TaskName = Branded<string, 'TaskName'>
/** Name of one step in one occurrence: `job.occurrence.step`. */
export type StepName = Branded<string, 'StepName'>
/** Number of one run of a task; later runs of the task have higher numbers. */
export type RunNumber = Branded<number, 'RunNumber'>

export const jobId = (text: string): JobId => text as JobId
export const queueName = (text: string): QueueName => text as QueueName
export const poolName = (text: string): PoolName => text as PoolName
export const serverId = (text: string): ServerId => text as ServerId
export const runNumber = (number: number): RunNumber => number as RunNumber

/** The components of a task name. */
export interface TaskAddress {
  readonly job: JobId
  readonly occurrence: number
  readonly step: number
  readonly index: number
}

const TASK_NAME = /^(?<job>[^.]+)\.(?<occurrence>\d+)\.(?<step>\d+)\.(?<index>\d+)$/

/**
 * Builds the name of a task.
 *
 * @example
 * taskName({ job: jobId('5c0e'), occurrence: 0, step: 1, index: 17 }) // '5c0e.0.1.17'
 */
export function taskName ({ job, occurrence, step, index }: TaskAddress): TaskName {
  return `${job}.${occurrence}.${step}.${index}` as TaskName
}

/**
 * Builds the name of a step in one occurrence.
 *
 * @example
 * stepName(jobId('5c0e'), 0, 1) // '5c0e.0.1'
 */
export function stepName (job: JobId, occurrence: number, step: number): StepName {
  return `${job}.${occurrence}.${step}` as StepName
}

/**
 * Parses a task name; undefined if the text is not a task name.
 *
 * @example
 * parseTaskName('5c0e.0.1.17')?.index // 17
 */
export function parseTaskName (text: string): TaskAddress | undefined {
  const groups = TASK_NAME.exec(text)?.groups
  if (groups === undefined) return undefined
  return {
    job: jobId(groups.job!),
    occurrence: Number(groups.occurrence),
    step: Number(groups.step),
    index: Number(groups.index)
  }
}
