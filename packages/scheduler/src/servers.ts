/**
 * Backend servers: discovered through the VM list and watched by long polling. A server
 * is suspected when a watch fails, and counts as lost after a longer time without an
 * answer.
 */
import type { BackendServerName } from '@cornelgauge/model'
import type { EventDetails } from '@cornelgauge/telemetry'
import { List } from 'immutable'
import type { ListedServer, OwnerEventOf } from './event.js'
import { applyReports, awaitsStartAnswer, followRun, reconcile, runsOf } from './follow-up.js'
import { jobOf } from './job.js'
import { SERVER_LOST_MILLISECONDS, WATCH_RETRY_MILLISECONDS, WATCH_WAIT_MILLISECONDS } from './limits.js'
import { endUnknown, memberForgotten, memberLost } from './settlement.js'
import type { ServerState } from './state.js'
import type { Transaction } from './transaction.js'

/** Handles a new VM list: adds new backend servers, and marks leaving ones and those no longer listed. */
export function serversListed (transaction: Transaction, event: OwnerEventOf<'servers'>): void {
  for (const listed of event.servers) updateListed(transaction, listed)
  const names = new Set(event.servers.map(listed => listed.description.name))
  for (const server of transaction.state.servers.values()) {
    if (!names.has(server.description.name) && server.isListed) transaction.setServer({ ...server, isListed: false })
  }
}

/** Handles the answer to a watch, and starts the next watch. */
export function watched (transaction: Transaction, event: OwnerEventOf<'watched'>): void {
  const known = transaction.state.servers.get(event.server)
  if (known === undefined) return
  const { answer } = event
  if (known.incarnation !== undefined && known.incarnation !== answer.incarnation) forgetIncarnation(transaction, event.server)
  const before = transaction.state.servers.get(event.server)!
  const status = answer.leaving || before.isListedAsLeaving ? 'leaving' : 'live'
  const server: ServerState = { ...before, status, incarnation: answer.incarnation, cursor: answer.cursor, lastAnswerAt: transaction.now.monotonic, nextWatchAt: undefined }
  transaction.setServer(withoutSentAcknowledgements(server))
  if (status !== before.status) STATUS_CHANGES[status](transaction, server, before)
  applyReports(transaction, event.server, answer.reports)
  if (known.incarnation !== answer.incarnation || known.status === 'lost') reconcile(transaction, event.server)
  startWatch(transaction, event.server)
}

/** Removes the acknowledgements that the answered watch has delivered; later ones remain to be sent. */
function withoutSentAcknowledgements (server: ServerState): ServerState {
  return { ...server, unacknowledged: server.unacknowledged.skip(server.sentAcknowledgementCount), sentAcknowledgementCount: 0 }
}

/** Handles a failed watch: the backend server receives no new work until a watch is answered again. */
export function watchFailed (transaction: Transaction, event: OwnerEventOf<'watch-failed'>): void {
  const server = transaction.state.servers.get(event.server)
  if (server === undefined) return
  const nextWatchAt = transaction.now.monotonic + WATCH_RETRY_MILLISECONDS
  transaction.setServer({ ...server, status: server.status === 'live' ? 'suspect' : server.status, nextWatchAt })
  transaction.emit({ type: 'wake', at: nextWatchAt })
  if (server.status !== 'live') return
  transaction.log('server-suspected', undefined, { server: event.server, code: event.code })
  transaction.changePolicy({ type: 'server-leaving', server: event.server, at: transaction.now.wall })
}

/**
 * Retries failed watches that are due, marks silent backend servers as lost, and sends
 * inquiries about runs without progress.
 */
export function followServers (transaction: Transaction): void {
  for (const server of transaction.state.servers.values()) followServer(transaction, server)
  for (const run of transaction.state.runs.values()) followRun(transaction, run)
}

function updateListed (transaction: Transaction, listed: ListedServer): void {
  const { name } = listed.description
  const known = transaction.state.servers.get(name)
  if (known === undefined) return addServer(transaction, listed)
  const isNewlyLeaving = listed.leaving && known.status === 'live'
  const server: ServerState = { ...known, isListed: true, isListedAsLeaving: listed.leaving, status: isNewlyLeaving ? 'leaving' : known.status }
  transaction.setServer(server)
  if (isNewlyLeaving) reportLeaving(transaction, server)
}

function addServer (transaction: Transaction, listed: ListedServer): void {
  transaction.setServer({
    description: listed.description,
    status: 'new',
    isListed: true,
    isListedAsLeaving: listed.leaving,
    incarnation: undefined,
    cursor: 0,
    lastAnswerAt: transaction.now.monotonic,
    unacknowledged: List(),
    sentAcknowledgementCount: 0,
    nextWatchAt: undefined
  })
  startWatch(transaction, listed.description.name)
}

function reportLeaving (transaction: Transaction, server: ServerState): void {
  transaction.log('server-leaving', undefined, { server: server.description.name })
  transaction.changePolicy({ type: 'server-leaving', server: server.description.name, at: transaction.now.wall })
}

function joinDetails ({ description }: ServerState): EventDetails<'server-joined'> {
  const { name, rack, slots, accelerators } = description
  return { server: name, rack, slots, accelerators }
}

type StatusChange = (transaction: Transaction, server: ServerState, before: ServerState) => void

const STATUS_CHANGES: Readonly<Record<'live' | 'leaving', StatusChange>> = {
  live (transaction, server) {
    transaction.log('server-joined', undefined, joinDetails(server))
    transaction.changePolicy({ type: 'server-joined', server: server.description, at: transaction.now.wall })
    addRecoveredRunsToPolicy(transaction, server)
  },
  leaving (transaction, server, before) {
    if (before.status === 'new' || before.status === 'lost') transaction.changePolicy({ type: 'server-joined', server: server.description, at: transaction.now.wall })
    reportLeaving(transaction, server)
    addRecoveredRunsToPolicy(transaction, server)
  }
}

/** Adds those recovered runs to the policy whose backend servers have now all joined. */
function addRecoveredRunsToPolicy (transaction: Transaction, joined: ServerState): void {
  for (const run of runsOf(transaction, joined.description.name)) {
    if (run.isInPolicy) continue
    const record = transaction.record(run.id)
    const members = record?.assignment?.members
    if (members === undefined || !['starting', 'running', 'stopping'].includes(run.phase)) continue
    if (!members.every(member => isJoined(transaction, member.server))) continue
    transaction.changePolicy({ type: 'job-started', job: jobOf(record!), members, at: transaction.now.wall })
    transaction.setRun({ ...run, isInPolicy: true })
  }
}

function isJoined (transaction: Transaction, name: BackendServerName): boolean {
  const status = transaction.state.servers.get(name)?.status
  return status === 'live' || status === 'leaving'
}

/**
 * Drops all state of a backend server's earlier incarnation; after a restart it has
 * no record of the executions that ran there before.
 */
function forgetIncarnation (transaction: Transaction, name: BackendServerName): void {
  for (const run of runsOf(transaction, name)) if (!awaitsStartAnswer(run)) memberForgotten(transaction, run, name)
  transaction.changePolicy({ type: 'server-lost', server: name, at: transaction.now.wall })
  const server = transaction.state.servers.get(name)!
  transaction.setServer({ ...server, status: 'new', cursor: 0, unacknowledged: List(), sentAcknowledgementCount: 0 })
}

function startWatch (transaction: Transaction, name: BackendServerName): void {
  const server = transaction.state.servers.get(name)!
  transaction.setServer({ ...server, sentAcknowledgementCount: server.unacknowledged.size, nextWatchAt: undefined })
  transaction.emit({
    type: 'watch',
    server: name,
    after: server.cursor,
    waitMilliseconds: server.status === 'new' ? 0 : WATCH_WAIT_MILLISECONDS,
    leaseMilliseconds: transaction.state.document.times.taskLeaseMilliseconds,
    acknowledged: server.unacknowledged.toArray()
  })
}

function followServer (transaction: Transaction, server: ServerState): void {
  const { name } = server.description
  const { monotonic } = transaction.now
  const isSilent = monotonic - server.lastAnswerAt >= SERVER_LOST_MILLISECONDS
  if (isSilent && server.status !== 'lost') markLost(transaction, server)
  if (!server.isListed && transaction.state.servers.get(name)?.status === 'lost') return removeServer(transaction, name)
  if (server.nextWatchAt !== undefined && server.nextWatchAt <= monotonic) startWatch(transaction, name)
}

function markLost (transaction: Transaction, server: ServerState): void {
  transaction.log('server-lost', undefined, { server: server.description.name })
  transaction.setServer({ ...server, status: 'lost' })
  for (const run of runsOf(transaction, server.description.name)) memberLost(transaction, run, server.description.name)
  transaction.changePolicy({ type: 'server-lost', server: server.description.name, at: transaction.now.wall })
}

/**
 * Removes a lost backend server that is no longer listed. The requests whose outcome
 * only it could report end as `unknown`.
 */
function removeServer (transaction: Transaction, name: BackendServerName): void {
  for (const run of runsOf(transaction, name)) {
    if (transaction.record(run.id)?.state === 'unknown') endUnknown(transaction, run)
  }
  transaction.update({ servers: transaction.state.servers.delete(name) })
}
