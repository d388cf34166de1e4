/**
 * Changes of an owner row by its own holder. Each reads the row, writes the
 * changed one on condition that nothing came between, and settles a lost answer by
 * reading again: the change itself says whether it has already been made. A
 * delayed write lands only where the row has not moved on, so it can never undo a
 * later one.
 */
import type { TableService } from '@cornelgauge/ports'
import { isInForce, putOwnerRow, readOwnerRow, unchangedSince, type CellClaim, type OwnerRow, type StoredOwnerRow } from './owner-row.js'
import { StoreCaller, type StoreCallOptions } from './store-call.js'

/** A change of an owner row. */
export interface OwnerRowChange {
  readonly apply: (row: OwnerRow) => OwnerRow
  /** True of a row in which the change has been made. */
  readonly isMade: (row: OwnerRow) => boolean
}

/** How a change ended: made, impossible because the claim is no longer in force, or given up while not known. */
export type ChangeOutcome =
  | { readonly type: 'made', readonly row: OwnerRow }
  | { readonly type: 'lost', readonly row: OwnerRow | undefined }
  | { readonly type: 'unsettled' }

/**
 * Makes a change of the owner row, trying until it is settled or the signal aborts.
 *
 * @example
 * await changeOwnerRow(table, claim, { apply: row => ({ ...row, tail }), isMade: row => row.tail >= tail }, options)
 */
export async function changeOwnerRow (table: TableService, claim: CellClaim, change: OwnerRowChange, options: StoreCallOptions): Promise<ChangeOutcome> {
  const caller = new StoreCaller(options)
  try {
    while (true) {
      const stored = await caller.persist(() => readOwnerRow(table, claim.cell))
      if (stored !== undefined && stored.row.epoch === claim.epoch && change.isMade(stored.row)) return { type: 'made', row: stored.row }
      if (stored === undefined || !isInForce(claim, stored.row)) return { type: 'lost', row: stored?.row }
      const row = await tryChange(table, stored, change, caller)
      if (row !== undefined) return { type: 'made', row }
      await caller.backOff()
    }
  } catch (failure) {
    if (caller.aborted) return { type: 'unsettled' }
    throw failure
  }
}

async function tryChange (table: TableService, stored: StoredOwnerRow, change: OwnerRowChange, caller: StoreCaller): Promise<OwnerRow | undefined> {
  const row = change.apply(stored.row)
  const conditions = [unchangedSince(row.cell, stored)]
  const outcome = await caller.write(table, { conditions, operations: [putOwnerRow(row)] })
  return outcome === 'done' ? row : undefined
}
