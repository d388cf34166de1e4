/**
 * Runs: a run is one attempt of one request, from the decision to start it to its end.
 * The intent to start is committed before any start command is sent. A gang is prepared
 * on all its members before its intent is committed.
 */
import type { BackendServerName, EndReason, PlacementMember, RequestId, RequestRecord } from '@cornelgauge/model'
import type { ExecutionId, Preparation } from '@cornelgauge/ports'
import { Map as ImmutableMap } from 'immutable'
import { jobOf } from './job.js'
import { RETRY_BACKOFF_MILLISECONDS } from './limits.js'
import type { MemberState, Run, StopReason } from './state.js'
import type { Transaction } from './transaction.js'
import { endPending, endStateWithoutRun, enqueueAfterBackoff } from './waiting.js'

const NOT_SENT_PROOF = 'not-sent' as const

/** Begins an attempt on the members that the policy chose. */
export function beginRun (transaction: Transaction, record: RequestRecord, members: readonly PlacementMember[]): void {
  const attempt = nextAttempt(transaction, record)
  const isGang = members.length > 1
  const run: Run = {
    id: record.id,
    attempt,
    plannedMembers: members,
    phase: isGang ? 'preparing' : 'committing',
    members: ImmutableMap(members.map(member => [member.server, { state: 'asked' } as MemberState] as const)),
    isInPolicy: true,
    inquiredAt: transaction.now.monotonic
  }
  const { waiting, lastAttempts } = transaction.state
  transaction.update({ waiting: waiting.delete(record.id), lastAttempts: lastAttempts.set(record.id, attempt) })
  transaction.setRun(run)
  transaction.changePolicy({ type: 'job-started', job: jobOf(record), members, at: transaction.now.wall })
  if (isGang) prepareGang(transaction, record, run, members)
  else stageIntent(transaction, run)
}

/** Stages the intent to start a run, which is started once the intent is committed. */
export function stageIntent (transaction: Transaction, run: Run): void {
  const members = run.plannedMembers.map(member => withIncarnation(transaction, member))
  const assignment = { attempt: run.attempt, epoch: transaction.state.epoch, members }
  transaction.stage({ type: 'intent', id: run.id, assignment, at: transaction.now.wall })
  transaction.setRun({ ...run, phase: 'committing' })
  transaction.log('request-start-intended', run.id, { attempt: run.attempt, members: members.map(member => member.server) })
}

/** Sends the start commands, unless the request has been cancelled or its deadline has passed. */
export function intentCommitted (transaction: Transaction, id: RequestId): void {
  const run = transaction.state.runs.get(id)
  const record = transaction.record(id)
  if (run === undefined || record === undefined || run.phase !== 'committing') return
  if (record.cancelRequested) return endUnsent(transaction, run, 'cancelled', { code: 'cancelled-by-caller', detail: 'Cancelled before it was started.' })
  if (record.submission.deadline <= transaction.now.wall) return endUnsent(transaction, run, 'not-run', { code: 'deadline-passed', detail: 'The deadline passed before it was started.' })
  if (run.members.some(member => member.state !== requiredState(run))) return returnUnsent(transaction, run)
  if (run.members.size > 1) return startGang(transaction, run)
  const started: Run = { ...run, phase: 'starting', inquiredAt: transaction.now.monotonic }
  transaction.setRun(started)
  record.assignment!.members.forEach((member, index) => {
    transaction.sendCommand(member.server, { name: 'prepare', preparations: [preparation(record, run, member, index, 1, true)] })
  })
}

/** Stops a run in any phase. */
export function stopRun (transaction: Transaction, run: Run, reason: StopReason): void {
  STOP_HANDLERS[run.phase](transaction, run, reason)
}

/** Releases the prepared members of a gang, and queues its request again. */
export function releaseGang (transaction: Transaction, run: Run): void {
  fenceMembers(transaction, run)
  transaction.log('gang-released', run.id, { attempt: run.attempt })
  abandonRun(transaction, run.id)
  const record = transaction.record(run.id)!
  if (record.cancelRequested) return endPending(transaction, run.id, 'cancelled', { code: 'cancelled-by-caller', detail: 'Cancelled while it waited.' })
  enqueueAfterBackoff(transaction, record, RETRY_BACKOFF_MILLISECONDS)
}

/** Drops a run that has no committed intent. */
export function abandonRun (transaction: Transaction, id: RequestId): void {
  freeCapacity(transaction, id, 'stopped')
  transaction.dropRun(id)
}

/** Frees the run's capacity in the policy. */
export function freeCapacity (transaction: Transaction, id: RequestId, outcome: 'finished' | 'failed' | 'stopped' | 'server-lost'): void {
  const run = transaction.state.runs.get(id)
  if (run?.isInPolicy !== true) return
  transaction.setRun({ ...run, isInPolicy: false })
  transaction.changePolicy({ type: 'job-ended', id, outcome, at: transaction.now.wall })
}

/** Fences all members: their backend servers will not start the execution later if they haven't yet. */
export function fenceMembers (transaction: Transaction, run: Run): void {
  for (const server of run.members.keys()) transaction.sendCommand(server, { name: 'fence', executions: [executionOf(run)] })
}

/** Handles the commit of a run's end: acknowledges its executions, and queues the request again if it was returned. */
export function runEndCommitted (transaction: Transaction, id: RequestId): void {
  const run = transaction.state.runs.get(id)
  if (run?.phase !== 'ending') return
  for (const server of run.members.keys()) acknowledge(transaction, server, executionOf(run))
  transaction.dropRun(id)
  const record = transaction.record(id)
  if (record?.state !== 'pending') return
  if (record.cancelRequested) return endPending(transaction, id, 'cancelled', { code: 'cancelled-by-caller', detail: 'Cancelled after an attempt was stopped.' })
  enqueueAfterBackoff(transaction, record, RETRY_BACKOFF_MILLISECONDS)
}

/** Returns the id of a run's execution on its backend servers. */
export function executionOf (run: Run): ExecutionId {
  return { request: run.id, attempt: run.attempt }
}

/** Acknowledges an execution with the next watch, so that the backend server may discard it. */
export function acknowledge (transaction: Transaction, name: BackendServerName, execution: ExecutionId): void {
  const server = transaction.state.servers.get(name)
  if (server !== undefined) transaction.setServer({ ...server, unacknowledged: server.unacknowledged.push(execution) })
}

type StopHandler = (transaction: Transaction, run: Run, reason: StopReason) => void

/**
 * How to stop a run in each phase. In `committing`, cancellation is checked after the
 * commit; in the phases after `running`, the run is already ending.
 */
const STOP_HANDLERS: Readonly<Record<Run['phase'], StopHandler>> = {
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
  transaction.setRun({ ...run, phase: 'stopping', stopReason: reason, inquiredAt: transaction.now.monotonic })
  for (const [server, member] of run.members) {
    if (isLive(member)) transaction.sendCommand(server, { name: stopCommand(member, reason), executions: [executionOf(run)] })
  }
}

/**
 * Returns the command that stops a member. A preempted member is first sent
 * a request for a checkpoint, and stopped once the checkpoint is reported.
 */
function stopCommand (member: MemberState, reason: StopReason): 'checkpoint' | 'stop' | 'fence' {
  if (member.state !== 'running') return 'fence'
  return reason === 'preempted' ? 'checkpoint' : 'stop'
}

/** True if a member may still run or start. */
export function isLive (member: MemberState): boolean {
  return member.state === 'asked' || member.state === 'prepared' || member.state === 'running'
}

function prepareGang (transaction: Transaction, record: RequestRecord, run: Run, members: readonly PlacementMember[]): void {
  transaction.log('gang-preparing', run.id, { attempt: run.attempt, members: members.map(member => member.server) })
  members.forEach((member, index) => {
    transaction.sendCommand(member.server, { name: 'prepare', preparations: [preparation(record, run, member, index, members.length, false)] })
  })
}

/**
 * Returns the state that each member must have when the start is sent; a member may
 * have been lost while the intent was committed.
 */
function requiredState (run: Run): MemberState['state'] {
  return run.members.size > 1 ? 'prepared' : 'asked'
}

function startGang (transaction: Transaction, run: Run): void {
  transaction.setRun({ ...run, phase: 'starting', inquiredAt: transaction.now.monotonic })
  for (const server of run.members.keys()) transaction.sendCommand(server, { name: 'go', executions: [executionOf(run)] })
}

/** Stages the return of a request to the queue if its run was never sent, or was refused by the only backend server to which it was sent. */
export function returnUnsent (transaction: Transaction, run: Run): void {
  fenceMembers(transaction, run)
  transaction.stage({ type: 'returned', id: run.id, proof: NOT_SENT_PROOF, fault: false, at: transaction.now.wall })
  freeCapacity(transaction, run.id, 'stopped')
  transaction.setRun({ ...transaction.state.runs.get(run.id)!, phase: 'ending' })
}

function endUnsent (transaction: Transaction, run: Run, intended: 'cancelled' | 'not-run', reason: EndReason): void {
  if (run.members.size > 1) fenceMembers(transaction, run)
  const state = endStateWithoutRun(transaction, run.id, intended)
  transaction.stage({ type: 'ended', id: run.id, state, reason, proof: NOT_SENT_PROOF, at: transaction.now.wall })
  transaction.log('request-ended', run.id, { state, reason: reason.code })
  freeCapacity(transaction, run.id, 'stopped')
  transaction.setRun({ ...transaction.state.runs.get(run.id)!, phase: 'ending' })
}

function preparation (record: RequestRecord, run: Run, member: PlacementMember, index: number, size: number, start: boolean): Preparation {
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
  return Math.max(transaction.state.lastAttempts.get(record.id) ?? 0, record.attempts) + 1
}

function withIncarnation (transaction: Transaction, member: PlacementMember): PlacementMember {
  return { ...member, incarnation: transaction.state.servers.get(member.server)?.incarnation }
}
