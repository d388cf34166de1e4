/**
 * Stores which backend servers may have runs, for the next owner: the registry drops the entry
 * of one that is cut off from the store, while its runs go on until their leases expire. Of those that
 * an owner hasn't used, it also stores when nothing of earlier owners runs there any more.
 */
import { serverId, type EarlierRuns, type ServerId, type UnrecordedStarts } from '@cornelgauge/jobs'
import { asFailure, CornelgaugeError, digestOf, epoch, type Epoch } from '@cornelgauge/model'
import type { RowStore } from '@cornelgauge/ports'
import { SERVER_RECORD_ROWS } from './limits.js'
import type { OwnerRecord } from './owner-record.js'
import { decodeServerRow, encodeServerRow, type ServerRow, type StoredBounds } from './server-row.js'
import { isRefusal } from './store-refusal.js'
import { readTable, type StoreClock, type TableReadOptions } from './table-reader.js'
import { OWNER_KEY, OWNER_TABLE, SERVERS_TABLE } from './tables.js'

/** The backend servers that the last owner recorded. */
export interface StoredServers {
  readonly ids: ReadonlySet<ServerId>
  /** Rows by key, for the next write. */
  readonly rows: ReadonlyMap<string, ServerRow>
  /** Keys of rows that can't be decoded, each with the reason; the next write replaces them. */
  readonly damaged: readonly string[]
  readonly clock?: StoreClock
}

/** An owner, as far as it shows which rows hold for it. */
export type ChainedOwner = Pick<OwnerRecord, 'epoch' | 'recordedSince'>

/** A row as this owner knows it. */
interface KnownRow {
  readonly version: number
  /** Its content; undefined if this owner hasn't stored it yet, or a write of it wasn't answered. */
  readonly content: string | undefined
  /** Backend servers that it may list as unreached by this owner, also by a write that is carried out later. */
  readonly unreached: ReadonlySet<ServerId>
}

/** A row to be written. */
interface WantedRow {
  readonly ids: readonly string[]
  readonly bounds: ReadonlyMap<string, StoredBounds>
  readonly settled: { readonly upTo: Epoch, readonly ids: Set<string> }
}

/** Backend servers whose runs of the owners up to one are all recorded. */
export type SettledIds = Pick<UnrecordedStarts, 'upTo' | 'settledServers'>

const NONE_SETTLED: SettledIds = { upTo: epoch(0), settledServers: new Set() }
const ABSENT_ROW: KnownRow = { version: 0, content: undefined, unreached: new Set() }
const ROW_KEYS = Array.from({ length: SERVER_RECORD_ROWS }, (_, index) => String(index))

/**
 * Reads the backend servers that the last owner recorded; none if it was of an older release.
 *
 * @throws {CornelgaugeError} as `readTable`
 * @example
 * const { ids } = await readServers(store)
 */
export async function readServers (store: RowStore, options: TableReadOptions = {}): Promise<StoredServers> {
  const { rows, clock } = await readTable(store, SERVERS_TABLE, options)
  const decoded = new Map(rows.map(row => [row.key, decodeServerRow(row)]))
  return {
    ids: new Set([...decoded.values()].flatMap(({ ids = [] }) => ids.map(serverId))),
    rows: decoded,
    damaged: [...decoded].filter(([, { ids }]) => ids === undefined).map(([key]) => `${SERVERS_TABLE} ${key}: The record of backend servers can't be read`),
    ...(clock === undefined ? {} : { clock })
  }
}

/**
 * Returns what the rows say of runs of earlier owners, on our clock. A backend server that the writer of its row may have
 * used has that owner as the last one, and an infinite `until`: its end isn't stored. Nothing is returned for one that
 * another owner may have used since.
 *
 * @example
 * planner.inheritServers(stored.ids, earlierRunsOf(stored, owner))
 */
export function earlierRunsOf ({ rows, clock }: StoredServers, owner: ChainedOwner): ReadonlyMap<ServerId, EarlierRuns> {
  const runs = new Map<ServerId, EarlierRuns>()
  for (const row of rows.values()) {
    const lastEpoch = lastUserOf(row, owner)
    if (lastEpoch !== undefined) for (const id of row.ids ?? []) runs.set(serverId(id), { until: Infinity, lastEpoch })
  }
  for (const [id, { until, lastEpoch }] of boundsFor(rows, owner)) {
    runs.set(serverId(id), { until: clock === undefined ? Infinity : clock.receivedAt + until - clock.milliseconds, lastEpoch })
  }
  return runs
}

/**
 * Returns the backend servers on which all runs of the owners up to one are recorded.
 *
 * @example
 * settledServersIn(stored, period.unrecorded.upTo)
 */
export function settledServersIn ({ rows }: StoredServers, upTo: Epoch): ReadonlySet<ServerId> {
  return idsOf([...rows.values()].flatMap(({ settled }) => settled !== undefined && settled.upTo >= upTo ? [...settled.ids] : []))
}

/** Returns the writer of a row if it and all owners between it and this one store their rows before they use a backend server. */
function lastUserOf ({ by }: ServerRow, { epoch, recordedSince = epoch }: ChainedOwner): Epoch | undefined {
  return by !== undefined && by >= recordedSince && by < epoch ? by : undefined
}

/**
 * Returns the stored bounds that hold for an owner, on the store's clock: those of an owner since which none has used the
 * backend servers. Without a chain of owners that record them first, this is only the owner directly before.
 */
function boundsFor (rows: StoredServers['rows'], owner: ChainedOwner): ReadonlyMap<string, StoredBounds> {
  return new Map([...rows.values()].flatMap(row => {
    const lastUser = lastUserOf(row, owner) ?? owner.epoch - 1
    return row.unreached?.under === lastUser ? [...row.unreached.bounds] : []
  }))
}

/**
 * Writes the backend servers that may have runs, on condition that this VM still owns the planner
 * and that the rows are as its last write left them. The first write stores all rows, with this owner as the writer: from
 * then on, the next owner relies on it.
 *
 * @example
 * const record = new ServerRecord(store, owner, await readServers(store))
 * await record.write(ids, planner.unreachedServers(ids))
 */
export class ServerRecord {
  readonly #store: RowStore
  readonly #owner: OwnerRecord
  readonly #clock: StoreClock | undefined
  /** Bounds of earlier owners, which are passed on as they are. */
  readonly #inherited: ReadonlyMap<string, StoredBounds>
  readonly #rows: Map<string, KnownRow>
  #hasStored = false
  /** Arguments of the last write, if the rows are as it left them. */
  #stored: { readonly ids: ReadonlySet<ServerId>, readonly unreached: ReadonlyMap<ServerId, EarlierRuns>, readonly settled: SettledIds } | undefined

  constructor (store: RowStore, owner: OwnerRecord, { rows, clock }: StoredServers) {
    this.#store = store
    this.#owner = owner
    this.#clock = clock
    this.#inherited = boundsFor(rows, owner)
    this.#rows = new Map([...rows].map(([key, row]) => [key, { version: row.version, content: undefined, unreached: idsOf(this.#unreachedIn(row)) }]))
  }

  /** True once this owner has stored all rows. Before, it must use no backend server. */
  get hasStored (): boolean {
    return this.#hasStored
  }

  /** Backend servers that the record lists as unreached by this owner, or may list. They must not be used. */
  get unreachedServers (): ReadonlySet<ServerId> {
    return new Set([...this.#rows.values()].flatMap(({ unreached }) => [...unreached]))
  }

  /**
   * Stores the rows that differ, in one transaction; the first time, all of them. After a write that wasn't answered or found
   * other versions, the next call writes them again. From its call on, `unreachedServers` includes those given here. Backend
   * servers that are settled stay so, and need not be taken out of rows that may still be written.
   *
   * @throws {CornelgaugeError} `stale-epoch` if another VM owns the planner, or the store's failure
   */
  async write (ids: ReadonlySet<ServerId>, unreached: ReadonlyMap<ServerId, EarlierRuns> = new Map(), settled = NONE_SETTLED): Promise<void> {
    const recorded = this.#clock === undefined ? new Map() : unreached
    if (this.#stored !== undefined && areEqual(ids, this.#stored.ids) && areSameBounds(recorded, this.#stored.unreached) && areEqual(settled.settledServers, this.#stored.settled.settledServers)) return
    const rows = this.#rowsOf(ids, recorded, settled)
    const wanted = [...rows].filter(([key, row]) => contentOf(row) !== this.#row(key).content)
    this.#stored = wanted.length === 0 ? { ids, unreached: recorded, settled } : undefined
    if (wanted.length === 0) return
    const conditions = wanted.map(([key]) => ({ table: SERVERS_TABLE, key, version: this.#row(key).version }))
    const before = new Map(wanted.map(([key]) => [key, this.#row(key)]))
    for (const [key, { bounds }] of wanted) this.#rows.set(key, uncertain(this.#row(key), bounds.keys()))
    const outcome = await this.#store.write({
      conditions: [{ table: OWNER_TABLE, key: OWNER_KEY, version: this.#owner.version }, ...conditions],
      puts: wanted.map(([key, row]) => ({ table: SERVERS_TABLE, key, value: encodeServerRow(row.ids, this.#owner.epoch, row.bounds, row.settled) }))
    }).catch(thrown => {
      // A write that was refused has no effect, so the backend servers that it lists may be used.
      if (isRefusal(asFailure(thrown))) for (const [key, row] of before) this.#rows.set(key, row)
      throw thrown
    })
    if (outcome.type === 'written') {
      for (const [key, row] of wanted) this.#rows.set(key, { version: outcome.version, content: contentOf(row), unreached: idsOf(row.bounds.keys()) })
      this.#stored = { ids, unreached: recorded, settled }
      this.#hasStored = true
      return
    }
    this.#checkOwner(outcome.rows.find(row => row.table === OWNER_TABLE)?.version)
    const current = new Map(outcome.rows.filter(row => row.table === SERVERS_TABLE).map(row => [row.key, decodeServerRow(row)]))
    // An earlier write of a row may still be carried out until a later one is stored.
    for (const [key] of wanted) this.#rows.set(key, { ...uncertain(this.#row(key), this.#unreachedIn(current.get(key))), version: current.get(key)?.version ?? 0 })
  }

  #row (key: string): KnownRow {
    return this.#rows.get(key) ?? ABSENT_ROW
  }

  /** What a row lists as unreached by this owner; what it lists for others has no effect on the next. */
  #unreachedIn (row: ServerRow | undefined): Iterable<string> {
    return row?.unreached?.under === this.#owner.epoch ? row.unreached.bounds.keys() : []
  }

  /** Content of each row, also of those without any ids. */
  #rowsOf (ids: ReadonlySet<ServerId>, unreached: ReadonlyMap<ServerId, EarlierRuns>, { upTo, settledServers }: SettledIds): ReadonlyMap<string, WantedRow> {
    const rows = new Map([...ROW_KEYS, ...this.#rows.keys()].map(key => [key, { ids: [] as string[], bounds: new Map<string, StoredBounds>(), settled: { upTo, ids: new Set<string>() } }]))
    for (const id of [...ids].sort()) {
      const row = rows.get(String(Number.parseInt(digestOf(id).slice(0, 8), 16) % SERVER_RECORD_ROWS))!
      row.ids.push(id)
      if (settledServers.has(id)) row.settled.ids.add(id)
      const bounds = unreached.get(id)
      if (bounds !== undefined) row.bounds.set(id, this.#storedBounds(id, bounds))
    }
    return rows
  }

  /** Converts bounds to the store's clock, which is read as whole milliseconds, so that they are no earlier there than on ours. */
  #storedBounds (id: ServerId, { until, lastEpoch }: EarlierRuns): StoredBounds {
    const { milliseconds, sentAt } = this.#clock!
    return { until: Math.min(Math.ceil(milliseconds + 1 + until - sentAt), this.#inherited.get(id)?.until ?? Infinity), lastEpoch }
  }

  #checkOwner (version: number | undefined): void {
    if (version === this.#owner.version) return
    throw new CornelgaugeError('stale-epoch', { detail: `Another VM owns the planner since epoch ${this.#owner.epoch}` })
  }
}

/** A row that may hold other content than is known, and may list more backend servers as unreached. */
function uncertain ({ version, unreached }: KnownRow, more: Iterable<string>): KnownRow {
  return { version, content: undefined, unreached: new Set([...unreached, ...idsOf(more)]) }
}

function idsOf (ids: Iterable<string>): ReadonlySet<ServerId> {
  return new Set([...ids].map(serverId))
}

function contentOf ({ ids, bounds, settled }: WantedRow): string {
  return JSON.stringify([ids, [...bounds], settled.upTo, [...settled.ids]])
}

function areEqual (left: ReadonlySet<ServerId>, right: ReadonlySet<ServerId>): boolean {
  return left.size === right.size && [...left].every(id => right.has(id))
}

function areSameBounds (left: ReadonlyMap<ServerId, EarlierRuns>, right: ReadonlyMap<ServerId, EarlierRuns>): boolean {
  return left.size === right.size && [...left].every(([id, { until, lastEpoch }]) => right.get(id)?.until === until && right.get(id)?.lastEpoch === lastEpoch)
}
