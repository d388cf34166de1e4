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
 * A watcher that has not read the row for longer than this restarts its measurement, since
 * the holder may have been unable to reach the table service as well.
 */
export const MAXIMUM_READ_GAP_MILLISECONDS = 1500
/** How much earlier the holder ends its lease, to allow for clocks that run at different rates. */
export const LEASE_MARGIN_MILLISECONDS = 300

/** A lease as the holder tracks it, in monotonic milliseconds of its own clock. */
export interface HeldLease {
  /** When the last confirmed renewal was sent. */
  readonly confirmedAt: number
  /** When the last renewal was sent, confirmed or not. */
  readonly renewalSentAt: number
}

/**
 * Creates the lease of a new claim that was sent at the given time.
 *
 * @example
 * isLeaseValid(openLease(0), 2699) // true
 */
export function openLease (sentAt: number): HeldLease {
  return { confirmedAt: sentAt, renewalSentAt: sentAt }
}

/**
 * Records that a renewal is sent.
 *
 * @example
 * isRenewalDue(recordRenewalSent(openLease(0), 1000), 1500) // false
 */
export function recordRenewalSent (lease: HeldLease, sentAt: number): HeldLease {
  return { ...lease, renewalSentAt: Math.max(lease.renewalSentAt, sentAt) }
}

/**
 * Records that the renewal that was sent at the given time took effect.
 *
 * @example
 * leaseEndsAt(recordRenewalConfirmed(openLease(0), 1000)) // 3700
 */
export function recordRenewalConfirmed (lease: HeldLease, sentAt: number): HeldLease {
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
  return now >= lease.renewalSentAt + RENEWAL_MILLISECONDS
}

/** A lease as a watcher tracks it: the owner row as last read, and the time of its last renewal. */
export interface LeaseWatch {
  readonly stored: StoredOwnerRow | undefined
  /** When the watcher last read a renewal or began to measure anew, in monotonic milliseconds of its clock. */
  readonly leaseRunsFrom: number
  /** When the row was last read. */
  readonly readAt: number
}

/**
 * Updates the watch with an owner row; `now` is the time at which the answer arrived.
 * A row that is older than the last one is ignored.
 *
 * @example
 * const watch = observeOwnerRow(undefined, await readOwnerRow(table, cell), clock.now())
 */
export function observeOwnerRow (watch: LeaseWatch | undefined, stored: StoredOwnerRow | undefined, now: number): LeaseWatch {
  if (watch === undefined) return { stored, leaseRunsFrom: now, readAt: now }
  if (versionOf(stored) < versionOf(watch.stored)) return watch
  const restartsLease = isRenewed(watch.stored, stored) || isOutOfDate(watch, now)
  return { stored, leaseRunsFrom: restartsLease ? now : watch.leaseRunsFrom, readAt: now }
}

/**
 * True if the watcher has not read the row for so long that it cannot tell whether
 * the holder is alive.
 *
 * @example
 * isOutOfDate({ stored, leaseRunsFrom: 0, readAt: 0 }, 1600) // true
 */
export function isOutOfDate (watch: LeaseWatch, now: number): boolean {
  return now - watch.readAt > MAXIMUM_READ_GAP_MILLISECONDS
}

/**
 * Returns the time from which the cell can be claimed, as far as the watcher knows:
 * the last change if the cell was released or never claimed, else a full lease after
 * the last renewal.
 *
 * @example
 * claimableFrom({ stored: undefined, leaseRunsFrom: 5, readAt: 5 }) // 5
 */
export function claimableFrom (watch: LeaseWatch): number {
  const isHeld = watch.stored !== undefined && !watch.stored.row.released
  return isHeld ? watch.leaseRunsFrom + LEASE_MILLISECONDS : watch.leaseRunsFrom
}

/**
 * True when the watcher may try to claim the cell.
 *
 * @example
 * isClaimable({ stored, leaseRunsFrom: 0, readAt: 0 }, 3000) // true
 */
export function isClaimable (watch: LeaseWatch, now: number): boolean {
  return now >= claimableFrom(watch)
}

function versionOf (stored: StoredOwnerRow | undefined): number {
  return stored?.version ?? 0
}

function isRenewed (before: StoredOwnerRow | undefined, after: StoredOwnerRow | undefined): boolean {
  if (before === undefined || after === undefined) return before !== after
  const { row } = before
  return row.epoch !== after.row.epoch || row.renewal !== after.row.renewal || row.released !== after.row.released
}
