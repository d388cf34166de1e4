/**
 * One entry VM: takes jobs and questions about them, follows the configuration, and
 * owns the planner or speaks to the VM that does.
 */
import { asFailure, CornelgaugeError, type VmName } from '@cornelgauge/model'
import type { Configuration, Job, JobId, JobPhase, QueueName } from '@cornelgauge/jobs'
import type { EmitEvent } from '@cornelgauge/telemetry'
import type { LogicalClock } from '@cornelgauge/wire'
import { AnsweringStore } from './answering-store.js'
import { CurrentConfiguration } from './current-configuration.js'
import { JobStore, type JobDraft } from './job-store.js'
import { Leadership } from './leadership.js'
import { OWNER_CALL_MILLISECONDS, RELAY_MILLISECONDS, STORE_SILENT_MILLISECONDS } from './limits.js'
import type { PeerAnswer, PeerQuestion } from './messages.js'
import { OwnedPlanner } from './owned-planner.js'
import { Peers } from './peers.js'
import type { PlannerHost } from './planner-host.js'
import type { PlatformView } from './platform-view.js'
import { TableFollower } from './table-follower.js'

/** What an entry VM needs. */
export interface EntryVmOptions {
  readonly vm: VmName
  /** `ip:port` of the inner protocol. */
  readonly address: string
  /** Addresses of VMs to ask while the store doesn't answer. */
  readonly seeds: readonly string[]
  readonly secret: string
  readonly platform: PlatformView
  readonly clock: LogicalClock
  readonly emit: EmitEvent
}

type Questions = { readonly [Kind in PeerQuestion['kind']]: (question: Extract<PeerQuestion, { kind: Kind }>) => Promise<PeerAnswer> }

/**
 * Runs an entry VM.
 *
 * @example
 * const vm = new EntryVm(options)
 * await vm.start()
 * await vm.submit(job, performance.now() + 3000)
 * await vm.leave()
 * await vm.stop()
 */
export class EntryVm {
  readonly #options: EntryVmOptions
  readonly #store: AnsweringStore
  readonly #jobs: JobStore
  readonly #peers: Peers
  readonly #leadership: Leadership
  readonly #stopping = new AbortController()
  readonly configuration: CurrentConfiguration
  readonly #owned: OwnedPlanner

  readonly #questions: Questions = {
    beat: async beat => this.#leadership.hear(beat),
    accept: async ({ draft }) => {
      const job = await this.#storeJob(draft, performance.now() + RELAY_MILLISECONDS)
      this.#tellOwner({ kind: 'job', job })
      return { kind: 'accept', job }
    },
    job: async ({ job }) => {
      this.#hostOrFail().submit(job)
      return { kind: 'taken' }
    },
    cancel: async ({ id }) => {
      this.#hostOrFail().cancel(id)
      return { kind: 'taken' }
    },
    phase: async ({ id }) => {
      const phase = this.#hostOrFail().phaseOf(id)
      return { kind: 'phase', ...(phase === undefined ? {} : { phase }) }
    },
    queued: async ({ queue }) => ({ kind: 'queued', count: this.#hostOrFail().queuedIn(queue) }),
    succeed: async ({ owner }) => {
      await this.#leadership.succeed(owner)
      return { kind: 'taken' }
    }
  }

  constructor (options: EntryVmOptions) {
    const { vm, address, seeds, secret, platform, clock, emit } = options
    this.#options = options
    this.#store = new AnsweringStore(platform.store)
    this.#jobs = new JobStore(this.#store, () => this.#isStoreSilent)
    this.configuration = new CurrentConfiguration(configuration => this.#configure(configuration))
    this.#peers = new Peers({
      vm,
      address,
      secret,
      clock,
      answer: question => (this.#questions[question.kind] as (question: PeerQuestion) => Promise<PeerAnswer>)(question),
      onEvent: event => { if (event.type === 'handler-failed') emit('peer-call-failed', { details: { address: event.address, kind: 'answer', failure: event.failure.code } }) }
    })
    this.#leadership = new Leadership({
      self: { vm, address },
      seeds,
      store: this.#store,
      peers: this.#peers,
      emit,
      storeAge: () => this.#store.age,
      onOwned: owner => this.#owned.take(owner),
      onLost: () => this.#background(this.#owned.release())
    })
    this.#owned = new OwnedPlanner({
      store: this.#store,
      jobs: this.#jobs,
      platform,
      emit,
      configuration: () => this.configuration.value,
      isCurrent: owner => this.#leadership.isOwner && this.#leadership.owner?.epoch === owner.epoch && !this.#stopping.signal.aborted,
      followedAge: () => this.#leadership.followedAge,
      onFenced: () => this.#leadership.lose(),
      background: work => this.#background(work)
    })
  }

  /** True if requests can be taken: a configuration is in force and the store answers. */
  get isReady (): boolean {
    return this.configuration.value !== undefined && !this.#isStoreSilent && !this.#stopping.signal.aborted
  }

  /** True while this VM owns the planner. */
  get isOwner (): boolean {
    return this.#owned.host !== undefined
  }

  /** Counts of the planner's load, where this VM owns it. */
  get load (): PlannerHost['load'] | undefined {
    return this.#owned.host?.load
  }

  /** Joins the other VMs; returns at once, and becomes ready later. */
  async start (): Promise<void> {
    await this.#peers.listen()
    const { platform, emit } = this.#options
    const { signal } = this.#stopping
    const follower = new TableFollower(this.#store, {
      table: platform.configurationTable,
      onRows: (rows, asked) => this.configuration.take(platform.readConfiguration(rows), asked),
      onFailure: failure => emit('feed-failed', { details: { table: platform.configurationTable, failure: failure.code } })
    })
    this.#background(follower.run(signal))
    this.#background(this.#leadership.run(signal))
  }

  /** Gives the planner to another VM, if this one owns it; requests are still served. */
  async leave (): Promise<void> {
    await this.#leadership.leave(() => this.#owned.release())
  }

  /** Ends, after `leave`; without it the planner is left as it is. */
  async stop (): Promise<void> {
    this.#owned.abandon()
    this.#stopping.abort()
    await this.#peers.close()
    await this.#options.platform.servers.close()
  }

  /**
   * Accepts a job: it is stored when this returns.
   *
   * @throws {CornelgaugeError} `overloaded` if it isn't stored and won't be,
   * `outcome-unknown` if that isn't known by the deadline on the steady clock
   */
  async submit (draft: JobDraft, deadline: number): Promise<void> {
    this.#tellOwner({ kind: 'job', job: await this.#accept(draft, deadline) })
  }

  /**
   * Cancels a job.
   *
   * @returns false if there is no such job
   * @throws {CornelgaugeError} as `submit`, or `store-unavailable`
   */
  async cancel (id: JobId, deadline: number): Promise<boolean> {
    if (await this.phaseOf(id) === undefined) return false
    await this.#jobs.cancel(id, deadline)
    this.#tellOwner({ kind: 'cancel', id })
    return true
  }

  /**
   * What a caller is told of a job; nothing if there is none.
   *
   * @throws {CornelgaugeError} `store-unavailable` if neither the owner nor the store can tell
   */
  async phaseOf (id: JobId): Promise<JobPhase | undefined> {
    const { host } = this.#owned
    const known = host === undefined ? (await this.#askOwner<'phase'>({ kind: 'phase', id }))?.phase : host.phaseOf(id)
    if (known !== undefined) return known
    const stored = await this.#fromStore(() => this.#jobs.phaseOf(id))
    return stored === 'unknown' ? undefined : stored
  }

  /**
   * Jobs of a queue of which nothing has started.
   *
   * @throws {CornelgaugeError} `no-owner` if the owner can't be asked
   */
  async queuedIn (queue: QueueName): Promise<number> {
    if (this.#owned.host !== undefined) return this.#owned.host.queuedIn(queue)
    const answer = await this.#askOwner<'queued'>({ kind: 'queued', queue })
    if (answer === undefined) throw new CornelgaugeError('no-owner')
    return answer.count
  }

  /** The store hasn't answered this VM for a while. */
  get #isStoreSilent (): boolean {
    return this.#store.age > STORE_SILENT_MILLISECONDS
  }

  /** Stores a job, by way of another VM where the store doesn't serve this one. */
  async #accept (draft: JobDraft, deadline: number): Promise<Job> {
    const helper = this.#leadership.helper
    try {
      if (this.#isStoreSilent) throw new CornelgaugeError('overloaded', { detail: 'The store doesn\'t answer this VM' })
      return await this.#storeJob(draft, deadline)
    } catch (thrown) {
      if (helper === undefined) throw thrown
      return await this.#relay(helper.address, draft, deadline, asFailure(thrown).code === 'overloaded')
    }
  }

  #storeJob (draft: JobDraft, deadline: number): Promise<Job> {
    return this.#jobs.accept(draft, () => this.#leadership.owner, owner => this.#leadership.follow(owner), deadline)
  }

  /** A relay without an answer may have stored the job: only the store can tell. Nor is it settled if this VM's own tries aren't. */
  async #relay (address: string, draft: JobDraft, deadline: number, isSettled: boolean): Promise<Job> {
    try {
      return (await this.#peers.ask<'accept'>(address, { kind: 'accept', draft }, Math.min(RELAY_MILLISECONDS, deadline - performance.now()))).job
    } catch (thrown) {
      const failure = asFailure(thrown)
      this.#options.emit('peer-call-failed', { details: { address, kind: 'accept', failure: failure.code } })
      if (isSettled && (failure.code === 'overloaded' || failure.members.sent === false)) throw new CornelgaugeError('overloaded', { detail: 'The store refused this VM, and no other VM could store the job' })
      throw new CornelgaugeError('outcome-unknown')
    }
  }

  #hostOrFail (): PlannerHost {
    if (this.#owned.host === undefined) throw new CornelgaugeError('not-owner')
    return this.#owned.host
  }

  #configure (configuration: Configuration): void {
    this.#options.emit('configuration-in-force', { details: { version: configuration.version, queues: configuration.queues.length } })
    this.#owned.host?.configure(configuration)
  }

  /** Tells the owner what was stored; it would learn it from the store too, a little later. */
  #tellOwner (question: Extract<PeerQuestion, { kind: 'job' | 'cancel' }>): void {
    const { host } = this.#owned
    if (host !== undefined) {
      if (question.kind === 'job') host.submit(question.job)
      else host.cancel(question.id)
      return
    }
    this.#background(this.#askOwner(question).then(() => {}))
  }

  async #askOwner<Kind extends PeerAnswer['kind']> (question: PeerQuestion): Promise<Extract<PeerAnswer, { kind: Kind }> | undefined> {
    const { emit } = this.#options
    for (let attempt = 0; attempt < 2; attempt += 1) {
      const owner = this.#leadership.owner
      if (owner === undefined || owner.vm === this.#options.vm) return undefined
      try {
        return await this.#peers.ask<Kind>(owner.address, question, OWNER_CALL_MILLISECONDS)
      } catch (thrown) {
        emit('peer-call-failed', { details: { address: owner.address, kind: question.kind, failure: asFailure(thrown).code } })
        if (this.#leadership.owner === owner) return undefined
      }
    }
    return undefined
  }

  async #fromStore<Value> (read: () => Promise<Value>): Promise<Value> {
    try {
      return await read()
    } catch (thrown) {
      throw new CornelgaugeError('store-unavailable', { detail: 'Neither the owner nor the store could be asked', cause: thrown })
    }
  }

  /** Runs something that nobody waits for; what it throws is a fault of the program and ends the process. */
  #background (work: Promise<void>): void {
    work.catch(thrown => {
      this.#options.emit('entry-failed', { details: { failure: asFailure(thrown).message } })
      setImmediate(() => { throw thrown })
    })
  }
}
