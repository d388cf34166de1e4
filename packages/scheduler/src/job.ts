/** Conversion of requests to the jobs of the policy. */
import type { RequestRecord } from '@cornelgauge/model'
import type { Job } from '@cornelgauge/policy'

/** Returns the policy's job for a request in the ledger. */
export function jobOf (record: RequestRecord): Job {
  const { submission } = record
  return {
    id: record.id,
    workspace: submission.workspace,
    kind: submission.kind,
    shape: submission.shape,
    arrivedAt: record.acceptedAt,
    deadline: submission.deadline,
    declaredMilliseconds: submission.declaredMilliseconds,
    attempts: record.attempts
  }
}
