/**
 * The interface of the policy: a `PolicyState`, which `applyChange` updates and from
 * which `decide` computes decisions. All functions are pure: they read no clock, do
 * no I/O and use no randomness except the seed in the settings.
 */
import type { BackendServerName, KindName, PlacementMember, RackName, RequestId, Shape, WorkspaceName } from '@cornelgauge/model'

/** The policy's settings for a kind of work. Kinds are listed in the order of service. */
export interface KindSettings {
  readonly name: KindName
  readonly urgent: boolean
  readonly idempotent: boolean
  readonly checkpointable: boolean
  readonly minimumShare: number
}

/** A guaranteed shape of a workspace in this cell. */
export interface GuaranteeSettings {
  readonly shape: Shape
  readonly count: number
}

/** The policy's settings for a workspace. */
export interface WorkspaceSettings {
  readonly name: WorkspaceName
  readonly weight: number
  readonly guarantees: readonly GuaranteeSettings[]
  readonly maximumPending: number
}

/** The part of the environment document that the policy of one cell needs. */
export interface PolicySettings {
  readonly kinds: readonly KindSettings[]
  readonly workspaces: readonly WorkspaceSettings[]
  readonly reclaimMilliseconds: number
  readonly seed: number
  /**
   * The backend servers that the document declares for the cell; a job that doesn't fit
   * on them is refused for good.
   */
  readonly declaredServers?: readonly ServerDescription[]
}

/** A backend server of the cell. */
export interface ServerDescription {
  readonly name: BackendServerName
  readonly rack: RackName
  /** Neighbouring racks have consecutive positions. */
  readonly rackPosition: number
  readonly slots: number
  readonly accelerators: number
}

/** A request that waits for capacity. */
export interface Job {
  readonly id: RequestId
  readonly workspace: WorkspaceName
  readonly kind: KindName
  readonly shape: Shape
  /** Milliseconds since 1970. */
  readonly arrivedAt: number
  readonly deadline: number
  readonly declaredMilliseconds: number
  /** Attempts so far. A job that is queued again keeps its position, because queues are ordered by `arrivedAt`. */
  readonly attempts: number
}

/** How a job left the running set. */
export type JobOutcome = 'finished' | 'failed' | 'stopped' | 'server-lost'

/** An input that changes the policy's state. Each carries the time at which it was observed. */
export type PolicyChange =
  | { readonly type: 'settings', readonly settings: PolicySettings, readonly at: number }
  | { readonly type: 'server-joined', readonly server: ServerDescription, readonly at: number }
  | { readonly type: 'server-leaving', readonly server: BackendServerName, readonly at: number }
  | { readonly type: 'server-lost', readonly server: BackendServerName, readonly at: number }
  | { readonly type: 'job-arrived', readonly job: Job, readonly at: number }
  | { readonly type: 'job-withdrawn', readonly id: RequestId, readonly at: number }
  /** The job runs on these members, as decided or as recovered from the journal. */
  | { readonly type: 'job-started', readonly job: Job, readonly members: readonly PlacementMember[], readonly at: number }
  /** The job no longer holds its members. */
  | { readonly type: 'job-ended', readonly id: RequestId, readonly outcome: JobOutcome, readonly at: number }

/** An action for the owner of the state to carry out. The owner applies the matching change once it is done. */
export type Decision =
  /** Start the waiting job on these members; the owner confirms with `job-started`. */
  | { readonly type: 'start', readonly id: RequestId, readonly members: readonly PlacementMember[] }
  /** Checkpoint and stop a running job and queue it again: `job-ended` with `stopped`, then `job-arrived`. */
  | { readonly type: 'preempt', readonly id: RequestId, readonly rule: string }
  /** End the waiting job, which can never run or not before its deadline: `job-withdrawn`. */
  | { readonly type: 'refuse', readonly id: RequestId, readonly rule: string }

/** The result of the admission check for a new job. */
export type Admission =
  | { readonly admitted: true }
  | { readonly admitted: false, readonly code: 'overloaded' | 'quota-exceeded' | 'impossible-shape', readonly rule: string, readonly retryAfterMilliseconds: number }

/** The decisions made at one time, and the state in which they are already applied. */
export interface Plan {
  readonly state: PolicyState
  readonly decisions: readonly Decision[]
  /** Time by which to call `decide` again even if nothing changes, in milliseconds since 1970. */
  readonly wakeAt?: number
}

/** The state of the policy. All but the settings is internal to this package. */
export interface PolicyState {
  readonly settings: PolicySettings
}
