/**
 * The owner of a cell as one pure step: (state, event, instant) to (state,
 * effects). It reads no clock and does no I/O, so every step can be repeated.
 */
import { CornelgaugeError } from '@cornelgauge/model'
import { answerWaiters, cancel, read, refuseAllWaiters, submit } from './calls.js'
import { commitStaged, committed, refuseUncommitted, snapshotTaken } from './commits.js'
import type { OwnerEffect } from './effect.js'
import type { Instant, OwnerEvent, OwnerEventOf } from './event.js'
import { commandFailed, reported } from './follow-up.js'
import { plan } from './planning.js'
import { policySettings } from './policy-settings.js'
import { forgetEnded } from './retention.js'
import { followServers, serversListed, watched, watchFailed } from './servers.js'
import { answerStored } from './settlement.js'
import type { OwnerState } from './state.js'
import { Transaction } from './transaction.js'
import { endOverdue, releaseHeld } from './waiting.js'

/** A new state and what is to be done. */
export interface StepResult {
  readonly state: OwnerState
  readonly effects: readonly OwnerEffect[]
}

/**
 * Takes one event.
 *
 * @example
 * const { state, effects } = step(before, { type: 'tick' }, { wall: Date.now(), monotonic: performance.now() })
 */
export function step (state: OwnerState, event: OwnerEvent, at: Instant): StepResult {
  if (state.over) return { state, effects: refuseCall(event) }
  const transaction = new Transaction(state, at)
  const handle = HANDLERS[event.type] as (transaction: Transaction, event: OwnerEvent) => void
  handle(transaction, event)
  if (!transaction.state.over) finishStep(transaction)
  return transaction.result()
}

/**
 * The reply to a call that comes after its owner has ended, so that its caller can
 * look for the next one.
 *
 * @example
 * refuseCall({ type: 'tick' }) // []
 */
export function refuseCall (event: OwnerEvent): readonly OwnerEffect[] {
  if (!('call' in event)) return []
  return [{ type: 'reply', call: event.call, reply: { type: 'failure', failure: new CornelgaugeError('not-owner') } }]
}

/**
 * What is still owed to callers by an owner whose step failed: the state may be
 * wrong, so the cell is given up and its journal tells the next owner.
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
  plan(transaction)
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
  lease: (transaction, event) => { transaction.set({ leaseValidUntil: event.validUntil }) },
  reports: reported,
  'command-failed': commandFailed,
  watched,
  'watch-failed': watchFailed,
  servers: serversListed,
  'answer-stored': answerStored,
  document: adoptDocument,
  'snapshot-taken': snapshotTaken,
  'snapshot-failed': transaction => { transaction.set({ snapshotUnderWay: false }) },
  drain: transaction => { transaction.set({ draining: true }) },
  tick
}

function tick (transaction: Transaction): void {
  releaseHeld(transaction)
  endOverdue(transaction)
  followServers(transaction)
  refuseUncommitted(transaction)
  answerWaiters(transaction, [...transaction.state.waiters.keys()])
  forgetEnded(transaction)
  transaction.set({ policyChanged: true })
}

function adoptDocument (transaction: Transaction, event: OwnerEventOf<'document'>): void {
  if (event.version <= transaction.state.documentVersion) return
  transaction.set({ document: event.document, documentVersion: event.version })
  const settings = policySettings(event.document, transaction.state.cell)
  transaction.tellPolicy({ type: 'settings', settings, at: transaction.at.wall })
}

function stepDown (transaction: Transaction): void {
  refuseAllWaiters(transaction)
  transaction.set({ over: true })
  transaction.emit({ type: 'stepped-down' })
}

/** Gives the cell up once nothing waits for its commit. */
function finishDrain (transaction: Transaction): void {
  const { draining, batch, staged } = transaction.state
  if (!draining || batch !== undefined || !staged.isEmpty()) return
  refuseAllWaiters(transaction)
  transaction.set({ over: true })
  transaction.emit({ type: 'drained' })
}
