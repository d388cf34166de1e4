/**
 * The immutable state of one execution on a backend server, and its progress.
 */
import type { CellName, Epoch } from '@cornelgauge/model'
import type { ExecutionId, ExecutionReport, ExecutionState, OwnerClaim, Preparation } from './backend-server.js'
import { durationOf } from './task.js'

/** Progress of a running task at a known time and speed. */
export interface Progress {
  /** Work done up to `since`, in milliseconds at full speed. */
  readonly completedMilliseconds: number
  /** Fraction of full speed, 0 to 1. */
  readonly speed: number
  readonly since: number
}

/** An execution as the backend server stores it. One that was fenced before its `prepare` arrived has no preparation. */
export interface Execution {
  readonly id: ExecutionId
  readonly cell: CellName
  readonly epoch: Epoch
  readonly state: ExecutionState
  /** Revision of the backend server at which this state was stored. */
  readonly revision: number
  readonly preparation?: Preparation
  readonly progress?: Progress
  readonly answer?: string
  readonly checkpoint?: string
  readonly detail?: string
}

/**
 * The map key of an execution.
 *
 * @example
 * executionKey({ request, attempt: 2 }) // 'brno/swap-1#2'
 */
export function executionKey ({ request, attempt }: ExecutionId): string {
  return `${request}#${attempt}`
}

/**
 * A new execution with reserved capacity.
 *
 * @example
 * preparedExecution(claim, preparation).state // 'prepared'
 */
export function preparedExecution (claim: OwnerClaim, preparation: Preparation): Execution {
  const { request, attempt, checkpoint } = preparation
  return { cell: claim.cell, epoch: claim.epoch, id: { request, attempt }, state: 'prepared', revision: 0, preparation, checkpoint }
}

/**
 * The record of an execution that has not started on this backend server and never will.
 *
 * @example
 * fencedExecution(claim, id).state // 'never-started'
 */
export function fencedExecution (claim: OwnerClaim, { request, attempt }: ExecutionId): Execution {
  return { cell: claim.cell, epoch: claim.epoch, id: { request, attempt }, state: 'never-started', revision: 0 }
}

/**
 * True if the execution holds capacity.
 *
 * @example
 * isLive({ ...execution, state: 'running' }) // true
 */
export function isLive ({ state }: Execution): boolean {
  return state === 'prepared' || state === 'running'
}

/**
 * The report that the backend server sends about an execution.
 *
 * @example
 * reportOf(execution).state
 */
export function reportOf ({ id, state, answer, checkpoint, detail }: Execution): ExecutionReport {
  return {
    ...id,
    state,
    ...(answer === undefined ? {} : { answer }),
    ...(checkpoint === undefined ? {} : { checkpoint }),
    ...(detail === undefined ? {} : { detail })
  }
}

/**
 * Work done by `now`, in milliseconds at full speed.
 *
 * @example
 * completedBy({ completedMilliseconds: 10, speed: 0.5, since: 0 }, 20) // 20
 */
export function completedWork ({ completedMilliseconds, speed, since }: Progress, now: number): number {
  return completedMilliseconds + (now - since) * speed
}

/**
 * Milliseconds until the task ends at its current speed; infinite at speed 0.
 *
 * @example
 * remainingMilliseconds(execution, clock.now())
 */
export function remainingMilliseconds ({ preparation, progress }: Execution, now: number): number {
  if (preparation === undefined || progress === undefined) return 0
  const work = Math.max(0, durationOf(preparation.payload) - completedWork(progress, now))
  return work === 0 ? 0 : Math.ceil(work / progress.speed)
}

/**
 * A checkpoint that holds the work done by `now`.
 *
 * @example
 * checkpointAt({ completedMilliseconds: 10, speed: 1, since: 0 }, 5) // '{"completedMilliseconds":15}'
 */
export function checkpointAt (progress: Progress, now: number): string {
  return JSON.stringify({ completedMilliseconds: Math.floor(completedWork(progress, now)) })
}

/**
 * Work done up to a checkpoint, in milliseconds at full speed; 0 without a checkpoint.
 *
 * @example
 * completedIn('{"completedMilliseconds":15}') // 15
 */
export function completedInCheckpoint (checkpoint: string | undefined): number {
  if (checkpoint === undefined) return 0
  const { completedMilliseconds } = JSON.parse(checkpoint) as { completedMilliseconds: number }
  return completedMilliseconds
}
