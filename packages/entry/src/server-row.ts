/** The rows that hold which backend servers may have runs. */
import { epoch, type Epoch } from '@cornelgauge/model'
import type { RowValue, StoredRow } from '@cornelgauge/ports'

/** Bounds of the runs that earlier owners may have on a backend server. */
export interface StoredBounds {
  /** When all of them have ended at the latest, on the store's clock, in whole milliseconds. */
  readonly until: number
  /** The last owner that may have started one there. */
  readonly lastEpoch: Epoch
}

/** One row, as far as it is known. */
export interface ServerRow {
  readonly version: number
  /** Sorted ids; undefined if the row is damaged. */
  readonly ids: readonly string[] | undefined
  /** Epoch of the owner that wrote it; undefined in rows of earlier releases. */
  readonly by?: Epoch
  /** Bounds for those that an owner has not reached; undefined if there are none, as in rows of earlier releases. */
  readonly unreached?: {
    /** Epoch of that owner. */
    readonly under: Epoch
    readonly bounds: ReadonlyMap<string, StoredBounds>
  }
  /** Backend servers on which all runs of the owners up to `upTo` are recorded; undefined if there are none, as in rows of earlier releases. */
  readonly settled?: {
    readonly upTo: Epoch
    readonly ids: ReadonlySet<string>
  }
}

/** Equal bounds share one entry, with the positions of their backend servers among the ids. */
type WireBounds = readonly [until: number, lastEpoch: number, positions: readonly number[]]
/** The positions of the settled backend servers among the ids. */
type WireSettled = readonly [upTo: number, positions: readonly number[]]

/**
 * Encodes a row. Earlier releases read `ids`, or `ids` and `unreached`.
 *
 * @example
 * encodeServerRow(['server-1'], owner.epoch, new Map())
 */
export function encodeServerRow (ids: readonly string[], owner: Epoch, bounds: ReadonlyMap<string, StoredBounds>, settled?: ServerRow['settled']): RowValue {
  const row = { ids, by: owner, ...(settled === undefined || settled.ids.size === 0 ? {} : { settled: [settled.upTo, positionsOf(ids, settled.ids)] }) }
  if (bounds.size === 0) return row
  const groups = new Map<string, { readonly until: number, readonly lastEpoch: Epoch, readonly positions: number[] }>()
  for (const [position, id] of ids.entries()) {
    const found = bounds.get(id)
    if (found === undefined) continue
    const key = `${found.until} ${found.lastEpoch}`
    const group = groups.get(key) ?? { ...found, positions: [] }
    group.positions.push(position)
    groups.set(key, group)
  }
  return { ...row, unreached: { under: owner, bounds: [...groups.values()].map(({ until, lastEpoch, positions }): WireBounds => [until, lastEpoch, positions]) } }
}

/**
 * Decodes a row. Bounds and a writer that can't be read count as none.
 *
 * @example
 * const { ids } = decodeServerRow(row)
 */
export function decodeServerRow ({ value, version }: StoredRow): ServerRow {
  const { ids } = value
  if (!isList(ids, isText)) return { version, ids: undefined }
  const row: ServerRow = { version, ids, ...(isWhole(value.by) ? { by: epoch(value.by) } : {}), ...settledIn(ids, value.settled) }
  const unreached = (value.unreached ?? {}) as { readonly under?: unknown, readonly bounds?: unknown }
  if (!isWhole(unreached.under) || !isList(unreached.bounds, isWireBounds)) return row
  const bounds = new Map<string, StoredBounds>()
  for (const [until, lastEpoch, positions] of unreached.bounds) {
    for (const position of positions) {
      const id = ids[position]
      if (id !== undefined) bounds.set(id, { until, lastEpoch: epoch(lastEpoch) })
    }
  }
  return { ...row, unreached: { under: epoch(unreached.under), bounds } }
}

function positionsOf (ids: readonly string[], wanted: ReadonlySet<string>): readonly number[] {
  return [...ids.entries()].filter(([, id]) => wanted.has(id)).map(([position]) => position)
}

function settledIn (ids: readonly string[], value: unknown): Pick<ServerRow, 'settled'> {
  if (!isWireSettled(value)) return {}
  const [upTo, positions] = value
  return { settled: { upTo: epoch(upTo), ids: new Set(positions.map(position => ids[position]).filter(id => id !== undefined)) } }
}

function isList<Entry> (value: unknown, isEntry: (entry: unknown) => entry is Entry): value is readonly Entry[] {
  return Array.isArray(value) && value.every(isEntry)
}

const isText = (value: unknown): value is string => typeof value === 'string'
const isWhole = (value: unknown): value is number => Number.isSafeInteger(value) && Number(value) >= 0

function isWireSettled (value: unknown): value is WireSettled {
  return Array.isArray(value) && isWhole(value[0]) && isList(value[1], isWhole)
}

function isWireBounds (value: unknown): value is WireBounds {
  return Array.isArray(value) && isWhole(value[0]) && isWhole(value[1]) && isList(value[2], isWhole)
}
