/**
 * The surface of the policy: a value of type `PolicyState`, changed only by
 * `applyChange`, and asked by `decide`. Pure: no clock, no I/O, and no randomness
 * but the seed in the settings.
 */
import type { BackendServerName, KindName, Member, RackName, RequestId, Shape, WorkspaceName } from '@cornelgauge/model'

/** A kind of work as the policy sees it, in the order of service. */
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

/** A workspace as the policy sees it. */
export interface WorkspaceSettings {
  readonly name: WorkspaceName
  readonly weight: number
  readonly guarantees: readonly GuaranteeSettings[]
  readonly maximumPending: number
}

/** The part of the environment document that decides in one cell. */
export interface PolicySettings {
  readonly kinds: readonly KindSettings[]
  readonly workspaces: readonly WorkspaceSettings[]
  readonly reclaimMilliseconds: number
  readonly seed: number
  /** The backend servers that the document declares for the cell; what they cannot hold is refused for good. */
  readonly declaredServers?: readonly ServerDescription[]
}

/** A backend server of the cell. */
export interface ServerDescription {
  readonly name: BackendServerName
  readonly rack: RackName
  /** Neighbouring racks have neighbouring positions. */
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
  /** Intents so far; a job that comes back keeps its place by `arrivedAt`. */
  readonly attempts: number
}

/** How a job left the running set. */
export type JobOutcome = 'finished' | 'failed' | 'stopped' | 'server-lost'

/** What changes the policy's state. Each carries the time at which it was seen. */
export type PolicyChange =
  | { readonly type: 'settings', readonly settings: PolicySettings, readonly at: number }
  | { readonly type: 'server-joined', readonly server: ServerDescription, readonly at: number }
  | { readonly type: 'server-leaving', readonly server: BackendServerName, readonly at: number }
  | { readonly type: 'server-lost', readonly server: BackendServerName, readonly at: number }
  | { readonly type: 'job-arrived', readonly job: Job, readonly at: number }
  | { readonly type: 'job-withdrawn', readonly id: RequestId, readonly at: number }
  /** The job runs on these members, as decided or as recovered from the journal. */
  | { readonly type: 'job-started', readonly job: Job, readonly members: readonly Member[], readonly at: number }
  /** The job no longer holds its members. */
  | { readonly type: 'job-ended', readonly id: RequestId, readonly outcome: JobOutcome, readonly at: number }

/** What the policy wants done. The owner applies the matching change once it is done. */
export type Decision =
  /** Start the waiting job on these members; the owner answers with `job-started`. */
  | { readonly type: 'start', readonly id: RequestId, readonly members: readonly Member[] }
  /** Checkpoint and stop a running job and let it wait again: `job-ended` with `stopped`, then `job-arrived`. */
  | { readonly type: 'preempt', readonly id: RequestId, readonly rule: string }
  /** The job can never run; it is to be told so: `job-withdrawn`. */
  | { readonly type: 'refuse', readonly id: RequestId, readonly rule: string }

/** Whether new work may be accepted. */
export type Admission =
  | { readonly admitted: true }
  | { readonly admitted: false, readonly code: 'overloaded' | 'quota-exceeded' | 'impossible-shape', readonly rule: string, readonly retryAfterMilliseconds: number }

/** The decisions at one moment, and the state that has counted them in. */
export interface Plan {
  readonly state: PolicyState
  readonly decisions: readonly Decision[]
  /** When `decide` is to be called again even if nothing changes, in milliseconds since 1970. */
  readonly wakeAt?: number
}

/** The state of the policy. Only the functions of this package look inside. */
export interface PolicyState {
  readonly settings: PolicySettings
}
