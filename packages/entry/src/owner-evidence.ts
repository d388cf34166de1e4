/** Evidence that the owner of the planner has failed, as one VM has seen it. */
import type { Clock } from '@cornelgauge/ports'
import { HEARTBEAT_MILLISECONDS, LONGEST_SILENCE_MILLISECONDS, MISSED_HEARTBEATS, OWNER_SILENCE_MILLISECONDS, SETTLED_TENURE_MILLISECONDS } from './limits.js'
import type { Member } from './messages.js'

/**
 * Collects what a VM knows of the owner that it follows. A takeover slows the new owner down, so the
 * silence that counts as a failure is twice as long soon after a claim, and doubles with each owner
 * that was replaced soon after its own; otherwise takeovers could follow each other without end.
 *
 * @example
 * const evidence = new OwnerEvidence(clock)
 * evidence.follow()
 * if (evidence.isGone) claim()
 */
export class OwnerEvidence {
  readonly #clock: Clock
  /** When the owner last replied. */
  #heardAt = -Infinity
  /** When this VM began to follow the owner. */
  #followedAt = -Infinity
  #silentSince = -Infinity
  /** When the owner claimed, as far as this VM knows. */
  #claimedAt = -Infinity
  #ownedMilliseconds = 0
  /** Milliseconds since the store last answered the owner, as its newest reply says. */
  #storeAge = 0
  #shortTenures = 0
  /** End of the last delay that was subtracted. */
  #excludedUntil = -Infinity
  #refusals = 0
  #hasGivenUp = false

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Milliseconds since this VM last received a reply of the owner; Infinity before the first. */
  get heardAge (): number {
    return this.#clock.now() - this.#heardAt
  }

  /**
   * The same as said to another VM. A release that sends no weight replaces an owner that has been silent for 0.6 s, unless one of the
   * VMs that it asks has heard of it lately. While this VM doesn't consider the owner failed, it says so to such a release.
   */
  heardAgeFor ({ weight }: Pick<Member, 'weight'>): number {
    return weight === undefined && !this.isGone ? Math.min(this.heardAge, HEARTBEAT_MILLISECONDS) : this.heardAge
  }

  /** Milliseconds since this VM last received a reply of the owner, or learned of it. */
  get contactAge (): number {
    return this.#clock.now() - Math.max(this.#heardAt, this.#followedAt)
  }

  /** Age of the owner's claim at its newest reply, on its own clock; 0 before the first. */
  get ownedMilliseconds (): number {
    return this.#ownedMilliseconds
  }

  /** Milliseconds for which the store hadn't answered the owner at its newest reply; 0 before the first, and if its release doesn't send them. */
  get storeAge (): number {
    return this.#storeAge
  }

  /** Milliseconds of silence after which the owner is considered failed. */
  get requiredSilence (): number {
    return this.scale(OWNER_SILENCE_MILLISECONDS)
  }

  /** True if the owner has refused connections, has replied that it isn't the owner, or has been silent for too long. */
  get isGone (): boolean {
    return this.#hasGivenUp || this.#refusals >= MISSED_HEARTBEATS || this.#clock.now() - this.#silentSince >= this.requiredSilence
  }

  /** True if the owner's VM no longer owns the planner. */
  get hasGivenUp (): boolean {
    return this.#hasGivenUp
  }

  /** A time limit, longer while takeovers follow each other. */
  scale (milliseconds: number): number {
    const isSettled = this.#clock.now() - this.#claimedAt >= SETTLED_TENURE_MILLISECONDS
    return isSettled ? milliseconds : Math.min(LONGEST_SILENCE_MILLISECONDS, milliseconds * 2 ** (1 + this.#shortTenures))
  }

  /** Records that this VM follows a new owner, whose claim counts as recent until a reply contains its age. */
  follow (): void {
    const now = this.#clock.now()
    this.#shortTenures = now - this.#claimedAt < SETTLED_TENURE_MILLISECONDS ? this.#shortTenures + 1 : 0
    this.#claimedAt = now
    this.#ownedMilliseconds = 0
    this.#storeAge = 0
    this.#followedAt = now
    this.#heardAt = -Infinity
    this.postpone()
  }

  /** Records a reply of the owner, with the milliseconds since its claim and since the store last answered it; earlier releases don't send them. */
  hear (ownedMilliseconds?: number, storeAge = 0): void {
    const now = this.#clock.now()
    this.#storeAge = storeAge
    if (ownedMilliseconds !== undefined) {
      this.#claimedAt = now - ownedMilliseconds
      this.#ownedMilliseconds = Math.max(this.#ownedMilliseconds, ownedMilliseconds)
    }
    this.#heardAt = now
    this.postpone()
  }

  /** Starts the evidence anew, without a reply of the owner. */
  postpone (): void {
    this.#silentSince = this.#clock.now()
    this.#refusals = 0
    this.#hasGivenUp = false
  }

  /** Records a connection that the owner's VM refused. */
  refuse (): void {
    this.#refusals += 1
  }

  /** Records that the owner's VM no longer owns the planner. */
  giveUp (): void {
    this.#hasGivenUp = true
  }

  /**
   * Subtracts the time since a timer of this VM was due from the silence: its event loop was delayed, and
   * replies may have been waiting. Of overlapping timers, the same delay is subtracted only once.
   */
  excludeDelay (dueAt: number): void {
    const now = this.#clock.now()
    const from = Math.max(dueAt, this.#excludedUntil, this.#silentSince)
    if (now <= from) return
    this.#silentSince += now - from
    this.#excludedUntil = now
  }
}
