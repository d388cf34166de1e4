/** What is stored of a job's course, so that the next owner goes on from there. */
import { CornelgaugeError } from '@cornelgauge/model'
import { FINAL_PHASES, type JobPhase } from './job.js'

/** The course of one step in one occurrence. */
export interface StepProgress {
  /** Indexes of the tasks that are done. */
  readonly done: readonly number[]
  /** Numbers of the failed runs, by the index of their task. */
  readonly failed: Readonly<Record<string, readonly number[]>>
}

/** The course of a job. */
export interface JobProgress {
  /** Its final phase, once it has one. */
  readonly phase?: JobPhase
  /** When it got that, in milliseconds since 1970. */
  readonly finishedAt?: number
  /** A task of it has started. */
  readonly hasBegun: boolean
  /** By `occurrence.step`. */
  readonly steps: Readonly<Record<string, StepProgress>>
}

/**
 * The progress as text.
 *
 * @example
 * encodeProgress({ hasBegun: true, steps: {} })
 */
export function encodeProgress (progress: JobProgress): string {
  return JSON.stringify(progress)
}

/**
 * The progress in a text.
 *
 * @throws {CornelgaugeError} `record-damaged`
 * @example
 * decodeProgress(encodeProgress(progress)).hasBegun
 */
export function decodeProgress (text: string): JobProgress {
  try {
    const value = JSON.parse(text) as Partial<JobProgress> | null
    if (value !== null && typeof value === 'object' && isSteps(value.steps) && isPhase(value.phase)) {
      return { ...value, hasBegun: value.hasBegun === true, steps: value.steps }
    }
  } catch (cause) {
    throw new CornelgaugeError('record-damaged', { detail: 'A progress record is not JSON', cause })
  }
  throw new CornelgaugeError('record-damaged', { detail: 'A progress record lacks its fields' })
}

function isPhase (value: unknown): value is JobPhase | undefined {
  return value === undefined || FINAL_PHASES.has(value as JobPhase)
}

function isSteps (value: unknown): value is JobProgress['steps'] {
  if (typeof value !== 'object' || value === null) return false
  return Object.values(value).every(step => Array.isArray(step?.done) && typeof step?.failed === 'object' && step.failed !== null)
}
