/**
 * Several VMs over in-memory services on one virtual clock. Each VM runs the real
 * cell host, loop, router and peer calls; only sockets are replaced by direct calls.
 */
import { seededRandom } from '@cornelgauge/coordination'
import { parseDocument } from '@cornelgauge/environment'
import {
  asFailure, backendServerName, cellName, CornelgaugeError, documentVersion, failureDomainName, vmName,
  type BackendServerName, type RequestKey, type Submission, type VmName, type WorkspaceName
} from '@cornelgauge/model'
import {
  MemoryBackendServer, MemoryObjectStore, MemoryTableService, VirtualClock,
  type BackendServer, type CancelTimer, type Clock, type ListedVm, type LoggedExecution, type ObjectStore, type TableService
} from '@cornelgauge/ports'
import { CellHost, OWNERSHIP_POLL_MILLISECONDS, peerCallHandler, Replies, Router, VmDirectory, type CellEffects, type DocumentInForce, type RoutedRecord } from '@cornelgauge/daemon/parts'
import type { EmitEvent, TimelineEvent } from '@cornelgauge/telemetry'
import { DOCUMENT_TEXT } from './document-text.js'

export const CELL = cellName('praha')
const DOMAIN = failureDomainName('praha')
const SERVER_COUNT = 4
const HEARTBEAT_MILLISECONDS = 100
const SILENCE_TIMEOUT_MILLISECONDS = 3000

/** The clock of one VM: while it is paused, no timer fires and no answer is delivered. */
class VmClock implements Clock {
  readonly #clock: VirtualClock
  #paused = false
  #killed = false
  #deferred: (() => void)[] = []

  constructor (clock: VirtualClock) {
    this.#clock = clock
  }

  now (): number {
    return this.#clock.now()
  }

  after (delayMilliseconds: number, action: () => void): CancelTimer {
    let cancelled = false
    const cancel = this.#clock.after(delayMilliseconds, () => { this.run(() => { if (!cancelled) action() }) })
    return () => {
      cancelled = true
      cancel()
    }
  }

  get isPaused (): boolean {
    return this.#paused
  }

  /** Runs the action now, or when the VM is resumed; never after the VM has been killed. */
  run (action: () => void): void {
    if (this.#killed) return
    if (this.#paused) this.#deferred.push(action)
    else action()
  }

  pause (): void {
    this.#paused = true
  }

  resume (): void {
    this.#paused = false
    const deferred = this.#deferred
    this.#deferred = []
    deferred.forEach(action => { action() })
  }

  kill (): void {
    this.#killed = true
    this.#deferred = []
  }

  /** Delivers the outcome of a call to the VM only while it runs. */
  gate<Result> (call: Promise<Result>): Promise<Result> {
    return new Promise((resolve, reject) => {
      call.then(value => { this.run(() => { resolve(value) }) }, failure => { this.run(() => { reject(failure) }) })
    })
  }
}

/** Wraps a port so that the outcomes of its calls are delivered by the VM's clock. */
function gatedPort<Port extends object> (clock: VmClock, port: Port): Port {
  return new Proxy(port, {
    get (target, name) {
      const member = Reflect.get(target, name) as unknown
      if (typeof member !== 'function') return member
      return (...parameters: unknown[]) => clock.gate((member as (...all: unknown[]) => Promise<unknown>).apply(target, parameters))
    }
  })
}

/** The clock and the liveness of a VM, for wrappers of its interfaces. */
export interface VmContext {
  readonly clock: Clock
  readonly isAlive: () => boolean
}

/** Wrappers of the interfaces of the VMs, so that a mechanism can be disabled from outside. */
export interface RigInterfaces {
  readonly table?: (table: TableService, context: VmContext) => TableService
  readonly server?: (server: BackendServer) => BackendServer
  /** If false, connections between VMs never report a silent peer. */
  readonly probesConnections?: boolean
}

/** An event that a VM emitted, for assertions. */
export type RecordedEvent = Pick<TimelineEvent, 'vm' | 'name' | 'at' | 'cell' | 'request' | 'details'>

/** One entry VM. */
export class RigVm {
  readonly name: VmName
  readonly clock: VmClock
  readonly host: CellHost
  readonly router: Router
  readonly handle: ReturnType<typeof peerCallHandler>
  readonly #directory: VmDirectory
  #alive = true

  constructor (rig: Rig, name: VmName, seed: number) {
    this.name = name
    this.clock = new VmClock(rig.clock)
    const replies = new Replies()
    const table = rig.interfaces.table?.(rig.table, { clock: rig.clock, isAlive: () => this.#alive }) ?? rig.table
    const serverOf = (server: BackendServerName): BackendServer => rig.interfaces.server?.(rig.server(server)) ?? rig.server(server)
    const stores = { table: gatedPort<TableService>(this.clock, table), objects: gatedPort<ObjectStore>(this.clock, rig.objects) }
    const emit: EmitEvent = (event, facts) => { rig.events.push({ vm: name, name: event, at: rig.clock.now(), ...facts }) }
    this.#directory = new VmDirectory({ list: async () => rig.vmList }, emit, () => rig.clock.now())
    let nonces = 0
    this.host = new CellHost({
      vm: name,
      failureDomain: DOMAIN,
      wireAddress: name,
      stores,
      clock: this.clock,
      wall: () => rig.clock.now(),
      random: seededRandom(seed),
      nonce: () => `${name}-${seed}-${nonces++}`,
      directory: this.#directory,
      servers: { setAddress: () => {}, get: server => gatedPort<BackendServer>(this.clock, serverOf(server)) },
      replies,
      emit,
      documentInForce: () => rig.document,
      onStep: step => { rig.onStep?.(step) },
      onReleased: () => { rig.pollAll() }
    })
    const wire = { call: (address: string, body: Parameters<typeof this.handle>[1], timeoutMilliseconds: number) => this.clock.gate(rig.call(address, body, timeoutMilliseconds)) }
    this.router = new Router({ host: this.host, replies, wire, clock: this.clock, objects: stores.objects, document: () => rig.document.document })
    this.handle = peerCallHandler({ host: this.host, replies, documents: undefined as never, objects: stores.objects, now: () => rig.clock.now(), vmStatus: () => null, events: () => [], onHandoverHint: () => {} })
  }

  get isAlive (): boolean {
    return this.#alive
  }

  /** Starts polling as the daemon does. */
  async start (): Promise<void> {
    await this.#directory.refresh()
    this.poll()
    this.#repeat()
  }

  poll (): void {
    this.clock.run(() => { this.#directory.refresh().then(() => this.host.refresh()).then(() => { this.clock.run(() => { this.host.startDueActions() }) }) })
  }

  /** Simulates SIGKILL: the VM does nothing more; what it has sent is still delivered. */
  kill (): void {
    this.#alive = false
    this.clock.kill()
  }

  #repeat (): void {
    this.clock.after(OWNERSHIP_POLL_MILLISECONDS, () => {
      this.poll()
      this.#repeat()
    })
  }
}

/** The in-memory services, the backend servers and the VMs. */
export class Rig {
  readonly clock = new VirtualClock(1_800_000_000_000)
  readonly table = new MemoryTableService(this.clock)
  readonly objects = new MemoryObjectStore(this.clock)
  readonly events: RecordedEvent[] = []
  /** Called with the effects of each step of an owned cell. */
  onStep: ((step: CellEffects) => void) | undefined
  readonly vms: RigVm[] = []
  readonly #servers = new Map<BackendServerName, MemoryBackendServer>()
  readonly #replacedServers: MemoryBackendServer[] = []
  readonly #restarts: { readonly server: BackendServerName, readonly at: number }[] = []
  readonly interfaces: RigInterfaces
  #incarnationCount = 1
  document: DocumentInForce = { version: documentVersion(1), document: parseDocument(DOCUMENT_TEXT).document }
  vmList: readonly ListedVm[] = []

  constructor (interfaces: RigInterfaces = {}) {
    this.interfaces = interfaces
    for (let index = 0; index < SERVER_COUNT; index++) this.#addServer(index)
  }

  /** Starts VMs and waits until the cell is served. */
  static async start (count: number, interfaces: RigInterfaces = {}): Promise<Rig> {
    const rig = new Rig(interfaces)
    for (let index = 1; index <= count; index++) rig.addVm(`vm-${index}`, index)
    await Promise.all(rig.vms.map(vm => vm.start()))
    await rig.advance(1500)
    return rig
  }

  addVm (name: string, seed: number): RigVm {
    const vm = new RigVm(this, vmName(name), seed)
    this.vms.push(vm)
    this.vmList = [...this.vmList.filter(listed => listed.name !== vm.name), { name: vm.name, role: 'entry', failureDomain: DOMAIN, address: name, wireAddress: name, status: 'live' }]
    return vm
  }

  server (name: BackendServerName): MemoryBackendServer {
    return this.#servers.get(name)!
  }

  get servers (): readonly MemoryBackendServer[] {
    return [...this.#servers.values()]
  }

  /** Every start on a backend server, including those that have been restarted since. */
  get executions (): readonly LoggedExecution[] {
    return [...this.#replacedServers, ...this.servers].flatMap(server => server.executions)
  }

  /** Restarts a backend server with a new incarnation and without state; its earlier executions stay in the history. */
  restartServer (index: number): void {
    const name = backendServerName(`server-${index}`)
    const replaced = this.#servers.get(name)!
    replaced.faults.set({ mode: 'down' })
    this.#replacedServers.push(replaced)
    this.#restarts.push({ server: name, at: this.clock.now() })
    this.#incarnationCount += 1
    this.#servers.set(name, this.#makeServer(`incarnation-${index}-${this.#incarnationCount}`))
  }

  /** Keys with an intent to start on a backend server that has restarted since. */
  get forgottenKeys (): readonly string[] {
    const intents = this.events.filter(event => event.name === 'request-start-intended')
    const isForgotten = (event: RecordedEvent): boolean => this.#restarts.some(restart =>
      restart.at >= event.at && (event.details?.members as readonly string[]).includes(restart.server))
    return intents.filter(isForgotten).map(event => event.request!.split('/')[1]!)
  }

  /** The VM that serves the cell. */
  get owner (): RigVm | undefined {
    return this.vms.find(vm => vm.isAlive && vm.host.states.some(state => state.cell === CELL && !state.hasEnded))
  }

  /** The first live VM that does not own the cell. */
  get nonOwner (): RigVm {
    return this.vms.find(vm => vm.isAlive && vm !== this.owner)!
  }

  advance (milliseconds: number): Promise<void> {
    return this.clock.advance(milliseconds)
  }

  /** Ends every fault and resumes paused VMs. */
  heal (): void {
    this.table.faults.set({ mode: 'none' })
    this.servers.forEach(server => { server.faults.set({ mode: 'none' }) })
    this.vms.forEach(vm => { vm.clock.resume() })
  }

  pollAll (): void {
    this.vms.forEach(vm => { vm.poll() })
  }

  /** Advances virtual time until the call has settled. */
  async settle<Result> (call: Promise<Result>, longestMilliseconds = 60_000): Promise<Result> {
    const progress = { settled: false }
    const finish = (): void => { progress.settled = true }
    call.then(finish, finish)
    for (let passed = 0; passed < longestMilliseconds && !progress.settled; passed += 10) await this.advance(10)
    if (!progress.settled) throw new CornelgaugeError('timeout', { detail: 'the call did not settle in virtual time' })
    return call
  }

  submit (vm: RigVm, submission: Submission, waitMilliseconds = 20_000): Promise<RoutedRecord> {
    return vm.router.submit(submission, waitMilliseconds)
  }

  /** Settles a call and returns its outcome: the state, or the failure's code and state. */
  async settleOutcome (call: Promise<RoutedRecord>): Promise<CallOutcome> {
    return this.awaitOutcome(this.settle(call))
  }

  /** Returns the outcome of a call without advancing the clock. */
  async awaitOutcome (call: Promise<RoutedRecord>): Promise<CallOutcome> {
    try {
      const { record, asOf } = await call
      return { state: record.state, answer: record.answer?.inline, asOf }
    } catch (thrown) {
      const failure = asFailure(thrown)
      return { state: failure.state, code: failure.code }
    }
  }

  read (vm: RigVm, submission: Submission, waitMilliseconds = 0): Promise<RoutedRecord> {
    return vm.router.read(submission.workspace as WorkspaceName, submission.key as RequestKey, waitMilliseconds)
  }

  /** A call between VMs. A call to a killed VM is lost; one to a paused VM waits until the connection or the call times out. */
  call (address: string, body: Parameters<RigVm['handle']>[1], timeoutMilliseconds: number): Promise<Awaited<ReturnType<RigVm['handle']>>> {
    const target = this.vms.find(vm => vm.name === address && vm.isAlive)
    if (target === undefined) return Promise.reject(new CornelgaugeError('connection-lost', { members: { sent: false } }))
    return new Promise((resolve, reject) => {
      const stopWatching = this.#watchLink(target, () => { reject(new CornelgaugeError('connection-lost', { members: { sent: true } })) })
      const cancelTimeout = this.clock.after(timeoutMilliseconds, () => { reject(new CornelgaugeError('timeout')) })
      const finish = (): void => {
        stopWatching()
        cancelTimeout()
      }
      target.clock.run(() => { target.clock.gate(target.handle({ vm: vmName('peer') }, body)).then(resolve, reject).finally(finish) })
    })
  }

  /** Simulates the heartbeats of the inner protocol: calls `onLost` when the target is killed or has been silent for too long. */
  #watchLink (target: RigVm, onLost: () => void): CancelTimer {
    let silentSince: number | undefined
    let cancel: CancelTimer = () => {}
    const check = (): void => {
      silentSince = target.clock.isPaused ? silentSince ?? this.clock.now() : undefined
      const silent = this.interfaces.probesConnections !== false && silentSince !== undefined && this.clock.now() - silentSince >= SILENCE_TIMEOUT_MILLISECONDS
      if (!target.isAlive || silent) onLost()
      else cancel = this.clock.after(HEARTBEAT_MILLISECONDS, check)
    }
    check()
    return () => { cancel() }
  }

  #makeServer (incarnation: string): MemoryBackendServer {
    return new MemoryBackendServer({ slots: 8, accelerators: 8, clock: this.clock, leaseMilliseconds: 30_000, incarnation })
  }

  #addServer (index: number): void {
    const name = backendServerName(`server-${index}`)
    this.#servers.set(name, this.#makeServer(`incarnation-${index}-1`))
    this.vmList = [...this.vmList, { name: vmName(name), role: 'backend-server', failureDomain: DOMAIN, rack: 'praha-rack-1', slots: 8, accelerators: 8, address: name, status: 'live' }]
  }
}

/** The outcome of a call, as its caller sees it. */
export interface CallOutcome {
  readonly state: string | undefined
  readonly code?: string
  readonly answer?: string
  readonly asOf?: number
}
