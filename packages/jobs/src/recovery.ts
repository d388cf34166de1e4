/** Determines which runs of earlier owners this one may not know yet, and until when. */
import { epoch, type Epoch } from '@cornelgauge/model'
import type { ServerId } from './ids.js'
import { DISCONNECTED_OWNER_MILLISECONDS, LEASE_MILLISECONDS, MINIMUM_SERVER_CLOCK_RATE, OVERWRITTEN_ROW_MILLISECONDS } from './limits.js'
import type { Server } from './server.js'

/** Backend servers that must not be used. */
export type HeldServers = Pick<ReadonlySet<ServerId>, 'has' | 'size'>

/** Holds every backend server, also one that is registered later. */
export const ALL_SERVERS: HeldServers = { has: () => true, size: Infinity }

/** Bounds of the runs that earlier owners may have left on a backend server. */
export interface EarlierRuns {
  /** When all of them have ended at the latest, on our monotonic clock, unless this owner renews their leases. */
  readonly until: number
  /** The last owner that may have started one there. */
  readonly lastEpoch: Epoch
}

/** Starts of earlier owners that may be missing in the record. */
export interface UnrecordedStarts {
  /** The last owner that may have sent one. */
  readonly upTo: Epoch
  /** When the runs that they began have ended at the latest, on our monotonic clock, unless a later owner has renewed their leases. */
  readonly until: number
  /** Backend servers that have listed all their runs and ends to a later owner, which has stored them. */
  readonly settledServers: ReadonlySet<ServerId>
}

/** The last owners of which there may be runs that this one doesn't know; undefined where there are none. */
export interface UnknownEpochs {
  readonly latest: Epoch | undefined
  /** The same for runs that aren't recorded. */
  readonly unrecorded: Epoch | undefined
}

/** What jobs of earlier owners wait for. */
export interface RecoveryWait {
  /** Number of backend servers whose runs may be unknown. */
  readonly servers: number
  /** One of them, with when the wait for it ends at the latest; undefined while its list of ends is cut. */
  readonly server?: ServerId
  readonly until?: number
}

/**
 * The backend servers on which earlier owners may have runs that this one doesn't know. A job waits
 * only for those on which an owner may have started it.
 *
 * @example
 * recovery.inherit(ids, bounds)
 * job.mayHaveRunsUnder(recovery.unknownEpochs(now).latest)
 */
export class Recovery {
  readonly #servers: ReadonlyMap<ServerId, Server>
  readonly #startedAt: number
  /** Bounds on a backend server of which nothing is stored. */
  readonly #unrecorded: EarlierRuns
  /** When a backend server whose row another writer has overwritten has written it again at the latest. */
  readonly #rowsReadableBy: number
  /** Number of rows of the registry that can't be read. */
  unreadableServers = 0
  readonly #bounds = new Map<ServerId, EarlierRuns>()
  /** Addresses of the backend servers on which earlier owners have recorded runs. */
  readonly #earlierAddresses = new Map<ServerId, string>()
  /** Backend servers of earlier owners that the registry has not listed since. */
  readonly #absentServers = new Set<ServerId>()
  /** When each backend server became known. */
  readonly #knownSince = new Map<ServerId, number>()
  /** Backend servers that have answered this owner, which may have used them. */
  readonly #reachedServers = new Set<ServerId>()
  /** Address at which each backend server has last answered this owner. */
  readonly #answerAddresses = new Map<ServerId, string>()
  /** The last backend server that has answered this owner at each address, and when it was asked. */
  readonly #lastAnswers = new Map<string, { readonly id: ServerId, readonly at: number }>()
  /** The address at which another backend server has last answered a poll meant for this one, and when it was sent. */
  readonly #rejectedPolls = new Map<ServerId, { readonly address: string, readonly at: number }>()
  #isComplete = false
  #unrecordedStarts: UnrecordedStarts | undefined
  /** No unknown runs are left that aren't recorded. */
  #areStartsRecorded = false

  constructor (owner: Epoch, now: number, servers: ReadonlyMap<ServerId, Server>) {
    this.#servers = servers
    this.#startedAt = now
    this.#rowsReadableBy = now + OVERWRITTEN_ROW_MILLISECONDS
    const until = now + LEASE_MILLISECONDS / MINIMUM_SERVER_CLOCK_RATE + DISCONNECTED_OWNER_MILLISECONDS
    this.#unrecorded = { until, lastEpoch: epoch(Math.max(0, owner - 1)) }
    this.#unrecordedStarts = { upTo: this.#unrecorded.lastEpoch, until, settledServers: new Set() }
  }

  /** Starts of earlier owners that were missing in the record at the claim; undefined if it lists where all of their tasks may run, or says that it doesn't. */
  get unrecordedStarts (): UnrecordedStarts | undefined {
    return this.#unrecordedStarts
  }

  /** Adds the backend servers that may have runs of earlier owners, whether they are listed or not, the bounds that are stored, and the addresses of those with recorded runs. */
  inherit (ids: Iterable<ServerId>, bounds: ReadonlyMap<ServerId, EarlierRuns>, addresses: ReadonlyMap<ServerId, string>, unrecordedStarts: UnrecordedStarts | undefined): void {
    for (const [id, address] of addresses) this.#earlierAddresses.set(id, address)
    this.#unrecordedStarts = unrecordedStarts === undefined ? undefined : { ...unrecordedStarts, until: Math.min(unrecordedStarts.until, this.#unrecorded.until) }
    for (const id of [...ids, ...addresses.keys()]) {
      this.#knownSince.set(id, this.#startedAt)
      if (!this.#servers.has(id)) this.#absentServers.add(id)
    }
    for (const [id, { until, lastEpoch }] of bounds) this.#bounds.set(id, { until: Math.min(until, this.#unrecorded.until), lastEpoch })
  }

  /** Returns the bounds of the runs of earlier owners on a backend server. */
  boundsOf (id: ServerId): EarlierRuns {
    return this.#bounds.get(id) ?? this.#unrecorded
  }

  noteRegistered (id: ServerId, now: number): void {
    this.#absentServers.delete(id)
    if (!this.#knownSince.has(id)) this.#knownSince.set(id, now)
  }

  /** Notes an answer of a backend server to a poll that was sent to this address. */
  noteAnswer ({ id }: Server, address: string, askedAt: number): void {
    this.#reachedServers.add(id)
    this.#answerAddresses.set(id, address)
    if (askedAt >= (this.#lastAnswers.get(address)?.at ?? -Infinity)) this.#lastAnswers.set(address, { id, at: askedAt })
  }

  /** Notes that another backend server has answered a poll that was meant for this one. */
  noteRejection (id: ServerId, address: string, askedAt: number): void {
    if (askedAt > (this.#rejectedPolls.get(id)?.at ?? -Infinity)) this.#rejectedPolls.set(id, { address, at: askedAt })
  }

  /**
   * True if another backend server has answered at its address since it was known, has answered itself and was last known to
   * have restarted, so that it has ended with all its runs. Not so if its row names another address than that of its last answer,
   * or of its recorded runs before the first.
   */
  isReplaced ({ id, entry: { address }, lastAnswerAt, restartedAt }: Server): boolean {
    if ((this.#answerAddresses.get(id) ?? this.#earlierAddresses.get(id) ?? address) !== address) return false
    const last = this.#lastAnswers.get(address)
    const rejected = this.#rejectedPolls.get(id)
    const since = Math.max(this.#knownSince.get(id) ?? Infinity, lastAnswerAt, restartedAt)
    return (last !== undefined && last.id !== id && last.at > since) || (rejected?.address === address && rejected.at > since)
  }

  /** Backend servers that may have runs of earlier owners, and that the registry has not listed since. */
  absentServers (now: number): readonly ServerId[] {
    return [...this.#absentServers].filter(id => now <= this.boundsOf(id).until && !this.#isAddressTaken(id))
  }

  /** True if another backend server has answered this owner at the address of one with recorded runs, which has ended with them. */
  #isAddressTaken (id: ServerId): boolean {
    const last = this.#lastAnswers.get(this.#earlierAddresses.get(id) ?? '')
    return last !== undefined && last.id !== id && last.at > this.#startedAt
  }

  /**
   * Of the given backend servers, those that this owner hasn't used, since they have not answered it, were replaced, or aren't
   * to be used yet, with the bounds for the next owner.
   */
  unreached (ids: Iterable<ServerId>, mayUse: (id: ServerId) => boolean = () => true): ReadonlyMap<ServerId, EarlierRuns> {
    const unreached = new Map<ServerId, EarlierRuns>()
    for (const id of ids) {
      const server = this.#servers.get(id)
      if (server !== undefined && this.isReplaced(server)) unreached.set(id, { until: this.#startedAt, lastEpoch: epoch(0) })
      else if (!this.#reachedServers.has(id) || !mayUse(id)) unreached.set(id, this.boundsOf(id))
    }
    return unreached
  }

  /** True if earlier owners may have runs on a backend server that this one doesn't know. */
  mayHideRuns (id: ServerId, now: number): boolean {
    const server = this.#servers.get(id)
    if (server === undefined) return now <= this.boundsOf(id).until && !this.#isAddressTaken(id)
    return server.isListCut || (server.mayHideRuns(now) && now <= this.#endOf(server, id) && !this.isReplaced(server))
  }

  /** Returns the last owners of which there may be unknown runs. */
  unknownEpochs (now: number): UnknownEpochs {
    return { latest: this.#latestUnknownEpoch(now), unrecorded: this.latestUnrecordedEpoch(now) }
  }

  /** True if starts of earlier owners may have been missing in the record at the claim. */
  get hadEarlierStarts (): boolean {
    return this.#unrecordedStarts !== undefined && this.#unrecordedStarts.upTo > 0
  }

  /** Epoch of the last owner of which there may be unknown runs that aren't recorded; undefined, from then on, if there are none. */
  latestUnrecordedEpoch (now: number): Epoch | undefined {
    if (this.#unrecordedStarts === undefined || this.#areStartsRecorded) return undefined
    const { upTo, until, settledServers } = this.#unrecordedStarts
    if (this.#mayMissServers(now)) return upTo
    // A start of an earlier owner may still arrive at a settled backend server that restarts, and begins there without a fence.
    const areSettled = now > until
    let latest: Epoch | undefined
    for (const id of this.#unresolvedServers(now)) {
      if (areSettled && settledServers.has(id)) continue
      const last = epoch(Math.min(this.boundsOf(id).lastEpoch, upTo))
      if (latest === undefined || last > latest) latest = last
      if (latest === upTo) return latest
    }
    this.#areStartsRecorded = latest === undefined && this.#servers.size > 0
    return latest
  }

  #latestUnknownEpoch (now: number): Epoch | undefined {
    if (this.#isComplete) return undefined
    if (this.#mayMissServers(now)) return this.#unrecorded.lastEpoch
    let latest: Epoch | undefined
    for (const id of this.#unresolvedServers(now)) {
      const { lastEpoch } = this.boundsOf(id)
      if (latest === undefined || lastEpoch > latest) latest = lastEpoch
      if (latest === this.#unrecorded.lastEpoch) return latest
    }
    this.#isComplete = latest === undefined && this.#servers.size > 0
    return latest
  }

  /** Returns what a job waits for that was accepted under an earlier owner. */
  waitOf (acceptedUnder: Epoch, now: number): RecoveryWait {
    return this.waitFor(this.#isComplete ? [] : [...this.#unresolvedServers(now)].filter(id => acceptedUnder <= this.boundsOf(id).lastEpoch), now)
  }

  /** Returns the wait for these backend servers. */
  waitFor (ids: readonly ServerId[], now: number): RecoveryWait {
    const endOf = (id: ServerId): number => this.#endOf(this.#servers.get(id), id)
    const last = ids.reduce<ServerId | undefined>((latest, id) => latest === undefined || endOf(id) > endOf(latest) ? id : latest, undefined)
    if (last === undefined) return { servers: 0, ...(this.#mayMissServers(now) ? { until: this.#servers.size === 0 ? this.#unrecorded.until : this.#rowsReadableBy } : {}) }
    return { servers: ids.length, server: last, ...(endOf(last) === Infinity ? {} : { until: endOf(last) }) }
  }

  /** True while backend servers may be missing from those that are known. */
  #mayMissServers (now: number): boolean {
    const isRegistryEmpty = this.#servers.size === 0 && now <= this.#unrecorded.until
    return isRegistryEmpty || (this.unreadableServers > 0 && now < this.#rowsReadableBy)
  }

  * #unresolvedServers (now: number): Iterable<ServerId> {
    for (const id of this.#servers.keys()) if (this.mayHideRuns(id, now)) yield id
    yield * this.absentServers(now)
  }

  /** When the wait for a backend server ends at the latest. Once it has answered, the owner may have renewed leases there, so the bounds no longer hold. */
  #endOf (server: Server | undefined, id: ServerId): number {
    if (server?.isListCut === true) return Infinity
    if (!this.#reachedServers.has(id)) return this.boundsOf(id).until
    return Math.max(this.#unrecorded.until, server?.leasesExpiredBy ?? -Infinity)
  }
}
