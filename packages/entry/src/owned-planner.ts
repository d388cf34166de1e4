/**
 * The planner on the VM that owns it: read from the store, fed by the tables that say
 * what is accepted, cancelled and registered, and given up when another VM owns it.
 */
import { pause, systemClock } from '@cornelgauge/coordination'
import { asFailure, type CornelgaugeError } from '@cornelgauge/model'
import { jobId, type Configuration } from '@cornelgauge/jobs'
import type { RowSnapshot, RowStore } from '@cornelgauge/ports'
import type { EmitEvent } from '@cornelgauge/telemetry'
import { decodeJob } from './job-record.js'
import type { JobStore } from './job-store.js'
import { CONFIRM_INTERVAL_MILLISECONDS, REGISTRY_PAUSE_MILLISECONDS, STORE_RETRY_MILLISECONDS } from './limits.js'
import type { OwnerRecord } from './owner-record.js'
import { PlannerHost } from './planner-host.js'
import type { PlatformView } from './platform-view.js'
import { CANCELS_TABLE, JOBS_TABLE } from './tables.js'
import { TableFollower } from './table-follower.js'

/** What an owned planner needs. */
export interface OwnedPlannerOptions {
  readonly store: RowStore
  readonly jobs: JobStore
  readonly platform: PlatformView
  readonly emit: EmitEvent
  readonly configuration: () => Configuration | undefined
  /** True while this VM goes on and knows of no newer owner than this. */
  readonly isCurrent: (owner: OwnerRecord) => boolean
  /** Milliseconds since most peers followed this owner. */
  readonly followedAge: () => number
  /** Another VM owns the planner. */
  readonly onFenced: () => void
  /** Runs something that nobody waits for. */
  readonly background: (work: Promise<void>) => void
}

/**
 * Holds the planner from the claim until it is released.
 *
 * @example
 * const owned = new OwnedPlanner(options)
 * await owned.take(owner)
 * await owned.release()
 */
export class OwnedPlanner {
  readonly #options: OwnedPlannerOptions
  #host: PlannerHost | undefined
  #hosting = new AbortController()
  /** When the store last confirmed the ownership, on the steady clock. */
  #confirmedAt = -Infinity

  constructor (options: OwnedPlannerOptions) {
    this.#options = options
  }

  /** The planner's host, while this VM owns it and has read what is stored. */
  get host (): PlannerHost | undefined {
    return this.#host
  }

  /** Takes the planner over after a claim. */
  async take (owner: OwnerRecord): Promise<void> {
    await this.release()
    const { store, jobs, platform, emit, configuration, isCurrent, followedAge } = this.#options
    const started = performance.now()
    const [stored, registry] = await this.#persist(() => isCurrent(owner), async () => await Promise.all([jobs.load(), store.readAll(platform.registryTable)]))
    if (!isCurrent(owner)) return
    const host = new PlannerHost({
      owner,
      stored,
      store,
      servers: platform.servers,
      advise: platform.advise,
      emit,
      confirmedAge: () => Math.min(performance.now() - this.#confirmedAt, followedAge()),
      onFenced: () => this.#fenced(host)
    })
    this.#confirmedAt = performance.now()
    this.#host = host
    this.#hosting = new AbortController()
    const known = configuration()
    if (known !== undefined) host.configure(known)
    host.list(platform.readRegistry(new Map(registry.rows.map(row => [row.key, row.value]))))
    this.#follow(host, stored.jobsVersion, stored.cancelsVersion, registry)
    emit('planner-started', { details: { epoch: owner.epoch, jobs: stored.jobs.length, damaged: stored.damaged.length, servers: registry.rows.length, milliseconds: Math.round(performance.now() - started) } })
    for (const record of stored.damaged) emit('record-unreadable', { details: { record } })
  }

  /** Stops deciding at once, and stores what is known. */
  async release (): Promise<void> {
    const host = this.#host
    this.#host = undefined
    this.#hosting.abort()
    await host?.stop()
  }

  /** Leaves the planner as it is, as a killed VM would. */
  abandon (): void {
    this.#hosting.abort()
    this.#host?.abandon()
    this.#host = undefined
  }

  /** Tries until it succeeds or the ownership is gone: a new owner can't begin without what is stored. */
  async #persist<Value> (isWanted: () => boolean, read: () => Promise<Value>): Promise<Value> {
    for (;;) {
      try {
        return await read()
      } catch (thrown) {
        this.#options.emit('owner-not-read', { details: { failure: asFailure(thrown).code } })
        if (!isWanted()) throw thrown
        await pause(systemClock, STORE_RETRY_MILLISECONDS)
      }
    }
  }

  #follow (host: PlannerHost, jobsVersion: number, cancelsVersion: number, registry: RowSnapshot): void {
    const { store, platform, emit, background } = this.#options
    const { signal } = this.#hosting
    const onFailure = (table: string) => (failure: CornelgaugeError): void => { emit('feed-failed', { details: { table, failure: failure.code } }) }
    const jobs = new TableFollower(store, {
      table: JOBS_TABLE,
      from: { rows: [], version: jobsVersion },
      onFailure: onFailure(JOBS_TABLE),
      onRows: (rows, _asked, changed) => {
        for (const key of changed) {
          const value = rows.get(key)
          if (value !== undefined) this.#submitStored(host, key, value)
        }
      }
    })
    const cancels = new TableFollower(store, {
      table: CANCELS_TABLE,
      from: { rows: [], version: cancelsVersion },
      onFailure: onFailure(CANCELS_TABLE),
      onRows: (_rows, _asked, changed) => changed.forEach(key => host.cancel(jobId(key)))
    })
    const servers = new TableFollower(store, {
      table: platform.registryTable,
      from: registry,
      pauseMilliseconds: REGISTRY_PAUSE_MILLISECONDS,
      onFailure: onFailure(platform.registryTable),
      onRows: rows => host.list(platform.readRegistry(rows))
    })
    for (const follower of [jobs, cancels, servers]) background(follower.run(signal))
    background(this.#confirm(host, signal))
  }

  #submitStored (host: PlannerHost, key: string, value: Parameters<typeof decodeJob>[1]): void {
    try {
      host.submit(decodeJob(key, value))
    } catch (thrown) {
      this.#options.emit('record-unreadable', { details: { record: `${key}: ${asFailure(thrown).message}` } })
    }
  }

  /** Asks the store now and then whether this VM still owns the planner. */
  async #confirm (host: PlannerHost, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const asked = performance.now()
      if (await host.confirm()) this.#confirmedAt = asked
      await pause(systemClock, CONFIRM_INTERVAL_MILLISECONDS, signal)
    }
  }

  #fenced (host: PlannerHost): void {
    if (this.#host !== host) return
    this.#options.onFenced()
    this.#options.background(this.release())
  }
}
