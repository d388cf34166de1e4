/**
 * Following runs up: what backend servers report of them, what becomes of a command
 * without a good answer, and whom to ask about a run that hangs.
 */
import type { BackendServerName } from '@cornelgauge/model'
import type { ExecutionReport } from '@cornelgauge/ports'
import type { OwnerEventOf } from './event.js'
import { INQUIRY_INTERVAL_MILLISECONDS } from './limits.js'
import { runsOn } from './run-index.js'
import { acknowledge, executionOf, isLive, releaseGang, returnUnsent } from './runs.js'
import { memberForgotten, memberReported } from './settlement.js'
import type { Run } from './state.js'
import type { Transaction } from './transaction.js'

/** Takes in reports that answer a command. */
export function reported (transaction: Transaction, event: OwnerEventOf<'reports'>): void {
  takeReports(transaction, event.server, event.reports)
}

/** Takes in that a command had no good answer: what it did is not known, so the members are fenced. */
export function commandFailed (transaction: Transaction, event: OwnerEventOf<'command-failed'>): void {
  for (const execution of event.executions) {
    const run = transaction.state.runs.get(execution.request)
    if (run === undefined || run.attempt !== execution.attempt) continue
    if (run.phase === 'preparing') releaseGang(transaction, run)
    else if (isRefusedStart(run, event)) returnUnsent(transaction, run)
    else if (event.command === 'prepare' || event.command === 'go') inquire(transaction, run)
  }
}

/** Answers to a start that say for certain that it was not made. */
const REFUSALS: ReadonlySet<string> = new Set(['conflict', 'capacity-taken', 'server-leaving'])

/** A start is sent once, to one backend server; its refusal is the last word on this attempt. */
function isRefusedStart (run: Run, event: OwnerEventOf<'command-failed'>): boolean {
  return event.command === 'prepare' && run.phase === 'starting' && run.members.size === 1 && REFUSALS.has(event.code)
}

/** Takes in what a backend server reports of executions. */
export function takeReports (transaction: Transaction, server: BackendServerName, reports: readonly ExecutionReport[]): void {
  for (const report of reports) {
    const run = transaction.state.runs.get(report.request)
    if (run !== undefined && run.attempt === report.attempt) memberReported(transaction, run, server, report)
    else takeOrphan(transaction, server, report)
  }
}

type OrphanRule = (transaction: Transaction, server: BackendServerName, report: ExecutionReport) => void

const acknowledgeOrphan: OrphanRule = (transaction, server, report) => {
  acknowledge(transaction, server, { request: report.request, attempt: report.attempt })
}

const stopOrphan: OrphanRule = (transaction, server, report) => {
  transaction.log('execution-orphaned', report.request, { server, attempt: report.attempt, state: report.state })
  transaction.command(server, { name: report.state === 'running' ? 'stop' : 'fence', executions: [{ request: report.request, attempt: report.attempt }] })
}

/** What to do about an execution that no run of this owner follows. */
const ORPHANS: Readonly<Record<ExecutionReport['state'], OrphanRule>> = {
  prepared: stopOrphan,
  running: stopOrphan,
  finished: acknowledgeOrphan,
  failed: acknowledgeOrphan,
  stopped: acknowledgeOrphan,
  lapsed: acknowledgeOrphan,
  'never-started': () => {}
}

function takeOrphan (transaction: Transaction, server: BackendServerName, report: ExecutionReport): void {
  ORPHANS[report.state](transaction, server, report)
}

/** After the first word of a backend server's life, or its first after it was given up: asks about members it did not name, and gives up those of an earlier life. */
export function reconcile (transaction: Transaction, name: BackendServerName): void {
  const incarnation = transaction.state.servers.get(name)!.incarnation
  for (const run of runsOf(transaction, name)) {
    const member = run.members.get(name)
    if (member === undefined || awaitsStart(run) || (!isLive(member) && member.state !== 'lost')) continue
    const started = transaction.record(run.id)?.assignment?.members.find(candidate => candidate.server === name)
    const earlierLife = started?.incarnation !== undefined && started.incarnation !== incarnation
    if (earlierLife) memberForgotten(transaction, run, name)
    else if (member.state !== 'running') transaction.command(name, { name: 'fence', executions: [executionOf(run)] })
  }
}

/** True of a start whose answer is still to come; that answer says more than the restart does. */
export function awaitsStart (run: Run): boolean {
  return run.phase === 'starting' && run.members.size === 1
}

/** The runs with a member on a backend server, as they are at this moment. */
export function runsOf (transaction: Transaction, name: BackendServerName): readonly Run[] {
  const { runs, runsByServer } = transaction.state
  return runsOn(runsByServer, name).map(id => runs.get(id)!)
}

/** Asks about a run that hangs. */
export function followRun (transaction: Transaction, run: Run): void {
  const due = run.inquiredAt + INQUIRY_INTERVAL_MILLISECONDS <= transaction.at.monotonic
  if (!due) return
  const hanging = run.phase === 'starting' || run.phase === 'stopping' || run.members.some(member => member.state === 'asked')
  if (hanging && ['starting', 'running', 'stopping'].includes(run.phase)) inquire(transaction, run)
  if (run.phase === 'preparing') releaseGang(transaction, run)
}

/** Asks the backend servers of members that may still run: one that has not started is fenced, one to be stopped is stopped. */
function inquire (transaction: Transaction, run: Run): void {
  transaction.setRun({ ...run, inquiredAt: transaction.at.monotonic })
  for (const [server, member] of run.members) {
    if (!isLive(member) || !transaction.state.servers.has(server)) continue
    const stop = run.phase === 'stopping' && member.state === 'running'
    if (stop || member.state !== 'running') transaction.command(server, { name: stop ? 'stop' : 'fence', executions: [executionOf(run)] })
  }
}
