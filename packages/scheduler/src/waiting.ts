/**
 * Requests that wait: how they come to the policy, leave it, and end without
 * having run.
 */
import type { EndReason, RequestId, RequestRecord } from '@cornelgauge/model'
import { jobOf } from './job.js'
import type { Transaction } from './transaction.js'

/** Lets a pending request wait for capacity. */
export function arrive (transaction: Transaction, record: RequestRecord): void {
  const { waiting, held } = transaction.state
  transaction.set({ waiting: waiting.set(record.id, record.submission.deadline), held: held.delete(record.id) })
  transaction.tellPolicy({ type: 'job-arrived', job: jobOf(record), at: transaction.at.wall })
}

/** Lets a pending request wait for capacity again after a pause. */
export function hold (transaction: Transaction, record: RequestRecord, pauseMilliseconds: number): void {
  const { waiting, held } = transaction.state
  transaction.set({
    waiting: waiting.set(record.id, record.submission.deadline),
    held: held.set(record.id, transaction.at.monotonic + pauseMilliseconds)
  })
}

/** Takes a request out of those that wait. */
export function withdraw (transaction: Transaction, id: RequestId): void {
  const { waiting, held } = transaction.state
  const known = waiting.has(id) && !held.has(id)
  transaction.set({ waiting: waiting.delete(id), held: held.delete(id) })
  if (known) transaction.tellPolicy({ type: 'job-withdrawn', id, at: transaction.at.wall })
}

/** The state of a request that ends while nothing runs; one that may have run in an earlier attempt is never said not to have run. */
export function endWithoutRun (transaction: Transaction, id: RequestId, wanted: 'not-run' | 'cancelled'): 'not-run' | 'cancelled' | 'failed' {
  const mayHaveRun = transaction.record(id)?.mayHaveRun === true
  return wanted === 'not-run' && mayHaveRun ? 'failed' : wanted
}

/** Ends a pending request. */
export function endPending (transaction: Transaction, id: RequestId, wanted: 'not-run' | 'cancelled', reason: EndReason): void {
  const state = endWithoutRun(transaction, id, wanted)
  withdraw(transaction, id)
  transaction.stage({ type: 'ended', id, state, reason, at: transaction.at.wall })
  transaction.log('request-ended', id, { state, reason: reason.code })
}

/** Hands those whose pause is over back to the policy. */
export function releaseHeld (transaction: Transaction): void {
  const due = transaction.state.held.filter(until => until <= transaction.at.monotonic)
  for (const id of due.keys()) {
    const record = transaction.record(id)
    if (record !== undefined) arrive(transaction, record)
  }
}

/** Ends requests that still wait at their deadline. */
export function endOverdue (transaction: Transaction): void {
  const overdue = transaction.state.waiting.filter(deadline => deadline <= transaction.at.wall)
  for (const id of overdue.keys()) {
    if (transaction.state.runs.has(id)) continue
    endPending(transaction, id, 'not-run', { code: 'deadline-passed', detail: 'The deadline passed before there was capacity.' })
  }
}
