/**
 * One entry VM: accepts jobs and queries about them, follows the configuration, and
 * runs the planner or calls the VM that owns it.
 */
import { pause, systemClock } from '@cornelgauge/coordination'
import { asFailure, CornelgaugeError, type VmName } from '@cornelgauge/model'
import type { Configuration, Job, JobId, JobPhase, QueueName } from '@cornelgauge/jobs'
import type { EmitEvent } from '@cornelgauge/telemetry'
import type { LogicalClock } from '@cornelgauge/wire'
import { MonitoredStore } from './monitored-store.js'
import { CancellationLimit } from './cancellation-limit.js'
import { ConfigurationExchange, type ConfigurationRows } from './configuration-exchange.js'
import { CurrentConfiguration } from './current-configuration.js'
import { EvacuationOrders } from './evacuation-orders.js'
import { JobStore, type JobDraft } from './job-store.js'
import { Leadership } from './leadership.js'
import { COUNT_WAIT_MILLISECONDS, OWNER_CALL_TIMEOUT_MILLISECONDS, OWNER_RETRY_MILLISECONDS, RELAY_TIMEOUT_MILLISECONDS } from './limits.js'
import type { PeerReply, PeerRequest } from './messages.js'
import { OwnedPlanner } from './owned-planner.js'
import { Peers, type PeerRoute } from './peers.js'
import { ReportedBacklog } from './reported-backlog.js'
import type { PlannerHost } from './planner-host.js'
import type { PlatformView } from './platform-view.js'
import type { WriteRelay } from './settled-write.js'
import { TableFollower } from './table-follower.js'

/** Options of an entry VM. */
export interface EntryVmOptions {
  readonly vm: VmName
  /** `ip:port` of the inner protocol. */
  readonly address: string
  readonly peerRoute?: PeerRoute
  /** Addresses of VMs from which the owner is learned at startup while the store doesn't answer. */
  readonly seeds: readonly string[]
  readonly secret: string
  /** Capacity for owning the planner, compared with that of other VMs. */
  readonly weight?: number
  readonly platform: PlatformView
  readonly clock: LogicalClock
  readonly emit: EmitEvent
  /** What the owner has said of the jobs that wait; a new one unless a test hands it in. */
  readonly backlog?: ReportedBacklog
}

type PeerHandlers = { readonly [Kind in PeerRequest['kind']]: (request: Extract<PeerRequest, { kind: Kind }>) => Promise<PeerReply> }

/**
 * Runs an entry VM.
 *
 * @example
 * const vm = new EntryVm(options)
 * await vm.start()
 * await vm.submit(job, performance.now() + 3000)
 * await vm.handOver()
 * await vm.stop()
 */
export class EntryVm {
  readonly #options: EntryVmOptions
  readonly #store: MonitoredStore
  readonly #jobs: JobStore
  readonly #peers: Peers
  readonly #leadership: Leadership
  readonly #stopping = new AbortController()
  readonly #unknownCancellations = new CancellationLimit()
  readonly #backlog: ReportedBacklog
  readonly configuration: CurrentConfiguration
  readonly #evacuations: EvacuationOrders
  readonly #exchange: ConfigurationExchange
  readonly #owned: OwnedPlanner

  readonly #peerHandlers: PeerHandlers = {
    beat: async beat => this.#leadership.answerHeartbeat(beat),
    accept: async ({ draft }) => {
      const job = await this.#storeJob(draft, performance.now() + RELAY_TIMEOUT_MILLISECONDS)
      this.#notifyOwner({ kind: 'job', job })
      return { kind: 'accept', job }
    },
    job: async ({ job }) => {
      this.#requireHost().submit(job)
      return { kind: 'taken' }
    },
    cancel: async ({ id }) => {
      this.#requireHost().cancel(id)
      return { kind: 'taken' }
    },
    phase: async ({ id }) => {
      const phase = this.#requireHost().phaseOf(id)
      return { kind: 'phase', ...(phase === undefined ? {} : { phase }) }
    },
    queued: async ({ queue }) => ({ kind: 'queued', count: this.#requireHost().queuedIn(queue) }),
    configuration: async () => ({ kind: 'configuration', configuration: this.#exchange.rows }),
    succeed: async ({ owner }) => {
      await this.#leadership.takeOver(owner)
      return { kind: 'taken' }
    }
  }

  constructor (options: EntryVmOptions) {
    const { vm, address, peerRoute, seeds, secret, platform, clock, emit, weight } = options
    this.#options = options
    this.#backlog = options.backlog ?? new ReportedBacklog()
    this.#store = new MonitoredStore(platform.store)
    this.#jobs = new JobStore(this.#store, () => this.#store.isAway, emit, platform.bounds?.rowBytes)
    this.configuration = new CurrentConfiguration(configuration => this.#configure(configuration))
    this.#exchange = new ConfigurationExchange({ current: this.configuration, read: rows => platform.readConfiguration(rows), fetch: address => this.#fetchConfiguration(address), emit })
    this.#peers = new Peers({
      vm,
      address,
      ...(peerRoute === undefined ? {} : { route: peerRoute }),
      secret,
      clock,
      handle: request => (this.#peerHandlers[request.kind] as (request: PeerRequest) => Promise<PeerReply>)(request),
      onEvent: event => { if (event.type === 'handler-failed') emit('peer-call-failed', { details: { address: event.address, kind: 'answer', failure: event.failure.code } }) }
    })
    this.#leadership = new Leadership({
      self: { vm, address, ...(weight === undefined ? {} : { weight }) },
      seeds,
      store: this.#store,
      peers: this.#peers,
      emit,
      storeAge: () => this.#store.lastAnswerAge,
      onOwned: (owner, signal) => this.#owned.takeOver(owner, signal),
      onLost: () => this.#runInBackground(this.#owned.release()),
      waitingJobs: () => this.#owned.host?.waitingJobs,
      onWaitingJobs: count => this.#backlog.report(count),
      configuration: this.#exchange
    })
    this.#evacuations = new EvacuationOrders({
      boundMilliseconds: platform.readEvacuations === undefined ? undefined : platform.bounds?.evacuationMilliseconds,
      storeAge: () => Math.min(this.#store.lastAnswerAge, this.#leadership.memberStoreAge),
      onChange: failureDomains => this.#owned.host?.evacuate(failureDomains),
      onOutdated: milliseconds => { if (this.isOwner) emit('evacuations-unknown', { details: { milliseconds: Math.round(milliseconds) } }) }
    })
    this.#owned = new OwnedPlanner({
      store: this.#store,
      jobs: this.#jobs,
      platform,
      emit,
      configuration: () => this.configuration.value,
      evacuations: this.#evacuations,
      isCurrent: owner => this.#leadership.isOwner && this.#leadership.owner?.epoch === owner.epoch && !this.#stopping.signal.aborted,
      peerConfirmationAge: () => this.#leadership.peerConfirmationAge,
      onFenced: () => this.#leadership.loseOwnership(),
      runInBackground: work => this.#runInBackground(work)
    })
  }

  /** True if requests can be accepted: a configuration is in force and the store answers. */
  get isReady (): boolean {
    return this.configuration.value !== undefined && !this.#store.isSilent && !this.#stopping.signal.aborted
  }

  /** True while this VM owns the planner. */
  get isOwner (): boolean {
    return this.#owned.host !== undefined
  }

  /** Counts of the planner's load, if this VM owns the planner. */
  get load (): PlannerHost['load'] | undefined {
    return this.#owned.host?.load
  }

  /** Starts to listen and to follow the configuration and the owner; the VM becomes ready later. */
  async start (): Promise<void> {
    await this.#peers.listen()
    const { platform, emit } = this.#options
    const { signal } = this.#stopping
    const follower = new TableFollower(this.#store, {
      table: platform.configurationTable,
      onRows: (rows, readAt) => {
        if (platform.bounds?.evacuationMilliseconds !== undefined && platform.readEvacuations !== undefined) this.#evacuations.update(platform.readEvacuations(rows), readAt)
        this.#exchange.apply(rows, readAt)
      },
      onFailure: failure => emit('feed-failed', { details: { table: platform.configurationTable, failure: failure.code } })
    })
    this.#runInBackground(follower.run(signal))
    this.#runInBackground(this.#leadership.run(signal))
  }

  /** Hands the planner over to another VM if this one owns it; requests are still served. */
  async handOver (): Promise<void> {
    await this.#leadership.handOver(() => this.#owned.release())
  }

  /** Stops the VM. Call `handOver` first; otherwise progress that isn't stored yet is lost to the next owner, and another VM takes over only after missed heartbeats. */
  async stop (): Promise<void> {
    this.#owned.abandon()
    this.#stopping.abort()
    await this.#peers.close()
    await this.#options.platform.servers.close()
  }

  /**
   * Accepts a job: it is stored when the promise resolves.
   *
   * @throws {CornelgaugeError} `overloaded` if the job isn't stored and won't be,
   * `backlog-full` likewise, since too many jobs wait in the store,
   * `id-cancelled` likewise, since its id was cancelled before,
   * `outcome-unknown` if that can't be determined by the deadline on the steady clock
   */
  async submit (draft: JobDraft, deadline: number): Promise<void> {
    if (this.#backlog.isFull(this.#owned.host?.waitingJobs)) await this.#refuse(draft)
    else this.#notifyOwner({ kind: 'job', job: await this.#storeJob(draft, deadline, this.#relayOf(draft)) })
  }

  /**
   * Cancels a job. If there is none, none is accepted under the id within the retention time.
   *
   * @returns false if there is no such job
   * @throws {CornelgaugeError} as `submit`, or `store-unavailable`
   */
  async cancel (id: JobId, deadline: number): Promise<boolean> {
    if (await this.phaseOf(id) === undefined) {
      this.#unknownCancellations.admit(id, performance.now())
      if (!await this.#jobs.cancelUnknown(id, deadline)) return false
    } else {
      await this.#jobs.cancel(id, deadline)
    }
    this.#notifyOwner({ kind: 'cancel', id })
    return true
  }

  /**
   * Phase of a job as reported to callers; undefined if there is no such job.
   *
   * @throws {CornelgaugeError} `store-unavailable` if neither the owner nor the store answers
   */
  async phaseOf (id: JobId): Promise<JobPhase | undefined> {
    const { host } = this.#owned
    const reportedPhase = host === undefined ? (await this.#callOwner<'phase'>({ kind: 'phase', id }))?.phase : host.phaseOf(id)
    if (reportedPhase !== undefined) return reportedPhase
    const stored = await this.#readStore(() => this.#jobs.phaseOf(id))
    return stored === 'unknown' ? undefined : stored
  }

  /**
   * Counts the jobs of a queue of which no step has started. While the owner changes, the count waits for the new one.
   *
   * @throws {CornelgaugeError} `no-owner` if no owner can be reached by the deadline on the steady clock; at once without one
   */
  async queuedIn (queue: QueueName, deadline = -Infinity): Promise<number> {
    const lastCallAt = Math.min(deadline - OWNER_CALL_TIMEOUT_MILLISECONDS, performance.now() + COUNT_WAIT_MILLISECONDS)
    for (;;) {
      if (this.#owned.host !== undefined) return this.#owned.host.queuedIn(queue)
      const answer = await this.#callOwner<'queued'>({ kind: 'queued', queue })
      if (answer !== undefined) return answer.count
      if (performance.now() >= lastCallAt || this.#stopping.signal.aborted) throw new CornelgaugeError('no-owner')
      await pause(systemClock, OWNER_RETRY_MILLISECONDS, this.#stopping.signal)
    }
  }

  /** Refuses a job since too many wait; one that was accepted before stays accepted. */
  async #refuse ({ id, queue }: JobDraft): Promise<void> {
    let stored: Job | undefined
    try {
      stored = await this.#jobs.read(id)
    } catch (thrown) {
      throw new CornelgaugeError('outcome-unknown', { detail: 'Whether the job was accepted before could not be read', cause: thrown })
    }
    if (stored !== undefined) return
    if (this.#jobs.isUnsettled(id)) throw new CornelgaugeError('outcome-unknown')
    this.#options.emit('job-refused', { details: { job: id, queue, waiting: this.#owned.host?.waitingJobs ?? this.#backlog.count } })
    throw new CornelgaugeError('backlog-full')
  }

  /** Stores a job; through another VM if a relay is given and this one can't store it. */
  #storeJob (draft: JobDraft, deadline: number, relay?: WriteRelay<Job>): Promise<Job> {
    return this.#jobs.accept(draft, () => this.#leadership.owner, owner => this.#leadership.adoptOwner(owner), deadline, relay)
  }

  #relayOf (draft: JobDraft): WriteRelay<Job> {
    return {
      isAvailable: () => this.#leadership.relayPeer !== undefined,
      call: milliseconds => this.#relay(draft, milliseconds)
    }
  }

  /**
   * Has another VM store the job.
   *
   * @throws {CornelgaugeError} the failure, with the member `sent` false if that VM was certainly not called
   */
  async #relay (draft: JobDraft, milliseconds: number): Promise<Job> {
    const address = this.#leadership.relayPeer?.address ?? ''
    try {
      return (await this.#peers.call<'accept'>(address, { kind: 'accept', draft }, Math.min(RELAY_TIMEOUT_MILLISECONDS, milliseconds))).job
    } catch (thrown) {
      this.#options.emit('peer-call-failed', { details: { address, kind: 'accept', failure: asFailure(thrown).code } })
      throw thrown
    }
  }

  #requireHost (): PlannerHost {
    if (this.#owned.host === undefined) throw new CornelgaugeError('not-owner')
    return this.#owned.host
  }

  async #fetchConfiguration (address: string): Promise<ConfigurationRows | undefined> {
    try {
      return (await this.#peers.call<'configuration'>(address, { kind: 'configuration' }, OWNER_CALL_TIMEOUT_MILLISECONDS)).configuration
    } catch (thrown) {
      this.#options.emit('peer-call-failed', { details: { address, kind: 'configuration', failure: asFailure(thrown).code } })
      return undefined
    }
  }

  #configure (configuration: Configuration): void {
    this.#options.emit('configuration-in-force', { details: { version: configuration.version, queues: configuration.queues.length } })
    this.#owned.host?.configure(configuration)
  }

  /** Notifies the owner of a stored job or cancellation, which it would otherwise read from the store a little later. */
  #notifyOwner (request: Extract<PeerRequest, { kind: 'job' | 'cancel' }>): void {
    const { host } = this.#owned
    if (host !== undefined) {
      if (request.kind === 'job') host.submit(request.job)
      else host.cancel(request.id)
      return
    }
    this.#runInBackground(this.#callOwner(request).then(() => {}))
  }

  async #callOwner<Kind extends PeerReply['kind']> (request: PeerRequest): Promise<Extract<PeerReply, { kind: Kind }> | undefined> {
    const { emit } = this.#options
    for (let attempt = 0; attempt < 2; attempt += 1) {
      const owner = this.#leadership.owner
      if (owner === undefined || owner.vm === this.#options.vm) return undefined
      try {
        return await this.#peers.call<Kind>(owner.address, request, OWNER_CALL_TIMEOUT_MILLISECONDS)
      } catch (thrown) {
        emit('peer-call-failed', { details: { address: owner.address, kind: request.kind, failure: asFailure(thrown).code } })
        if (this.#leadership.owner === owner) return undefined
      }
    }
    return undefined
  }

  async #readStore<Value> (read: () => Promise<Value>): Promise<Value> {
    try {
      return await read()
    } catch (thrown) {
      throw new CornelgaugeError('store-unavailable', { detail: 'Neither the owner nor the store could be asked', cause: thrown })
    }
  }

  /** Runs work that nobody awaits; an error in it is a bug and ends the process. */
  #runInBackground (work: Promise<void>): void {
    work.catch(thrown => {
      this.#options.emit('entry-failed', { details: { failure: asFailure(thrown).message } })
      setImmediate(() => { throw thrown })
    })
  }
}
