/**
 * The request ledger of one cell: an immutable map of requests by id, changed only
 * by applying transitions. It rejects every transition that would break a guarantee
 * to the caller, so that no fault in the code above it can start non-idempotent work
 * twice or report a request as not run that may have run.
 */
import { CornelgaugeError, isFinal, requestId, type RequestId, type RequestRecord, type RequestState } from '@cornelgauge/model'
import { Map as ImmutableMap } from 'immutable'
import type { Proof, RecordTransition, Transition } from './transition.js'

/** Requests by id. */
export type Ledger = ImmutableMap<RequestId, RequestRecord>

/**
 * Creates a ledger without requests.
 *
 * @example
 * emptyLedger().size // 0
 */
export function emptyLedger (): Ledger {
  return ImmutableMap()
}

/** True if the request has ended, so that its record never changes again. */
export function hasEnded (record: RequestRecord): boolean {
  return record.endedAt !== undefined
}

/**
 * Applies a transition.
 *
 * @example
 * const ledger = applyTransition(emptyLedger(), { type: 'accepted', submission, at: 0 })
 * ledger.get(requestId(submission.workspace, submission.key))?.state // 'pending'
 * @throws CornelgaugeError `internal` if the transition is not allowed in the request's state
 */
export function applyTransition (ledger: Ledger, transition: Transition): Ledger {
  if (transition.type === 'accepted') return accept(ledger, transition)
  if (transition.type === 'forgotten') return ledger.deleteAll(transition.ids)
  const record = ledger.get(transition.id)
  if (record === undefined) throw illegal(transition, undefined)
  const apply = APPLY[transition.type] as (record: RequestRecord, transition: RecordTransition) => RequestRecord
  return ledger.set(transition.id, apply(record, transition))
}

/**
 * Applies transitions in order.
 *
 * @example
 * applyTransitions(emptyLedger(), []).size // 0
 */
export function applyTransitions (ledger: Ledger, transitions: readonly Transition[]): Ledger {
  return transitions.reduce(applyTransition, ledger)
}

/** Returns the ledger's records, sorted by id, for a snapshot. */
export function ledgerToJson (ledger: Ledger): readonly RequestRecord[] {
  return [...ledger.values()].sort((one, other) => one.id < other.id ? -1 : 1)
}

/** Restores a ledger from the records of a snapshot. */
export function ledgerFromJson (records: readonly RequestRecord[]): Ledger {
  return ImmutableMap(records.map(record => [record.id, record] as const))
}

type Apply<Type extends RecordTransition['type']> =
  (record: RequestRecord, transition: Extract<RecordTransition, { type: Type }>) => RequestRecord

const APPLY: { readonly [Type in RecordTransition['type']]: Apply<Type> } = {
  intent (record, transition) {
    requireState(record, transition, ['pending'])
    const attempts = Math.max(record.attempts + 1, transition.assignment.attempt)
    return { ...record, state: 'running', assignment: transition.assignment, attempts }
  },

  returned (record, transition) {
    requireState(record, transition, ['running', 'unknown'])
    requireProof(record, transition, transition.proof)
    const checkpoint = transition.checkpoint ?? record.checkpoint
    const faults = record.faults + (transition.fault ? 1 : 0)
    const mayHaveRun = record.mayHaveRun || transition.proof === 'idempotent'
    return { ...record, state: 'pending', assignment: undefined, reason: undefined, checkpoint, faults, mayHaveRun }
  },

  'cancel-requested' (record, transition) {
    requireState(record, transition, ['pending', 'running', 'unknown'])
    return { ...record, cancelRequested: true }
  },

  doubted (record, transition) {
    requireState(record, transition, ['running'])
    return { ...record, state: 'unknown', reason: transition.reason }
  },

  ended (record, transition) {
    requireState(record, transition, STATES_BEFORE_END[transition.state])
    if (transition.state === 'not-run') requireNotRun(record, transition)
    return { ...record, state: transition.state, answer: transition.answer, reason: transition.reason, endedAt: transition.at }
  }
}

type EndState = Extract<Transition, { type: 'ended' }>['state']

const STATES_BEFORE_END: Readonly<Record<EndState, readonly RequestState[]>> = {
  finished: ['running', 'unknown'],
  failed: ['pending', 'running', 'unknown'],
  cancelled: ['pending', 'running', 'unknown'],
  'not-run': ['pending', 'running', 'unknown'],
  unknown: ['running', 'unknown']
}

function accept (ledger: Ledger, transition: Extract<Transition, { type: 'accepted' }>): Ledger {
  const { submission, at } = transition
  const id = requestId(submission.workspace, submission.key)
  if (ledger.has(id)) throw illegal(transition, ledger.get(id))
  return ledger.set(id, { id, submission, state: 'pending', acceptedAt: at, attempts: 0, faults: 0, mayHaveRun: false, cancelRequested: false })
}

function requireState (record: RequestRecord, transition: Transition, states: readonly RequestState[]): void {
  if (hasEnded(record) || isFinal(record.state) || !states.includes(record.state)) throw illegal(transition, record)
}

function requireProof (record: RequestRecord, transition: Transition, proof: Proof | undefined): void {
  if (proof === undefined) throw illegal(transition, record)
  if (proof === 'idempotent' && !record.submission.idempotent) throw illegal(transition, record)
}

function requireNotRun (record: RequestRecord, transition: Extract<Transition, { type: 'ended' }>): void {
  if (record.mayHaveRun) throw illegal(transition, record)
  if (record.state === 'pending') return
  if (transition.proof !== 'fenced' && transition.proof !== 'not-sent') throw illegal(transition, record)
}

function illegal (transition: Transition, record: RequestRecord | undefined): CornelgaugeError {
  const from = record?.state ?? 'absent'
  return new CornelgaugeError('internal', { detail: `the transition ${transition.type} is not allowed from ${from}`, members: { transition, from } })
}
