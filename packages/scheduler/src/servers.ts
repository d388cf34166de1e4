/**
 * Backend servers: found through the VM list, followed by long polls, suspected at
 * the first silence, and given up after a longer one.
 */
import type { BackendServerName } from '@cornelgauge/model'
import type { EventDetails } from '@cornelgauge/telemetry'
import { List } from 'immutable'
import type { ListedServer, OwnerEventOf } from './event.js'
import { awaitsStart, followRun, reconcile, runsOf, takeReports } from './follow-up.js'
import { jobOf } from './job.js'
import { SERVER_LOST_MILLISECONDS, WATCH_RETRY_MILLISECONDS, WATCH_WAIT_MILLISECONDS } from './limits.js'
import { giveUpDoubted, memberForgotten, memberLost } from './settlement.js'
import type { ServerState } from './state.js'
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
  const known = transaction.state.servers.get(event.server)
  if (known === undefined) return
  const { answer } = event
  if (known.incarnation !== undefined && known.incarnation !== answer.incarnation) forgetIncarnation(transaction, event.server)
  const before = transaction.state.servers.get(event.server)!
  const status = answer.leaving || before.listedLeaving ? 'leaving' : 'live'
  const server: ServerState = { ...before, status, incarnation: answer.incarnation, cursor: answer.cursor, heardAt: transaction.at.monotonic, watchAt: undefined }
  transaction.setServer(withoutSent(server))
  if (status !== before.status) STATUS_CHANGES[status](transaction, server, before)
  takeReports(transaction, event.server, answer.reports)
  if (known.incarnation !== answer.incarnation || known.status === 'lost') reconcile(transaction, event.server)
  watch(transaction, event.server)
}

/** What a watch has carried to its backend server is acknowledged; what came since is still to be sent. */
function withoutSent (server: ServerState): ServerState {
  return { ...server, acknowledge: server.acknowledge.skip(server.sentAcknowledgements), sentAcknowledgements: 0 }
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
    sentAcknowledgements: 0,
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
    if (before.status === 'new' || before.status === 'lost') transaction.tellPolicy({ type: 'server-joined', server: server.description, at: transaction.at.wall })
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

/** A backend server that has restarted knows nothing of what ran there before. */
function forgetIncarnation (transaction: Transaction, name: BackendServerName): void {
  for (const run of runsOf(transaction, name)) if (!awaitsStart(run)) memberForgotten(transaction, run, name)
  transaction.tellPolicy({ type: 'server-lost', server: name, at: transaction.at.wall })
  const server = transaction.state.servers.get(name)!
  transaction.setServer({ ...server, status: 'new', cursor: 0, acknowledge: List(), sentAcknowledgements: 0 })
}

function watch (transaction: Transaction, name: BackendServerName): void {
  const server = transaction.state.servers.get(name)!
  transaction.setServer({ ...server, sentAcknowledgements: server.acknowledge.size, watchAt: undefined })
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
