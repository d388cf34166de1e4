/**
 * Which runs of this owner and of earlier ones the stored progress lists, for the next owner. While starts of earlier owners may
 * be missing there, a backend server is settled once it has listed all its runs and ends to this owner, which has stored them.
 */
import type { ServerId } from './ids.js'
import type { EarlierRuns, Recovery, UnrecordedStarts } from './recovery.js'
import type { Server } from './server.js'

/** Numbers of changes of the progress. */
export interface Changes {
  readonly last: number
  /** Infinity if all are stored. */
  readonly oldestUnstored: number
}

/** What an incarnation of a backend server had listed when it was first looked at after a complete list. */
interface CompleteList {
  readonly incarnation: number
  /** Number of the last change at that time. */
  readonly change: number
}

/**
 * The record of runs as one owner leaves it.
 *
 * @example
 * const recorded = new RecordedRuns(recovery, servers, () => ({ last, oldestUnstored }))
 * recorded.unreachedServers(ids)
 */
export class RecordedRuns {
  readonly #recovery: Recovery
  readonly #servers: ReadonlyMap<ServerId, Server>
  readonly #changes: () => Changes
  readonly #lists = new Map<ServerId, CompleteList>()
  /** Backend servers of which the list of an incarnation was once stored. A later incarnation has none of its runs. */
  readonly #settledServers = new Set<ServerId>()
  /** Backend servers that this owner may have used, though starts of earlier owners were missing. */
  readonly #usedServers = new Set<ServerId>()
  /** Number of the last change with which a run is recorded that was begun before. */
  #lastUnrecordedChange = 0
  /** The same for starts of this owner. */
  #lastUnrecordedStart = 0
  /** All changes up to the end of the wait for earlier runs are among these. */
  #isRecoveryNoted = false

  constructor (recovery: Recovery, servers: ReadonlyMap<ServerId, Server>, changes: () => Changes) {
    this.#recovery = recovery
    this.#servers = servers
    this.#changes = changes
  }

  /** Notes that a run is or may be executing which isn't recorded before this change is stored. */
  noteUnrecorded (change: number): void {
    this.#lastUnrecordedChange = Math.max(this.#lastUnrecordedChange, change)
  }

  /** Notes that a start of this owner is sent before this change, which records it, is stored. */
  noteUnrecordedStart (change: number): void {
    this.noteUnrecorded(change)
    this.#lastUnrecordedStart = Math.max(this.#lastUnrecordedStart, change)
  }

  /** True if each run that may be executing is recorded, so that the next owner has to look for no others. */
  isComplete (now: number): boolean {
    if (this.#recovery.latestUnrecordedEpoch(now) !== undefined) return false
    const { last, oldestUnstored } = this.#changes()
    // Until now runs without a record may have been found, or ends of them.
    if (this.#recovery.unrecordedStarts !== undefined && !this.#isRecoveryNoted) this.noteUnrecorded(last)
    this.#isRecoveryNoted = true
    return this.#lastUnrecordedChange < oldestUnstored
  }

  /** Starts of earlier owners that a later one has to look for, as long as those of this owner are recorded; undefined else. */
  get unrecordedStarts (): UnrecordedStarts | undefined {
    return this.#lastUnrecordedStart < this.#changes().oldestUnstored ? this.#recovery.unrecordedStarts : undefined
  }

  /**
   * Of the given backend servers, those that this owner hasn't used, with the bounds for the next owner. Without a delay until
   * they are settled, short-lived owners would settle none; it is limited, since the store may refuse the progress of a job.
   */
  unreachedServers (ids: Iterable<ServerId>, now: number): ReadonlyMap<ServerId, EarlierRuns> {
    const { hadEarlierStarts, unrecordedStarts } = this.#recovery
    const isDelayed = hadEarlierStarts && now <= unrecordedStarts!.until
    return this.#recovery.unreached(ids, id => !isDelayed || this.#mayUse(id))
  }

  /** Of the given backend servers, those whose runs of the owners up to `upTo` are all recorded; undefined if no starts were missing at the claim. */
  settledServers (ids: Iterable<ServerId>): Pick<UnrecordedStarts, 'upTo' | 'settledServers'> | undefined {
    const { unrecordedStarts } = this.#recovery
    if (unrecordedStarts === undefined) return undefined
    const settled = [...ids].filter(id => unrecordedStarts.settledServers.has(id) || this.#isSettled(id))
    return { upTo: unrecordedStarts.upTo, settledServers: new Set(settled) }
  }

  /**
   * True if leases of a backend server may be renewed. Not so if it is settled, and a start of an earlier owner may have arrived
   * since, in a later incarnation: the next owner relies on the end of that run.
   */
  mayRenew (server: Server, now: number): boolean {
    const { unrecordedStarts } = this.#recovery
    if (unrecordedStarts === undefined || now > unrecordedStarts.until) return true
    const isSettled = unrecordedStarts.settledServers.has(server.id) || this.#settledServers.has(server.id)
    return !isSettled || this.#isListStored(server)
  }

  /** True if this owner may use a backend server that has answered it: its list is stored, or isn't complete for some time. */
  #mayUse (id: ServerId): boolean {
    if (this.#isSettled(id) || this.#servers.get(id)?.isListCut === true) this.#usedServers.add(id)
    return this.#usedServers.has(id)
  }

  #isSettled (id: ServerId): boolean {
    const server = this.#servers.get(id)
    return this.#settledServers.has(id) || (server !== undefined && this.#isListStored(server))
  }

  /** True if the present incarnation has listed all its runs, all of known jobs, and all changes up to then are stored. */
  #isListStored ({ id, entry: { incarnation }, hasListedAll, hasRunsOfUnknownNeed }: Server): boolean {
    if (!hasListedAll || hasRunsOfUnknownNeed) return false
    const { last, oldestUnstored } = this.#changes()
    const known = this.#lists.get(id)
    const list = known?.incarnation === incarnation ? known : { incarnation, change: last }
    this.#lists.set(id, list)
    if (list.change >= oldestUnstored) return false
    this.#settledServers.add(id)
    return true
  }
}
