/**
 * What becomes of a run as its members report: it goes on, it is stopped, or it
 * ends, and its request with it. A request ends only as its backend servers' word
 * allows.
 */
import type { AnswerReference, BackendServerName, EndReason, RequestRecord } from '@cornelgauge/model'
import { digestOf } from '@cornelgauge/model'
import type { ExecutionReport } from '@cornelgauge/ports'
import type { OwnerEventOf } from './event.js'
import { MAXIMUM_ANSWER_BYTES, MAXIMUM_INLINE_ANSWER_BYTES } from './limits.js'
import { executionOf, freeCapacity, isLive, releaseGang, stageIntent, stopRun } from './runs.js'
import type { MemberState, Run, RunPhase, StopReason } from './state.js'
import type { Transaction } from './transaction.js'

/** Takes in a member's report. */
export function memberReported (transaction: Transaction, run: Run, server: BackendServerName, report: ExecutionReport): void {
  if (report.state === 'never-started' && isOfLaterLife(transaction, run, server, report)) return memberForgotten(transaction, run, server)
  memberChanged(transaction, run, server, { state: report.state, report })
}

/** True of a report by a backend server that has restarted since the intent: it can't promise anything about the life before. */
function isOfLaterLife (transaction: Transaction, run: Run, server: BackendServerName, report: ExecutionReport): boolean {
  const intended = transaction.record(run.id)?.assignment?.members.find(member => member.server === server)
  return intended?.incarnation !== undefined && report.incarnation !== undefined && intended.incarnation !== report.incarnation
}

/** Takes in that a member's backend server is lost, and with it whatever it knew. */
export function memberLost (transaction: Transaction, run: Run, server: BackendServerName): void {
  memberChanged(transaction, run, server, { state: 'lost' })
}

/** Takes in that a member's backend server has restarted and forgotten it. */
export function memberForgotten (transaction: Transaction, run: Run, server: BackendServerName): void {
  memberChanged(transaction, run, server, { state: 'forgotten' })
}

/** Takes in that a large answer is in the object store. */
export function answerStored (transaction: Transaction, event: OwnerEventOf<'answer-stored'>): void {
  const run = transaction.state.runs.get(event.id)
  if (run?.phase === 'storing') endRun(transaction, run, { state: 'finished', answer: event.answer })
}

/** Ends for good a request whose truth can no longer be found out. */
export function giveUpDoubted (transaction: Transaction, run: Run): void {
  endRun(transaction, run, { state: 'unknown', reason: SERVER_LOST })
}

const SERVER_LOST: EndReason = { code: 'server-lost', detail: 'Its backend server was lost while it may have been running.' }

function memberChanged (transaction: Transaction, run: Run, server: BackendServerName, member: MemberState): void {
  const before = run.members.get(server)
  if (before === undefined || !mayFollow(before, member)) return
  const changed: Run = { ...run, members: run.members.set(server, member) }
  transaction.setRun(changed)
  ADVANCE[run.phase](transaction, changed)
}

/** A later report never takes a member back from its end, except that a lost one may be found again. */
function mayFollow (before: MemberState, after: MemberState): boolean {
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
    settle(transaction, run)
  },
  storing: () => {},
  ending: () => {}
}

function stopCheckpointed (transaction: Transaction, run: Run): void {
  const ready = run.members.filter(member => member.state === 'running' && member.report?.checkpoint !== undefined)
  for (const server of ready.keys()) transaction.command(server, { name: 'stop', executions: [executionOf(run)] })
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
  if (run.members.every(member => !isLive(member))) return settle(transaction, transaction.state.runs.get(run.id)!)
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

/** Ends a run whose members have all ended; waits while any may still run. */
function settle (transaction: Transaction, run: Run): void {
  if (run.members.some(isLive)) return
  const record = transaction.record(run.id)
  if (record === undefined) return transaction.dropRun(run.id)
  const rule = SETTLEMENTS.find(settlement => settlement.applies(run, record))!
  rule.settle(transaction, run, record)
}

interface Settlement {
  readonly applies: (run: Run, record: RequestRecord) => boolean
  readonly settle: (transaction: Transaction, run: Run, record: RequestRecord) => void
}

const hasMember = (run: Run, state: MemberState['state']): boolean => run.members.some(member => member.state === state)
const allMembers = (run: Run, state: MemberState['state']): boolean => run.members.every(member => member.state === state)

/** The first that applies decides. */
const SETTLEMENTS: readonly Settlement[] = [
  { applies: run => allMembers(run, 'finished'), settle: finish },
  { applies: run => allMembers(run, 'never-started'), settle: settleNeverStarted },
  { applies: (run, record) => hasMember(run, 'lost') && !record.submission.idempotent, settle: doubt },
  { applies: (run, record) => hasMember(run, 'forgotten') && !record.submission.idempotent, settle: giveUpDoubted },
  {
    applies: run => run.stopReason === 'cancelled',
    settle: (transaction, run) => { endRun(transaction, run, { state: 'cancelled', reason: { code: 'cancelled-by-caller', detail: 'Stopped because its caller cancelled it.' } }) }
  },
  {
    applies: (run, record) => run.stopReason === 'preempted' && record.submission.idempotent,
    settle: (transaction, run) => { giveBack(transaction, run, false) }
  },
  { applies: (_, record) => record.submission.idempotent, settle: tryAgain },
  { applies: () => true, settle: fail }
]

function settleNeverStarted (transaction: Transaction, run: Run): void {
  transaction.stage({ type: 'returned', id: run.id, proof: 'fenced', fault: false, at: transaction.at.wall })
  transaction.log('request-returned', run.id, { attempt: run.attempt, basis: 'fenced', fault: false })
  ending(transaction, run, 'stopped')
}

function giveBack (transaction: Transaction, run: Run, fault: boolean): void {
  const checkpoint = newestCheckpoint(run)
  transaction.stage({ type: 'returned', id: run.id, proof: 'idempotent', fault, checkpoint, at: transaction.at.wall })
  transaction.log('request-returned', run.id, { attempt: run.attempt, basis: 'idempotent', fault })
  ending(transaction, run, fault ? faultOutcome(run) : 'stopped')
}

function tryAgain (transaction: Transaction, run: Run, record: RequestRecord): void {
  const kind = transaction.state.document.kinds.find(candidate => candidate.name === record.submission.kind)
  const spent = record.faults + 1 >= (kind?.maximumAttempts ?? 1)
  if (spent) fail(transaction, run)
  else giveBack(transaction, run, true)
}

function fail (transaction: Transaction, run: Run): void {
  const detail = run.members.valueSeq().map(member => member.report?.detail).find(text => text !== undefined)
  const code = hasMember(run, 'failed') ? 'task-failed' : hasMember(run, 'lost') || hasMember(run, 'forgotten') ? 'server-lost' : 'lease-lapsed'
  endRun(transaction, run, { state: 'failed', reason: { code, detail: detail ?? 'The task did not finish.' } })
}

/** Keeps following the run, in case its backend server comes back and knows. */
function doubt (transaction: Transaction, run: Run, record: RequestRecord): void {
  freeCapacity(transaction, run.id, 'server-lost')
  transaction.setRun({ ...transaction.state.runs.get(run.id)!, phase: 'stopping' })
  if (record.state !== 'running') return
  transaction.stage({ type: 'doubted', id: run.id, reason: SERVER_LOST, at: transaction.at.wall })
  transaction.log('request-unknown', run.id, { attempt: run.attempt })
}

function finish (transaction: Transaction, run: Run, record: RequestRecord): void {
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

/** Only a task that itself failed counts against its backend servers. */
function faultOutcome (run: Run): 'failed' | 'server-lost' {
  return hasMember(run, 'failed') ? 'failed' : 'server-lost'
}

const OUTCOMES = { finished: 'finished', cancelled: 'stopped', unknown: 'server-lost' } as const

function endRun (transaction: Transaction, run: Run, end: RunEnd): void {
  transaction.stage({ type: 'ended', id: run.id, ...end, at: transaction.at.wall })
  transaction.log('request-ended', run.id, { state: end.state, reason: end.reason?.code })
  ending(transaction, run, end.state === 'failed' ? faultOutcome(run) : OUTCOMES[end.state])
}

function ending (transaction: Transaction, run: Run, outcome: 'finished' | 'failed' | 'stopped' | 'server-lost'): void {
  freeCapacity(transaction, run.id, outcome)
  transaction.setRun({ ...transaction.state.runs.get(run.id)!, phase: 'ending' })
}
