/**
 * Calls to the owner: submit, read and cancel. Replies contain only committed state.
 */
import { hasEnded } from '@cornelgauge/coordination'
import { CornelgaugeError, requestId, type Refusal, type RequestId, type RequestRecord, type Submission } from '@cornelgauge/model'
import { admit } from '@cornelgauge/policy'
import { List } from 'immutable'
import type { CallId, OwnerEventOf } from './event.js'
import { jobOf } from './job.js'
import { COMMIT_TIMEOUT_MILLISECONDS, MAXIMUM_REQUESTS } from './limits.js'
import { stopRun } from './runs.js'
import type { Waiter } from './state.js'
import type { Transaction } from './transaction.js'
import { endPending, enqueue } from './waiting.js'

/** Accepts a request, refuses it, or if its key is already used attaches the call to the earlier request. */
export function submit (transaction: Transaction, event: OwnerEventOf<'submit'>): void {
  const { submission, call } = event
  if (transaction.state.draining) return transaction.replyFailure(call, new CornelgaugeError('not-owner'))
  const id = requestId(submission.workspace, submission.key)
  const earlier = transaction.record(id)
  if (earlier !== undefined) return joinEarlier(transaction, event, earlier)
  if (transaction.state.ledger.size >= MAXIMUM_REQUESTS) {
    return transaction.replyFailure(call, new CornelgaugeError('overloaded', { state: 'unknown', detail: 'The cell keeps as many requests as it can' }))
  }
  const refused = refusalOf(transaction, submission)
  if (refused === undefined) accept(transaction, submission)
  else recordRefusal(transaction, submission, refused)
  addWaiter(transaction, id, waiterOf(transaction, event, refused !== undefined))
}

/** Replies with a request's record: immediately if the request is settled, else when it is or when the wait ends. */
export function read (transaction: Transaction, event: OwnerEventOf<'read'>): void {
  const record = transaction.state.committed.get(event.id)
  if (record === undefined && !transaction.state.ledger.has(event.id)) {
    return transaction.replyFailure(event.call, unknownRequest(transaction))
  }
  if (record !== undefined && (isSettled(record) || event.waitUntil <= transaction.now.monotonic)) {
    return transaction.replyRecord(event.call, record)
  }
  addWaiter(transaction, event.id, { call: event.call, isSubmission: false, replyBy: event.waitUntil, commitDeadline: transaction.now.monotonic + COMMIT_TIMEOUT_MILLISECONDS })
}

/** Cancels a waiting request, or requests a running one to be stopped. */
export function cancel (transaction: Transaction, event: OwnerEventOf<'cancel'>): void {
  const record = transaction.record(event.id)
  if (record === undefined) return transaction.replyFailure(event.call, unknownRequest(transaction))
  if (!hasEnded(record) && !record.cancelRequested) requestCancel(transaction, record)
  const replyBy = transaction.now.monotonic
  addWaiter(transaction, event.id, { call: event.call, isSubmission: false, replyBy, commitDeadline: replyBy + COMMIT_TIMEOUT_MILLISECONDS })
}

/** Replies to all waiters whose request is settled or whose wait has ended. */
export function answerWaiters (transaction: Transaction, ids: Iterable<RequestId>): void {
  for (const id of ids) {
    const waiters = transaction.state.waiters.get(id)
    if (waiters === undefined) continue
    const remaining = waiters.filterNot(waiter => replyIfReady(transaction, id, waiter))
    setWaiters(transaction, id, remaining)
  }
}

/** Replies `not-owner` to all waiters, because this VM no longer owns the cell. */
export function rejectAllWaiters (transaction: Transaction): void {
  for (const waiters of transaction.state.waiters.values()) {
    waiters.forEach(waiter => { transaction.replyFailure(waiter.call, new CornelgaugeError('not-owner')) })
  }
  transaction.update({ waiters: transaction.state.waiters.clear() })
}

/** True if a request has ended or its outcome is unknown, so that waiting longer would gain nothing. */
export function isSettled (record: RequestRecord): boolean {
  return hasEnded(record) || record.state === 'unknown'
}

function joinEarlier (transaction: Transaction, event: OwnerEventOf<'submit'>, earlier: RequestRecord): void {
  if (earlier.submission.bodyDigest !== event.submission.bodyDigest) {
    return transaction.replyFailure(event.call, new CornelgaugeError('key-reused', { state: transaction.state.committed.get(earlier.id)?.state }))
  }
  addWaiter(transaction, earlier.id, waiterOf(transaction, event, earlier.reason?.refusal !== undefined))
  answerWaiters(transaction, [earlier.id])
}

function refusalOf (transaction: Transaction, submission: Submission): Refusal | undefined {
  const { wall } = transaction.now
  if (submission.refusal !== undefined) return submission.refusal
  if (submission.deadline <= wall) return { code: 'deadline-past', detail: 'The deadline has already passed.' }
  const prospectiveRecord = { id: requestId(submission.workspace, submission.key), submission, state: 'pending', acceptedAt: wall, attempts: 0, faults: 0, mayHaveRun: false, cancelRequested: false } as const
  const admission = admit(transaction.state.policy, jobOf(prospectiveRecord), wall)
  if (admission.admitted) return undefined
  return { code: admission.code, detail: admission.rule, retryAfterMilliseconds: admission.retryAfterMilliseconds }
}

/**
 * Records a refusal under its key. Without the record, a delayed duplicate of the call
 * could be accepted later and run a request that was reported as not run.
 */
function recordRefusal (transaction: Transaction, submission: Submission, refusal: Refusal): void {
  const id = requestId(submission.workspace, submission.key)
  const at = transaction.now.wall
  transaction.stage({ type: 'accepted', submission: { ...submission, payload: null }, at })
  transaction.stage({ type: 'ended', id, state: 'not-run', reason: { code: 'refused', detail: refusal.detail, refusal }, at })
  transaction.log('request-refused', id, { kind: submission.kind, code: refusal.code })
}

function accept (transaction: Transaction, submission: Submission): void {
  transaction.stage({ type: 'accepted', submission, at: transaction.now.wall })
  const id = requestId(submission.workspace, submission.key)
  transaction.log('request-accepted', id, { kind: submission.kind, deadline: submission.deadline })
  enqueue(transaction, transaction.record(id)!)
}

function requestCancel (transaction: Transaction, record: RequestRecord): void {
  transaction.log('request-cancel-requested', record.id)
  const run = transaction.state.runs.get(record.id)
  if (run === undefined) {
    return endPending(transaction, record.id, 'cancelled', { code: 'cancelled-by-caller', detail: 'Cancelled while it waited.' })
  }
  transaction.stage({ type: 'cancel-requested', id: record.id, at: transaction.now.wall })
  stopRun(transaction, run, 'cancelled')
}

/**
 * Creates the waiter of a submission. The commit of a refusal is waited for regardless
 * of the deadline, because the deadline may be the reason for the refusal.
 */
function waiterOf (transaction: Transaction, event: OwnerEventOf<'submit'>, isRefused: boolean): Waiter {
  const { monotonic, wall } = transaction.now
  const remainingTime = isRefused ? COMMIT_TIMEOUT_MILLISECONDS : event.submission.deadline - wall
  const timeout = Math.min(COMMIT_TIMEOUT_MILLISECONDS, Math.max(remainingTime, 0))
  return { call: event.call, isSubmission: true, replyBy: event.waitUntil, commitDeadline: monotonic + timeout }
}

function addWaiter (transaction: Transaction, id: RequestId, waiter: Waiter): void {
  const waiters = transaction.state.waiters.get(id) ?? List<Waiter>()
  setWaiters(transaction, id, waiters.push(waiter))
  transaction.emit({ type: 'wake', at: Math.max(Math.min(waiter.replyBy, waiter.commitDeadline), transaction.now.monotonic) })
}

function setWaiters (transaction: Transaction, id: RequestId, waiters: List<Waiter>): void {
  const all = transaction.state.waiters
  transaction.update({ waiters: waiters.isEmpty() ? all.delete(id) : all.set(id, waiters) })
}

/** Replies to a waiter: to a refused submission with the refusal, to any other call with the record. */
function replyToWaiter (transaction: Transaction, waiter: Waiter, record: RequestRecord): void {
  const refusal = record.reason?.refusal
  if (!waiter.isSubmission || refusal === undefined) return transaction.replyRecord(waiter.call, record)
  const { code, detail, retryAfterMilliseconds } = refusal
  transaction.replyFailure(waiter.call, new CornelgaugeError(code, { detail, state: record.state, members: { rule: detail, retryAfterMilliseconds } }))
}

/**
 * Replies to a waiter if its reply is ready, and returns whether it did. The reply is
 * ready as soon as the committed record is settled, or once the waiter is due. If the
 * request has uncommitted changes, a due reply waits for their commit, at most until the
 * waiter's commit deadline, so that a call's reply includes its own effects. A request
 * whose acceptance is not yet committed gets no reply; one that doesn't exist is refused.
 */
function replyIfReady (transaction: Transaction, id: RequestId, waiter: Waiter): boolean {
  const { committed, ledger } = transaction.state
  const record = committed.get(id)
  const isDue = waiter.replyBy <= transaction.now.monotonic
  if (record === undefined) return ledger.has(id) ? false : refuseUnknown(transaction, waiter.call)
  const awaitsCommit = ledger.get(id) !== record && waiter.commitDeadline > transaction.now.monotonic
  const isAnswered = isSettled(record) || (isDue && !awaitsCommit)
  if (isAnswered) replyToWaiter(transaction, waiter, record)
  return isAnswered
}

function refuseUnknown (transaction: Transaction, call: CallId): true {
  transaction.replyFailure(call, unknownRequest(transaction))
  return true
}

/**
 * Returns `unknown-request`, or `not-owner` if the lease has lapsed: a newer owner may
 * then have accepted the request.
 */
function unknownRequest (transaction: Transaction): CornelgaugeError {
  const isCertain = transaction.state.leaseValidUntil >= transaction.now.monotonic
  return new CornelgaugeError(isCertain ? 'unknown-request' : 'not-owner')
}
