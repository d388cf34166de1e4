/**
 * Settlement of runs. As members report their state, a run advances, is stopped, or ends
 * together with its request. The end state of a request never claims more than the
 * reports of its backend servers prove.
 */
import type { AnswerReference, BackendServerName, EndReason, RequestRecord } from '@cornelgauge/model'
import { digestOf } from '@cornelgauge/model'
import type { ExecutionReport } from '@cornelgauge/ports'
import type { OwnerEventOf } from './event.js'
import { MAXIMUM_ANSWER_BYTES, MAXIMUM_INLINE_ANSWER_BYTES } from './limits.js'
import { executionOf, freeCapacity, isLive, releaseGang, stageIntent, stopRun } from './runs.js'
import type { MemberState, Run, RunPhase, StopReason } from './state.js'
import type { Transaction } from './transaction.js'

/** Handles a report on a member. */
export function memberReported (transaction: Transaction, run: Run, server: BackendServerName, report: ExecutionReport): void {
  if (report.state === 'never-started' && isFromLaterIncarnation(transaction, run, server, report)) return memberForgotten(transaction, run, server)
  memberChanged(transaction, run, server, { state: report.state, report })
}

/**
 * True if the reporting backend server has restarted since the intent; it then has
 * no record of the executions of its earlier incarnation.
 */
function isFromLaterIncarnation (transaction: Transaction, run: Run, server: BackendServerName, report: ExecutionReport): boolean {
  const intended = transaction.record(run.id)?.assignment?.members.find(member => member.server === server)
  return intended?.incarnation !== undefined && report.incarnation !== undefined && intended.incarnation !== report.incarnation
}

/** Handles the loss of a member's backend server. */
export function memberLost (transaction: Transaction, run: Run, server: BackendServerName): void {
  memberChanged(transaction, run, server, { state: 'lost' })
}

/** Handles the restart of a member's backend server, which has lost all state of the member. */
export function memberForgotten (transaction: Transaction, run: Run, server: BackendServerName): void {
  memberChanged(transaction, run, server, { state: 'forgotten' })
}

/** Handles the completed storing of a large answer in the object store. */
export function answerStored (transaction: Transaction, event: OwnerEventOf<'answer-stored'>): void {
  const run = transaction.state.runs.get(event.id)
  if (run?.phase === 'storing') endRun(transaction, run, { state: 'finished', answer: event.answer })
}

/** Ends a request as `unknown`, because its outcome can no longer be determined. */
export function endUnknown (transaction: Transaction, run: Run): void {
  endRun(transaction, run, { state: 'unknown', reason: SERVER_LOST })
}

const SERVER_LOST: EndReason = { code: 'server-lost', detail: 'Its backend server was lost while it may have been running.' }

function memberChanged (transaction: Transaction, run: Run, server: BackendServerName, member: MemberState): void {
  const before = run.members.get(server)
  if (before === undefined || !mayReplace(before, member)) return
  const changed: Run = { ...run, members: run.members.set(server, member) }
  transaction.setRun(changed)
  ADVANCE[run.phase](transaction, changed)
}

/**
 * True if a new state may replace a member's present one. An ended member keeps its
 * state, except that a lost one may be reported again.
 */
function mayReplace (before: MemberState, after: MemberState): boolean {
  if (before.state === 'lost') return after.state !== 'lost'
  if (!isLive(before)) return false
  return !(before.state === 'running' && after.state === 'prepared')
}

type Advance = (transaction: Transaction, run: Run) => void

const ADVANCE: Readonly<Record<RunPhase, Advance>> = {
  preparing (transaction, run) {
    if (run.members.every(member => member.state === 'prepared')) {
      transaction.log('gang-prepared', run.id, { attempt: run.attempt })
      return stageIntent(transaction, run)
    }
    if (run.members.some(member => !isLive(member))) releaseGang(transaction, run)
  },
  committing: () => {},
  starting: advanceStarted,
  running: advanceStarted,
  stopping (transaction, run) {
    if (run.stopReason === 'preempted') stopCheckpointed(transaction, run)
    settleRun(transaction, run)
  },
  storing: () => {},
  ending: () => {}
}

function stopCheckpointed (transaction: Transaction, run: Run): void {
  const ready = run.members.filter(member => member.state === 'running' && member.report?.checkpoint !== undefined)
  for (const server of ready.keys()) transaction.sendCommand(server, { name: 'stop', executions: [executionOf(run)] })
}

const STOP_REASONS: Readonly<Partial<Record<MemberState['state'], StopReason>>> = {
  failed: 'member-failed',
  lapsed: 'member-lost',
  stopped: 'member-lost',
  lost: 'member-lost',
  forgotten: 'member-lost',
  'never-started': 'member-never-started'
}

function advanceStarted (transaction: Transaction, run: Run): void {
  if (run.phase === 'starting' && run.members.every(member => member.state === 'running' || member.state === 'finished')) {
    transaction.log('request-started', run.id, { attempt: run.attempt })
    transaction.setRun({ ...run, phase: 'running' })
  }
  if (run.members.every(member => !isLive(member))) return settleRun(transaction, transaction.state.runs.get(run.id)!)
  const reason = firstStopReason(run)
  if (reason !== undefined) stopRun(transaction, transaction.state.runs.get(run.id)!, reason)
}

function firstStopReason (run: Run): StopReason | undefined {
  for (const member of run.members.values()) {
    const reason = STOP_REASONS[member.state]
    if (reason !== undefined) return reason
  }
  return undefined
}

/** Settles a run if all its members have ended; does nothing while any may still run. */
function settleRun (transaction: Transaction, run: Run): void {
  if (run.members.some(isLive)) return
  const record = transaction.record(run.id)
  if (record === undefined) return transaction.dropRun(run.id)
  const settlement = SETTLEMENTS.find(candidate => candidate.applies(run, record))!
  settlement.settle(transaction, run, record)
}

interface Settlement {
  readonly applies: (run: Run, record: RequestRecord) => boolean
  readonly settle: (transaction: Transaction, run: Run, record: RequestRecord) => void
}

const hasMember = (run: Run, state: MemberState['state']): boolean => run.members.some(member => member.state === state)
const allMembers = (run: Run, state: MemberState['state']): boolean => run.members.every(member => member.state === state)

/** The rules for settling a run, in order; the first that applies is used. */
const SETTLEMENTS: readonly Settlement[] = [
  { applies: run => allMembers(run, 'finished'), settle: finishRun },
  { applies: run => allMembers(run, 'never-started'), settle: settleNeverStarted },
  { applies: (run, record) => hasMember(run, 'lost') && !record.submission.idempotent, settle: markUnknown },
  { applies: (run, record) => hasMember(run, 'forgotten') && !record.submission.idempotent, settle: endUnknown },
  {
    applies: run => run.stopReason === 'cancelled',
    settle: (transaction, run) => { endRun(transaction, run, { state: 'cancelled', reason: { code: 'cancelled-by-caller', detail: 'Stopped because its caller cancelled it.' } }) }
  },
  {
    applies: (run, record) => run.stopReason === 'preempted' && record.submission.idempotent,
    settle: (transaction, run) => { returnToQueue(transaction, run, false) }
  },
  { applies: (_, record) => record.submission.idempotent, settle: retryOrFail },
  { applies: () => true, settle: failRun }
]

function settleNeverStarted (transaction: Transaction, run: Run): void {
  transaction.stage({ type: 'returned', id: run.id, proof: 'fenced', fault: false, at: transaction.now.wall })
  transaction.log('request-returned', run.id, { attempt: run.attempt, basis: 'fenced', fault: false })
  enterEnding(transaction, run, 'stopped')
}

function returnToQueue (transaction: Transaction, run: Run, fault: boolean): void {
  const checkpoint = newestCheckpoint(run)
  transaction.stage({ type: 'returned', id: run.id, proof: 'idempotent', fault, checkpoint, at: transaction.now.wall })
  transaction.log('request-returned', run.id, { attempt: run.attempt, basis: 'idempotent', fault })
  enterEnding(transaction, run, fault ? faultOutcome(run) : 'stopped')
}

function retryOrFail (transaction: Transaction, run: Run, record: RequestRecord): void {
  const kind = transaction.state.document.kinds.find(candidate => candidate.name === record.submission.kind)
  const isExhausted = record.faults + 1 >= (kind?.maximumAttempts ?? 1)
  if (isExhausted) failRun(transaction, run)
  else returnToQueue(transaction, run, true)
}

function failRun (transaction: Transaction, run: Run): void {
  const detail = run.members.valueSeq().map(member => member.report?.detail).find(text => text !== undefined)
  const code = hasMember(run, 'failed') ? 'task-failed' : hasMember(run, 'lost') || hasMember(run, 'forgotten') ? 'server-lost' : 'lease-lapsed'
  endRun(transaction, run, { state: 'failed', reason: { code, detail: detail ?? 'The task did not finish.' } })
}

/**
 * Marks a request as `unknown`, but keeps its run, in case the lost backend server
 * becomes reachable again and reports the outcome.
 */
function markUnknown (transaction: Transaction, run: Run, record: RequestRecord): void {
  freeCapacity(transaction, run.id, 'server-lost')
  transaction.setRun({ ...transaction.state.runs.get(run.id)!, phase: 'stopping' })
  if (record.state !== 'running') return
  transaction.stage({ type: 'doubted', id: run.id, reason: SERVER_LOST, at: transaction.now.wall })
  transaction.log('request-unknown', run.id, { attempt: run.attempt })
}

function finishRun (transaction: Transaction, run: Run, record: RequestRecord): void {
  const text = firstMember(run, record).report?.answer ?? 'null'
  const answer: AnswerReference = { lengthBytes: Buffer.byteLength(text), digest: digestOf(text) }
  if (answer.lengthBytes > MAXIMUM_ANSWER_BYTES) {
    return endRun(transaction, run, { state: 'failed', reason: { code: 'task-failed', detail: `The answer has ${answer.lengthBytes} bytes, more than the limit of ${MAXIMUM_ANSWER_BYTES}.` } })
  }
  if (answer.lengthBytes <= MAXIMUM_INLINE_ANSWER_BYTES) return endRun(transaction, run, { state: 'finished', answer: { ...answer, inline: text } })
  const object = `answers/${transaction.state.cell}/${run.id}/${run.attempt}`
  transaction.emit({ type: 'store-answer', id: run.id, answer: { ...answer, object }, text })
  freeCapacity(transaction, run.id, 'finished')
  transaction.setRun({ ...transaction.state.runs.get(run.id)!, phase: 'storing' })
}

function firstMember (run: Run, record: RequestRecord): MemberState {
  const first = record.assignment?.members[0]?.server
  return (first === undefined ? undefined : run.members.get(first)) ?? run.members.first()!
}

function newestCheckpoint (run: Run): string | undefined {
  return run.members.valueSeq().map(member => member.report?.checkpoint).find(checkpoint => checkpoint !== undefined)
}

interface RunEnd {
  readonly state: 'finished' | 'failed' | 'cancelled' | 'unknown'
  readonly answer?: AnswerReference
  readonly reason?: EndReason
}

/** Returns the outcome of a faulty run for the policy. Only a failed task counts as a failure of its backend server. */
function faultOutcome (run: Run): 'failed' | 'server-lost' {
  return hasMember(run, 'failed') ? 'failed' : 'server-lost'
}

const END_OUTCOMES = { finished: 'finished', cancelled: 'stopped', unknown: 'server-lost' } as const

function endRun (transaction: Transaction, run: Run, end: RunEnd): void {
  transaction.stage({ type: 'ended', id: run.id, ...end, at: transaction.now.wall })
  transaction.log('request-ended', run.id, { state: end.state, reason: end.reason?.code })
  enterEnding(transaction, run, end.state === 'failed' ? faultOutcome(run) : END_OUTCOMES[end.state])
}

function enterEnding (transaction: Transaction, run: Run, outcome: 'finished' | 'failed' | 'stopped' | 'server-lost'): void {
  freeCapacity(transaction, run.id, outcome)
  transaction.setRun({ ...transaction.state.runs.get(run.id)!, phase: 'ending' })
}
