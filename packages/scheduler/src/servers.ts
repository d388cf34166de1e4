/**
 * Backend servers: found through the VM list, followed by long polls, suspected at
 * the first silence, and given up after a longer one.
 */
import type { BackendServerName } from '@cornelgauge/model'
import type { ExecutionReport } from '@cornelgauge/platform'
import type { EventDetails } from '@cornelgauge/telemetry'
import { List } from 'immutable'
import type { ListedServer, OwnerEventOf } from './event.js'
import { jobOf } from './job.js'
import { INQUIRY_INTERVAL_MILLISECONDS, SERVER_LOST_MILLISECONDS, WATCH_RETRY_MILLISECONDS, WATCH_WAIT_MILLISECONDS } from './limits.js'
import { runsOn } from './run-index.js'
import { acknowledge, executionOf, isLive, releaseGang, returnUnsent } from './runs.js'
import { giveUpDoubted, memberForgotten, memberLost, memberReported } from './settlement.js'
import type { Run, ServerState } from './state.js'
import type { Transaction } from './transaction.js'

/** Takes in the VM list: new backend servers, leaving ones, and those no longer listed. */
export function serversListed (transaction: Transaction, event: OwnerEventOf<'servers'>): void {
  for (const listed of event.servers) listServer(transaction, listed)
  const names = new Set(event.servers.map(listed => listed.description.name))
  for (const server of transaction.state.servers.values()) {
    if (!names.has(server.description.name) && server.listed) transaction.setServer({ ...server, listed: false })
  }
}

/** Takes in what a watch brought, and watches again. */
export function watched (transaction: Transaction, event: OwnerEventOf<'watched'>): void {
  const before = transaction.state.servers.get(event.server)
  if (before === undefined) return
  const { answer } = event
  if (before.incarnation !== undefined && before.incarnation !== answer.incarnation) forgetIncarnation(transaction, event.server)
  const status = answer.leaving || before.listedLeaving ? 'leaving' : 'live'
  const server: ServerState = { ...before, status, incarnation: answer.incarnation, cursor: answer.cursor, heardAt: transaction.at.monotonic, watchAt: undefined }
  transaction.setServer(server)
  if (status !== before.status) STATUS_CHANGES[status](transaction, server, before)
  takeReports(transaction, event.server, answer.reports)
  if (before.incarnation !== answer.incarnation || before.status === 'lost') reconcile(transaction, event.server)
  watch(transaction, event.server)
}

/** Takes in that a watch failed: no new work there until it is heard again. */
export function watchFailed (transaction: Transaction, event: OwnerEventOf<'watch-failed'>): void {
  const server = transaction.state.servers.get(event.server)
  if (server === undefined) return
  const watchAt = transaction.at.monotonic + WATCH_RETRY_MILLISECONDS
  transaction.setServer({ ...server, status: server.status === 'live' ? 'suspect' : server.status, watchAt })
  transaction.emit({ type: 'wake', at: watchAt })
  if (server.status !== 'live') return
  transaction.log('server-suspected', undefined, { server: event.server, code: event.code })
  transaction.tellPolicy({ type: 'server-leaving', server: event.server, at: transaction.at.wall })
}

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

/** Watches again where a pause is over, gives up silent backend servers, and asks again about runs that hang. */
export function followServers (transaction: Transaction): void {
  for (const server of transaction.state.servers.values()) followServer(transaction, server)
  for (const run of transaction.state.runs.values()) followRun(transaction, run)
}

function listServer (transaction: Transaction, listed: ListedServer): void {
  const { name } = listed.description
  const known = transaction.state.servers.get(name)
  if (known === undefined) return addServer(transaction, listed)
  const isNewlyLeaving = listed.leaving && known.status === 'live'
  const server: ServerState = { ...known, listed: true, listedLeaving: listed.leaving, status: isNewlyLeaving ? 'leaving' : known.status }
  transaction.setServer(server)
  if (isNewlyLeaving) markLeaving(transaction, server)
}

function addServer (transaction: Transaction, listed: ListedServer): void {
  transaction.setServer({
    description: listed.description,
    status: 'new',
    listed: true,
    listedLeaving: listed.leaving,
    incarnation: undefined,
    cursor: 0,
    heardAt: transaction.at.monotonic,
    acknowledge: List(),
    watchAt: undefined
  })
  watch(transaction, listed.description.name)
}

function markLeaving (transaction: Transaction, server: ServerState): void {
  transaction.log('server-leaving', undefined, { server: server.description.name })
  transaction.tellPolicy({ type: 'server-leaving', server: server.description.name, at: transaction.at.wall })
}

function joinDetails ({ description }: ServerState): EventDetails<'server-joined'> {
  const { name, rack, slots, accelerators } = description
  return { server: name, rack, slots, accelerators }
}

type StatusChange = (transaction: Transaction, server: ServerState, before: ServerState) => void

const STATUS_CHANGES: Readonly<Record<'live' | 'leaving', StatusChange>> = {
  live (transaction, server) {
    transaction.log('server-joined', undefined, joinDetails(server))
    transaction.tellPolicy({ type: 'server-joined', server: server.description, at: transaction.at.wall })
    countRecoveredRuns(transaction, server)
  },
  leaving (transaction, server, before) {
    if (before.status === 'new') transaction.tellPolicy({ type: 'server-joined', server: server.description, at: transaction.at.wall })
    markLeaving(transaction, server)
    countRecoveredRuns(transaction, server)
  }
}

/** Tells the policy of the recovered runs whose last backend server has joined. */
function countRecoveredRuns (transaction: Transaction, joined: ServerState): void {
  for (const run of runsOf(transaction, joined.description.name)) {
    if (run.inPolicy) continue
    const record = transaction.record(run.id)
    const members = record?.assignment?.members
    if (members === undefined || !['starting', 'running', 'stopping'].includes(run.phase)) continue
    if (!members.every(member => isJoined(transaction, member.server))) continue
    transaction.tellPolicy({ type: 'job-started', job: jobOf(record!), members, at: transaction.at.wall })
    transaction.setRun({ ...run, inPolicy: true })
  }
}

function isJoined (transaction: Transaction, name: BackendServerName): boolean {
  const status = transaction.state.servers.get(name)?.status
  return status === 'live' || status === 'leaving'
}

function takeReports (transaction: Transaction, server: BackendServerName, reports: readonly ExecutionReport[]): void {
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
function reconcile (transaction: Transaction, name: BackendServerName): void {
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

/** A backend server that has restarted knows nothing of what ran there before. */
function forgetIncarnation (transaction: Transaction, name: BackendServerName): void {
  for (const run of runsOf(transaction, name)) if (!awaitsStart(run)) memberForgotten(transaction, run, name)
  transaction.tellPolicy({ type: 'server-lost', server: name, at: transaction.at.wall })
  const server = transaction.state.servers.get(name)!
  transaction.setServer({ ...server, status: 'new', cursor: 0, acknowledge: List() })
}

/** True of a start whose answer is still to come; that answer says more than the restart does. */
function awaitsStart (run: Run): boolean {
  return run.phase === 'starting' && run.members.size === 1
}

/** The runs with a member on a backend server, as they are at this moment. */
function runsOf (transaction: Transaction, name: BackendServerName): readonly Run[] {
  const { runs, runsByServer } = transaction.state
  return runsOn(runsByServer, name).map(id => runs.get(id)!)
}

function watch (transaction: Transaction, name: BackendServerName): void {
  const server = transaction.state.servers.get(name)!
  transaction.setServer({ ...server, acknowledge: List(), watchAt: undefined })
  transaction.emit({
    type: 'watch',
    server: name,
    after: server.cursor,
    waitMilliseconds: server.status === 'new' ? 0 : WATCH_WAIT_MILLISECONDS,
    leaseMilliseconds: transaction.state.document.times.taskLeaseMilliseconds,
    acknowledged: server.acknowledge.toArray()
  })
}

function followServer (transaction: Transaction, server: ServerState): void {
  const { name } = server.description
  const { monotonic } = transaction.at
  const silent = monotonic - server.heardAt >= SERVER_LOST_MILLISECONDS
  if (silent && server.status !== 'lost') loseServer(transaction, server)
  if (!server.listed && transaction.state.servers.get(name)?.status === 'lost') return removeServer(transaction, name)
  if (server.watchAt !== undefined && server.watchAt <= monotonic) watch(transaction, name)
}

function loseServer (transaction: Transaction, server: ServerState): void {
  transaction.log('server-lost', undefined, { server: server.description.name })
  transaction.setServer({ ...server, status: 'lost' })
  for (const run of runsOf(transaction, server.description.name)) memberLost(transaction, run, server.description.name)
  transaction.tellPolicy({ type: 'server-lost', server: server.description.name, at: transaction.at.wall })
}

/** A backend server that is gone for good takes its secrets with it. */
function removeServer (transaction: Transaction, name: BackendServerName): void {
  for (const run of runsOf(transaction, name)) {
    if (transaction.record(run.id)?.state === 'unknown') giveUpDoubted(transaction, run)
  }
  transaction.set({ servers: transaction.state.servers.delete(name) })
}

function followRun (transaction: Transaction, run: Run): void {
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
