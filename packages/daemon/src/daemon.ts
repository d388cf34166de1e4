/** The daemon: connects its components, and starts and stops them in order. */
import { randomUUID } from 'node:crypto'
import { seededRandom } from '@cornelgauge/coordination'
import type { EnvironmentDocument, EnvironmentName } from '@cornelgauge/environment'
import { asFailure, CornelgaugeError, type CellName, type VmName } from '@cornelgauge/model'
import { HttpObjectStore, HttpTableService, HttpVmList, systemClock } from '@cornelgauge/ports'
import { mergeEvents, newestEvents, type EmitEvent } from '@cornelgauge/telemetry'
import { WireClient, WireServer } from '@cornelgauge/wire'
import { BackendServers } from './backend-servers.js'
import { callerRoutes } from './caller-routes.js'
import { CellHost, OWNERSHIP_POLL_MILLISECONDS } from './cell-host.js'
import { CountingTable } from './counting-table.js'
import { Documents, type DocumentInForce } from './documents.js'
import type { EventQuery } from './event-query.js'
import { HttpServer } from './http-server.js'
import { operatorRoutes } from './operator-routes.js'
import { peerCallHandler } from './peer-calls.js'
import { Peers } from './peers.js'
import { Replies } from './replies.js'
import { reportCalls } from './reported-calls.js'
import { Router } from './router.js'
import type { Settings } from './settings.js'
import { cellStatus, systemStatus, type VmStatus } from './status.js'
import { Telemetry } from './telemetry.js'
import { Tokens } from './tokens.js'
import { VmDirectory, VM_LIST_POLL_MILLISECONDS } from './vm-directory.js'

const PLATFORM_TIMEOUT_MILLISECONDS = 2000
const OBJECT_TIMEOUT_MILLISECONDS = 10_000
const WIRE_GRACE_MILLISECONDS = 5000
const METRICS_INTERVAL_MILLISECONDS = 1000
const VERSION = '0.1.0'
const HIGHEST_SEED = 0x7fffffff

/** The daemon of an entry VM. */
export class Daemon {
  readonly #settings: Settings
  readonly #telemetry: Telemetry
  readonly #table: CountingTable
  readonly #tableClient: HttpTableService
  readonly #objects: HttpObjectStore
  readonly #vmList: HttpVmList
  readonly #directory: VmDirectory
  readonly #servers: BackendServers
  readonly #replies = new Replies()
  readonly #documents: Documents
  readonly #host: CellHost
  readonly #wireClient: WireClient
  readonly #wireServer: WireServer
  readonly #peers: Peers
  readonly #http: HttpServer
  readonly #timers = new Set<NodeJS.Timeout>()
  #state: 'starting' | 'running' | 'stopping' = 'starting'
  #isReadinessReported = false

  constructor (settings: Settings) {
    this.#settings = settings
    this.#telemetry = new Telemetry(settings)
    const emit = this.#telemetry.emit
    const localAddress = settings.address.host
    const clientOptions = { timeoutMilliseconds: PLATFORM_TIMEOUT_MILLISECONDS, localAddress }
    this.#tableClient = new HttpTableService({ ...clientOptions, address: settings.tableService })
    this.#table = new CountingTable(this.#tableClient, () => systemClock.now())
    this.#objects = new HttpObjectStore({ ...clientOptions, address: settings.objectStore, timeoutMilliseconds: OBJECT_TIMEOUT_MILLISECONDS })
    this.#vmList = new HttpVmList({ ...clientOptions, address: settings.vmList })
    this.#directory = new VmDirectory(this.#vmList, emit, () => systemClock.now())
    this.#servers = new BackendServers(localAddress)
    this.#wireClient = new WireClient({ identity: { vm: settings.vm }, secrets: settings.peerSecrets, clock: this.#telemetry.clock, localAddress, onEvent: this.#telemetry.wireEvent })
    this.#peers = new Peers(settings.vm, this.#wireClient, this.#directory)
    this.#documents = this.#makeDocuments(emit)
    this.#host = this.#makeHost(emit)
    this.#wireServer = this.#makeWireServer()
    this.#http = new HttpServer(this.#routes())
  }

  /** True while the daemon accepts requests, for the health check. */
  get isReady (): boolean {
    return this.#state === 'running' && this.#documents.inForce(this.#settings.environment) !== undefined
  }

  /** Opens the ports, begins to poll the platform, and takes part in the ownership of cells. */
  async start (): Promise<void> {
    const { wireAddress, address, failureDomain, environment } = this.#settings
    await this.#wireServer.listen(wireAddress.host, wireAddress.port)
    await this.#directory.refresh()
    await this.#documents.start()
    await this.#host.refresh()
    this.#runPeriodically(VM_LIST_POLL_MILLISECONDS, () => this.#directory.refresh())
    this.#runPeriodically(OWNERSHIP_POLL_MILLISECONDS, () => this.#pollOwnership())
    this.#runPeriodically(METRICS_INTERVAL_MILLISECONDS, async () => { this.#sendMetrics() })
    await this.#http.listen(address)
    this.#state = 'running'
    this.#telemetry.emit('process-started', { details: { version: VERSION, address: `${address.host}:${address.port}`, failureDomain } })
    if (!this.isReady) this.#telemetry.emit('document-missing', { details: { environment } })
    this.#reportReadiness()
  }

  /**
   * Shuts down gracefully: reports that it is not ready, hands over its cells, waits
   * for requests in flight, and closes all connections.
   */
  async stop (): Promise<void> {
    if (this.#state === 'stopping') return
    this.#state = 'stopping'
    const startedAt = systemClock.now()
    this.#telemetry.emit('stop-requested', { details: { cells: this.#host.states.length } })
    const lameDuck = new Promise<void>(resolve => { setTimeout(resolve, this.#settings.lameDuckMilliseconds) })
    await Promise.all([this.#host.leave(), lameDuck])
    await this.#http.close()
    await this.#wireServer.close(WIRE_GRACE_MILLISECONDS)
    await this.#closeAll()
    this.#telemetry.emit('process-stopped', { details: { milliseconds: Math.round(systemClock.now() - startedAt) } })
    await this.#telemetry.close()
  }

  async #closeAll (): Promise<void> {
    for (const timer of this.#timers) clearInterval(timer)
    this.#documents.stop()
    this.#host.stop()
    await this.#wireClient.close()
    await Promise.all([this.#servers.close(), this.#tableClient.close(), this.#objects.close(), this.#vmList.close()])
  }

  #makeDocuments (emit: EmitEvent): Documents {
    return new Documents({
      table: this.#table,
      clock: systemClock,
      emit,
      wall: Date.now,
      fetchFromPeers: environment => this.#peers.documents(environment),
      onAdopted: (environment, inForce) => { this.#onDocumentAdopted(environment, inForce) }
    })
  }

  #makeHost (emit: EmitEvent): CellHost {
    const { vm, failureDomain, wireAdvertise, environment } = this.#settings
    return new CellHost({
      vm,
      failureDomain,
      wireAddress: wireAdvertise,
      stores: { table: this.#table, objects: this.#objects },
      clock: systemClock,
      wall: Date.now,
      random: seededRandom(Math.floor(Math.random() * HIGHEST_SEED)),
      nonce: randomUUID,
      directory: this.#directory,
      servers: this.#servers,
      replies: this.#replies,
      emit,
      documentInForce: () => this.#documents.inForce(environment),
      onStep: this.#telemetry.onStep,
      onReleased: (cell, to) => { this.#announceRelease(cell, to) }
    })
  }

  #makeWireServer (): WireServer {
    const { vm, peerSecrets } = this.#settings
    const handle = peerCallHandler({
      host: this.#host,
      replies: this.#replies,
      documents: this.#documents,
      objects: this.#objects,
      now: () => systemClock.now(),
      vmStatus: () => this.#vmStatus(),
      events: query => this.#telemetry.events(query),
      onHandoverHint: () => { this.#pollOwnership() }
    })
    return new WireServer({ identity: { vm }, secrets: peerSecrets, clock: this.#telemetry.clock, handle, onEvent: this.#telemetry.wireEvent })
  }

  #routes (): ConstructorParameters<typeof HttpServer>[0] {
    const { workspaceTokens, operatorTokens, vm } = this.#settings
    const tokens = new Tokens(workspaceTokens, operatorTokens)
    const document = () => this.#document()
    const router = new Router({ host: this.#host, replies: this.#replies, wire: reportCalls(this.#wireClient, this.#telemetry.emit), clock: systemClock, objects: this.#objects, document })
    return [
      ...callerRoutes({ router, tokens, document, wall: Date.now }),
      ...operatorRoutes({
        tokens,
        documents: this.#documents,
        vm,
        status: () => this.#status(),
        events: query => this.#events(query),
        isReady: () => this.isReady
      })
    ]
  }

  #document (): EnvironmentDocument {
    const inForce = this.#documents.inForce(this.#settings.environment)
    if (inForce === undefined) throw new CornelgaugeError('not-ready', { detail: 'No environment document is in force yet', state: 'unknown' })
    return inForce.document
  }

  #onDocumentAdopted (environment: EnvironmentName, inForce: DocumentInForce): void {
    if (environment === this.#settings.environment) this.#host.updateDocument(inForce)
    this.#peers.hintDocument(environment, inForce.version)
    this.#reportReadiness()
  }

  /** Emits `process-ready` once, when the daemon first becomes ready. */
  #reportReadiness (): void {
    if (this.#state !== 'running' || this.#isReadinessReported) return
    if (!this.isReady) return
    this.#isReadinessReported = true
    this.#telemetry.emit('process-ready', { details: { milliseconds: Math.round(process.uptime() * 1000) } })
  }

  #announceRelease (cell: CellName, _: VmName | null): void {
    this.#peers.hintHandover(cell)
  }

  async #pollOwnership (): Promise<void> {
    await this.#host.refresh()
    this.#host.startDueActions()
  }

  #runPeriodically (milliseconds: number, action: () => Promise<void>): void {
    let busy = false
    const timer = setInterval(() => {
      if (busy) return
      busy = true
      action()
        .catch(thrown => { this.#telemetry.emit('unexpected-failure', { details: { failure: asFailure(thrown), where: 'timer' } }) })
        .finally(() => { busy = false })
    }, milliseconds)
    this.#timers.add(timer)
  }

  #sendMetrics (): void {
    const { environment } = this.#settings
    this.#telemetry.sendReadings({
      cells: this.#host.states,
      table: this.#table.counts,
      wire: { client: this.#wireClient.statistics, server: this.#wireServer.statistics },
      document: { environment, version: this.#documents.inForce(environment)?.version }
    })
  }

  #vmStatus (): VmStatus {
    const { vm, failureDomain } = this.#settings
    const usage = process.cpuUsage()
    return {
      vm,
      failureDomain,
      status: this.#state === 'stopping' ? 'stopping' : this.isReady ? 'ready' : 'not-ready',
      documents: { trial: this.#documents.inForce('trial')?.version ?? null, production: this.#documents.inForce('production')?.version ?? null },
      cells: this.#host.states.map(cellStatus),
      memoryBytes: process.memoryUsage.rss(),
      processorMilliseconds: Math.round((usage.user + usage.system) / 1000),
      uptimeMilliseconds: Math.round(process.uptime() * 1000),
      table: this.#table.counts
    }
  }

  async #status (): Promise<unknown> {
    const vms = [this.#vmStatus(), ...await this.#peers.statuses() as readonly VmStatus[]]
    return systemStatus(vms)
  }

  async #events (query: EventQuery): Promise<readonly unknown[]> {
    const lists = await this.#peers.events(query)
    return newestEvents(mergeEvents([this.#telemetry.events(query), ...lists]), query.after, query.limit)
  }
}
