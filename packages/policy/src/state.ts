/** What the policy knows, as one immutable value. */
import type { KindName, Member, RequestId, WorkspaceName } from '@cornelgauge/model'
import { Map as PersistentMap } from 'immutable'
import { addAmount, NO_AMOUNT, type Amount } from './amount.js'
import { arrangeServers, emptyServer, NO_CAPACITY, type Capacity, type Grade } from './capacity.js'
import { NO_GUARANTEES, type Guarantees } from './guarantee.js'
import { NOTHING_WAITING, shareKey, type Waiting } from './queue.js'
import type { Job, KindSettings, PolicySettings, PolicyState, ServerDescription, WorkspaceSettings } from './scheduler.js'
import { meanDuration, NO_DURATIONS, quantileDuration, type Arrivals, type Durations } from './statistics.js'

/** A running job, and where it runs. */
export interface RunningJob {
  readonly job: Job
  readonly members: readonly Member[]
  readonly startedAt: number
  /** Number of starts in the cell before this one. */
  readonly sequence: number
  /** Expected run time when it started. */
  readonly expectedMilliseconds: number
  readonly grade: Grade
  /** The guarantee that it runs in, where it is entitled. */
  readonly hold: string | undefined
  readonly stopping: boolean
}

/** Capacity that is coming free for a waiting job, member by member. */
export interface Claim {
  readonly job: Job
  readonly members: readonly Member[]
  /** The guarantee that is claimed, where it is one. */
  readonly hold: string | undefined
  readonly at: number
}

/** Members set aside for a waiting gang. */
export interface Reservation {
  readonly job: Job
  readonly members: readonly Member[]
  /** Number of starts in the cell before the reservation. */
  readonly sequence: number
  /** When the members are expected to be free. */
  readonly expectedAt: number
  /** Urgent work is kept out as well, because all else has ended. */
  readonly closed: boolean
}

/** What a kind and workspace have been given, for fair sharing. */
export interface Sharing {
  /** Work given to each queue over its workspace's weight. */
  readonly served: PersistentMap<string, number>
  /** For each kind, the least that a queue which becomes active starts from. */
  readonly floors: PersistentMap<KindName, number>
  /** What the running jobs of each kind hold. */
  readonly usage: PersistentMap<KindName, Amount>
  /** The part of it that is being stopped. */
  readonly stopping: PersistentMap<KindName, Amount>
}

/** How the latest tasks of a backend server have ended. */
export interface Health {
  /** Failures since the last success. */
  readonly failures: number
  /** When an ejected one may be tried again; left out while it is not ejected. */
  readonly probeAt?: number
  /** How often it was ejected or failed a probe in a row. */
  readonly ejections: number
}

/** Settings by name. */
export interface Directory {
  readonly kinds: ReadonlyMap<KindName, KindSettings & { readonly order: number }>
  readonly workspaces: ReadonlyMap<WorkspaceName, WorkspaceSettings>
}

/** The inside of a `PolicyState`. */
export interface ScheduleState extends PolicyState {
  readonly directory: Directory
  readonly capacity: Capacity
  /** Each backend server ever seen, also the lost ones. */
  readonly known: PersistentMap<string, ServerDescription>
  /** The cell when nothing runs, to judge whether a shape is possible at all. */
  readonly empty: Capacity
  readonly waiting: Waiting
  readonly running: PersistentMap<RequestId, RunningJob>
  /** Number of starts so far. */
  readonly starts: number
  readonly guarantees: Guarantees
  readonly claims: PersistentMap<RequestId, Claim>
  readonly reservations: PersistentMap<RequestId, Reservation>
  readonly sharing: Sharing
  readonly durations: PersistentMap<string, Durations>
  readonly arrivals: PersistentMap<KindName, Arrivals>
  /** Backend servers whose latest tasks have failed. */
  readonly health: PersistentMap<string, Health>
}

/** Looks inside a state. */
export function inside (state: PolicyState): ScheduleState {
  return state as ScheduleState
}

/** The settings by name. */
export function makeDirectory (settings: PolicySettings): Directory {
  return {
    kinds: new Map(settings.kinds.map((kind, order) => [kind.name, { ...kind, order }])),
    workspaces: new Map(settings.workspaces.map(workspace => [workspace.name, workspace]))
  }
}

/**
 * A policy that knows its settings and nothing else.
 *
 * @example
 * const state = createPolicy({ kinds: [], workspaces: [], reclaimMilliseconds: 5000, seed: 1 })
 */
export function createPolicy (settings: PolicySettings): PolicyState {
  const state: ScheduleState = {
    settings,
    directory: makeDirectory(settings),
    capacity: NO_CAPACITY,
    known: PersistentMap(),
    empty: emptyCapacity(settings, PersistentMap()),
    waiting: NOTHING_WAITING,
    running: PersistentMap(),
    starts: 0,
    guarantees: NO_GUARANTEES,
    claims: PersistentMap(),
    reservations: PersistentMap(),
    sharing: { served: PersistentMap(), floors: PersistentMap(), usage: PersistentMap(), stopping: PersistentMap() },
    durations: PersistentMap(),
    arrivals: PersistentMap(),
    health: PersistentMap()
  }
  return state
}

/** The cell when nothing runs: the declared backend servers, or all that were ever seen. */
export function emptyCapacity (settings: PolicySettings, known: PersistentMap<string, ServerDescription>): Capacity {
  return arrangeServers((settings.declaredServers ?? [...known.values()]).map(emptyServer))
}

/** True of work that can be checkpointed or stopped without harm. */
export function isReclaimable (state: ScheduleState, job: Job): boolean {
  const kind = state.directory.kinds.get(job.kind)
  return kind !== undefined && (kind.checkpointable || kind.idempotent)
}

/** Position of a kind in the document; a kind that it no longer names comes last. */
export function orderOf (state: ScheduleState, kind: KindName): number {
  return state.directory.kinds.get(kind)?.order ?? Infinity
}

/** What the running jobs of a kind hold. */
export function usageOf (state: ScheduleState, kind: KindName): Amount {
  return state.sharing.usage.get(kind) ?? NO_AMOUNT
}

/** The run time expected of a job. */
export function expectedDuration (state: ScheduleState, job: Job): number {
  return meanDuration(durationsOf(state, job), job.declaredMilliseconds)
}

/** A quantile of the run time of a job. */
export function durationAt (state: ScheduleState, job: Job, quantile: number): number {
  return quantileDuration(durationsOf(state, job), job.declaredMilliseconds, quantile)
}

/** What is measured of work like this job. */
export function durationsOf (state: ScheduleState, job: Job): Durations {
  return state.durations.get(shareKey(job.kind, job.workspace)) ?? NO_DURATIONS
}

/** All that a job's members hold. */
export function amountOf (members: readonly Member[]): Amount {
  return members.reduce<Amount>((sum, member) => addAmount(sum, member), NO_AMOUNT)
}
