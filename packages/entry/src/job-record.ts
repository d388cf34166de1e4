/** Encodes jobs as rows of the store. */
import { CornelgaugeError, epoch, workspaceName } from '@cornelgauge/model'
import { jobId, MAXIMUM_TASKS_PER_JOB, poolName, queueName, type Job, type QueueTerms, type Schedule, type StepSpecification } from '@cornelgauge/jobs'
import type { Json, RowValue } from '@cornelgauge/ports'

/** Incremented when older releases can't read the new format. */
const RECORD_FORMAT = 1
/** Keys that can be part of a task's name, in which a dot separates the parts. */
const JOB_KEY = /^[^.\s]{1,200}$/

/**
 * Encodes a job as the value of a row.
 *
 * @example
 * const value = encodeJob(job)
 */
export function encodeJob (job: Job): RowValue {
  const { id: _id, ...rest } = job
  return { format: RECORD_FORMAT, ...JSON.parse(JSON.stringify(rest)) as Record<string, Json> }
}

/**
 * Decodes a job from a row.
 *
 * @throws {CornelgaugeError} `record-damaged`
 * @example
 * const job = decodeJob(row.key, row.value)
 */
export function decodeJob (key: string, value: RowValue): Job {
  const draft: unknown = value
  const { format, acceptedUnder } = value
  if (!JOB_KEY.test(key) || format !== RECORD_FORMAT || !isWhole(acceptedUnder) || !isJobDraft(draft)) {
    throw new CornelgaugeError('record-damaged', { detail: `The record of job ${key} can't be read` })
  }
  return {
    id: jobId(key),
    queue: queueName(draft.queue),
    ...(draft.terms === undefined ? {} : { terms: draft.terms }),
    pool: poolName(draft.pool),
    workspace: workspaceName(draft.workspace),
    specification: draft.specification,
    steps: draft.steps,
    acceptedAt: draft.acceptedAt,
    acceptedUnder: epoch(acceptedUnder),
    ...(draft.schedule === undefined ? {} : { schedule: draft.schedule })
  }
}

/**
 * True if a value has the fields of a job, apart from its id and the epoch under which it was accepted.
 *
 * @example
 * isJobDraft({}) // false
 */
export function isJobDraft (value: unknown): value is Omit<Job, 'id' | 'acceptedUnder'> {
  const draft = value as Partial<Job> | null | undefined
  return isText(draft?.queue) && isText(draft.pool) && isText(draft.workspace) && isText(draft.specification) && isAbsentOr(isTerms)(draft.terms) &&
    Number.isFinite(draft.acceptedAt) && isAbsentOr(isSchedule)(draft.schedule) &&
    Array.isArray(draft.steps) && draft.steps.length > 0 && draft.steps.every(isStep) && countTasks(draft.steps, draft.schedule) <= MAXIMUM_TASKS_PER_JOB
}

const isAbsentOr = (check: (value: unknown) => boolean) => (value: unknown): boolean => value === undefined || check(value)
const isText = (value: unknown): value is string => typeof value === 'string'
const isFlag = (value: unknown): boolean => typeof value === 'boolean'
const isWhole = (value: unknown): value is number => Number.isSafeInteger(value) && Number(value) >= 0
const isAmount = (value: unknown): boolean => Number.isFinite(value) && Number(value) >= 0
const isCount = (value: unknown): boolean => isWhole(value) && value !== 0

const countTasks = (steps: readonly StepSpecification[], schedule?: Schedule): number =>
  steps.reduce((sum, step) => sum + step.count, 0) * (schedule?.occurrences ?? 1)

/** Checks of the fields of a step that may be absent. */
const OPTIONAL_STEP_FIELDS: Readonly<Partial<Record<keyof StepSpecification, (value: unknown) => boolean>>> = {
  estimateMilliseconds: Number.isFinite,
  savesCheckpoints: isFlag,
  isGang: isFlag,
  wantsOneRack: isFlag,
  requiredLabel: isText,
  dataRack: isText,
  mostPerServer: isCount,
  allowsCopies: isFlag,
  isLasting: isFlag,
  mayBeAway: isWhole,
  image: isText,
  tailTargetMilliseconds: isWhole,
  fillsIdleProcessor: isFlag
}

function isStep (value: unknown, index: number): value is StepSpecification {
  const step = value as Partial<StepSpecification> | null
  const { processor, memory, accelerators } = step?.need ?? {}
  return isCount(step?.count) && [processor, memory, accelerators].every(isWhole) &&
    Array.isArray(step?.after) && step.after.every(number => isWhole(number) && number < index) &&
    Object.entries(OPTIONAL_STEP_FIELDS).every(([name, check]) => isAbsentOr(check)(step[name as keyof StepSpecification]))
}

function isTerms (value: unknown): value is QueueTerms {
  const terms = value as Partial<QueueTerms> | null
  return isWhole(terms?.priority) && isCount(terms.attempts) && [terms.stretch, terms.latencyMilliseconds].every(isAmount) && isAbsentOr(isAdvice)(terms.advice)
}

function isAdvice (value: unknown): boolean {
  const advice = value as Partial<NonNullable<QueueTerms['advice']>> | null
  return [advice?.decisionMilliseconds, advice?.perServerMilliseconds, advice?.validMilliseconds].every(isAmount)
}

function isSchedule (value: unknown): value is Schedule {
  const schedule = value as Partial<Schedule> | null
  return isCount(schedule?.occurrences) && Number.isFinite(schedule?.startAt) &&
    Number.isFinite(schedule?.intervalMilliseconds) && schedule!.intervalMilliseconds! >= 0
}
