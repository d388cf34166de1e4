/**
 * The owner row of a cell: one row of the table `cells`, which records who owns the
 * cell and where its journal begins. It is the only state that VMs have to agree on,
 * and the conditional writes of the table service provide that agreement.
 */
import { cellName, CornelgaugeError, epoch, sequenceNumber, vmName, type CellName, type Epoch, type SequenceNumber, type VmName } from '@cornelgauge/model'
import type { Condition, Json, Operation, Row, RowValue, TableService } from '@cornelgauge/ports'

/** The table that holds the owner rows, by cell. */
export const CELLS_TABLE = 'cells'

/** The owner of a cell, and where the cell's snapshot and journal are. */
export interface OwnerRow {
  readonly cell: CellName
  /** The owning VM; null once it has released the cell. */
  readonly holder: VmName | null
  /** `ip:port` at which peers reach the holder over the inner protocol. */
  readonly address: string | null
  /** Increases by one with each claim. */
  readonly epoch: Epoch
  /** Increases by one with each renewal. */
  readonly renewal: number
  /** Unique for each claim, so that a claimant recognizes its own row when it reads it back. */
  readonly nonce: string
  /** Name of the object that holds the newest snapshot; null if there is none. */
  readonly snapshot: string | null
  /** Sequence of the last journal row that the snapshot includes; 0 if there is none. */
  readonly snapshotSequence: SequenceNumber
  /** Sequence of the first journal row that the snapshot does not include. */
  readonly tail: SequenceNumber
  /** True once the holder has released the cell, after its last commit. */
  readonly released: boolean
}

/** An owner row with the version on which a write of it can be conditional. */
export interface StoredOwnerRow {
  readonly row: OwnerRow
  readonly version: number
}

/** Ownership of a cell under one epoch; each write of the owner is conditional on it. */
export interface CellClaim {
  readonly cell: CellName
  readonly holder: VmName
  readonly epoch: Epoch
}

const isText = (value: Json | undefined) => typeof value === 'string'
const isTextOrNull = (value: Json | undefined) => value === null || isText(value)
const isCount = (value: Json | undefined) => Number.isSafeInteger(value) && (value as number) >= 0
const isPosition = (value: Json | undefined) => isCount(value) && (value as number) >= 1

const FIELD_CHECKS: Readonly<Record<keyof OwnerRow, (value: Json | undefined) => boolean>> = {
  cell: isText,
  holder: isTextOrNull,
  address: isTextOrNull,
  epoch: isPosition,
  renewal: isCount,
  nonce: isText,
  snapshot: isTextOrNull,
  snapshotSequence: isCount,
  tail: isPosition,
  released: value => typeof value === 'boolean'
}

/**
 * Parses an owner row and validates each field. Throws `record-damaged`.
 *
 * @example
 * parseOwnerRow(serializeOwnerRow(row)).epoch === row.epoch // true
 */
export function parseOwnerRow (value: RowValue): OwnerRow {
  const fields = Object.entries(FIELD_CHECKS)
  const faults = fields.filter(([name, check]) => !check(value[name])).map(([name]) => name)
  if (faults.length > 0) {
    throw new CornelgaugeError('record-damaged', { detail: `Owner row with bad fields: ${faults.join(', ')}`, members: { faults } })
  }
  return {
    cell: cellName(value.cell as string),
    holder: value.holder === null ? null : vmName(value.holder as string),
    address: value.address as string | null,
    epoch: epoch(value.epoch as number),
    renewal: value.renewal as number,
    nonce: value.nonce as string,
    snapshot: value.snapshot as string | null,
    snapshotSequence: sequenceNumber(value.snapshotSequence as number),
    tail: sequenceNumber(value.tail as number),
    released: value.released as boolean
  }
}

/**
 * Converts an owner row to the value that the table service stores.
 *
 * @example
 * serializeOwnerRow(row).holder // 'praha-1'
 */
export function serializeOwnerRow (row: OwnerRow): RowValue {
  return { ...row }
}

/**
 * Reads the owner row of a cell; undefined if the cell was never claimed.
 *
 * @example
 * const stored = await readOwnerRow(table, cellName('praha'))
 */
export async function readOwnerRow (table: TableService, cell: CellName): Promise<StoredOwnerRow | undefined> {
  const found = await table.read(CELLS_TABLE, cell)
  return found === undefined ? undefined : parseStoredOwnerRow(found)
}

/**
 * Parses a row of the table `cells`, including its version. Throws `record-damaged`.
 *
 * @example
 * const rows = (await table.range({ table: CELLS_TABLE })).map(parseStoredOwnerRow)
 */
export function parseStoredOwnerRow (found: Row): StoredOwnerRow {
  const row = parseOwnerRow(found.value)
  if (row.cell !== found.key) throw new CornelgaugeError('record-damaged', { detail: `Owner row of ${row.cell} under key ${found.key}` })
  return { row, version: found.version }
}

/**
 * True while the claim is in force. Once false it stays false, because the epoch
 * never decreases and a released epoch never gets a holder again.
 *
 * @example
 * isInForce({ cell, holder, epoch }, stored.row)
 */
export function isInForce (claim: CellClaim, row: OwnerRow | undefined): boolean {
  return row !== undefined && row.epoch === claim.epoch && row.holder === claim.holder
}

/**
 * Returns the condition that fences an owner's writes: they take effect only while its claim is in force.
 *
 * @example
 * await table.write({ conditions: [claimInForce(claim)], operations })
 */
export function claimInForce (claim: CellClaim): Condition {
  return { type: 'fields', table: CELLS_TABLE, key: claim.cell, fields: { epoch: claim.epoch, holder: claim.holder } }
}

/**
 * Returns the condition that the owner row has not changed since it was read.
 *
 * @example
 * unchangedSince(cell, undefined).type // 'absent'
 */
export function unchangedSince (cell: CellName, stored: StoredOwnerRow | undefined): Condition {
  if (stored === undefined) return { type: 'absent', table: CELLS_TABLE, key: cell }
  return { type: 'version', table: CELLS_TABLE, key: cell, version: stored.version }
}

/**
 * Returns the operation that writes an owner row.
 *
 * @example
 * await table.write({ conditions: [unchangedSince(cell, stored)], operations: [putOwnerRow(next)] })
 */
export function putOwnerRow (row: OwnerRow): Operation {
  return { type: 'put', table: CELLS_TABLE, key: row.cell, value: serializeOwnerRow(row) }
}
