/**
 * Recovery of a cell after a claim: reads the snapshot that the owner row points to,
 * and all journal rows from the tail on.
 *
 * The claim incremented the epoch before anything is read here. Every journal write
 * is conditional on its owner's epoch, so no write of a previous owner can take
 * effect any more, and the rows read are the complete and final history: each write
 * that a previous owner left unsettled is either among them or will never take effect.
 */
import { CornelgaugeError, sequenceNumber, type SequenceNumber } from '@cornelgauge/model'
import type { Json } from '@cornelgauge/ports'
import { journalRange, parseJournalRow, type JournalRow } from './journal.js'
import { isInForce, readOwnerRow, type CellClaim, type OwnerRow } from './owner-row.js'
import { decodeSnapshot, type Snapshot, type Stores } from './snapshot.js'
import { StoreCaller, type StoreCallOptions } from './store-call.js'

/** Number of journal rows read by one call. */
export const RECOVERY_PAGE_ROWS = 64

/** The recovered state of a cell, from which its new owner starts. */
export interface Recovery<Content, Entry> {
  readonly snapshot: Snapshot<Content> | undefined
  /** Rows after the snapshot, in order. */
  readonly rows: readonly JournalRow<Entry>[]
  /** Sequence of the first row that the new owner commits. */
  readonly nextSequence: SequenceNumber
}

/**
 * Recovers a cell under a claim that has taken effect. Rejects with `stale-epoch`
 * if the claim is no longer in force, with `record-damaged` if a row or the snapshot
 * is missing or malformed, and with `unavailable` once the signal aborts.
 *
 * @example
 * const { snapshot, rows, nextSequence } = await recover({ table, objects }, claim, options)
 */
export async function recover<Content extends Json, Entry extends Json> (stores: Stores, claim: CellClaim, options: StoreCallOptions): Promise<Recovery<Content, Entry>> {
  const caller = new StoreCaller(options)
  const row = await readOwnRow(stores, claim, caller)
  try {
    const snapshot = await readSnapshot<Content>(stores, row, caller)
    const rows = await readRows<Entry>(stores, row, caller)
    return { snapshot, rows, nextSequence: sequenceNumber(row.tail + rows.length) }
  } finally {
    // If a newer owner has trimmed rows during the read, this check replaces `record-damaged` by `stale-epoch`.
    if (!caller.aborted) await readOwnRow(stores, claim, caller)
  }
}

async function readOwnRow ({ table }: Stores, claim: CellClaim, caller: StoreCaller): Promise<OwnerRow> {
  const stored = await caller.retryUntilAnswered(() => readOwnerRow(table, claim.cell))
  if (stored === undefined || !isInForce(claim, stored.row)) throw new CornelgaugeError('stale-epoch', { detail: `The claim on ${claim.cell} is no longer in force` })
  return stored.row
}

async function readSnapshot<Content extends Json> ({ objects }: Stores, row: OwnerRow, caller: StoreCaller): Promise<Snapshot<Content> | undefined> {
  const name = row.snapshot
  if (name === null) return undefined
  const bytes = await caller.retryUntilAnswered(() => objects.get(name))
  if (bytes === undefined) throw damaged(`Snapshot ${name} is missing`)
  const snapshot = decodeSnapshot<Content>(bytes)
  if (snapshot.cell !== row.cell || snapshot.sequence !== row.snapshotSequence) throw damaged(`Snapshot ${name} is another one`)
  return snapshot
}

async function readRows<Entry extends Json> ({ table }: Stores, { cell, tail }: OwnerRow, caller: StoreCaller): Promise<readonly JournalRow<Entry>[]> {
  const rows: JournalRow<Entry>[] = []
  while (true) {
    const from = sequenceNumber(tail + rows.length)
    const page = await caller.retryUntilAnswered(() => table.range(journalRange(cell, { from, limit: RECOVERY_PAGE_ROWS })))
    page.forEach((found, index) => rows.push(checkedRow(parseJournalRow<Entry>(found), from + index)))
    if (page.length < RECOVERY_PAGE_ROWS) return rows
  }
}

function checkedRow<Entry> (row: JournalRow<Entry>, sequence: number): JournalRow<Entry> {
  if (row.sequence !== sequence) throw damaged(`Journal of ${row.cell} has ${row.sequence} where ${sequence} was expected`)
  return row
}

function damaged (detail: string): CornelgaugeError {
  return new CornelgaugeError('record-damaged', { detail })
}
