/**
 * The planner on the VM that owns it: loaded from the store, kept up to date from the
 * tables of jobs, cancellations and registered servers, and stopped when another VM
 * becomes the owner.
 */
import { pause, systemClock } from '@cornelgauge/coordination'
import { asFailure, type CornelgaugeError } from '@cornelgauge/model'
import { jobId, type Configuration } from '@cornelgauge/jobs'
import type { RowSnapshot, RowStore } from '@cornelgauge/ports'
import type { EmitEvent } from '@cornelgauge/telemetry'
import { decodeJob } from './job-record.js'
import type { JobStore, StoredJobs } from './job-store.js'
import type { EvacuationOrders } from './evacuation-orders.js'
import { CONFIRM_INTERVAL_MILLISECONDS, REGISTRY_PAUSE_MILLISECONDS } from './limits.js'
import type { OwnerRecord } from './owner-record.js'
import { PlannerHost } from './planner-host.js'
import type { PlatformView } from './platform-view.js'
import { recordedPeriodIn, type RecordedPeriod } from './recorded-starts.js'
import { RegistryReader } from './registry-reader.js'
import { CANCELS_TABLE, JOBS_TABLE, OWNER_KEY, OWNER_TABLE } from './tables.js'
import { readTable, type TableReadOptions } from './table-reader.js'
import { TableFollower } from './table-follower.js'

/** Options of an owned planner. */
export interface OwnedPlannerOptions {
  readonly store: RowStore
  readonly jobs: JobStore
  readonly platform: PlatformView
  readonly emit: EmitEvent
  readonly configuration: () => Configuration | undefined
  /** Absent if there are no evacuations. */
  readonly evacuations?: EvacuationOrders
  /** True while this VM isn't stopping and knows of no newer owner than this one. */
  readonly isCurrent: (owner: OwnerRecord) => boolean
  /** Milliseconds since a majority of peers last confirmed this owner. */
  readonly peerConfirmationAge: () => number
  /** Called when another VM has become the owner of the planner. */
  readonly onFenced: () => void
  /** Runs work that nobody awaits. */
  readonly runInBackground: (work: Promise<void>) => void
}

/** The state with which a planner starts. */
interface LoadedState {
  readonly stored: StoredJobs
  readonly registry: RowSnapshot
  readonly recordedPeriod: RecordedPeriod | undefined
  /** Time on the steady clock at which the ownership was confirmed after all else had been read. */
  readonly confirmedAt: number
}

/**
 * Runs the planner from the claim until it is released.
 *
 * @example
 * const owned = new OwnedPlanner(options)
 * await owned.takeOver(owner)
 * await owned.release()
 */
export class OwnedPlanner {
  readonly #options: OwnedPlannerOptions
  readonly #registry: RegistryReader
  #host: PlannerHost | undefined
  #stoppingHost = new AbortController()
  /** Time on the steady clock when the store last confirmed the ownership. */
  #confirmedAt = -Infinity

  constructor (options: OwnedPlannerOptions) {
    this.#options = options
    this.#registry = new RegistryReader(options.platform, options.emit)
  }

  /** The planner's host, while this VM owns the planner and has loaded its state. */
  get host (): PlannerHost | undefined {
    return this.#host
  }

  /** Loads and starts the planner after a claim. Loading ends early when another VM becomes the owner or the planner is released; the signal aborts when the ownership ends. */
  async takeOver (owner: OwnerRecord, ownership?: AbortSignal): Promise<void> {
    await this.release()
    this.#stoppingHost = new AbortController()
    const signal = ownership === undefined ? this.#stoppingHost.signal : AbortSignal.any([this.#stoppingHost.signal, ownership])
    const { store, platform, emit, configuration, evacuations, isCurrent, peerConfirmationAge: followedAge } = this.#options
    const started = performance.now()
    const onPageFailure = (failure: CornelgaugeError): boolean => {
      emit('owner-not-read', { details: { failure: failure.code } })
      return isCurrent(owner)
    }
    const reading = { isWanted: () => isCurrent(owner), signal, onPageFailure }
    const loaded = await this.#load(owner, reading)
    if (loaded === undefined || signal.aborted || !isCurrent(owner)) return
    const { stored, registry, recordedPeriod, confirmedAt } = loaded
    const host = new PlannerHost({
      owner,
      stored,
      store,
      readJob: id => this.#options.jobs.read(id),
      servers: platform.servers,
      advise: platform.advise,
      bounds: platform.bounds,
      areDomainsKnown: () => evacuations?.mayStart !== false,
      emit,
      recordedPeriod,
      confirmedAge: () => Math.min(performance.now() - this.#confirmedAt, followedAge()),
      onFenced: () => this.#handleFenced(host)
    })
    this.#confirmedAt = confirmedAt
    this.#host = host
    const currentConfiguration = configuration()
    if (currentConfiguration !== undefined) host.configure(currentConfiguration)
    host.updateRegistry(this.#registry.read(new Map(registry.rows.map(row => [row.key, row.value]))))
    if (evacuations?.failureDomains !== undefined) host.evacuate(evacuations.failureDomains)
    this.#follow(host, stored.jobsVersion, stored.cancelsVersion, registry)
    emit('planner-started', { details: { epoch: owner.epoch, jobs: stored.jobs.length, waiting: stored.waiting.length, damaged: stored.damaged.length, servers: registry.rows.length, milliseconds: Math.round(performance.now() - started) } })
    for (const record of stored.damaged) emit('record-unreadable', { details: { record } })
  }

  /** Stops scheduling immediately and stores the progress that isn't stored yet. */
  async release (): Promise<void> {
    const host = this.#host
    this.#host = undefined
    this.#stoppingHost.abort()
    await host?.stop()
  }

  /** Stops the planner without storing anything, as if the VM had been killed. */
  abandon (): void {
    this.#stoppingHost.abort()
    this.#host?.abandon()
    this.#host = undefined
  }

  /** Reads the stored state, and then whether it is still this VM's; undefined if the ownership is lost. */
  async #load (owner: OwnerRecord, reading: TableReadOptions): Promise<LoadedState | undefined> {
    const { store, jobs, platform, emit, onFenced } = this.#options
    try {
      const stored = await jobs.load(reading)
      const registry = await readTable(store, platform.registryTable, reading)
      const confirmedAt = performance.now()
      const { rows } = await readTable(store, OWNER_TABLE, reading)
      if (rows.find(row => row.key === OWNER_KEY)?.version === owner.version) return { stored, registry, recordedPeriod: recordedPeriodIn(rows), confirmedAt }
      emit('planner-fenced', { details: { epoch: owner.epoch } })
      onFenced()
      return undefined
    } catch (thrown) {
      const failure = asFailure(thrown)
      if (failure.code !== 'not-owner') throw failure
      emit('owner-not-read', { details: { failure: failure.code } })
      return undefined
    }
  }

  #follow (host: PlannerHost, jobsVersion: number, cancelsVersion: number, registry: RowSnapshot): void {
    const { store, platform, emit, runInBackground: background } = this.#options
    const { signal } = this.#stoppingHost
    const onFailure = (table: string) => (failure: CornelgaugeError): void => { emit('feed-failed', { details: { table, failure: failure.code } }) }
    const jobs = new TableFollower(store, {
      table: JOBS_TABLE,
      initialSnapshot: { rows: [], version: jobsVersion },
      isTransient: true,
      onFailure: onFailure(JOBS_TABLE),
      onRows: (rows, _readAt, changed) => {
        for (const key of changed) {
          const value = rows.get(key)
          if (value !== undefined) this.#submitStored(host, key, value)
        }
      }
    })
    const cancellations = new TableFollower(store, {
      table: CANCELS_TABLE,
      initialSnapshot: { rows: [], version: cancelsVersion },
      isTransient: true,
      onFailure: onFailure(CANCELS_TABLE),
      onRows: (rows, _readAt, changed) => {
        for (const key of changed) if (rows.has(key)) host.cancel(jobId(key))
      }
    })
    const servers = new TableFollower(store, {
      table: platform.registryTable,
      initialSnapshot: registry,
      pauseMilliseconds: REGISTRY_PAUSE_MILLISECONDS,
      onFailure: onFailure(platform.registryTable),
      onRows: rows => host.updateRegistry(this.#registry.read(rows))
    })
    for (const follower of [jobs, cancellations, servers]) background(follower.run(signal))
    background(this.#confirmPeriodically(host, signal))
  }

  #submitStored (host: PlannerHost, key: string, value: Parameters<typeof decodeJob>[1]): void {
    try {
      host.submit(decodeJob(key, value))
    } catch (thrown) {
      this.#options.emit('record-unreadable', { details: { record: `${key}: ${asFailure(thrown).message}` } })
    }
  }

  /** Confirms periodically with the store that this VM still owns the planner. */
  async #confirmPeriodically (host: PlannerHost, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const startedAt = performance.now()
      if (await host.confirmOwnership()) this.#confirmedAt = startedAt
      await pause(systemClock, CONFIRM_INTERVAL_MILLISECONDS, signal)
    }
  }

  #handleFenced (host: PlannerHost): void {
    if (this.#host !== host) return
    this.#options.onFenced()
    this.#options.runInBackground(this.release())
  }
}
