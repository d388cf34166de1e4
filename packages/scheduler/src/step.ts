/**
 * The owner of a cell as a pure step function: (state, event, instant) to (state,
 * effects). It reads no clock and does no I/O, so every step is reproducible.
 */
import { CornelgaugeError } from '@cornelgauge/model'
import { answerWaiters, cancel, read, rejectAllWaiters, submit } from './calls.js'
import { commitStaged, committed, failTimedOutCommits, snapshotTaken } from './commits.js'
import type { OwnerEffect } from './effect.js'
import type { Instant, OwnerEvent, OwnerEventOf } from './event.js'
import { commandFailed, reported } from './follow-up.js'
import { runPolicy } from './planning.js'
import { policySettings } from './policy-settings.js'
import { forgetExpired } from './retention.js'
import { followServers, serversListed, watched, watchFailed } from './servers.js'
import { answerStored } from './settlement.js'
import type { OwnerState } from './state.js'
import { Transaction } from './transaction.js'
import { endPastDeadline, enqueueDue } from './waiting.js'

/** The new state, and the effects to carry out. */
export interface StepResult {
  readonly state: OwnerState
  readonly effects: readonly OwnerEffect[]
}

/**
 * Handles one event.
 *
 * @example
 * const { state, effects } = step(before, { type: 'tick' }, { wall: Date.now(), monotonic: performance.now() })
 */
export function step (state: OwnerState, event: OwnerEvent, at: Instant): StepResult {
  if (state.hasEnded) return { state, effects: refuseCall(event) }
  const transaction = new Transaction(state, at)
  const handle = HANDLERS[event.type] as (transaction: Transaction, event: OwnerEvent) => void
  handle(transaction, event)
  if (!transaction.state.hasEnded) finishStep(transaction)
  return transaction.result()
}

/**
 * Returns the reply to a call that arrives after its owner has ended, so that the caller
 * can retry with the next owner.
 *
 * @example
 * refuseCall({ type: 'tick' }) // []
 */
export function refuseCall (event: OwnerEvent): readonly OwnerEffect[] {
  if (!('call' in event)) return []
  return [{ type: 'reply', call: event.call, reply: { type: 'failure', failure: new CornelgaugeError('not-owner') } }]
}

/**
 * Returns the last effects of an owner whose step threw an error. Its state may be
 * inconsistent, so the owner steps down and the next one recovers from the journal.
 *
 * @example
 * abandonOwner(state) // a 'not-owner' reply for each waiter, and 'stepped-down'
 */
export function abandonOwner (state: OwnerState): readonly OwnerEffect[] {
  const transaction = new Transaction(state, { wall: 0, monotonic: 0 })
  stepDown(transaction)
  return transaction.result().effects
}

function finishStep (transaction: Transaction): void {
  runPolicy(transaction)
  commitStaged(transaction)
  finishDrain(transaction)
}

type Handler<Type extends OwnerEvent['type']> = (transaction: Transaction, event: OwnerEventOf<Type>) => void

const HANDLERS: { readonly [Type in OwnerEvent['type']]: Handler<Type> } = {
  submit,
  read,
  cancel,
  committed,
  fenced: stepDown,
  lease: (transaction, event) => { transaction.update({ leaseValidUntil: event.validUntil }) },
  reports: reported,
  'command-failed': commandFailed,
  watched,
  'watch-failed': watchFailed,
  servers: serversListed,
  'answer-stored': answerStored,
  document: adoptDocument,
  'snapshot-taken': snapshotTaken,
  'snapshot-failed': transaction => { transaction.update({ isSnapshotInProgress: false }) },
  drain: transaction => { transaction.update({ draining: true }) },
  tick
}

function tick (transaction: Transaction): void {
  enqueueDue(transaction)
  endPastDeadline(transaction)
  followServers(transaction)
  failTimedOutCommits(transaction)
  answerWaiters(transaction, [...transaction.state.waiters.keys()])
  forgetExpired(transaction)
  transaction.update({ policyChanged: true })
}

function adoptDocument (transaction: Transaction, event: OwnerEventOf<'document'>): void {
  if (event.version <= transaction.state.documentVersion) return
  transaction.update({ document: event.document, documentVersion: event.version })
  const settings = policySettings(event.document, transaction.state.cell)
  transaction.changePolicy({ type: 'settings', settings, at: transaction.now.wall })
}

function stepDown (transaction: Transaction): void {
  rejectAllWaiters(transaction)
  transaction.update({ hasEnded: true })
  transaction.emit({ type: 'stepped-down' })
}

/** Releases the cell once no transition is waiting to be committed. */
function finishDrain (transaction: Transaction): void {
  const { draining, batch, staged } = transaction.state
  if (!draining || batch !== undefined || !staged.isEmpty()) return
  rejectAllWaiters(transaction)
  transaction.update({ hasEnded: true })
  transaction.emit({ type: 'drained' })
}
