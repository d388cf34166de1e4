/**
 * The port to a backend server. Each call carries the epoch of the cell's owner. A
 * backend server stores the highest epoch it has received for each cell and refuses
 * calls with a lower one with `stale-epoch`.
 */
import type { CellName, Epoch, KindName, RequestId } from '@cornelgauge/model'
import type { Json } from './table-service.js'

/** Identifies one attempt of a request on one backend server. */
export interface ExecutionId {
  readonly request: RequestId
  readonly attempt: number
}

/** The capacity to reserve for an attempt, and the task to run. */
export interface Preparation extends ExecutionId {
  readonly kind: KindName
  readonly payload: Json
  readonly slots: number
  readonly accelerators: number
  /** Number of members of the gang; 1 for work on a single backend server. */
  readonly gangSize: number
  /** Position of this member in its gang, from 0. */
  readonly gangIndex: number
  /** True: start immediately. False: reserve the capacity until `go`, and release it when the lease expires. */
  readonly start: boolean
  /** The incarnation of the backend server that this is meant for; any other refuses it with `conflict`. */
  readonly incarnation?: string
  /** Checkpoint to resume from, if there is one. */
  readonly checkpoint?: string
}

/**
 * The states of an execution on its backend server. `never-started` guarantees that
 * it will not start later either; a prepared execution whose lease expires also gets
 * this state. `lapsed` means that the backend server ended a running execution
 * because its lease expired.
 */
export type ExecutionState = 'prepared' | 'running' | 'finished' | 'failed' | 'stopped' | 'lapsed' | 'never-started'

/** A backend server's report on one execution. */
export interface ExecutionReport extends ExecutionId {
  readonly state: ExecutionState
  /** JSON text of the answer of a finished execution. */
  readonly answer?: string
  /** Newest checkpoint. */
  readonly checkpoint?: string
  readonly detail?: string
  /** The incarnation of the backend server that sends the report; `never-started` does not cover earlier incarnations. */
  readonly incarnation?: string
}

/** The cell and the owner epoch on whose authority a call is made. */
export interface OwnerClaim {
  readonly cell: CellName
  readonly epoch: Epoch
}

/** The response to a watch call. */
export interface WatchResponse {
  /** Executions that changed since `after`. */
  readonly reports: readonly ExecutionReport[]
  /** The value of `after` for the next call. */
  readonly cursor: number
  readonly leaving: boolean
  /** Identifier that changes each time the backend server restarts and so loses its state. */
  readonly incarnation: string
  /** Capacity usage at `measuredAt`, which lags behind the time of the call. */
  readonly usage: { readonly slots: number, readonly accelerators: number, readonly measuredAt: number }
}

/** A watch call: renews the leases of all executions of the cell on the backend server and waits for changes. */
export interface WatchRequest extends OwnerClaim {
  readonly after: number
  readonly waitMilliseconds: number
  /** New lease for every execution of the cell, in milliseconds from now. */
  readonly leaseMilliseconds: number
  /** Ended executions whose outcome the owner has committed; the backend server may discard their answers. */
  readonly acknowledged: readonly ExecutionId[]
}

/**
 * The operations of a backend server. All calls are idempotent by execution id: a
 * repeated `prepare` of a known execution returns its current report and starts
 * nothing. A batch of preparations is reserved atomically. A call for an execution
 * that was never prepared reports `never-started`, and a later `prepare` does not
 * start it.
 *
 * Failures: `stale-epoch`; `conflict` (for `prepare`, from another incarnation than
 * the intended one); `capacity-taken` and `server-leaving` (for `prepare`); and
 * `unavailable` or `timeout` if no response arrived and the effect is unknown.
 */
export interface BackendServer {
  prepare (claim: OwnerClaim, preparations: readonly Preparation[]): Promise<readonly ExecutionReport[]>
  /** Starts prepared executions. */
  go (claim: OwnerClaim, executions: readonly ExecutionId[]): Promise<readonly ExecutionReport[]>
  /** Releases reserved capacity and guarantees that these executions never start. Running ones are unaffected. */
  fence (claim: OwnerClaim, executions: readonly ExecutionId[]): Promise<readonly ExecutionReport[]>
  stop (claim: OwnerClaim, executions: readonly ExecutionId[]): Promise<readonly ExecutionReport[]>
  checkpoint (claim: OwnerClaim, executions: readonly ExecutionId[]): Promise<readonly ExecutionReport[]>
  /** Sets the speed of running executions to a share of full speed, from 0 to 1. */
  throttle (claim: OwnerClaim, executions: readonly ExecutionId[], share: number): Promise<readonly ExecutionReport[]>
  watch (request: WatchRequest): Promise<WatchResponse>
}
