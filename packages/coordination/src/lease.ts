/**
 * The lease on a cell, by observation. No two clocks are ever compared: the
 * holder counts from the moment it sent a renewal, a watcher from the moment it
 * saw that renewal, which cannot be earlier. So the holder's lease ends before any
 * watcher takes it for expired, as long as both clocks run at about the same
 * speed; the margin covers the difference.
 *
 * Only what changes the owner row extends the lease. A journal commit proves that
 * the claim was in force, but a watcher does not see it in the row; a holder that
 * counted from it would outlive the watcher's patience.
 *
 * The lease bounds what an owner may say without writing. What it writes is
 * fenced by its epoch, lease or not.
 */
import type { StoredOwnerRow } from './owner-row.js'

/** How long a renewal lasts. */
export const LEASE_MILLISECONDS = 3000
/** Time between two renewals. */
export const RENEWAL_MILLISECONDS = 1000
/** A watcher that has not read the row for longer begins to count anew: the holder may not have reached the table service either. */
export const LONGEST_BLIND_MILLISECONDS = 1500
/** How much earlier the holder ends its lease, for clocks that run at different speeds. */
export const LEASE_MARGIN_MILLISECONDS = 300

/** The holder's side, in monotonic milliseconds of its own clock. */
export interface HeldLease {
  /** When the last renewal that is known to have taken effect was sent. */
  readonly confirmedAt: number
  /** When the last renewal was sent, whatever became of it. */
  readonly triedAt: number
}

/**
 * The lease of a new claim that was sent at the given time.
 *
 * @example
 * isLeaseValid(openLease(0), 2699) // true
 */
export function openLease (sentAt: number): HeldLease {
  return { confirmedAt: sentAt, triedAt: sentAt }
}

/**
 * Notes that a renewal is sent.
 *
 * @example
 * isRenewalDue(tryRenewal(openLease(0), 1000), 1500) // false
 */
export function tryRenewal (lease: HeldLease, sentAt: number): HeldLease {
  return { ...lease, triedAt: Math.max(lease.triedAt, sentAt) }
}

/**
 * Notes that the renewal that was sent at the given time took effect.
 *
 * @example
 * leaseEndsAt(confirmRenewal(openLease(0), 1000)) // 3700
 */
export function confirmRenewal (lease: HeldLease, sentAt: number): HeldLease {
  return { ...lease, confirmedAt: Math.max(lease.confirmedAt, sentAt) }
}

/**
 * When the holder's lease ends.
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

/** The watcher's side: the owner row as last seen, and since when it has stood so. */
export interface RowWatch {
  readonly stored: StoredOwnerRow | undefined
  /** Monotonic milliseconds by the watcher's clock. */
  readonly changedAt: number
  /** When the row was last read. */
  readonly seenAt: number
}

/**
 * Takes in an owner row as just read; `now` is the time at which the answer came.
 * A row that is older than the one seen before is left out.
 *
 * @example
 * const watch = observe(undefined, await readOwnerRow(table, cell), clock.now())
 */
export function observe (watch: RowWatch | undefined, stored: StoredOwnerRow | undefined, now: number): RowWatch {
  if (watch === undefined) return { stored, changedAt: now, seenAt: now }
  if (versionOf(stored) < versionOf(watch.stored)) return watch
  const isFresh = isRenewed(watch.stored, stored) || isBlind(watch, now)
  return { stored, changedAt: isFresh ? now : watch.changedAt, seenAt: now }
}

/**
 * True of a watcher that has not read the row of late, and so cannot tell whether
 * its holder is alive.
 *
 * @example
 * isBlind({ stored, changedAt: 0, seenAt: 0 }, 1600) // true
 */
export function isBlind (watch: RowWatch, now: number): boolean {
  return now - watch.seenAt > LONGEST_BLIND_MILLISECONDS
}

/**
 * When the cell becomes free for a claim, as far as the watcher knows: at once
 * where it was released or never claimed, else a whole lease after the last change.
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
