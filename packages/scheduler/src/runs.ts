/**
 * Runs: one attempt of one request, from the decision to start it to its end. The
 * intent is committed before any start message leaves; a gang is prepared on every
 * member before its intent.
 */
import type { BackendServerName, EndReason, Member, RequestId, RequestRecord } from '@cornelgauge/model'
import type { ExecutionId, Preparation } from '@cornelgauge/ports'
import { Map as ImmutableMap } from 'immutable'
import { jobOf } from './job.js'
import { RETRY_PAUSE_MILLISECONDS } from './limits.js'
import type { MemberState, Run, StopReason } from './state.js'
import type { Transaction } from './transaction.js'
import { endPending, endWithoutRun, hold } from './waiting.js'

const END_PROOF = 'not-sent' as const

/** Begins an attempt on the members that the policy chose. */
export function beginRun (transaction: Transaction, record: RequestRecord, members: readonly Member[]): void {
  const attempt = nextAttempt(transaction, record)
  const gang = members.length > 1
  const run: Run = {
    id: record.id,
    attempt,
    plan: members,
    phase: gang ? 'preparing' : 'committing',
    members: ImmutableMap(members.map(member => [member.server, { state: 'asked' } as MemberState] as const)),
    inPolicy: true,
    inquiredAt: transaction.at.monotonic
  }
  const { waiting, tries } = transaction.state
  transaction.set({ waiting: waiting.delete(record.id), tries: tries.set(record.id, attempt) })
  transaction.setRun(run)
  transaction.tellPolicy({ type: 'job-started', job: jobOf(record), members, at: transaction.at.wall })
  if (gang) prepareGang(transaction, record, run, members)
  else stageIntent(transaction, run)
}

/** Commits the intent to start, once nothing but the commit is missing. */
export function stageIntent (transaction: Transaction, run: Run): void {
  const members = run.plan.map(member => withIncarnation(transaction, member))
  const assignment = { attempt: run.attempt, epoch: transaction.state.epoch, members }
  transaction.stage({ type: 'intent', id: run.id, assignment, at: transaction.at.wall })
  transaction.setRun({ ...run, phase: 'committing' })
  transaction.log('request-start-intended', run.id, { attempt: run.attempt, members: members.map(member => member.server) })
}

/** Sends the start, unless the request was cancelled or is too late by now. */
export function intentCommitted (transaction: Transaction, id: RequestId): void {
  const run = transaction.state.runs.get(id)
  const record = transaction.record(id)
  if (run === undefined || record === undefined || run.phase !== 'committing') return
  if (record.cancelRequested) return endUnsent(transaction, run, 'cancelled', { code: 'cancelled-by-caller', detail: 'Cancelled before it was started.' })
  if (record.submission.deadline <= transaction.at.wall) return endUnsent(transaction, run, 'not-run', { code: 'deadline-passed', detail: 'The deadline passed before it was started.' })
  if (run.members.some(member => member.state !== readyState(run))) return returnUnsent(transaction, run)
  if (run.members.size > 1) return goGang(transaction, run)
  const started: Run = { ...run, phase: 'starting', inquiredAt: transaction.at.monotonic }
  transaction.setRun(started)
  record.assignment!.members.forEach((member, index) => {
    transaction.command(member.server, { name: 'prepare', preparations: [preparation(record, run, member, index, 1, true)] })
  })
}

/** Stops a run wherever it stands. */
export function stopRun (transaction: Transaction, run: Run, reason: StopReason): void {
  STOP[run.phase](transaction, run, reason)
}

/** Gives back what a gang has prepared, and lets the request wait again. */
export function releaseGang (transaction: Transaction, run: Run): void {
  fenceMembers(transaction, run)
  transaction.log('gang-released', run.id, { attempt: run.attempt })
  abandonRun(transaction, run.id)
  const record = transaction.record(run.id)!
  if (record.cancelRequested) return endPending(transaction, run.id, 'cancelled', { code: 'cancelled-by-caller', detail: 'Cancelled while it waited.' })
  hold(transaction, record, RETRY_PAUSE_MILLISECONDS)
}

/** Forgets a run that has no committed intent. */
export function abandonRun (transaction: Transaction, id: RequestId): void {
  freeCapacity(transaction, id, 'stopped')
  transaction.dropRun(id)
}

/** Lets the policy give the run's capacity to others. */
export function freeCapacity (transaction: Transaction, id: RequestId, outcome: 'finished' | 'failed' | 'stopped' | 'server-lost'): void {
  const run = transaction.state.runs.get(id)
  if (run?.inPolicy !== true) return
  transaction.setRun({ ...run, inPolicy: false })
  transaction.tellPolicy({ type: 'job-ended', id, outcome, at: transaction.at.wall })
}

/** Asks the members' backend servers never to start what they have not started. */
export function fenceMembers (transaction: Transaction, run: Run): void {
  for (const server of run.members.keys()) transaction.command(server, { name: 'fence', executions: [executionOf(run)] })
}

/** After the commit of a run's end: its backend servers may forget it, and it may wait again. */
export function runEndCommitted (transaction: Transaction, id: RequestId): void {
  const run = transaction.state.runs.get(id)
  if (run?.phase !== 'ending') return
  for (const server of run.members.keys()) acknowledge(transaction, server, executionOf(run))
  transaction.dropRun(id)
  const record = transaction.record(id)
  if (record?.state !== 'pending') return
  if (record.cancelRequested) return endPending(transaction, id, 'cancelled', { code: 'cancelled-by-caller', detail: 'Cancelled after an attempt was stopped.' })
  hold(transaction, record, RETRY_PAUSE_MILLISECONDS)
}

/** The id of a run's execution on its backend servers. */
export function executionOf (run: Run): ExecutionId {
  return { request: run.id, attempt: run.attempt }
}

/** Lets a backend server forget an execution with its next watch. */
export function acknowledge (transaction: Transaction, name: BackendServerName, execution: ExecutionId): void {
  const server = transaction.state.servers.get(name)
  if (server !== undefined) transaction.setServer({ ...server, acknowledge: server.acknowledge.push(execution) })
}

type Stop = (transaction: Transaction, run: Run, reason: StopReason) => void

/** In `committing` the commit itself looks at the cancellation; in the last phases the end is already known. */
const STOP: Readonly<Record<Run['phase'], Stop>> = {
  preparing: releaseGang,
  committing: () => {},
  starting: stopMembers,
  running: stopMembers,
  stopping: () => {},
  storing: () => {},
  ending: () => {}
}

function stopMembers (transaction: Transaction, run: Run, reason: StopReason): void {
  if (run.members.size > 1) transaction.log('gang-stopping', run.id, { reason })
  transaction.setRun({ ...run, phase: 'stopping', stopReason: reason, inquiredAt: transaction.at.monotonic })
  for (const [server, member] of run.members) {
    if (isLive(member)) transaction.command(server, { name: stopCommand(member, reason), executions: [executionOf(run)] })
  }
}

/** Preempted work is stopped once its checkpoint has been reported. */
function stopCommand (member: MemberState, reason: StopReason): 'checkpoint' | 'stop' | 'fence' {
  if (member.state !== 'running') return 'fence'
  return reason === 'preempted' ? 'checkpoint' : 'stop'
}

/** True of a member that may still run or start. */
export function isLive (member: MemberState): boolean {
  return member.state === 'asked' || member.state === 'prepared' || member.state === 'running'
}

function prepareGang (transaction: Transaction, record: RequestRecord, run: Run, members: readonly Member[]): void {
  transaction.log('gang-preparing', run.id, { attempt: run.attempt, members: members.map(member => member.server) })
  members.forEach((member, index) => {
    transaction.command(member.server, { name: 'prepare', preparations: [preparation(record, run, member, index, members.length, false)] })
  })
}

/** What a member must still be when its start is sent; its backend server may have been lost meanwhile. */
function readyState (run: Run): MemberState['state'] {
  return run.members.size > 1 ? 'prepared' : 'asked'
}

function goGang (transaction: Transaction, run: Run): void {
  transaction.setRun({ ...run, phase: 'starting', inquiredAt: transaction.at.monotonic })
  for (const server of run.members.keys()) transaction.command(server, { name: 'go', executions: [executionOf(run)] })
}

/** Gives back a run that was never sent, or was refused by the only backend server that it was ever sent to. */
export function returnUnsent (transaction: Transaction, run: Run): void {
  fenceMembers(transaction, run)
  transaction.stage({ type: 'returned', id: run.id, proof: END_PROOF, fault: false, at: transaction.at.wall })
  freeCapacity(transaction, run.id, 'stopped')
  transaction.setRun({ ...transaction.state.runs.get(run.id)!, phase: 'ending' })
}

function endUnsent (transaction: Transaction, run: Run, wanted: 'cancelled' | 'not-run', reason: EndReason): void {
  if (run.members.size > 1) fenceMembers(transaction, run)
  const state = endWithoutRun(transaction, run.id, wanted)
  transaction.stage({ type: 'ended', id: run.id, state, reason, proof: END_PROOF, at: transaction.at.wall })
  transaction.log('request-ended', run.id, { state, reason: reason.code })
  freeCapacity(transaction, run.id, 'stopped')
  transaction.setRun({ ...transaction.state.runs.get(run.id)!, phase: 'ending' })
}

function preparation (record: RequestRecord, run: Run, member: Member, index: number, size: number, start: boolean): Preparation {
  return {
    ...executionOf(run),
    kind: record.submission.kind,
    payload: record.submission.payload as Preparation['payload'],
    slots: member.slots,
    accelerators: member.accelerators,
    gangSize: size,
    gangIndex: index,
    start,
    incarnation: member.incarnation,
    checkpoint: record.checkpoint
  }
}

function nextAttempt (transaction: Transaction, record: RequestRecord): number {
  return Math.max(transaction.state.tries.get(record.id) ?? 0, record.attempts) + 1
}

function withIncarnation (transaction: Transaction, member: Member): Member {
  return { ...member, incarnation: transaction.state.servers.get(member.server)?.incarnation }
}
