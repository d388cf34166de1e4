/**
 * Follow-up of runs: handles reports of backend servers and failed commands, reconciles
 * runs with restarted servers, and sends inquiries about runs without progress.
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

/** Handles the reports with which a backend server answers a command. */
export function reported (transaction: Transaction, event: OwnerEventOf<'reports'>): void {
  applyReports(transaction, event.server, event.reports)
}

/**
 * Handles a command without a usable answer. Its effect is unknown, so the members are
 * fenced, unless the answer proves that nothing was started.
 */
export function commandFailed (transaction: Transaction, event: OwnerEventOf<'command-failed'>): void {
  for (const execution of event.executions) {
    const run = transaction.state.runs.get(execution.request)
    if (run === undefined || run.attempt !== execution.attempt) continue
    if (run.phase === 'preparing') releaseGang(transaction, run)
    else if (isRefusedStart(run, event)) returnUnsent(transaction, run)
    else if (event.command === 'prepare' || event.command === 'go') inquire(transaction, run)
  }
}

/** Error codes that prove that a start was not carried out. */
const START_REFUSAL_CODES: ReadonlySet<string> = new Set(['conflict', 'capacity-taken', 'server-leaving'])

/**
 * True if a backend server refused the start of a single-member run. As the start was
 * sent only once and only there, this attempt can't have run.
 */
function isRefusedStart (run: Run, event: OwnerEventOf<'command-failed'>): boolean {
  return event.command === 'prepare' && run.phase === 'starting' && run.members.size === 1 && START_REFUSAL_CODES.has(event.code)
}

/** Applies a backend server's reports to the runs that they are about. */
export function applyReports (transaction: Transaction, server: BackendServerName, reports: readonly ExecutionReport[]): void {
  for (const report of reports) {
    const run = transaction.state.runs.get(report.request)
    if (run !== undefined && run.attempt === report.attempt) memberReported(transaction, run, server, report)
    else handleOrphan(transaction, server, report)
  }
}

type OrphanRule = (transaction: Transaction, server: BackendServerName, report: ExecutionReport) => void

const acknowledgeOrphan: OrphanRule = (transaction, server, report) => {
  acknowledge(transaction, server, { request: report.request, attempt: report.attempt })
}

const stopOrphan: OrphanRule = (transaction, server, report) => {
  transaction.log('execution-orphaned', report.request, { server, attempt: report.attempt, state: report.state })
  transaction.sendCommand(server, { name: report.state === 'running' ? 'stop' : 'fence', executions: [{ request: report.request, attempt: report.attempt }] })
}

/** How to handle an execution that belongs to no run of this owner. */
const ORPHAN_RULES: Readonly<Record<ExecutionReport['state'], OrphanRule>> = {
  prepared: stopOrphan,
  running: stopOrphan,
  finished: acknowledgeOrphan,
  failed: acknowledgeOrphan,
  stopped: acknowledgeOrphan,
  lapsed: acknowledgeOrphan,
  'never-started': () => {}
}

function handleOrphan (transaction: Transaction, server: BackendServerName, report: ExecutionReport): void {
  ORPHAN_RULES[report.state](transaction, server, report)
}

/**
 * Reconciles the runs on a backend server after the first report of a new incarnation,
 * or the first since the server counted as lost: fences members that it did not report
 * as running, and marks those of an earlier incarnation as forgotten.
 */
export function reconcile (transaction: Transaction, name: BackendServerName): void {
  const incarnation = transaction.state.servers.get(name)!.incarnation
  for (const run of runsOf(transaction, name)) {
    const member = run.members.get(name)
    if (member === undefined || awaitsStartAnswer(run) || (!isLive(member) && member.state !== 'lost')) continue
    const assigned = transaction.record(run.id)?.assignment?.members.find(candidate => candidate.server === name)
    const isEarlierIncarnation = assigned?.incarnation !== undefined && assigned.incarnation !== incarnation
    if (isEarlierIncarnation) memberForgotten(transaction, run, name)
    else if (member.state !== 'running') transaction.sendCommand(name, { name: 'fence', executions: [executionOf(run)] })
  }
}

/**
 * True if the answer to a single-member start is still outstanding. That answer decides
 * about the run, even if the backend server has restarted meanwhile.
 */
export function awaitsStartAnswer (run: Run): boolean {
  return run.phase === 'starting' && run.members.size === 1
}

/** Returns the present state of the runs with a member on a backend server. */
export function runsOf (transaction: Transaction, name: BackendServerName): readonly Run[] {
  const { runs, runsByServer } = transaction.state
  return runsOn(runsByServer, name).map(id => runs.get(id)!)
}

/** Sends inquiries about a run that makes no progress. */
export function followRun (transaction: Transaction, run: Run): void {
  const isDue = run.inquiredAt + INQUIRY_INTERVAL_MILLISECONDS <= transaction.now.monotonic
  if (!isDue) return
  const isHanging = run.phase === 'starting' || run.phase === 'stopping' || run.members.some(member => member.state === 'asked')
  if (isHanging && ['starting', 'running', 'stopping'].includes(run.phase)) inquire(transaction, run)
  if (run.phase === 'preparing') releaseGang(transaction, run)
}

/**
 * Sends a command to the backend server of each member that may still run, whose answer
 * reports the member's state: `stop` if the run is stopping and the member runs,
 * `fence` if it hasn't started.
 */
function inquire (transaction: Transaction, run: Run): void {
  transaction.setRun({ ...run, inquiredAt: transaction.now.monotonic })
  for (const [server, member] of run.members) {
    if (!isLive(member) || !transaction.state.servers.has(server)) continue
    const mustStop = run.phase === 'stopping' && member.state === 'running'
    if (mustStop || member.state !== 'running') transaction.sendCommand(server, { name: mustStop ? 'stop' : 'fence', executions: [executionOf(run)] })
  }
}
