/**
 * Changes of an owner row by its own holder, by compare and swap. Each change reads
 * the row and writes the new one on condition that the version is unchanged. If the
 * answer is lost, it reads the row again, and the change itself determines whether
 * it has been made. A delayed write takes effect only on the version it was based
 * on, so it can never undo a later one.
 */
import type { TableService } from '@cornelgauge/ports'
import { isInForce, putOwnerRow, readOwnerRow, unchangedSince, type CellClaim, type OwnerRow, type StoredOwnerRow } from './owner-row.js'
import { StoreCaller, type StoreCallOptions } from './store-call.js'

/** A change of an owner row, with a check for whether it has been made. */
export interface OwnerRowChange {
  readonly apply: (row: OwnerRow) => OwnerRow
  /** True if the change has been made in this row. */
  readonly isMade: (row: OwnerRow) => boolean
}

/** Outcome of a change: `made`; `lost`, since the claim is no longer in force; or `unsettled`, since the caller gave up before the outcome was known. */
export type ChangeOutcome =
  | { readonly type: 'made', readonly row: OwnerRow }
  | { readonly type: 'lost', readonly row: OwnerRow | undefined }
  | { readonly type: 'unsettled' }

/**
 * Makes a change of the owner row, retrying until the outcome is known or the signal aborts.
 *
 * @example
 * await changeOwnerRow(table, claim, { apply: row => ({ ...row, tail }), isMade: row => row.tail >= tail }, options)
 */
export async function changeOwnerRow (table: TableService, claim: CellClaim, change: OwnerRowChange, options: StoreCallOptions): Promise<ChangeOutcome> {
  const caller = new StoreCaller(options)
  try {
    while (true) {
      const stored = await caller.retryUntilAnswered(() => readOwnerRow(table, claim.cell))
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
