/**
 * The port to a backend server: prepare, go, stop and the rest, each with the
 * epoch of the cell's owner. A backend server keeps the highest epoch it has seen
 * of each cell and refuses a lower one with `stale-epoch`.
 */
import type { CellName, Epoch, KindName, RequestId } from '@cornelgauge/model'
import type { Json } from './table-service.js'

/** Names one attempt of one request on one backend server. */
export interface ExecutionId {
  readonly request: RequestId
  readonly attempt: number
}

/** Capacity to hold for an attempt, and what to run there. */
export interface Preparation extends ExecutionId {
  readonly kind: KindName
  readonly payload: Json
  readonly slots: number
  readonly accelerators: number
  /** Number of members of the gang; 1 for work on a single backend server. */
  readonly gangSize: number
  /** Position of this member in its gang, from 0. */
  readonly gangIndex: number
  /** True: start at once. False: hold the capacity until `go`, and free it when the lease lapses. */
  readonly start: boolean
  /** The life of the backend server that this is meant for; any other refuses it with `conflict`. */
  readonly incarnation?: string
  /** Checkpoint to go on from, where there is one. */
  readonly checkpoint?: string
}

/**
 * The states of an execution on its backend server. `never-started` is a promise
 * that it never will; a prepared one whose lease lapses gets it too. `lapsed` is
 * one whose lease lapsed while it ran, and which was ended for that.
 */
export type ExecutionState = 'prepared' | 'running' | 'finished' | 'failed' | 'stopped' | 'lapsed' | 'never-started'

/** What a backend server says of one execution. */
export interface ExecutionReport extends ExecutionId {
  readonly state: ExecutionState
  /** JSON text of the answer of a finished one. */
  readonly answer?: string
  /** Newest checkpoint. */
  readonly checkpoint?: string
  readonly detail?: string
  /** Which life of the backend server speaks; a promise about an earlier life is worth nothing. */
  readonly incarnation?: string
}

/** Who asks. */
export interface OwnerClaim {
  readonly cell: CellName
  readonly epoch: Epoch
}

/** What one watch call gives back. */
export interface WatchAnswer {
  /** Executions that changed since `after`. */
  readonly reports: readonly ExecutionReport[]
  /** To be handed in as `after` next time. */
  readonly cursor: number
  readonly leaving: boolean
  /** Changes each time the backend server starts with an empty memory. */
  readonly incarnation: string
  /** Use as of a while ago; it lags. */
  readonly usage: { readonly slots: number, readonly accelerators: number, readonly measuredAt: number }
}

/** One watch call: renews the lease on all of the cell's executions there and waits for changes. */
export interface WatchRequest extends OwnerClaim {
  readonly after: number
  readonly waitMilliseconds: number
  /** Lease to give to every execution of the cell, in milliseconds from now. */
  readonly leaseMilliseconds: number
  /** Ended executions that the owner has committed; the backend server may forget their answers. */
  readonly acknowledged: readonly ExecutionId[]
}

/**
 * What a backend server does. All calls are idempotent by execution id: a
 * repeated `prepare` of a known one gives its present report and starts nothing.
 * A batch of preparations is held as a whole or not at all. A call that names an
 * execution that was never prepared gets `never-started`, and it never will be.
 *
 * Failures: `stale-epoch`, `conflict` (for `prepare`, by another life than was meant), `capacity-taken`, `server-leaving` (for `prepare`), and
 * `unavailable` or `timeout` where no answer came and the effect is not known.
 */
export interface BackendServer {
  prepare (claim: OwnerClaim, preparations: readonly Preparation[]): Promise<readonly ExecutionReport[]>
  go (claim: OwnerClaim, executions: readonly ExecutionId[]): Promise<readonly ExecutionReport[]>
  /** Gives back prepared capacity, and promises never to start these. Running ones are left alone. */
  fence (claim: OwnerClaim, executions: readonly ExecutionId[]): Promise<readonly ExecutionReport[]>
  stop (claim: OwnerClaim, executions: readonly ExecutionId[]): Promise<readonly ExecutionReport[]>
  checkpoint (claim: OwnerClaim, executions: readonly ExecutionId[]): Promise<readonly ExecutionReport[]>
  throttle (claim: OwnerClaim, executions: readonly ExecutionId[], share: number): Promise<readonly ExecutionReport[]>
  watch (request: WatchRequest): Promise<WatchAnswer>
}
