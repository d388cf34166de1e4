/**
 * Group commit: staged transitions are written together in the next journal row; actions
 * that depend on them are taken once that row is committed.
 */
import { applyTransitions, COMMIT_INTERVAL_MILLISECONDS, MAXIMUM_ROW_BYTES, type Transition } from '@cornelgauge/coordination'
import { CornelgaugeError, requestId, sequenceNumber, type RequestId } from '@cornelgauge/model'
import type { List } from 'immutable'
import { answerWaiters } from './calls.js'
import type { OwnerEventOf } from './event.js'
import { MAXIMUM_ROW_TRANSITIONS, SNAPSHOT_ROWS } from './limits.js'
import { intentCommitted, runEndCommitted } from './runs.js'
import type { Batch, Waiter } from './state.js'
import type { Transaction } from './transaction.js'

/** Starts the next commit if one is due. */
export function commitStaged (transaction: Transaction): void {
  const { batch, staged, lastCommitAt } = transaction.state
  if (batch !== undefined || staged.isEmpty()) return
  const due = lastCommitAt + COMMIT_INTERVAL_MILLISECONDS
  if (due > transaction.now.monotonic) return transaction.emit({ type: 'wake', at: due })
  startBatch(transaction)
}

/** Handles a committed row, and takes the actions that depend on it. */
export function committed (transaction: Transaction, event: OwnerEventOf<'committed'>): void {
  const { batch } = transaction.state
  if (batch === undefined || batch.sequence !== event.sequence) return
  transaction.update({ batch: undefined, committed: batch.ledger })
  batch.transitions.forEach(transition => { AFTER_COMMIT[transition.type]?.(transaction, transition) })
  answerWaiters(transaction, new Set(batch.transitions.flatMap(idsOf)))
  takeSnapshot(transaction, event.sequence)
}

/**
 * Fails the waiters whose commit has timed out. Their change may still be committed, so
 * its state is reported as unknown.
 */
export function failTimedOutCommits (transaction: Transaction): void {
  const { committed, waiters } = transaction.state
  const hasTimedOut = (waiter: Waiter): boolean => waiter.commitDeadline <= transaction.now.monotonic
  const expired = waiters.filter((list, id) => !committed.has(id) && list.some(hasTimedOut))
  for (const [id, list] of expired) {
    const timedOut = list.filter(hasTimedOut)
    timedOut.forEach(waiter => { transaction.replyFailure(waiter.call, new CornelgaugeError('store-unavailable', { state: 'unknown' })) })
    const remaining = list.filterNot(hasTimedOut)
    transaction.update({ waiters: remaining.isEmpty() ? transaction.state.waiters.delete(id) : transaction.state.waiters.set(id, remaining) })
  }
  scheduleNextCommitTimeout(transaction)
}

/**
 * Requests a wake-up for the next commit timeout. This is repeated at every tick,
 * because a wake-up later than the next tick is dropped.
 */
function scheduleNextCommitTimeout (transaction: Transaction): void {
  const { committed, waiters } = transaction.state
  const uncommitted = waiters.filter((_, id) => !committed.has(id)).valueSeq().flatMap(list => list)
  const earliest = uncommitted.map(waiter => waiter.commitDeadline).min()
  if (earliest !== undefined) transaction.emit({ type: 'wake', at: earliest })
}

/** Handles a completed snapshot. */
export function snapshotTaken (transaction: Transaction, event: OwnerEventOf<'snapshot-taken'>): void {
  transaction.update({ snapshotSequence: event.sequence, isSnapshotInProgress: false })
}

type AfterCommit = (transaction: Transaction, transition: Transition) => void

const AFTER_COMMIT: { readonly [Type in Transition['type']]?: AfterCommit } = {
  intent: (transaction, transition) => { intentCommitted(transaction, (transition as Extract<Transition, { type: 'intent' }>).id) },
  returned: (transaction, transition) => { runEndCommitted(transaction, (transition as Extract<Transition, { type: 'returned' }>).id) },
  ended (transaction, transition) {
    const { id } = transition as Extract<Transition, { type: 'ended' }>
    runEndCommitted(transaction, id)
    transaction.update({ ended: transaction.state.ended.push(id), lastAttempts: transaction.state.lastAttempts.delete(id) })
  },
  forgotten (transaction, transition) {
    const { objects } = transition as Extract<Transition, { type: 'forgotten' }>
    if (objects.length > 0) transaction.emit({ type: 'delete-answers', objects })
  }
}

function startBatch (transaction: Transaction): void {
  const { staged, nextSequence, committed } = transaction.state
  const count = countFittingRow(staged)
  const transitions = staged.take(count).toArray()
  const ledger = count === staged.size ? transaction.state.ledger : applyTransitions(committed, transitions)
  const batch: Batch = { sequence: nextSequence, transitions, ledger }
  transaction.update({
    batch,
    staged: staged.skip(count),
    nextSequence: sequenceNumber(nextSequence + 1),
    lastCommitAt: transaction.now.monotonic
  })
  if (count < staged.size) transaction.update({ ledger: applyTransitions(ledger, staged.skip(count).toArray()) })
  transaction.emit({ type: 'commit', sequence: batch.sequence, transitions })
}

function countFittingRow (staged: List<Transition>): number {
  let bytes = 0
  const firstExcluded = staged.findIndex((transition, index) => {
    bytes += sizeOf(transition)
    return index >= MAXIMUM_ROW_TRANSITIONS || (index > 0 && bytes > MAXIMUM_ROW_BYTES)
  })
  return firstExcluded === -1 ? staged.size : firstExcluded
}

function sizeOf (transition: Transition): number {
  return JSON.stringify(transition).length
}

function takeSnapshot (transaction: Transaction, sequence: Batch['sequence']): void {
  const { snapshotSequence, isSnapshotInProgress, committed } = transaction.state
  if (isSnapshotInProgress || sequence - snapshotSequence < SNAPSHOT_ROWS) return
  transaction.update({ isSnapshotInProgress: true })
  transaction.emit({ type: 'snapshot', sequence, ledger: committed })
}

function idsOf (transition: Transition): readonly RequestId[] {
  if (transition.type === 'accepted') return [requestId(transition.submission.workspace, transition.submission.key)]
  return transition.type === 'forgotten' ? transition.ids : [transition.id]
}
