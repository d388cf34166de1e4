/**
 * Claims, renews and releases cells. The conditional writes of the table service
 * decide every race. A claim increments the epoch, which fences all writes of the
 * previous owner.
 */
import { asFailure, epoch, sequenceNumber, type CellName, type VmName } from '@cornelgauge/model'
import type { TableService } from '@cornelgauge/ports'
import { changeOwnerRow, type ChangeOutcome } from './owner-row-change.js'
import { isInForce, putOwnerRow, readOwnerRow, unchangedSince, type CellClaim, type OwnerRow, type StoredOwnerRow } from './owner-row.js'
import { StoreCaller, type StoreCallOptions } from './store-call.js'

/** The VM that makes a claim, and the nonce of that claim. */
export interface Claimant {
  readonly vm: VmName
  /** `ip:port` at which peers reach it over the inner protocol. */
  readonly address: string
  /** Unique for each claim. */
  readonly nonce: string
}

/**
 * Outcome of a claim. After `unsettled` it may still take effect; as nobody renews
 * it, the lease then expires.
 */
export type ClaimOutcome =
  | { readonly type: 'claimed', readonly claim: CellClaim, readonly row: OwnerRow, readonly sentAt: number }
  | { readonly type: 'lost', readonly stored: StoredOwnerRow | undefined }
  | { readonly type: 'unsettled' }

/** Outcome of a renewal. `unknown` does not extend the lease; the next renewal reads the row again. */
export type RenewalOutcome =
  | { readonly type: 'renewed', readonly sentAt: number }
  | { readonly type: 'lost', readonly row: OwnerRow | undefined }
  | { readonly type: 'unknown' }

const RENEWAL_ATTEMPTS = 3

/**
 * Claims a free cell, on condition that its owner row is still the one in `seen`.
 * If the answer is lost, the row is read back: it either has the claim's nonce, or
 * is unchanged (then the same write is repeated), or was claimed by another VM.
 *
 * @example
 * const outcome = await claimCell(table, cell, watch.stored, { vm, address, nonce }, options)
 */
export async function claimCell (table: TableService, cell: CellName, seen: StoredOwnerRow | undefined, claimant: Claimant, options: StoreCallOptions): Promise<ClaimOutcome> {
  const caller = new StoreCaller(options)
  const row = claimedRow(cell, seen?.row, claimant)
  const claim = { cell, holder: claimant.vm, epoch: row.epoch }
  const claimed: ClaimOutcome = { type: 'claimed', claim, row, sentAt: options.clock.now() }
  const transaction = { conditions: [unchangedSince(cell, seen)], operations: [putOwnerRow(row)] }
  try {
    while (true) {
      if (await caller.write(table, transaction) === 'done') return claimed
      const stored = await caller.retryUntilAnswered(() => readOwnerRow(table, cell))
      if (stored?.row.nonce === claimant.nonce && isInForce(claim, stored.row)) return claimed
      if (stored?.version !== seen?.version) return { type: 'lost', stored }
      await caller.backOff()
    }
  } catch (failure) {
    if (caller.aborted) return { type: 'unsettled' }
    throw failure
  }
}

function claimedRow (cell: CellName, before: OwnerRow | undefined, claimant: Claimant): OwnerRow {
  return {
    cell,
    holder: claimant.vm,
    address: claimant.address,
    epoch: epoch((before?.epoch ?? 0) + 1),
    renewal: 0,
    nonce: claimant.nonce,
    snapshot: before?.snapshot ?? null,
    snapshotSequence: before?.snapshotSequence ?? sequenceNumber(0),
    tail: before?.tail ?? sequenceNumber(1),
    released: false
  }
}

/**
 * Renews the lease on a cell once. It retries only conflicts and does not wait for
 * an outage to end, since the next renewal has the same effect.
 *
 * @example
 * const outcome = await renewCell(table, claim, clock.now)
 * if (outcome.type === 'renewed') lease = recordRenewalConfirmed(lease, outcome.sentAt)
 */
export async function renewCell (table: TableService, claim: CellClaim, now: () => number): Promise<RenewalOutcome> {
  for (let attempt = 0; attempt < RENEWAL_ATTEMPTS; attempt++) {
    const sentAt = now()
    try {
      const stored = await readOwnerRow(table, claim.cell)
      if (stored === undefined || !isInForce(claim, stored.row)) return { type: 'lost', row: stored?.row }
      const row = { ...stored.row, renewal: stored.row.renewal + 1 }
      await table.write({ conditions: [unchangedSince(claim.cell, stored)], operations: [putOwnerRow(row)] })
      return { type: 'renewed', sentAt }
    } catch (thrown) {
      const failure = asFailure(thrown)
      if (failure.code === 'record-damaged') throw failure
      if (failure.code !== 'conflict') return { type: 'unknown' }
    }
  }
  return { type: 'unknown' }
}

/**
 * Releases a cell, so that another VM can claim it without waiting for the lease
 * to expire. Call it after the last commit: once the cell is released, the claim is
 * fenced like that of any previous owner.
 *
 * @example
 * await committer.drain()
 * await releaseCell(table, claim, options)
 */
export function releaseCell (table: TableService, claim: CellClaim, options: StoreCallOptions): Promise<ChangeOutcome> {
  const apply = (row: OwnerRow): OwnerRow => ({ ...row, holder: null, address: null, released: true })
  return changeOwnerRow(table, claim, { apply, isMade: row => row.released }, options)
}
