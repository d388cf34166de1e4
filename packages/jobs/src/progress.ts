/** Stored progress of a job, from which the next owner continues. */
import { CornelgaugeError } from '@cornelgauge/model'
import { FINAL_PHASES, type JobPhase } from './job.js'

/** Progress of one step in one occurrence. */
export interface StepProgress {
  /** Indexes of the completed tasks. */
  readonly done: readonly number[]
  /** Numbers of the failed runs, by task index. */
  readonly failed: Readonly<Record<string, readonly number[]>>
  /** Numbers of the runs lost with their backend servers, by task index, for a gang under 0; earlier releases store none. */
  readonly lost?: Readonly<Record<string, readonly number[]>>
}

/** Progress of a job. */
export interface JobProgress {
  /** Final phase, once the job has ended. */
  readonly phase?: JobPhase
  /** When the job ended, in milliseconds since 1970. */
  readonly finishedAt?: number
  /** A task of the job has started. */
  readonly hasBegun: boolean
  /** Progress by `occurrence.step`; steps without any are omitted. */
  readonly steps: Readonly<Record<string, StepProgress>>
}

/**
 * Encodes progress as JSON.
 *
 * @example
 * encodeProgress({ hasBegun: true, steps: {} })
 */
export function encodeProgress (progress: JobProgress): string {
  return JSON.stringify(progress)
}

/**
 * Decodes progress from JSON.
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
  return Object.values(value).every(step => Array.isArray(step?.done) && typeof step?.failed === 'object' && step.failed !== null && isLost(step.lost))
}

function isLost (value: unknown): value is StepProgress['lost'] {
  return value === undefined || (typeof value === 'object' && value !== null && Object.values(value).every(runs => Array.isArray(runs)))
}
