/**
 * A request as stored in its cell's ledger and as shown to its caller.
 */
import type { ErrorCode } from './errors.js'
import type { CellName, Digest, Epoch, KindName, RequestId, RequestKey, WorkspaceName } from './ids.js'
import type { PlacementMember, Shape } from './shape.js'
import type { RequestState } from './state.js'

/** A caller's request, validated against the document in force. */
export interface Submission {
  readonly workspace: WorkspaceName
  readonly key: RequestKey
  readonly kind: KindName
  readonly payload: unknown
  /** Digest of the request body; the same key with another body is refused. */
  readonly bodyDigest: Digest
  readonly shape: Shape
  /** Time by which the caller needs the answer, in milliseconds since 1970. */
  readonly deadline: number
  readonly idempotent: boolean
  /** Declared run time of the task, in milliseconds. */
  readonly declaredMilliseconds: number
  /** Set if the entry VM found that the request can't be accepted; the owner stores the refusal under its key. */
  readonly refusal?: Refusal
}

/** Why a request is refused; the refusal is final for its key. */
export interface Refusal {
  readonly code: ErrorCode
  readonly detail: string
  /** Delay after which a retry under a new key may succeed. */
  readonly retryAfterMilliseconds?: number
}

/** The placement of one attempt of a request. */
export interface Assignment {
  /** Number of the attempt, from 1; incremented with each intent to start. */
  readonly attempt: number
  /** The epoch of the owner that committed the intent. */
  readonly epoch: Epoch
  readonly members: readonly PlacementMember[]
}

/** Location of a stored answer, with the length and digest that its reader checks. */
export interface AnswerReference {
  readonly lengthBytes: number
  readonly digest: Digest
  /** The answer as JSON text, if it is small. */
  readonly inline?: string
  /** Name of the object that holds a larger answer. */
  readonly object?: string
}

/** A request in the ledger. */
export interface RequestRecord {
  readonly id: RequestId
  readonly submission: Submission
  readonly state: RequestState
  /** Milliseconds since 1970, by the clock of the accepting owner. */
  readonly acceptedAt: number
  readonly assignment?: Assignment
  /** Number of the latest attempt with an intent to start; 0 before the first. */
  readonly attempts: number
  /** Number of attempts that ended because the task or its backend server failed. */
  readonly faults: number
  /** True once an attempt may have run without finishing; the request is then never reported as `not-run`. */
  readonly mayHaveRun: boolean
  readonly cancelRequested: boolean
  /** Latest checkpoint of earlier attempts. */
  readonly checkpoint?: string
  readonly answer?: AnswerReference
  /** Why the request ended, unless it finished. */
  readonly reason?: EndReason
  readonly endedAt?: number
}

/** Why a request ended without finishing. */
export interface EndReason {
  readonly code: EndReasonCode
  readonly detail: string
  /** Set if the request was refused instead of accepted. */
  readonly refusal?: Refusal
}

/** The code of an end reason. */
export type EndReasonCode =
  | 'cancelled-by-caller' | 'deadline-passed' | 'task-failed' | 'server-lost' | 'impossible'
  | 'never-started' | 'attempts-spent' | 'refused' | 'lease-lapsed'

/** A request as shown to its caller. */
export interface RequestView {
  readonly workspace: WorkspaceName
  readonly key: RequestKey
  readonly kind: KindName
  readonly state: RequestState
  readonly cell: CellName
  readonly acceptedAt: string
  readonly deadline: string
  readonly attempts: number
  readonly answer?: unknown
  readonly answerDigest?: Digest
  readonly answerLengthBytes?: number
  readonly reason?: EndReason
  readonly endedAt?: string
  /** Set while the cell's owner can't reach the platform: the time, by the owner's clock, at which the state was current. */
  readonly asOf?: string
}
