/** The owner of the planner: one row of the store, written only on condition that its version hasn't changed since it was read. */
import { randomUUID } from 'node:crypto'
import { asFailure, CornelgaugeError, epoch, type Epoch, type VmName } from '@cornelgauge/model'
import type { RowStore, RowValue, StoredRow } from '@cornelgauge/ports'
import { isRefusal } from './store-refusal.js'
import { OWNER_KEY, OWNER_TABLE } from './tables.js'

/** The stored owner. */
export interface OwnerRecord {
  readonly vm: VmName
  /** `ip:port` of the inner protocol. */
  readonly address: string
  readonly epoch: Epoch
  /** Unique id of the claim; distinguishes the claims of a VM that restarts. */
  readonly claim: string
  /**
   * First epoch of an unbroken chain of owners up to this one that store all rows of backend servers before they use any, and
   * record their starts; undefined in rows of earlier releases.
   */
  readonly recordedSince?: Epoch
  /** Version of the row. */
  readonly version: number
}

/** Epoch and row version before the first claim. */
export const NO_OWNER: Pick<OwnerRecord, 'epoch' | 'version'> = { epoch: epoch(0), version: 0 }

/**
 * Reads the owner.
 *
 * @throws {CornelgaugeError} `record-damaged`, or the store's failure
 * @example
 * const owner = await readOwner(store)
 */
export async function readOwner (store: RowStore): Promise<OwnerRecord | undefined> {
  const row = await store.read(OWNER_TABLE, OWNER_KEY)
  return row === undefined ? undefined : decodeOwner(row)
}

/**
 * Claims ownership from the stored owner. After a claim without an answer, the row is read
 * back to learn the outcome; a delayed claim can't replace one that was stored before it.
 * `recordedSince` of the known row is carried over, so it must be of the version that is given.
 *
 * @returns the new owner, which is another VM if its claim came first
 * @throws {CornelgaugeError} the store's failure; the claim may then still take effect
 * @example
 * const owner = await claimOwnership(store, known, { vm, address })
 */
export async function claimOwnership (store: RowStore, known: Pick<OwnerRecord, 'epoch' | 'version' | 'recordedSince'>, self: Pick<OwnerRecord, 'vm' | 'address'>): Promise<OwnerRecord> {
  const claim = randomUUID()
  const next = epoch(known.epoch + 1)
  const recordedSince = known.recordedSince ?? next
  const value: RowValue = { vm: self.vm, address: self.address, epoch: next, claim, recordedSince }
  try {
    const outcome = await store.write({
      conditions: [{ table: OWNER_TABLE, key: OWNER_KEY, version: known.version }],
      puts: [{ table: OWNER_TABLE, key: OWNER_KEY, value }]
    })
    if (outcome.type === 'written') return { vm: self.vm, address: self.address, epoch: next, claim, recordedSince, version: outcome.version }
  } catch (thrown) {
    const failure = asFailure(thrown)
    if (isRefusal(failure)) throw failure
    const owner = await readOwner(store)
    if (owner === undefined || owner.version === known.version) throw failure
    return owner
  }
  const owner = await readOwner(store)
  if (owner === undefined) throw new CornelgaugeError('conflict', { detail: 'The owner row is gone' })
  return owner
}

/**
 * Decodes the owner from its row. A `recordedSince` that can't be read counts as none.
 *
 * @throws {CornelgaugeError} `record-damaged`
 * @example
 * const owner = decodeOwner(row)
 */
export function decodeOwner ({ value, version }: StoredRow): OwnerRecord {
  const { vm, address, epoch: epochNumber, claim, recordedSince } = value as Partial<Record<keyof OwnerRecord, unknown>>
  if (typeof vm === 'string' && typeof address === 'string' && isEpochNumber(epochNumber) && typeof claim === 'string') {
    const isChained = isEpochNumber(recordedSince) && recordedSince <= epochNumber
    return { vm: vm as VmName, address, epoch: epoch(epochNumber), claim, ...(isChained ? { recordedSince: epoch(recordedSince) } : {}), version }
  }
  throw new CornelgaugeError('record-damaged', { detail: 'The owner row can\'t be read' })
}

/**
 * Checks that the owner row still has the version of an owner's claim.
 *
 * @throws {CornelgaugeError} `stale-epoch`
 * @example
 * checkOwner(owner, outcome.rows.find(row => row.table === OWNER_TABLE)?.version)
 */
export function checkOwner (owner: Pick<OwnerRecord, 'epoch' | 'version'>, version: number | undefined): void {
  if (version !== owner.version) throw new CornelgaugeError('stale-epoch', { detail: `Another VM owns the planner since epoch ${owner.epoch}` })
}

/**
 * True for an epoch that a double represents exactly, also after it is incremented.
 *
 * @example
 * isEpochNumber(row.value.epoch)
 */
export function isEpochNumber (value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0
}
