/**
 * Group commit: staged transitions go into the next journal row; what depends on
 * them is done once that row is committed.
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
  wakeForNextRefusal(transaction)
}

/** A wake further off than the next tick is forgotten, so each tick asks for the next one anew. */
function wakeForNextRefusal (transaction: Transaction): void {
  const { committed, waiters } = transaction.state
  const uncommitted = waiters.filter((_, id) => !committed.has(id)).valueSeq().flatMap(list => list)
  const at = uncommitted.map(waiter => waiter.commitBy).min()
  if (at !== undefined) transaction.emit({ type: 'wake', at })
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
    transaction.set({ ended: transaction.state.ended.push(id), tries: transaction.state.tries.delete(id) })
  },
  forgotten (transaction, transition) {
    const { objects } = transition as Extract<Transition, { type: 'forgotten' }>
    if (objects.length > 0) transaction.emit({ type: 'delete-answers', objects })
  }
}

function startBatch (transaction: Transaction): void {
  const { staged, nextSequence, committed } = transaction.state
  const count = countThatFits(staged)
  const transitions = staged.take(count).toArray()
  const ledger = count === staged.size ? transaction.state.ledger : applyTransitions(committed, transitions)
  const batch: Batch = { sequence: nextSequence, transitions, ledger }
  transaction.set({
    batch,
    staged: staged.skip(count),
    nextSequence: sequenceNumber(nextSequence + 1),
    lastCommitAt: transaction.at.monotonic
  })
  if (count < staged.size) transaction.set({ ledger: applyTransitions(ledger, staged.skip(count).toArray()) })
  transaction.emit({ type: 'commit', sequence: batch.sequence, transitions })
}

function countThatFits (staged: List<Transition>): number {
  let bytes = 0
  const tooMany = staged.findIndex((transition, index) => {
    bytes += sizeOf(transition)
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
