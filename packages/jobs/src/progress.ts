/** Stored progress of a job, from which the next owner continues. */
import { CornelgaugeError } from '@cornelgauge/model'
import type { StoredCrashes } from './crash-evidence.js'
import { FINAL_PHASES, type JobPhase } from './job.js'
import type { RunsByIndex, StoredLosses } from './loss-record.js'

/** Keys of steps and tasks, with as many digits as a job can have of them. */
const STEP_KEY = /^\d{1,6}\.\d{1,6}$/
const INDEX = /^\d{1,6}$/

/** Progress of one step in one occurrence. */
export interface StepProgress extends StoredLosses {
  /** Indexes of the completed tasks. */
  readonly done: readonly number[]
  /** Numbers of the failed runs, by task index. */
  readonly failed: RunsByIndex
  /** Indexes of the tasks that may run on each backend server; earlier releases store none. */
  readonly placements?: Readonly<Record<string, readonly number[]>>
}

/** Progress of a job. */
export interface JobProgress {
  /** Final phase, once the job has ended. */
  readonly phase?: JobPhase
  /** When the job ended, in milliseconds since 1970. */
  readonly finishedAt?: number
  /** Since when nothing of the job runs, in milliseconds since 1970; absent while a task runs or none is ready, and in earlier releases. */
  readonly idleSince?: number
  /** A task of the job has started. */
  readonly hasBegun: boolean
  /** Tasks may run on backend servers that `placements` don't list, since there are too many of them. */
  readonly hasUnlistedRuns?: boolean
  /** Progress by `occurrence.step`; steps without any are omitted. */
  readonly steps: Readonly<Record<string, StepProgress>>
  /**
   * The completed tasks as bits in base64, in the order of occurrences, steps and tasks, where a list of them
   * would not fit a row of the store; `steps` then lists none.
   */
  readonly doneBits?: string
}

/** The form with bits, under a name that earlier releases refuse to read: they would start the tasks again. */
type StoredProgress = Omit<JobProgress, 'steps'> & { readonly steps?: JobProgress['steps'], readonly stepsBesideBits?: JobProgress['steps'] }

/**
 * Encodes progress as JSON.
 *
 * @example
 * encodeProgress({ hasBegun: true, steps: {} })
 */
export function encodeProgress ({ steps, ...rest }: JobProgress): string {
  const stored: StoredProgress = rest.doneBits === undefined ? { ...rest, steps } : { ...rest, stepsBesideBits: steps }
  return JSON.stringify(stored)
}

/**
 * Decodes progress from JSON.
 *
 * @throws {CornelgaugeError} `record-damaged`
 * @example
 * decodeProgress(encodeProgress(progress)).hasBegun
 */
export function decodeProgress (text: unknown): JobProgress {
  if (typeof text !== 'string') throw new CornelgaugeError('record-damaged', { detail: 'A progress record has no text' })
  const value = parse(text) as Partial<StoredProgress> | null
  if (typeof value === 'object' && value !== null && isPhase(value.phase) && isTime(value.finishedAt)) {
    const { steps, stepsBesideBits, idleSince, ...rest } = value
    // It serves the log only, so an odd value isn't worth the job.
    const progress = { ...rest, ...(isIndex(idleSince) ? { idleSince } : {}), hasBegun: value.hasBegun === true, ...(value.hasUnlistedRuns === undefined ? {} : { hasUnlistedRuns: true }) }
    if (typeof value.doneBits === 'string' && isSteps(stepsBesideBits)) return { ...progress, steps: stepsBesideBits }
    if (value.doneBits === undefined && isSteps(steps)) return { ...progress, steps }
  }
  throw new CornelgaugeError('record-damaged', { detail: 'A progress record lacks its fields' })
}

function parse (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch (cause) {
    throw new CornelgaugeError('record-damaged', { detail: 'A progress record is not JSON', cause })
  }
}

function isPhase (value: unknown): value is JobPhase | undefined {
  return value === undefined || FINAL_PHASES.has(value as JobPhase)
}

const isTime = (value: unknown): value is number | undefined => value === undefined || Number.isFinite(value)
const isIndex = (value: unknown): value is number => Number.isSafeInteger(value) && Number(value) >= 0
const areIndexes = (value: unknown): value is readonly number[] => Array.isArray(value) && value.every(isIndex)

function isSteps (value: unknown): value is JobProgress['steps'] {
  if (typeof value !== 'object' || value === null) return false
  return Object.entries(value).every(([key, step]) => STEP_KEY.test(key) && isStepProgress(step))
}

function isStepProgress (value: unknown): value is StepProgress {
  const { done, failed, placements = {}, lost = {}, attributed = {}, lostAtStart = {}, crashes = {}, otherEnds = {} } = (value ?? {}) as Partial<StepProgress>
  return areIndexes(done) && [failed, lost, attributed, lostAtStart].every(areRuns) && areCrashes(crashes) && areCounts(otherEnds) && arePlacements(placements)
}

/** True for task indexes by backend server. */
function arePlacements (value: unknown): value is NonNullable<StepProgress['placements']> {
  return typeof value === 'object' && value !== null && Object.values(value).every(areIndexes)
}

/** True for run numbers by task index. */
function areRuns (value: unknown): value is StepProgress['failed'] {
  return typeof value === 'object' && value !== null && Object.entries(value).every(([index, runs]) => INDEX.test(index) && areIndexes(runs))
}

/** True for run numbers with exposures by task index. */
function areCrashes (value: unknown): value is StoredCrashes {
  return typeof value === 'object' && value !== null && Object.entries(value).every(([index, crashes]) => INDEX.test(index) && Array.isArray(crashes) && crashes.every(isCrash))
}

/** True for numbers by task index. */
function areCounts (value: unknown): value is NonNullable<StepProgress['otherEnds']> {
  return typeof value === 'object' && value !== null && Object.entries(value).every(([index, count]) => INDEX.test(index) && isIndex(count))
}

function isCrash (value: unknown): boolean {
  return Array.isArray(value) && value.length === 2 && isIndex(value[0]) && (value[1] === null || isIndex(value[1]))
}
