/**
 * Stores which backend servers may have runs, for the next owner: the registry drops the entry
 * of one that is cut off from the store, while its runs go on until their leases expire.
 */
import { serverId, type ServerId } from '@cornelgauge/jobs'
import { CornelgaugeError, digestOf } from '@cornelgauge/model'
import type { RowStore, StoredRow } from '@cornelgauge/ports'
import { SERVER_RECORD_ROWS } from './limits.js'
import type { OwnerRecord } from './owner-record.js'
import { readTable, type TableReadOptions } from './table-reader.js'
import { OWNER_KEY, OWNER_TABLE, SERVERS_TABLE } from './tables.js'

/** The backend servers that the last owner recorded. */
export interface StoredServers {
  readonly ids: ReadonlySet<ServerId>
  /** Rows by key, for the next write. */
  readonly rows: ReadonlyMap<string, ServerRow>
  /** Keys of rows that can't be decoded, each with the reason; the next write replaces them. */
  readonly damaged: readonly string[]
}

/** One row, as far as it is known. */
export interface ServerRow {
  readonly version: number
  /** Sorted ids; undefined if the row is damaged or a write of it wasn't answered. */
  readonly ids: readonly string[] | undefined
}

const ABSENT_ROW: ServerRow = { version: 0, ids: [] }
const ROW_KEYS = Array.from({ length: SERVER_RECORD_ROWS }, (_, index) => String(index))

/**
 * Reads the backend servers that the last owner recorded; none if it was of an older release.
 *
 * @throws {CornelgaugeError} as `readTable`
 * @example
 * const { ids } = await readServers(store)
 */
export async function readServers (store: RowStore, options: TableReadOptions = {}): Promise<StoredServers> {
  const { rows } = await readTable(store, SERVERS_TABLE, options)
  const decoded = new Map(rows.map(row => [row.key, decodeRow(row)]))
  return {
    ids: new Set([...decoded.values()].flatMap(({ ids = [] }) => ids.map(serverId))),
    rows: decoded,
    damaged: [...decoded].filter(([, { ids }]) => ids === undefined).map(([key]) => `${SERVERS_TABLE} ${key}: The record of backend servers can't be read`)
  }
}

/**
 * Writes the backend servers that may have runs, on condition that this VM still owns the planner
 * and that the rows are as its last write left them.
 *
 * @example
 * const record = new ServerRecord(store, owner, await readServers(store))
 * await record.write(planner.serversToRecover(now))
 */
export class ServerRecord {
  readonly #store: RowStore
  readonly #owner: OwnerRecord
  readonly #rows: Map<string, ServerRow>
  /** Ids as stored; undefined while a row isn't known. */
  #stored: ReadonlySet<ServerId> | undefined

  constructor (store: RowStore, owner: OwnerRecord, { ids, rows, damaged }: StoredServers) {
    this.#store = store
    this.#owner = owner
    this.#rows = new Map(rows)
    this.#stored = damaged.length === 0 ? ids : undefined
  }

  /**
   * Stores the rows that differ, in one transaction. After a write that wasn't answered or found
   * other versions, the next call writes them again.
   *
   * @throws {CornelgaugeError} `stale-epoch` if another VM owns the planner, or the store's failure
   */
  async write (ids: ReadonlySet<ServerId>): Promise<void> {
    if (this.#stored !== undefined && areEqual(ids, this.#stored)) return
    const keys = new Set([...ROW_KEYS, ...this.#rows.keys()])
    const wanted = [...idsByRow(ids, keys)].filter(([key, rowIds]) => !areSameLists(rowIds, this.#row(key).ids))
    const conditions = wanted.map(([key]) => ({ table: SERVERS_TABLE, key, version: this.#row(key).version }))
    this.#stored = wanted.length === 0 ? ids : undefined
    if (wanted.length === 0) return
    for (const [key] of wanted) this.#rows.set(key, { ...this.#row(key), ids: undefined })
    const outcome = await this.#store.write({
      conditions: [{ table: OWNER_TABLE, key: OWNER_KEY, version: this.#owner.version }, ...conditions],
      puts: wanted.map(([key, rowIds]) => ({ table: SERVERS_TABLE, key, value: { ids: rowIds } }))
    })
    if (outcome.type === 'written') {
      for (const [key, rowIds] of wanted) this.#rows.set(key, { version: outcome.version, ids: rowIds })
      this.#stored = ids
      return
    }
    this.#checkOwner(outcome.rows.find(row => row.table === OWNER_TABLE)?.version)
    const current = new Map(outcome.rows.filter(row => row.table === SERVERS_TABLE).map(row => [row.key, decodeRow(row)]))
    for (const [key] of wanted) this.#rows.set(key, current.get(key) ?? ABSENT_ROW)
  }

  #row (key: string): ServerRow {
    return this.#rows.get(key) ?? ABSENT_ROW
  }

  #checkOwner (version: number | undefined): void {
    if (version === this.#owner.version) return
    throw new CornelgaugeError('stale-epoch', { detail: `Another VM owns the planner since epoch ${this.#owner.epoch}` })
  }
}

function decodeRow ({ value, version }: StoredRow): ServerRow {
  const ids: unknown = value.ids
  const isValid = Array.isArray(ids) && ids.every(id => typeof id === 'string')
  return { version, ids: isValid ? ids : undefined }
}

/** Sorted ids of each row, also of those without any. */
function idsByRow (ids: ReadonlySet<ServerId>, keys: ReadonlySet<string>): ReadonlyMap<string, readonly string[]> {
  const rows = new Map<string, string[]>([...keys].map(key => [key, []]))
  for (const id of [...ids].sort()) rows.get(String(Number.parseInt(digestOf(id).slice(0, 8), 16) % SERVER_RECORD_ROWS))!.push(id)
  return rows
}

function areEqual (left: ReadonlySet<ServerId>, right: ReadonlySet<ServerId>): boolean {
  return left.size === right.size && [...left].every(id => right.has(id))
}

function areSameLists (left: readonly string[], right: readonly string[] | undefined): boolean {
  return right !== undefined && left.length === right.length && left.every((id, index) => id === right[index])
}
