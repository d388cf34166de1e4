/**
 * Group commit: staged transitions go into the next journal row; what depends on
 * them is done once that row is committed.
 */
import { applyTransitions, type Transition } from '@cornelgauge/coordination'
import { CornelgaugeError, requestId, sequenceNumber, type RequestId } from '@cornelgauge/model'
import type { List } from 'immutable'
import { answerWaiters } from './calls.js'
import type { OwnerEventOf } from './event.js'
import { COMMIT_INTERVAL_MILLISECONDS, MAXIMUM_ROW_BYTES, MAXIMUM_ROW_TRANSITIONS, SNAPSHOT_ROWS } from './limits.js'
import { intentCommitted, runEndCommitted } from './runs.js'
import type { Batch, Staged, Waiter } from './state.js'
import type { Transaction } from './transaction.js'

/** Starts the next commit where one is due. */
export function commitStaged (transaction: Transaction): void {
  const { batch, staged, lastCommitAt } = transaction.state
  if (batch !== undefined || staged.isEmpty()) return
  const due = lastCommitAt + COMMIT_INTERVAL_MILLISECONDS
  if (due > transaction.at.monotonic) return transaction.emit({ type: 'wake', at: due })
  startBatch(transaction)
}

/** Takes in a committed row, and does what waited for it. */
export function committed (transaction: Transaction, event: OwnerEventOf<'committed'>): void {
  const { batch } = transaction.state
  if (batch === undefined || batch.sequence !== event.sequence) return
  transaction.set({ batch: undefined, committed: batch.ledger })
  batch.transitions.forEach(transition => { AFTER_COMMIT[transition.type]?.(transaction, transition) })
  answerWaiters(transaction, new Set(batch.transitions.flatMap(idsOf)))
  takeSnapshot(transaction, event.sequence)
}

/** Remembers that the table service does not answer. */
export function commitDelayed (transaction: Transaction, event: OwnerEventOf<'commit-delayed'>): void {
  const { batch } = transaction.state
  if (batch?.sequence === event.sequence) transaction.set({ batch: { ...batch, delayed: true } })
}

/** Tells those whose patience is over that their change is still not committed: it may or may not come to be. */
export function refuseUncommitted (transaction: Transaction): void {
  const { committed, waiters } = transaction.state
  const impatient = (waiter: Waiter): boolean => waiter.commitBy <= transaction.at.monotonic
  const expired = waiters.filter((list, id) => !committed.has(id) && list.some(impatient))
  for (const [id, list] of expired) {
    const refused = list.filter(impatient)
    refused.forEach(waiter => { transaction.refuse(waiter.call, new CornelgaugeError('store-unavailable', { state: 'unknown' })) })
    const left = list.filterNot(impatient)
    transaction.set({ waiters: left.isEmpty() ? transaction.state.waiters.delete(id) : transaction.state.waiters.set(id, left) })
  }
}

/** Takes in that a snapshot stands. */
export function snapshotTaken (transaction: Transaction, event: OwnerEventOf<'snapshot-taken'>): void {
  transaction.set({ snapshotSequence: event.sequence, snapshotUnderWay: false })
}

type AfterCommit = (transaction: Transaction, transition: Transition) => void

const AFTER_COMMIT: { readonly [Type in Transition['type']]?: AfterCommit } = {
  intent: (transaction, transition) => { intentCommitted(transaction, (transition as Extract<Transition, { type: 'intent' }>).id) },
  returned: (transaction, transition) => { runEndCommitted(transaction, (transition as Extract<Transition, { type: 'returned' }>).id) },
  ended (transaction, transition) {
    const { id } = transition as Extract<Transition, { type: 'ended' }>
    runEndCommitted(transaction, id)
    transaction.set({ ended: transaction.state.ended.push(id) })
  },
  forgotten (transaction, transition) {
    const { objects } = transition as Extract<Transition, { type: 'forgotten' }>
    if (objects.length > 0) transaction.emit({ type: 'delete-answers', objects })
  }
}

function startBatch (transaction: Transaction): void {
  const { staged, nextSequence, committed } = transaction.state
  const count = countThatFits(staged)
  const transitions = staged.take(count).map(item => item.transition).toArray()
  const ledger = count === staged.size ? transaction.state.ledger : applyTransitions(committed, transitions)
  const batch: Batch = { sequence: nextSequence, transitions, ledger, delayed: false }
  transaction.set({
    batch,
    staged: staged.skip(count),
    nextSequence: sequenceNumber(nextSequence + 1),
    lastCommitAt: transaction.at.monotonic
  })
  if (count < staged.size) transaction.set({ ledger: applyTransitions(ledger, restOf(transaction)) })
  transaction.emit({ type: 'commit', sequence: batch.sequence, transitions })
}

function restOf (transaction: Transaction): readonly Transition[] {
  return transaction.state.staged.map(item => item.transition).toArray()
}

function countThatFits (staged: List<Staged>): number {
  let bytes = 0
  const tooMany = staged.findIndex((item, index) => {
    bytes += sizeOf(item.transition)
    return index >= MAXIMUM_ROW_TRANSITIONS || (index > 0 && bytes > MAXIMUM_ROW_BYTES)
  })
  return tooMany === -1 ? staged.size : tooMany
}

function sizeOf (transition: Transition): number {
  return JSON.stringify(transition).length
}

function takeSnapshot (transaction: Transaction, sequence: Batch['sequence']): void {
  const { snapshotSequence, snapshotUnderWay, committed } = transaction.state
  if (snapshotUnderWay || sequence - snapshotSequence < SNAPSHOT_ROWS) return
  transaction.set({ snapshotUnderWay: true })
  transaction.emit({ type: 'snapshot', sequence, ledger: committed })
}

function idsOf (transition: Transition): readonly RequestId[] {
  if (transition.type === 'accepted') return [requestId(transition.submission.workspace, transition.submission.key)]
  return transition.type === 'forgotten' ? transition.ids : [transition.id]
}
