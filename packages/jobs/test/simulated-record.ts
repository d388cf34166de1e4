/** What a simulated owner records for the next one: which backend servers it hasn't used, and until when all starts are recorded. */
import { epoch, type Epoch } from '@cornelgauge/model'
import { ALL_SERVERS, type EarlierRuns, type Planner, type ServerId, type UnrecordedStarts } from '../src/index.js'
import type { OwnerLoop } from './owner-loop.js'
import type { PeriodRow, ServersRow, SimulatedStore, StoredBounds } from './simulated-store.js'

const RELEASE_MILLISECONDS = 1200
const RETRY_MILLISECONDS = 100
export const RECORDED_PERIOD_MILLISECONDS = 5000
const REPLACED_OWNER_START_MILLISECONDS = 1500

/**
 * Returns the bounds that the record shows to an owner, as the entry package's `earlierRunsOf` does.
 *
 * @example
 * planner.inheritServers(row.ids, earlierRunsOf(row, number))
 */
export function earlierRunsOf (row: ServersRow | undefined, number: number): ReadonlyMap<ServerId, EarlierRuns> {
  if (row === undefined || row.by >= number) return new Map()
  const runs = new Map<ServerId, EarlierRuns>(row.ids.map(id => [id, { until: Infinity, lastEpoch: epoch(row.by) }]))
  for (const [id, { until, lastEpoch }] of row.unreached) runs.set(id, { until, lastEpoch: epoch(lastEpoch) })
  return runs
}

/**
 * Returns which starts of earlier owners aren't recorded: none, some, or, if undefined, any.
 *
 * @example
 * recordedStartsOf(store.period, store.servers, number, now)
 */
export function recordedStartsOf (period: PeriodRow | undefined, row: ServersRow | undefined, number: number, now: number): 'all' | UnrecordedStarts | undefined {
  if (period === undefined || period.under >= number || now + 1 + REPLACED_OWNER_START_MILLISECONDS > period.until) return undefined
  if (period.unrecorded === undefined) return 'all'
  const { upTo, until } = period.unrecorded
  return { upTo: epoch(upTo), until, settledServers: row !== undefined && row.settled.upTo >= upTo ? row.settled.ids : new Set() }
}

/** Options of a record. */
export interface RecordOptions {
  readonly planner: Planner
  readonly epoch: Epoch
  readonly loop: OwnerLoop
  readonly store: SimulatedStore
  /** The row that this owner has found. */
  readonly inherited: ServersRow | undefined
  readonly onReleased: () => void
  readonly onFenced: () => void
}

/** Writes the record of backend servers, and holds those that it may list as unreached, as the entry package's `ServerRecorder` does. */
export class SimulatedRecord {
  readonly #options: RecordOptions
  readonly #inherited: ReadonlyMap<ServerId, StoredBounds>
  hasStored = false
  /** Backend servers that the row may list as unreached by this owner. */
  #unreached: ReadonlySet<ServerId> = new Set()
  #content = ''
  #heldCount = Infinity
  #isWriting = false
  readonly #afterWrite: (() => void)[] = []

  constructor (options: RecordOptions) {
    this.#options = options
    this.#inherited = options.inherited?.unreached ?? new Map()
    this.#hold([])
  }

  /** Writes the row if it has changed. */
  update (use: () => void = () => {}): void {
    this.#afterWrite.push(use)
    if (!this.#isWriting) this.#write()
  }

  /** Calls back once a backend server that has answered may be used, or after as long as a poll waits. */
  release (id: ServerId, use: () => void): void {
    const { planner, loop } = this.#options
    const end = loop.now + RELEASE_MILLISECONDS
    const attempt = (): void => {
      if (!planner.isWaitingForRecord(id) || loop.now >= end) return use()
      this.update(() => {
        if (planner.isWaitingForRecord(id)) loop.after(RETRY_MILLISECONDS, attempt)
        else use()
      })
    }
    if (this.#isWriting) this.#afterWrite.push(attempt)
    else attempt()
  }

  #write (): void {
    const { planner, epoch, loop, store, onFenced } = this.#options
    const ids = planner.serversToRecover(loop.now)
    const unreached = planner.unreachedServers(ids)
    this.#hold(unreached.keys())
    const settled = planner.settledServers(ids)
    const bounds = new Map([...unreached].map(([id, { until, lastEpoch }]) => [id, { until: Math.min(Math.ceil(until + 1), this.#inherited.get(id)?.until ?? Infinity), lastEpoch }] as const))
    const row: ServersRow = { by: epoch, ids: [...ids].sort(), unreached: bounds, settled: { upTo: settled?.upTo ?? 0, ids: settled?.settledServers ?? new Set() } }
    const content = JSON.stringify([row.ids, [...bounds], row.settled.upTo, [...row.settled.ids]])
    if (content === this.#content) return this.#end()
    this.#isWriting = true
    this.#content = ''
    this.#unreached = new Set([...this.#unreached, ...bounds.keys()])
    store.call(loop, epoch, () => { store.servers = row }, outcome => {
      this.#isWriting = false
      if (outcome === 'fenced') return onFenced()
      if (outcome === 'done') {
        this.hasStored = true
        this.#content = content
        this.#unreached = new Set(bounds.keys())
      }
      this.#end()
    })
  }

  #end (): void {
    const before = this.#heldCount
    if (this.#hold([]) < before) this.#options.onReleased()
    for (const use of this.#afterWrite.splice(0)) use()
  }

  #hold (more: Iterable<ServerId>): number {
    const held = this.hasStored ? new Set([...this.#unreached, ...more]) : ALL_SERVERS
    this.#options.planner.holdServers(held)
    this.#heldCount = held.size
    return held.size
  }
}
