/** The state of the policy, as one immutable value. */
import type { KindName, PlacementMember, RequestId, WorkspaceName } from '@cornelgauge/model'
import { Map as PersistentMap } from 'immutable'
import { addAmount, NO_AMOUNT, type Amount } from './amount.js'
import { arrangeServers, emptyServer, NO_CAPACITY, type Capacity, type PreemptionClass } from './capacity.js'
import { NO_GUARANTEES, type Guarantees } from './guarantee.js'
import { NOTHING_WAITING, shareKey, type Waiting } from './queue.js'
import type { Job, KindSettings, PolicySettings, PolicyState, ServerDescription, WorkspaceSettings } from './interface.js'
import { meanDuration, NO_DURATIONS, quantileDuration, type Arrivals, type Durations } from './statistics.js'

/** A running job and its members. */
export interface RunningJob {
  readonly job: Job
  readonly members: readonly PlacementMember[]
  readonly startedAt: number
  /** Number of jobs started in the cell before this one. */
  readonly startSequence: number
  /** Run time that was expected at the start. */
  readonly expectedMilliseconds: number
  readonly preemptionClass: PreemptionClass
  /** Id of the guarantee that it runs in, if it is entitled. */
  readonly guarantee: string | undefined
  readonly stopping: boolean
}

/** Capacity assigned to a waiting job, some of which may still have to be freed by preemption. */
export interface Claim {
  readonly job: Job
  readonly members: readonly PlacementMember[]
  /** Id of the claimed guarantee, if any. */
  readonly guarantee: string | undefined
  readonly claimedAt: number
}

/** Members reserved for a waiting gang. */
export interface Reservation {
  readonly job: Job
  readonly members: readonly PlacementMember[]
  /** Number of jobs started in the cell before the reservation; jobs started later are backfill. */
  readonly startSequence: number
  /** When the members are expected to be free. */
  readonly expectedAt: number
  /** True if urgent work may not use the members either, because all other work there has ended. */
  readonly exclusive: boolean
}

/** Accounting for fair sharing and minimum shares. */
export interface Sharing {
  /** Work charged to each kind and workspace, divided by the workspace's weight. */
  readonly served: PersistentMap<string, number>
  /** For each kind, the least work charged to a workspace that becomes active. */
  readonly floors: PersistentMap<KindName, number>
  /** Capacity that the running jobs of each kind use. */
  readonly usage: PersistentMap<KindName, Amount>
  /** The part of `usage` whose jobs are being stopped. */
  readonly stopping: PersistentMap<KindName, Amount>
}

/** Recent failures of a backend server. */
export interface Health {
  /** Failures since the last success. */
  readonly failures: number
  /** When an ejected backend server may be probed; undefined if it is not ejected. */
  readonly probeAt?: number
  /** Ejections and failed probes since the last success. */
  readonly ejections: number
}

/** Kinds and workspaces by name. */
export interface Directory {
  readonly kinds: ReadonlyMap<KindName, KindSettings & { readonly order: number }>
  readonly workspaces: ReadonlyMap<WorkspaceName, WorkspaceSettings>
}

/** The internal representation of a `PolicyState`. */
export interface ScheduleState extends PolicyState {
  readonly directory: Directory
  readonly capacity: Capacity
  /** Each backend server that has ever joined, including lost ones. */
  readonly knownServers: PersistentMap<string, ServerDescription>
  /** The cell without running jobs, for deciding whether a shape is feasible at all. */
  readonly emptyCell: Capacity
  readonly waiting: Waiting
  readonly running: PersistentMap<RequestId, RunningJob>
  /** Number of jobs started so far. */
  readonly startCount: number
  readonly guarantees: Guarantees
  readonly claims: PersistentMap<RequestId, Claim>
  readonly reservations: PersistentMap<RequestId, Reservation>
  readonly sharing: Sharing
  readonly durations: PersistentMap<string, Durations>
  readonly arrivals: PersistentMap<KindName, Arrivals>
  /** Backend servers with failures since their last success. */
  readonly health: PersistentMap<string, Health>
}

/** Returns the internal representation of a state. */
export function internalState (state: PolicyState): ScheduleState {
  return state as ScheduleState
}

/** Indexes the settings by name. */
export function makeDirectory (settings: PolicySettings): Directory {
  return {
    kinds: new Map(settings.kinds.map((kind, order) => [kind.name, { ...kind, order }])),
    workspaces: new Map(settings.workspaces.map(workspace => [workspace.name, workspace]))
  }
}

/**
 * Creates the state of a policy without backend servers or jobs.
 *
 * @example
 * const state = createPolicy({ kinds: [], workspaces: [], reclaimMilliseconds: 5000, seed: 1 })
 */
export function createPolicy (settings: PolicySettings): PolicyState {
  const state: ScheduleState = {
    settings,
    directory: makeDirectory(settings),
    capacity: NO_CAPACITY,
    knownServers: PersistentMap(),
    emptyCell: emptyCapacity(settings, PersistentMap()),
    waiting: NOTHING_WAITING,
    running: PersistentMap(),
    startCount: 0,
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

/**
 * Returns the cell without running jobs: the declared backend servers, or if none are
 * declared all that have ever joined.
 */
export function emptyCapacity (settings: PolicySettings, known: PersistentMap<string, ServerDescription>): Capacity {
  return arrangeServers((settings.declaredServers ?? [...known.values()]).map(emptyServer))
}

/** True if a job is preemptible, because its kind is checkpointable or idempotent. */
export function isReclaimable (state: ScheduleState, job: Job): boolean {
  const kind = state.directory.kinds.get(job.kind)
  return kind !== undefined && (kind.checkpointable || kind.idempotent)
}

/** Returns the position of a kind in the document; kinds no longer in the document come last. */
export function orderOf (state: ScheduleState, kind: KindName): number {
  return state.directory.kinds.get(kind)?.order ?? Infinity
}

/** Returns the capacity that the running jobs of a kind use. */
export function usageOf (state: ScheduleState, kind: KindName): Amount {
  return state.sharing.usage.get(kind) ?? NO_AMOUNT
}

/** Returns the expected run time of a job. */
export function expectedDuration (state: ScheduleState, job: Job): number {
  return meanDuration(durationsOf(state, job), job.declaredMilliseconds)
}

/** Returns a quantile of the run time of a job. */
export function durationAt (state: ScheduleState, job: Job, quantile: number): number {
  return quantileDuration(durationsOf(state, job), job.declaredMilliseconds, quantile)
}

/** Returns the run times measured for jobs of the same kind and workspace. */
export function durationsOf (state: ScheduleState, job: Job): Durations {
  return state.durations.get(shareKey(job.kind, job.workspace)) ?? NO_DURATIONS
}

/** Returns the total capacity of a job's members. */
export function amountOf (members: readonly PlacementMember[]): Amount {
  return members.reduce<Amount>((sum, member) => addAmount(sum, member), NO_AMOUNT)
}
