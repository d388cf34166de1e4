/**
 * The lease on a cell, based on observed renewals. Timestamps of different clocks
 * are never compared: the holder measures from the time at which it sent a renewal,
 * a watcher from the time at which it read that renewal, which cannot be earlier.
 * So the holder's lease ends before any watcher considers it expired, as long as
 * both clocks run at about the same rate; the margin covers the difference.
 *
 * Only a claim or a renewal extends the lease. A journal commit also proves that the
 * claim was in force, but it does not change the owner row; a holder that measured
 * from it would still trust its lease after a watcher considers it expired.
 *
 * The lease limits how long an owner may answer from its state without writing. Its
 * writes are fenced by its epoch, whether the lease is valid or not.
 */
import type { StoredOwnerRow } from './owner-row.js'

/** Duration of the lease after a renewal. */
export const LEASE_MILLISECONDS = 3000
/** Interval between two renewals. */
export const RENEWAL_MILLISECONDS = 1000
/**
 * A watcher that has not read the row for longer restarts its measurement, since
 * the holder may have been unable to reach the table service as well.
 */
export const LONGEST_BLIND_MILLISECONDS = 1500
/** How much earlier the holder ends its lease, to allow for clocks that run at different rates. */
export const LEASE_MARGIN_MILLISECONDS = 300

/** A lease as the holder tracks it, in monotonic milliseconds of its own clock. */
export interface HeldLease {
  /** When the last confirmed renewal was sent. */
  readonly confirmedAt: number
  /** When the last renewal was sent, confirmed or not. */
  readonly triedAt: number
}

/**
 * Creates the lease of a new claim that was sent at the given time.
 *
 * @example
 * isLeaseValid(openLease(0), 2699) // true
 */
export function openLease (sentAt: number): HeldLease {
  return { confirmedAt: sentAt, triedAt: sentAt }
}

/**
 * Records that a renewal is sent.
 *
 * @example
 * isRenewalDue(tryRenewal(openLease(0), 1000), 1500) // false
 */
export function tryRenewal (lease: HeldLease, sentAt: number): HeldLease {
  return { ...lease, triedAt: Math.max(lease.triedAt, sentAt) }
}

/**
 * Records that the renewal that was sent at the given time took effect.
 *
 * @example
 * leaseEndsAt(confirmRenewal(openLease(0), 1000)) // 3700
 */
export function confirmRenewal (lease: HeldLease, sentAt: number): HeldLease {
  return { ...lease, confirmedAt: Math.max(lease.confirmedAt, sentAt) }
}

/**
 * Returns the time at which the holder's lease ends.
 *
 * @example
 * leaseEndsAt(openLease(0)) // 2700
 */
export function leaseEndsAt (lease: HeldLease): number {
  return lease.confirmedAt + LEASE_MILLISECONDS - LEASE_MARGIN_MILLISECONDS
}

/**
 * True while the holder may answer from its own state.
 *
 * @example
 * isLeaseValid(openLease(0), 2700) // false
 */
export function isLeaseValid (lease: HeldLease, now: number): boolean {
  return now < leaseEndsAt(lease)
}

/**
 * True when it is time to send a renewal.
 *
 * @example
 * isRenewalDue(openLease(0), 1000) // true
 */
export function isRenewalDue (lease: HeldLease, now: number): boolean {
  return now >= lease.triedAt + RENEWAL_MILLISECONDS
}

/** A lease as a watcher tracks it: the owner row as last read, and the time of its last renewal. */
export interface RowWatch {
  readonly stored: StoredOwnerRow | undefined
  /** When the watcher last read a renewal or began to measure anew, in monotonic milliseconds of its clock. */
  readonly changedAt: number
  /** When the row was last read. */
  readonly seenAt: number
}

/**
 * Updates the watch with an owner row; `now` is the time at which the answer arrived.
 * A row that is older than the last one is ignored.
 *
 * @example
 * const watch = observe(undefined, await readOwnerRow(table, cell), clock.now())
 */
export function observe (watch: RowWatch | undefined, stored: StoredOwnerRow | undefined, now: number): RowWatch {
  if (watch === undefined) return { stored, changedAt: now, seenAt: now }
  if (versionOf(stored) < versionOf(watch.stored)) return watch
  const restartsLease = isRenewed(watch.stored, stored) || isBlind(watch, now)
  return { stored, changedAt: restartsLease ? now : watch.changedAt, seenAt: now }
}

/**
 * True if the watcher has not read the row for so long that it cannot tell whether
 * the holder is alive.
 *
 * @example
 * isBlind({ stored, changedAt: 0, seenAt: 0 }, 1600) // true
 */
export function isBlind (watch: RowWatch, now: number): boolean {
  return now - watch.seenAt > LONGEST_BLIND_MILLISECONDS
}

/**
 * Returns the time from which the cell can be claimed, as far as the watcher knows:
 * the last change if the cell was released or never claimed, else a full lease after
 * the last renewal.
 *
 * @example
 * freeAt({ stored: undefined, changedAt: 5, seenAt: 5 }) // 5
 */
export function freeAt (watch: RowWatch): number {
  const isHeld = watch.stored !== undefined && !watch.stored.row.released
  return isHeld ? watch.changedAt + LEASE_MILLISECONDS : watch.changedAt
}

/**
 * True when the watcher may try to claim the cell.
 *
 * @example
 * isFree({ stored, changedAt: 0, seenAt: 0 }, 3000) // true
 */
export function isFree (watch: RowWatch, now: number): boolean {
  return now >= freeAt(watch)
}

function versionOf (stored: StoredOwnerRow | undefined): number {
  return stored?.version ?? 0
}

function isRenewed (before: StoredOwnerRow | undefined, after: StoredOwnerRow | undefined): boolean {
  if (before === undefined || after === undefined) return before !== after
  const { row } = before
  return row.epoch !== after.row.epoch || row.renewal !== after.row.renewal || row.released !== after.row.released
}
