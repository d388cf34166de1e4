/** Encodes jobs as rows of the store. */
import { CornelgaugeError, epoch, workspaceName } from '@cornelgauge/model'
import { jobId, poolName, queueName, type Job, type StepSpecification } from '@cornelgauge/jobs'
import type { Json, RowValue } from '@cornelgauge/ports'

/** Incremented when older releases can't read the new format. */
const RECORD_FORMAT = 1

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
  if (format !== RECORD_FORMAT || typeof acceptedUnder !== 'number' || !isJobDraft(draft)) {
    throw new CornelgaugeError('record-damaged', { detail: `The record of job ${key} can't be read` })
  }
  return {
    id: jobId(key),
    queue: queueName(draft.queue),
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
  return typeof draft?.queue === 'string' && typeof draft.pool === 'string' && typeof draft.workspace === 'string' &&
    typeof draft.specification === 'string' && typeof draft.acceptedAt === 'number' &&
    Array.isArray(draft.steps) && draft.steps.length > 0 && draft.steps.every(isStep)
}

function isStep (value: unknown): value is StepSpecification {
  const step = value as Partial<StepSpecification> | null
  return typeof step?.count === 'number' && typeof step.need?.accelerators === 'number' && Array.isArray(step.after)
}
