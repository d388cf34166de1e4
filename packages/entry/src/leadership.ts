/**
 * Leader election for the planner. VMs detect by heartbeats that the owner has
 * failed; a conditional write of the owner row in the store decides the next owner.
 */
import { pause, systemClock } from '@cornelgauge/coordination'
import { asFailure, type CornelgaugeError } from '@cornelgauge/model'
import type { Clock } from '@cornelgauge/ports'
import { isConnectionRefused } from '@cornelgauge/wire'
import { moment } from './elapsed.js'
import { CONFIRM_INTERVAL_MILLISECONDS, HEARTBEAT_MILLISECONDS, HEARTBEAT_RETRY_MILLISECONDS, HEARTBEAT_TIMEOUT_MILLISECONDS, ISOLATED_TAKEOVER_MILLISECONDS, OWNER_SILENCE_MILLISECONDS, STARTUP_MILLISECONDS, STORE_LOST_MILLISECONDS, STORE_RETRY_MILLISECONDS } from './limits.js'
import type { LeadershipOptions } from './leadership-options.js'
import { MemberList, NO_VERSION, UNWANTED_LIST } from './member-list.js'
import type { KnownOwner, Member, PeerReply, PeerRequest } from './messages.js'
import { OwnerEvidence } from './owner-evidence.js'
import { claimOwnership, NO_OWNER, readOwner, type OwnerRecord } from './owner-record.js'
import { compareSuccession, turnMilliseconds } from './succession.js'

type HeartbeatRequest = Extract<PeerRequest, { kind: 'beat' }>
type HeartbeatReply = Extract<PeerReply, { kind: 'beat' }>
type CheckOutcome = 'settled' | 'in-doubt'

/**
 * Tracks the current owner, and claims ownership when the owner fails or hands over.
 *
 * @example
 * const leadership = new Leadership(options)
 * await leadership.run(stopping.signal)
 */
export class Leadership {
  readonly #options: LeadershipOptions
  readonly #clock: Clock
  readonly #members: MemberList
  #owner: KnownOwner | undefined
  #ownership: OwnerRecord | undefined
  /** Aborts when the ownership ends. */
  #tenure = new AbortController()
  /** Time of its claim, while this VM owns the planner. */
  #ownedSince = -Infinity
  #isLoading = false
  #loading: Promise<void> | undefined
  #confirming: Promise<void> | undefined
  #confirmedAt = -Infinity
  /** Number of heartbeats that this VM has sent to members as the owner. */
  #sentAsOwner = 0
  readonly #evidence: OwnerEvidence
  #isLeaving = false
  #startedAt = -Infinity
  #claiming: Promise<void> | undefined

  constructor (options: LeadershipOptions) {
    this.#options = options
    this.#clock = options.clock ?? systemClock
    this.#members = new MemberList(options.self, this.#clock)
    this.#evidence = new OwnerEvidence(this.#clock)
  }

  /** The newest owner known to this VM. */
  get owner (): KnownOwner | undefined {
    return this.#owner
  }

  /** True while this VM owns the planner. */
  get isOwner (): boolean {
    return this.#ownership !== undefined
  }

  /** Other VMs with a recent heartbeat, received here or by the owner. */
  get members (): readonly Member[] {
    return this.#members.recent
  }

  /**
   * A reachable VM that may store a job when this one can't reach the store. For a follower this is
   * the owner, since an owner that can't reach the store hands over; for the owner it is a successor. None that
   * the store hasn't answered lately either.
   */
  get relayPeer (): Member | undefined {
    if (this.isOwner) return this.#successors().find(member => !this.#isStoreLost(member))
    const { contactAge, storeAge } = this.#evidence
    return contactAge < HEARTBEAT_MILLISECONDS + HEARTBEAT_TIMEOUT_MILLISECONDS && storeAge < STORE_LOST_MILLISECONDS ? this.#owner : undefined
  }

  /** Milliseconds since a majority of peers were last seen to follow this VM as the owner; the store's confirmation is tracked separately. */
  get peerConfirmationAge (): number {
    return this.#members.majorityAge
  }

  /** Milliseconds since the store last answered any member that has lately sent this VM a heartbeat, as it said then; Infinity if there is none. */
  get memberStoreAge (): number {
    return this.members.reduce((age, { vm }) => Math.min(age, this.#members.storeAgeOf(vm)), Infinity)
  }

  /** Runs leader election until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    this.#startedAt = this.#clock.now()
    await this.#discoverOwner(signal)
    while (!signal.aborted) {
      const outcome = this.#ownership === undefined ? await this.#checkOwner(signal) : this.#checkOwnership()
      // After an unanswered heartbeat the next one follows soon: the first message may just have been lost.
      await this.#pause(outcome === 'settled' ? HEARTBEAT_MILLISECONDS : HEARTBEAT_RETRY_MILLISECONDS, signal)
    }
    this.#tenure.abort()
    await this.#confirming
  }

  /** Hands the planner over to another VM; from then on this VM doesn't claim ownership. */
  async handOver (stopPlanning: () => Promise<void>): Promise<void> {
    this.#isLeaving = true
    const ownership = this.#ownership
    if (ownership === undefined) return
    await stopPlanning()
    this.#endOwnership()
    await this.#passOn(ownership)
  }

  /** Requests one VM after the other to take over, until one has. */
  async #passOn (owner: OwnerRecord): Promise<void> {
    for (const successor of this.#successors()) {
      try {
        await this.#options.peers.call(successor.address, { kind: 'succeed', owner }, HEARTBEAT_TIMEOUT_MILLISECONDS)
        this.#options.emit('planner-handed-over', { details: { to: successor.vm, epoch: owner.epoch } })
        return
      } catch (thrown) {
        this.#options.emit('peer-call-failed', { details: { address: successor.address, kind: 'succeed', failure: asFailure(thrown).code } })
      }
    }
  }

  /** Records that this VM has been fenced and is no longer the owner. */
  loseOwnership (): void {
    this.#endOwnership()
    this.#evidence.giveUp()
  }

  /** Answers a heartbeat. */
  answerHeartbeat (heartbeat: HeartbeatRequest): HeartbeatReply {
    const { member, storeAge } = heartbeat
    this.#members.add(member, storeAge, this.#confirmationTimeOf(heartbeat))
    this.#adoptFromPeer(heartbeat.owner)
    const waitingJobs = this.isOwner ? this.#options.waitingJobs?.() : undefined
    const configuration = this.#options.configuration?.answer(heartbeat.staleConfiguration)
    return {
      kind: 'beat',
      isOwner: this.isOwner,
      storeAge: this.#options.storeAge(),
      ...(this.isOwner ? { ownedMilliseconds: this.#clock.now() - this.#ownedSince } : {}),
      ...(waitingJobs === undefined ? {} : { waitingJobs }),
      ...(configuration === undefined ? {} : { configuration }),
      ...this.#members.listFor(heartbeat.listVersion, member),
      ownerHeardAge: this.#evidence.heardAgeFor(member),
      ...(this.#owner === undefined ? {} : { owner: this.#owner })
    }
  }

  /**
   * A time from which on the sender of a heartbeat has followed this VM as the owner; undefined if it doesn't follow it. Heartbeats wait
   * in the sockets of a process that doesn't run, so it isn't the time of arrival, unless the sender's release doesn't give a better one.
   */
  #confirmationTimeOf ({ owner, ownedMilliseconds }: HeartbeatRequest): number | undefined {
    if (this.#ownership === undefined || owner?.epoch !== this.#ownership.epoch) return undefined
    const now = this.#clock.now()
    return ownedMilliseconds === undefined ? now : Math.min(now, this.#ownedSince + ownedMilliseconds)
  }

  /**
   * Adopts the owner that a peer names, unless it may be this VM by a claim whose answer is in flight: a reply that names it without
   * owning it has the peer claim.
   */
  #adoptFromPeer (owner: KnownOwner | undefined): void {
    if (owner === undefined) return
    const { self } = this.#options
    const mayBeOwnClaim = this.#claiming !== undefined && owner.vm === self.vm && owner.address === self.address
    if (!mayBeOwnClaim) this.adoptOwner(owner)
  }

  /** Claims ownership and loads the planner, as the owner hands over; a repeated request of an earlier owner claims nothing. */
  async takeOver (owner: KnownOwner): Promise<void> {
    this.adoptOwner(owner)
    if (!this.#isLeaving && this.#owner?.epoch === owner.epoch) await this.#claim('handed over')
    if (this.isOwner) await this.#loading
  }

  async #discoverOwner (signal: AbortSignal): Promise<void> {
    while (this.#owner === undefined && !signal.aborted) {
      let retryMilliseconds = STORE_RETRY_MILLISECONDS
      try {
        const owner = await readOwner(this.#options.store)
        if (owner !== undefined) this.adoptOwner(owner)
        else if (this.#isTurnAfterStart) await this.#claim('no owner yet')
        else {
          await this.#querySeeds()
          retryMilliseconds = HEARTBEAT_MILLISECONDS
        }
      } catch (thrown) {
        this.#options.emit('owner-not-read', { details: { failure: asFailure(thrown).code } })
        await this.#querySeeds()
      }
      if (this.#owner === undefined) await pause(this.#clock, retryMilliseconds, signal)
    }
  }

  /** Learns the owner and the members from the seeds. */
  async #querySeeds (): Promise<void> {
    const others = this.#options.seeds.filter(address => address !== this.#options.self.address)
    await Promise.all(others.map(async address => {
      const answer = await this.#sendHeartbeat(address, NO_VERSION)
      if (answer === undefined) return
      this.#members.receive(address, answer)
      this.#adoptFromPeer(answer.owner)
    }))
  }

  get #uptimeMilliseconds (): number {
    return this.#clock.now() - this.#startedAt
  }

  /** True while VMs that started with this one may still be unknown to it. */
  get #isStarting (): boolean {
    return this.#uptimeMilliseconds <= STARTUP_MILLISECONDS
  }

  /** True once none of the VMs before this one in the order of succession has claimed a planner that never had an owner. */
  get #isTurnAfterStart (): boolean {
    const turn = turnMilliseconds(this.#options.self, this.#members.candidates, this.#uptimeMilliseconds)
    return this.#uptimeMilliseconds > STARTUP_MILLISECONDS + turn
  }

  /** Adopts an owner learned from the store or from a peer if its epoch is newer. */
  adoptOwner (owner: KnownOwner): void {
    if (this.#owner !== undefined && owner.epoch <= this.#owner.epoch) return
    const { vm, address, epoch, version } = owner
    this.#owner = { vm, address, epoch, version }
    this.#evidence.follow()
    if (this.#ownership === undefined || this.#ownership.epoch >= epoch) return
    this.#endOwnership()
    this.#options.onLost()
  }

  #endOwnership (): void {
    this.#ownership = undefined
    this.#tenure.abort()
  }

  /** Returns `in-doubt` if the next heartbeat is due at once. */
  async #checkOwner (signal: AbortSignal): Promise<CheckOutcome> {
    const owner = this.#owner
    if (owner === undefined) return 'settled'
    let isAnswered = true
    if (owner.address === this.#options.self.address) this.#evidence.giveUp()
    else isAnswered = await Promise.race([this.#sendOwnerHeartbeat(owner), this.#pause(HEARTBEAT_TIMEOUT_MILLISECONDS, signal).then(() => false)])
    if (signal.aborted || this.#owner?.epoch !== owner.epoch) return 'settled'
    if (!this.#evidence.isGone) return isAnswered ? 'settled' : 'in-doubt'
    if (this.#isStarting) {
      await this.#querySeeds()
      return 'settled'
    }
    await this.#replaceOwner(owner, signal)
    return 'settled'
  }

  /** Sends the owner a heartbeat and records its reply, also one that comes after the next heartbeat. */
  async #sendOwnerHeartbeat (owner: KnownOwner): Promise<boolean> {
    const { address, epoch } = owner
    let isRefused = false
    const answer = await this.#sendHeartbeat(address, this.#members.versionFrom(address), this.#evidence.requiredSilence / 2, failure => { isRefused = isConnectionRefused(failure) })
    this.#adoptFromPeer(answer?.owner)
    if (this.#owner?.epoch !== epoch) return true
    if (answer === undefined) {
      // Any other failure, such as a handshake that isn't completed in time, shows only that the owner is slow.
      if (isRefused) this.#evidence.refuse()
      return false
    }
    this.#members.receive(address, answer)
    if (answer.isOwner) {
      this.#evidence.hear(answer.ownedMilliseconds, answer.storeAge)
      if (answer.waitingJobs !== undefined) this.#options.onWaitingJobs?.(answer.waitingJobs)
    // A VM that replies with an older epoch may itself own this one, if the answer to its claim is still in flight.
    } else if ((answer.owner?.epoch ?? 0) >= epoch) this.#evidence.giveUp()
    return true
  }

  async #pause (milliseconds: number, signal: AbortSignal): Promise<void> {
    const dueAt = this.#clock.now() + milliseconds
    await pause(this.#clock, milliseconds, signal)
    this.#evidence.excludeDelay(dueAt)
  }

  /** Sends a heartbeat after which both VMs know the newer owner. */
  async #exchangeOwner (address: string): Promise<void> {
    const answer = await this.#sendHeartbeat(address)
    this.#adoptFromPeer(answer?.owner)
  }

  async #sendHeartbeat (address: string, listVersion = UNWANTED_LIST, timeoutMilliseconds = HEARTBEAT_TIMEOUT_MILLISECONDS, onFailure: (failure: CornelgaugeError) => void = () => {}): Promise<HeartbeatReply | undefined> {
    const { self, peers, storeAge, emit, configuration } = this.#options
    const staleConfiguration = configuration?.staleVersion
    const sentAt = moment()
    const heartbeat: HeartbeatRequest = { kind: 'beat', member: self, storeAge: storeAge(), listVersion, ...(this.#owner === undefined ? {} : { owner: this.#owner, ownedMilliseconds: this.#evidence.ownedMilliseconds }), ...(staleConfiguration === undefined ? {} : { staleConfiguration }) }
    try {
      const reply = await peers.call<'beat'>(address, heartbeat, timeoutMilliseconds)
      configuration?.receive(reply.configuration, sentAt, address)
      return reply
    } catch (thrown) {
      const failure = asFailure(thrown)
      emit('peer-call-failed', { details: { address, kind: 'beat', failure: failure.code } })
      onFailure(failure)
      return undefined
    }
  }

  /** Claims ownership from a failed owner, unless other VMs still reach it or a VM of lower rank has claimed first. */
  async #replaceOwner (owner: KnownOwner, signal: AbortSignal): Promise<void> {
    if (this.#isLeaving) return
    const others = await this.#otherCandidates(owner)
    await this.#pause(turnMilliseconds(this.#options.self, others, this.#uptimeMilliseconds), signal)
    if (signal.aborted || this.#owner?.epoch !== owner.epoch || !this.#evidence.isGone) return
    if (!this.#evidence.hasGivenUp && others.length > 0 && await this.#isReachableElsewhere(others)) {
      this.#evidence.postpone()
      return
    }
    if (this.#owner?.epoch === owner.epoch) await this.#claim('owner gone')
  }

  /** Candidates other than the owner; a VM that knows none asks the seeds for them. */
  async #otherCandidates (owner: KnownOwner): Promise<readonly Member[]> {
    if (this.#members.candidates.every(member => member.vm === owner.vm)) await this.#querySeeds()
    return this.#members.candidates.filter(member => member.vm !== owner.vm)
  }

  async #isReachableElsewhere (others: readonly Member[]): Promise<boolean> {
    const answers = await Promise.all(others.slice(0, 3).map(member => this.#sendHeartbeat(member.address)))
    for (const answer of answers) this.#adoptFromPeer(answer?.owner)
    const replies = answers.filter(answer => answer !== undefined)
    if (replies.length === 0) return this.#evidence.contactAge < ISOLATED_TAKEOVER_MILLISECONDS
    return replies.some(answer => answer.isOwner || answer.ownerHeardAge < HEARTBEAT_MILLISECONDS + OWNER_SILENCE_MILLISECONDS / 2)
  }

  #claim (reason: string): Promise<void> {
    this.#claiming ??= this.#tryClaim(reason).finally(() => { this.#claiming = undefined })
    return this.#claiming
  }

  async #tryClaim (reason: string): Promise<void> {
    const { store, self, emit } = this.#options
    const started = this.#clock.now()
    const previous = this.#owner
    const silenceMilliseconds = this.#evidence.contactAge
    try {
      const storedOwner = await readOwner(store)
      if (storedOwner !== undefined && storedOwner.epoch > (previous?.epoch ?? 0)) {
        this.adoptOwner(storedOwner)
        return
      }
      // The VM may have begun to leave while it waited for its turn.
      if (this.#isLeaving) return
      const owner = await claimOwnership(store, storedOwner ?? NO_OWNER, self)
      this.adoptOwner(owner)
      if (owner.vm !== self.vm || owner.address !== self.address || owner.epoch !== (storedOwner?.epoch ?? 0) + 1) return
      // A newer owner may have become known before the answer to the claim.
      if (this.#owner?.epoch !== owner.epoch) return
      emit('planner-claimed', { details: { epoch: owner.epoch, reason, previous: storedOwner?.vm, silent: Number.isFinite(silenceMilliseconds) ? Math.round(silenceMilliseconds) : undefined, milliseconds: Math.round(this.#clock.now() - started) } })
      // The VM may have begun to leave while the answer was in flight.
      if (this.#isLeaving) return await this.#passOn(owner)
      this.#beginTenure(owner, reason)
      if (previous !== undefined && previous.address !== self.address) this.#exchangeOwner(previous.address)
    } catch (thrown) {
      emit('planner-claim-failed', { details: { failure: asFailure(thrown).code, reason } })
    }
  }

  /** Starts the load of the planner's state beside the loop of heartbeats, so that this VM learns meanwhile if it is replaced. */
  #beginTenure (owner: OwnerRecord, reason: string): void {
    const tenure = new AbortController()
    this.#tenure.abort()
    this.#tenure = tenure
    this.#ownership = owner
    this.#ownedSince = this.#clock.now()
    this.#members.dropConfirmations()
    this.#isLoading = true
    this.#loading = this.#options.onOwned(owner, tenure.signal)
      .catch(thrown => {
        this.#options.emit('planner-claim-failed', { details: { failure: asFailure(thrown).code, reason } })
        this.#endTenure(tenure)
      })
      .finally(() => { if (this.#tenure === tenure) this.#isLoading = false })
  }

  /** Ends an ownership without a planner, so that this VM or another one claims it again. */
  #endTenure (tenure: AbortController): void {
    if (this.#tenure !== tenure || this.#ownership === undefined) return
    this.loseOwnership()
    this.#options.onLost()
  }

  /** As owner: looks for a newer owner, and hands over if the store is lost. */
  #checkOwnership (): CheckOutcome {
    this.#evidence.hear()
    this.#confirming ??= this.#confirmOwnership().finally(() => { this.#confirming = undefined })
    this.#handOverIfStoreLost()
    return 'settled'
  }

  /** Sends a heartbeat to one member, whose reply names a newer owner if it knows one, and while loading reads the owner row. */
  async #confirmOwnership (): Promise<void> {
    const { members } = this
    const member = members[this.#sentAsOwner++ % Math.max(1, members.length)]
    if (member !== undefined) await this.#exchangeOwner(member.address)
    if (!this.#isLoading || this.#clock.now() - this.#confirmedAt < CONFIRM_INTERVAL_MILLISECONDS) return
    this.#confirmedAt = this.#clock.now()
    try {
      const storedOwner = await readOwner(this.#options.store)
      if (storedOwner !== undefined) this.adoptOwner(storedOwner)
    } catch (thrown) {
      this.#options.emit('owner-not-read', { details: { failure: asFailure(thrown).code } })
    }
  }

  /** As owner, also while it loads: hands over to a peer that reaches the store if this VM doesn't. */
  #handOverIfStoreLost (): void {
    if (this.#options.storeAge() < this.#evidence.scale(STORE_LOST_MILLISECONDS)) return
    const successor = this.#successors().find(member => !this.#isStoreLost(member))
    if (successor === undefined || this.#ownership === undefined) return
    this.#options.peers.call(successor.address, { kind: 'succeed', owner: this.#ownership }, HEARTBEAT_TIMEOUT_MILLISECONDS)
      .then(() => this.#options.emit('planner-handed-over', { details: { to: successor.vm, epoch: this.#owner?.epoch } }))
      .catch(thrown => this.#options.emit('peer-call-failed', { details: { address: successor.address, kind: 'succeed', failure: asFailure(thrown).code } }))
  }

  /** Candidates for taking over: first those that the store has answered lately, of these the ones with the most weight. */
  #successors (): readonly Member[] {
    return [...this.#members.recent].sort((left, right) => Number(this.#isStoreLost(left)) - Number(this.#isStoreLost(right)) || compareSuccession(left, right))
  }

  #isStoreLost ({ vm }: Member): boolean {
    return this.#members.storeAgeOf(vm) >= STORE_LOST_MILLISECONDS
  }
}
