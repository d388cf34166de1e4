/**
 * What callers ask of the owner: submit, read and cancel. A caller is told only of
 * what is committed.
 */
import { hasEnded } from '@cornelgauge/coordination'
import { CornelgaugeError, requestId, type Refusal, type RequestId, type RequestRecord, type Submission } from '@cornelgauge/model'
import { admit } from '@cornelgauge/policy'
import { List } from 'immutable'
import type { CallId, OwnerEventOf } from './event.js'
import { jobOf } from './job.js'
import { COMMIT_PATIENCE_MILLISECONDS, MAXIMUM_REQUESTS } from './limits.js'
import { stopRun } from './runs.js'
import type { Waiter } from './state.js'
import type { Transaction } from './transaction.js'
import { arrive, endPending } from './waiting.js'

/** Accepts a request, joins it to an earlier one with the same key, or refuses it. */
export function submit (transaction: Transaction, event: OwnerEventOf<'submit'>): void {
  const { submission, call } = event
  if (transaction.state.draining) return transaction.refuse(call, new CornelgaugeError('not-owner'))
  const id = requestId(submission.workspace, submission.key)
  const earlier = transaction.record(id)
  if (earlier !== undefined) return join(transaction, event, earlier)
  if (transaction.state.ledger.size >= MAXIMUM_REQUESTS) {
    return transaction.refuse(call, new CornelgaugeError('overloaded', { state: 'unknown', detail: 'The cell keeps as many requests as it can' }))
  }
  const refused = refusalOf(transaction, submission)
  if (refused === undefined) accept(transaction, submission)
  else recordRefusal(transaction, submission, refused)
  wait(transaction, id, waiterOf(transaction, event, refused !== undefined))
}

/** Tells of a request at once, or when it ends, or when the wait is over. */
export function read (transaction: Transaction, event: OwnerEventOf<'read'>): void {
  const record = transaction.state.committed.get(event.id)
  if (record === undefined && !transaction.state.ledger.has(event.id)) {
    return transaction.refuse(event.call, unknownRequest(transaction))
  }
  if (record !== undefined && (isTold(record) || event.waitUntil <= transaction.at.monotonic)) {
    return transaction.tell(event.call, record)
  }
  wait(transaction, event.id, { call: event.call, submits: false, until: event.waitUntil, commitBy: transaction.at.monotonic + COMMIT_PATIENCE_MILLISECONDS })
}

/** Cancels a request that waits, or asks for a running one to be stopped. */
export function cancel (transaction: Transaction, event: OwnerEventOf<'cancel'>): void {
  const record = transaction.record(event.id)
  if (record === undefined) return transaction.refuse(event.call, unknownRequest(transaction))
  if (!hasEnded(record) && !record.cancelRequested) requestCancel(transaction, record)
  const until = transaction.at.monotonic
  wait(transaction, event.id, { call: event.call, submits: false, until, commitBy: until + COMMIT_PATIENCE_MILLISECONDS })
}

/** Answers every waiter whose request is settled or whose time has come. */
export function answerWaiters (transaction: Transaction, ids: Iterable<RequestId>): void {
  for (const id of ids) {
    const waiters = transaction.state.waiters.get(id)
    if (waiters === undefined) continue
    const left = waiters.filterNot(waiter => answerWaiter(transaction, id, waiter))
    setWaiters(transaction, id, left)
  }
}

/** Refuses every waiter, where this VM no longer owns the cell. */
export function refuseAllWaiters (transaction: Transaction): void {
  for (const waiters of transaction.state.waiters.values()) {
    waiters.forEach(waiter => { transaction.refuse(waiter.call, new CornelgaugeError('not-owner')) })
  }
  transaction.set({ waiters: transaction.state.waiters.clear() })
}

/** True of a request whose caller has nothing more to wait for. */
export function isTold (record: RequestRecord): boolean {
  return hasEnded(record) || record.state === 'unknown'
}

function join (transaction: Transaction, event: OwnerEventOf<'submit'>, earlier: RequestRecord): void {
  if (earlier.submission.bodyDigest !== event.submission.bodyDigest) {
    return transaction.refuse(event.call, new CornelgaugeError('key-reused', { state: transaction.state.committed.get(earlier.id)?.state }))
  }
  wait(transaction, earlier.id, waiterOf(transaction, event, earlier.reason?.refusal !== undefined))
  answerWaiters(transaction, [earlier.id])
}

function refusalOf (transaction: Transaction, submission: Submission): Refusal | undefined {
  const { wall } = transaction.at
  if (submission.refusal !== undefined) return submission.refusal
  if (submission.deadline <= wall) return { code: 'deadline-past', detail: 'The deadline has already passed.' }
  const candidate = { id: requestId(submission.workspace, submission.key), submission, state: 'pending', acceptedAt: wall, attempts: 0, faults: 0, mayHaveRun: false, cancelRequested: false } as const
  const admission = admit(transaction.state.policy, jobOf(candidate), wall)
  if (admission.admitted) return undefined
  return { code: admission.code, detail: admission.rule, retryAfterMilliseconds: admission.retryAfterMilliseconds }
}

/**
 * Records a refusal under its key. An earlier try that is still on its way then
 * finds it, and can't run what its caller was told was not run.
 */
function recordRefusal (transaction: Transaction, submission: Submission, refusal: Refusal): void {
  const id = requestId(submission.workspace, submission.key)
  const at = transaction.at.wall
  transaction.stage({ type: 'accepted', submission: { ...submission, payload: null }, at })
  transaction.stage({ type: 'ended', id, state: 'not-run', reason: { code: 'refused', detail: refusal.detail, refusal }, at })
  transaction.log('request-refused', id, { kind: submission.kind, code: refusal.code })
}

function accept (transaction: Transaction, submission: Submission): void {
  transaction.stage({ type: 'accepted', submission, at: transaction.at.wall })
  const id = requestId(submission.workspace, submission.key)
  transaction.log('request-accepted', id, { kind: submission.kind, deadline: submission.deadline })
  arrive(transaction, transaction.record(id)!)
}

function requestCancel (transaction: Transaction, record: RequestRecord): void {
  transaction.log('request-cancel-requested', record.id)
  const run = transaction.state.runs.get(record.id)
  if (run === undefined) {
    return endPending(transaction, record.id, 'cancelled', { code: 'cancelled-by-caller', detail: 'Cancelled while it waited.' })
  }
  transaction.stage({ type: 'cancel-requested', id: record.id, at: transaction.at.wall })
  stopRun(transaction, run, 'cancelled')
}

/** A refusal is waited for whatever the deadline, which may be why it was refused. */
function waiterOf (transaction: Transaction, event: OwnerEventOf<'submit'>, isRefused: boolean): Waiter {
  const { monotonic, wall } = transaction.at
  const timeLeft = isRefused ? COMMIT_PATIENCE_MILLISECONDS : event.submission.deadline - wall
  const patience = Math.min(COMMIT_PATIENCE_MILLISECONDS, Math.max(timeLeft, 0))
  return { call: event.call, submits: true, until: event.waitUntil, commitBy: monotonic + patience }
}

function wait (transaction: Transaction, id: RequestId, waiter: Waiter): void {
  const waiters = transaction.state.waiters.get(id) ?? List<Waiter>()
  setWaiters(transaction, id, waiters.push(waiter))
  transaction.emit({ type: 'wake', at: Math.max(Math.min(waiter.until, waiter.commitBy), transaction.at.monotonic) })
}

function setWaiters (transaction: Transaction, id: RequestId, waiters: List<Waiter>): void {
  const all = transaction.state.waiters
  transaction.set({ waiters: waiters.isEmpty() ? all.delete(id) : all.set(id, waiters) })
}

/** A submission that was refused gets the refusal; whoever reads gets the record. */
function tellWaiter (transaction: Transaction, waiter: Waiter, record: RequestRecord): void {
  const refusal = record.reason?.refusal
  if (!waiter.submits || refusal === undefined) return transaction.tell(waiter.call, record)
  const { code, detail, retryAfterMilliseconds } = refusal
  transaction.refuse(waiter.call, new CornelgaugeError(code, { detail, state: record.state, members: { rule: detail, retryAfterMilliseconds } }))
}

/** True where the waiter was answered. A change that is staged is waited for, so that no call is told less than it caused. */
function answerWaiter (transaction: Transaction, id: RequestId, waiter: Waiter): boolean {
  const { committed, ledger } = transaction.state
  const record = committed.get(id)
  const due = waiter.until <= transaction.at.monotonic
  if (record === undefined) return ledger.has(id) ? false : refuseUnknown(transaction, waiter.call)
  const patient = ledger.get(id) !== record && waiter.commitBy > transaction.at.monotonic
  const settled = isTold(record) || (due && !patient)
  if (settled) tellWaiter(transaction, waiter, record)
  return settled
}

function refuseUnknown (transaction: Transaction, call: CallId): true {
  transaction.refuse(call, unknownRequest(transaction))
  return true
}

/** An owner whose lease has lapsed can't tell what a newer one has accepted. */
function unknownRequest (transaction: Transaction): CornelgaugeError {
  const isCertain = transaction.state.leaseValidUntil >= transaction.at.monotonic
  return new CornelgaugeError(isCertain ? 'unknown-request' : 'not-owner')
}
