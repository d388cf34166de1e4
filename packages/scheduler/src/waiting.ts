/**
 * Waiting requests: adding them to the policy's queues, withdrawing them, and ending
 * them without a run.
 */
import type { EndReason, RequestId, RequestRecord } from '@cornelgauge/model'
import { jobOf } from './job.js'
import type { Transaction } from './transaction.js'

/** Queues a pending request for capacity. */
export function enqueue (transaction: Transaction, record: RequestRecord): void {
  const { waiting, backoffUntil } = transaction.state
  transaction.update({ waiting: waiting.set(record.id, record.submission.deadline), backoffUntil: backoffUntil.delete(record.id) })
  transaction.changePolicy({ type: 'job-arrived', job: jobOf(record), at: transaction.now.wall })
}

/** Queues a pending request for capacity after a backoff. */
export function enqueueAfterBackoff (transaction: Transaction, record: RequestRecord, backoffMilliseconds: number): void {
  const { waiting, backoffUntil } = transaction.state
  transaction.update({
    waiting: waiting.set(record.id, record.submission.deadline),
    backoffUntil: backoffUntil.set(record.id, transaction.now.monotonic + backoffMilliseconds)
  })
}

/** Removes a request from the waiting ones. */
export function withdraw (transaction: Transaction, id: RequestId): void {
  const { waiting, backoffUntil } = transaction.state
  const isInPolicy = waiting.has(id) && !backoffUntil.has(id)
  transaction.update({ waiting: waiting.delete(id), backoffUntil: backoffUntil.delete(id) })
  if (isInPolicy) transaction.changePolicy({ type: 'job-withdrawn', id, at: transaction.now.wall })
}

/**
 * Returns the end state of a request that ends while it isn't running. A request that
 * may have run in an earlier attempt ends as `failed` instead of `not-run`.
 */
export function endStateWithoutRun (transaction: Transaction, id: RequestId, intended: 'not-run' | 'cancelled'): 'not-run' | 'cancelled' | 'failed' {
  const mayHaveRun = transaction.record(id)?.mayHaveRun === true
  return intended === 'not-run' && mayHaveRun ? 'failed' : intended
}

/** Ends a pending request. */
export function endPending (transaction: Transaction, id: RequestId, intended: 'not-run' | 'cancelled', reason: EndReason): void {
  const state = endStateWithoutRun(transaction, id, intended)
  withdraw(transaction, id)
  transaction.stage({ type: 'ended', id, state, reason, at: transaction.now.wall })
  transaction.log('request-ended', id, { state, reason: reason.code })
}

/** Queues the requests whose backoff has passed. */
export function enqueueDue (transaction: Transaction): void {
  const due = transaction.state.backoffUntil.filter(until => until <= transaction.now.monotonic)
  for (const id of due.keys()) {
    const record = transaction.record(id)
    if (record !== undefined) enqueue(transaction, record)
  }
}

/** Ends requests that are still waiting at their deadline. */
export function endPastDeadline (transaction: Transaction): void {
  const overdue = transaction.state.waiting.filter(deadline => deadline <= transaction.now.wall)
  for (const id of overdue.keys()) {
    if (transaction.state.runs.has(id)) continue
    endPending(transaction, id, 'not-run', { code: 'deadline-passed', detail: 'The deadline passed before there was capacity.' })
  }
}
