/**
 * Which VM owns the planner. Messages between VMs find out that the owner is gone;
 * the conditional write of its row in the store decides who comes next.
 */
import { pause, systemClock } from '@cornelgauge/coordination'
import { asFailure, type VmName } from '@cornelgauge/model'
import type { RowStore } from '@cornelgauge/ports'
import type { EmitEvent } from '@cornelgauge/telemetry'
import { HEARTBEAT_MILLISECONDS, HEARTBEAT_TIMEOUT_MILLISECONDS, ISOLATED_MILLISECONDS, MEMBER_MILLISECONDS, MISSED_HEARTBEATS, STORE_LOST_MILLISECONDS, STORE_RETRY_MILLISECONDS, SUCCESSION_STEP_MILLISECONDS } from './limits.js'
import type { KnownOwner, Member, PeerAnswer, PeerQuestion } from './messages.js'
import { claimOwnership, NO_OWNER, readOwner, type OwnerRecord } from './owner-record.js'
import type { Peers } from './peers.js'

/** What leadership needs. */
export interface LeadershipOptions {
  readonly self: Member
  readonly seeds: readonly string[]
  readonly store: RowStore
  readonly peers: Peers
  readonly emit: EmitEvent
  /** Milliseconds since the store last answered this VM. */
  readonly storeAge: () => number
  /** This VM has become the owner. */
  readonly onOwned: (owner: OwnerRecord) => Promise<void>
  /** Another VM owns the planner. */
  readonly onLost: () => void
}

interface KnownMember extends Member {
  readonly heardAt: number
  readonly storeAge: number
}

type BeatQuestion = Extract<PeerQuestion, { kind: 'beat' }>
type BeatAnswer = Extract<PeerAnswer, { kind: 'beat' }>

/**
 * Follows the owner, or is it.
 *
 * @example
 * const leadership = new Leadership(options)
 * await leadership.run(stopping.signal)
 */
export class Leadership {
  readonly #options: LeadershipOptions
  readonly #members = new Map<VmName, KnownMember>()
  #owner: KnownOwner | undefined
  #owned: OwnerRecord | undefined
  #heardOwnerAt = -Infinity
  #misses = 0
  #isLeaving = false
  #claiming: Promise<void> | undefined

  constructor (options: LeadershipOptions) {
    this.#options = options
  }

  /** The owner as known here. */
  get owner (): KnownOwner | undefined {
    return this.#owner
  }

  /** True while this VM owns the planner. */
  get isOwner (): boolean {
    return this.#owned !== undefined
  }

  /** Other VMs that were heard of lately. */
  get members (): readonly Member[] {
    const now = performance.now()
    return [...this.#members.values()].filter(member => now - member.heardAt < MEMBER_MILLISECONDS)
  }

  /** A VM that answers and may reach the store where this one doesn't: the owner, who gives way where it doesn't either. */
  get helper (): Member | undefined {
    if (this.isOwner) return this.#successors()[0]
    return performance.now() - this.#heardOwnerAt < HEARTBEAT_MILLISECONDS + HEARTBEAT_TIMEOUT_MILLISECONDS ? this.#owner : undefined
  }

  /** Milliseconds since most peers followed this owner; the store's word counts beside it. */
  get followedAge (): number {
    const now = performance.now()
    const ages = [...this.#members.values()].map(member => now - member.heardAt).sort((left, right) => left - right)
    return ages.length === 0 ? Infinity : ages[Math.floor(ages.length / 2)]!
  }

  /** Keeps to the owner until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    await this.#learn(signal)
    while (!signal.aborted) {
      if (this.#owned !== undefined) this.#watchStore()
      else await this.#beatOwner(signal)
      // An owner that was missed is asked again at once: it may be one message that was lost.
      const isInDoubt = this.#misses > 0 && this.#misses < MISSED_HEARTBEATS
      if (!isInDoubt) await pause(systemClock, HEARTBEAT_MILLISECONDS, signal)
    }
  }

  /** Gives the planner to another VM; this VM doesn't claim any more. */
  async leave (stopPlanning: () => Promise<void>): Promise<void> {
    this.#isLeaving = true
    const owned = this.#owned
    if (owned === undefined) return
    await stopPlanning()
    this.#owned = undefined
    for (const successor of this.#successors()) {
      try {
        await this.#options.peers.ask(successor.address, { kind: 'succeed', owner: owned }, HEARTBEAT_TIMEOUT_MILLISECONDS)
        this.#options.emit('planner-handed-over', { details: { to: successor.vm, epoch: owned.epoch } })
        return
      } catch (thrown) {
        this.#options.emit('peer-call-failed', { details: { address: successor.address, kind: 'succeed', failure: asFailure(thrown).code } })
      }
    }
  }

  /** This VM isn't the owner any more. */
  lose (): void {
    this.#owned = undefined
    this.#misses = MISSED_HEARTBEATS
  }

  /** Answers a heartbeat. */
  hear (beat: BeatQuestion): BeatAnswer {
    const { member, storeAge } = beat
    this.#members.set(member.vm, { ...member, storeAge, heardAt: performance.now() })
    if (beat.owner !== undefined) this.follow(beat.owner)
    return {
      kind: 'beat',
      isOwner: this.isOwner,
      members: this.members,
      ownerHeardAge: performance.now() - this.#heardOwnerAt,
      ...(this.#owner === undefined ? {} : { owner: this.#owner })
    }
  }

  /** The owner leaves: claims at once. */
  async succeed (owner: KnownOwner): Promise<void> {
    this.follow(owner)
    if (!this.#isLeaving) await this.#claim('handed over')
  }

  async #learn (signal: AbortSignal): Promise<void> {
    while (this.#owner === undefined && !signal.aborted) {
      try {
        const owner = await readOwner(this.#options.store)
        if (owner === undefined) await this.#claim('no owner yet')
        else this.follow(owner)
      } catch (thrown) {
        this.#options.emit('owner-not-read', { details: { failure: asFailure(thrown).code } })
        await this.#askSeeds()
        if (this.#owner === undefined) await pause(systemClock, STORE_RETRY_MILLISECONDS, signal)
      }
    }
  }

  async #askSeeds (): Promise<void> {
    const others = this.#options.seeds.filter(address => address !== this.#options.self.address)
    await Promise.all(others.map(async address => {
      const answer = await this.#beat(address)
      if (answer?.owner !== undefined) this.follow(answer.owner)
    }))
  }

  /** Takes what is known of the owner from elsewhere. */
  follow (owner: KnownOwner): void {
    if (this.#owner !== undefined && owner.epoch <= this.#owner.epoch) return
    const { vm, address, epoch, version } = owner
    this.#owner = { vm, address, epoch, version }
    this.#misses = 0
    this.#heardOwnerAt = performance.now()
    if (this.#owned === undefined || this.#owned.epoch >= epoch) return
    this.#owned = undefined
    this.#options.onLost()
  }

  async #beatOwner (signal: AbortSignal): Promise<void> {
    const owner = this.#owner
    if (owner === undefined) return
    const answer = owner.address === this.#options.self.address ? undefined : await this.#beat(owner.address)
    if (signal.aborted) return
    if (answer?.owner !== undefined) this.follow(answer.owner)
    if (answer?.isOwner === true) {
      this.#misses = 0
      this.#heardOwnerAt = performance.now()
      const now = performance.now()
      for (const member of answer.members) if (member.vm !== this.#options.self.vm) this.#members.set(member.vm, { storeAge: 0, ...member, heardAt: now })
      return
    }
    // A VM that hasn't heard of this epoch may be about to learn that its own claim has won.
    const hasGivenUp = answer !== undefined && (answer.owner?.epoch ?? 0) >= owner.epoch
    const isKnownGone = hasGivenUp || owner.address === this.#options.self.address
    this.#misses = isKnownGone ? MISSED_HEARTBEATS : this.#misses + 1
    if (this.#misses >= MISSED_HEARTBEATS && this.#owner?.epoch === owner.epoch) await this.#replace(owner, isKnownGone, signal)
  }

  async #beat (address: string): Promise<BeatAnswer | undefined> {
    const { self, peers, storeAge, emit } = this.#options
    const beat: BeatQuestion = { kind: 'beat', member: self, storeAge: storeAge(), ...(this.#owner === undefined ? {} : { owner: this.#owner }) }
    try {
      return await peers.ask<'beat'>(address, beat, HEARTBEAT_TIMEOUT_MILLISECONDS)
    } catch (thrown) {
      emit('peer-call-failed', { details: { address, kind: 'beat', failure: asFailure(thrown).code } })
      return undefined
    }
  }

  /** The owner doesn't answer: claims, unless the fault is on this VM's side or another VM's turn comes first. */
  async #replace (owner: KnownOwner, isKnownGone: boolean, signal: AbortSignal): Promise<void> {
    if (this.#isLeaving) return
    const others = this.members.filter(member => member.vm !== owner.vm)
    const rank = others.filter(member => member.vm < this.#options.self.vm).length
    await pause(systemClock, rank * SUCCESSION_STEP_MILLISECONDS, signal)
    if (signal.aborted || this.#owner?.epoch !== owner.epoch) return
    if (!isKnownGone && others.length > 0 && await this.#isHeardElsewhere(others)) {
      this.#misses = 0
      return
    }
    if (this.#owner?.epoch === owner.epoch) await this.#claim('owner gone')
  }

  async #isHeardElsewhere (others: readonly Member[]): Promise<boolean> {
    const answers = await Promise.all(others.slice(0, 3).map(member => this.#beat(member.address)))
    for (const answer of answers) if (answer?.owner !== undefined) this.follow(answer.owner)
    const known = answers.filter(answer => answer !== undefined)
    if (known.length === 0) return performance.now() - this.#heardOwnerAt < ISOLATED_MILLISECONDS
    return known.some(answer => answer.isOwner || answer.ownerHeardAge < HEARTBEAT_MILLISECONDS + HEARTBEAT_TIMEOUT_MILLISECONDS)
  }

  #claim (reason: string): Promise<void> {
    this.#claiming ??= this.#tryClaim(reason).finally(() => { this.#claiming = undefined })
    return this.#claiming
  }

  async #tryClaim (reason: string): Promise<void> {
    const { store, self, emit } = this.#options
    const started = performance.now()
    const silent = started - this.#heardOwnerAt
    try {
      const known = await readOwner(store)
      if (known !== undefined && known.epoch > (this.#owner?.epoch ?? 0)) {
        this.follow(known)
        return
      }
      const owner = await claimOwnership(store, known ?? NO_OWNER, self)
      this.follow(owner)
      if (owner.vm !== self.vm || owner.address !== self.address || owner.epoch !== (known?.epoch ?? 0) + 1) return
      this.#owned = owner
      emit('planner-claimed', { details: { epoch: owner.epoch, reason, previous: known?.vm, silent: Number.isFinite(silent) ? Math.round(silent) : undefined, milliseconds: Math.round(performance.now() - started) } })
      await this.#options.onOwned(owner)
    } catch (thrown) {
      emit('planner-claim-failed', { details: { failure: asFailure(thrown).code, reason } })
    }
  }

  /** An owner that the store doesn't answer gives way to a peer that it does. */
  #watchStore (): void {
    this.#heardOwnerAt = performance.now()
    if (this.#options.storeAge() < STORE_LOST_MILLISECONDS) return
    const better = this.#successors().find(member => member.storeAge < STORE_LOST_MILLISECONDS)
    if (better === undefined || this.#owned === undefined) return
    this.#options.peers.ask(better.address, { kind: 'succeed', owner: this.#owned }, HEARTBEAT_TIMEOUT_MILLISECONDS)
      .then(() => this.#options.emit('planner-handed-over', { details: { to: better.vm, epoch: this.#owner?.epoch } }))
      .catch(thrown => this.#options.emit('peer-call-failed', { details: { address: better.address, kind: 'succeed', failure: asFailure(thrown).code } }))
  }

  /** The VMs that may take over: those that reach the store first. */
  #successors (): readonly KnownMember[] {
    const now = performance.now()
    return [...this.#members.values()]
      .filter(member => now - member.heardAt < MEMBER_MILLISECONDS)
      .sort((left, right) => left.storeAge - right.storeAge || (left.vm < right.vm ? -1 : 1))
  }
}
