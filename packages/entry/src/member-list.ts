/** The VMs of the deployment that a VM has received heartbeats of, itself or through the owner. */
import { randomUUID } from 'node:crypto'
import type { VmName } from '@cornelgauge/model'
import type { Clock } from '@cornelgauge/ports'
import { HEARTBEAT_MILLISECONDS, HEARTBEAT_TIMEOUT_MILLISECONDS, MEMBER_EXPIRY_MILLISECONDS, SUCCESSION_MEMORY_MILLISECONDS } from './limits.js'
import type { ListedMembers, Member } from './messages.js'
import { compareSuccession } from './succession.js'

/** A member with its state. */
interface KnownMember {
  readonly member: Member
  /** Time of its last heartbeat, or of the owner's last reply that lists it, on the steady clock. */
  readonly heardAt: number
  /** Milliseconds since the store last answered the member, as it said; Infinity if it didn't. */
  readonly storeAge: number
  /** Time of its last heartbeat to this VM itself. */
  readonly saidAt: number
  /** The latest time at which the member is known to have followed this VM as the owner; -Infinity if it isn't. */
  readonly confirmedAt: number
}

/** The list that a peer sent, with its version there. */
interface ReceivedList {
  readonly address: string
  readonly version: string | undefined
  readonly members: readonly Member[]
}

/** What is known of a member that has sent no heartbeat. */
const UNHEARD: Omit<KnownMember, 'member' | 'heardAt'> = { storeAge: Infinity, saidAt: -Infinity, confirmedAt: -Infinity }
/** How long what a member said of itself counts: until its next heartbeat is overdue. */
const STATEMENT_AGE_MILLISECONDS = HEARTBEAT_MILLISECONDS + HEARTBEAT_TIMEOUT_MILLISECONDS

/** A version that no list has; a VM that sends it receives every list. */
export const NO_VERSION = ''
/** Sent as a version by a VM that needs no list. */
export const UNWANTED_LIST = 'unwanted'

/**
 * Members with the time of their last heartbeat. The list of those with a recent one has a
 * version, so that a heartbeat's reply contains the list only if it has changed.
 *
 * @example
 * const members = new MemberList(self, clock)
 * members.add(heartbeat.member, heartbeat.storeAge)
 * const reply = members.listFor(heartbeat.listVersion, heartbeat.member)
 */
export class MemberList {
  readonly #self: Member
  readonly #clock: Clock
  readonly #members = new Map<VmName, KnownMember>()
  /** Distinguishes the versions of different VMs and of lifetimes of one VM. */
  readonly #instance = randomUUID()
  #revision = 0
  #listed: readonly Member[] = []
  #listedKey = ''
  #listedAt = -Infinity
  #isListOutdated = false
  #received: ReceivedList | undefined

  constructor (self: Member, clock: Clock) {
    this.#self = self
    this.#clock = clock
  }

  /** Members with a recent heartbeat. */
  get recent (): readonly Member[] {
    return [...this.#members.values()].filter(member => this.#isRecent(member)).map(({ member }) => member)
  }

  /** Milliseconds since the store last answered a member, as it said in its last heartbeat to this VM; Infinity if it sent none lately. */
  storeAgeOf (vm: VmName): number {
    const { storeAge, saidAt } = this.#members.get(vm) ?? UNHEARD
    return this.#clock.now() - saidAt < STATEMENT_AGE_MILLISECONDS ? storeAge : Infinity
  }

  /**
   * Other VMs in the order of succession. A VM counts for longer here than as a recent member: replies of
   * an owner that fails may bring no list for seconds, and the order has to be the same on all VMs.
   */
  get candidates (): readonly Member[] {
    const now = this.#clock.now()
    const known = [...this.#members.values()].filter(({ heardAt }) => now - heardAt < SUCCESSION_MEMORY_MILLISECONDS)
    return known.map(({ member }) => member).sort(compareSuccession)
  }

  /** Milliseconds since a majority of all members ever known were last seen to follow this VM as the owner. */
  get majorityAge (): number {
    const now = this.#clock.now()
    const ages = [...this.#members.values()].map(({ confirmedAt }) => now - confirmedAt).sort((left, right) => left - right)
    return ages.length === 0 ? Infinity : ages[Math.floor(ages.length / 2)]!
  }

  /** Records a heartbeat of a member, and when the member followed this VM as the owner, if the heartbeat shows it. */
  add (member: Member, storeAge: number, confirmedAt = -Infinity): void {
    const earlier = this.#members.get(member.vm)
    if (earlier === undefined || !this.#isRecent(earlier) || keyOf(earlier.member) !== keyOf(member)) this.#isListOutdated = true
    const now = this.#clock.now()
    this.#members.set(member.vm, { member, storeAge, saidAt: now, heardAt: now, confirmedAt: Math.max(confirmedAt, earlier?.confirmedAt ?? -Infinity) })
  }

  /** Drops the confirmations, which were of an earlier claim. */
  dropConfirmations (): void {
    for (const [vm, known] of this.#members) this.#members.set(vm, { ...known, confirmedAt: -Infinity })
  }

  /**
   * The list for a peer that has the given version of it, in full for a peer of a release that sends no version. A release
   * that sends no weight asks the first VMs of its list before it replaces an owner, so it gets only those with a weight,
   * which wait longer, if there are any.
   */
  listFor (version: string | undefined, { weight }: Pick<Member, 'weight'>): ListedMembers {
    this.#updateList()
    const weighted = weight === undefined ? this.#listed.filter(member => member.weight !== undefined) : []
    const members = weighted.length > 0 ? weighted : this.#listed
    const listVersion = `${this.#instance}:${this.#revision}${members === weighted ? ':weighted' : ''}`
    return version === listVersion || version === UNWANTED_LIST ? { listVersion } : { listVersion, members }
  }

  /** The version of the list last received from a peer. */
  versionFrom (address: string): string {
    return (this.#received?.address === address ? this.#received.version : undefined) ?? NO_VERSION
  }

  /** Records the list of a peer, mostly the owner: each member on it sent that peer a heartbeat recently. */
  receive (address: string, { listVersion, members }: ListedMembers): void {
    if (members !== undefined) this.#received = { address, version: listVersion, members }
    if (this.#received?.address !== address) return
    const heardAt = this.#clock.now()
    for (const member of this.#received.members) {
      if (member.vm === this.#self.vm) continue
      this.#members.set(member.vm, { ...(this.#members.get(member.vm) ?? UNHEARD), member, heardAt })
    }
  }

  #isRecent ({ heardAt }: KnownMember): boolean {
    return this.#clock.now() - heardAt < MEMBER_EXPIRY_MILLISECONDS
  }

  #updateList (): void {
    const now = this.#clock.now()
    if (!this.#isListOutdated && now - this.#listedAt < HEARTBEAT_MILLISECONDS) return
    this.#isListOutdated = false
    this.#listedAt = now
    const listed = this.recent
    const key = listed.map(keyOf).sort().join()
    if (key === this.#listedKey) return
    this.#listed = listed
    this.#listedKey = key
    this.#revision += 1
  }
}

function keyOf ({ vm, address, weight }: Member): string {
  return `${vm} ${address} ${weight ?? ''}`
}
