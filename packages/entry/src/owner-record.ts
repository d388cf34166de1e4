/** Who owns the planner: one row of the store, changed only under the condition that it is as it was read. */
import { randomUUID } from 'node:crypto'
import { asFailure, CornelgaugeError, epoch, type Epoch, type VmName } from '@cornelgauge/model'
import type { RowStore, RowValue, StoredRow } from '@cornelgauge/ports'
import { OWNER_KEY, OWNER_TABLE } from './tables.js'

/** The owner as stored. */
export interface OwnerRecord {
  readonly vm: VmName
  /** `ip:port` of the inner protocol. */
  readonly address: string
  readonly epoch: Epoch
  /** One claim; a process that restarts makes another. */
  readonly claim: string
  /** Version of the row. */
  readonly version: number
}

/** Nobody has claimed yet. */
export const NO_OWNER: Pick<OwnerRecord, 'epoch' | 'version'> = { epoch: epoch(0), version: 0 }

/**
 * Reads the owner.
 *
 * @throws {CornelgaugeError} `record-damaged`, or as the store fails
 * @example
 * const owner = await readOwner(store)
 */
export async function readOwner (store: RowStore): Promise<OwnerRecord | undefined> {
  const row = await store.read(OWNER_TABLE, OWNER_KEY)
  return row === undefined ? undefined : decodeOwner(row)
}

/**
 * Claims ownership from whoever is stored. A claim without an answer is settled by
 * reading back; it can't take effect after another's.
 *
 * @returns the new owner, which is another VM if that came first
 * @throws {CornelgaugeError} as the store fails; the claim may then still take effect
 * @example
 * const owner = await claimOwnership(store, known, { vm, address })
 */
export async function claimOwnership (store: RowStore, known: Pick<OwnerRecord, 'epoch' | 'version'>, self: Pick<OwnerRecord, 'vm' | 'address'>): Promise<OwnerRecord> {
  const claim = randomUUID()
  const next = epoch(known.epoch + 1)
  const value: RowValue = { ...self, epoch: next, claim }
  try {
    const outcome = await store.write({
      conditions: [{ table: OWNER_TABLE, key: OWNER_KEY, version: known.version }],
      puts: [{ table: OWNER_TABLE, key: OWNER_KEY, value }]
    })
    if (outcome.type === 'written') return { ...self, epoch: next, claim, version: outcome.version }
  } catch (thrown) {
    const failure = asFailure(thrown)
    if (failure.code === 'overloaded') throw failure
    const owner = await readOwner(store)
    if (owner === undefined || owner.version === known.version) throw failure
    return owner
  }
  const owner = await readOwner(store)
  if (owner === undefined) throw new CornelgaugeError('conflict', { detail: 'The owner row is gone' })
  return owner
}

/**
 * The owner in a row.
 *
 * @throws {CornelgaugeError} `record-damaged`
 * @example
 * const owner = decodeOwner(row)
 */
export function decodeOwner ({ value, version }: StoredRow): OwnerRecord {
  const { vm, address, epoch: number, claim } = value as Partial<Record<keyof OwnerRecord, unknown>>
  if (typeof vm === 'string' && typeof address === 'string' && typeof number === 'number' && typeof claim === 'string') {
    return { vm: vm as VmName, address, epoch: epoch(number), claim, version }
  }
  throw new CornelgaugeError('record-damaged', { detail: 'The owner row can\'t be read' })
}
