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
  const record = value as unknown as Partial<Omit<Job, 'id'>> & { format?: unknown }
  const isValid = record.format === RECORD_FORMAT && typeof record.queue === 'string' && typeof record.pool === 'string' &&
    typeof record.workspace === 'string' && typeof record.specification === 'string' && typeof record.acceptedAt === 'number' && typeof record.acceptedUnder === 'number' &&
    Array.isArray(record.steps) && record.steps.length > 0 && record.steps.every(isStep)
  if (!isValid) throw new CornelgaugeError('record-damaged', { detail: `The record of job ${key} can't be read` })
  return {
    id: jobId(key),
    queue: queueName(record.queue!),
    pool: poolName(record.pool!),
    workspace: workspaceName(record.workspace!),
    specification: record.specification!,
    steps: record.steps!,
    acceptedAt: record.acceptedAt!,
    acceptedUnder: epoch(record.acceptedUnder!),
    ...(record.schedule === undefined ? {} : { schedule: record.schedule })
  }
}

function isStep (value: unknown): value is StepSpecification {
  const step = value as Partial<StepSpecification> | null
  return typeof step?.count === 'number' && typeof step.need?.accelerators === 'number' && Array.isArray(step.after)
}
