/**
 * A request as its cell's ledger holds it, and as its caller sees it.
 */
import type { CellName, Digest, Epoch, KindName, RequestId, RequestKey, WorkspaceName } from './ids.js'
import type { Member, Shape } from './shape.js'
import type { RequestState } from './state.js'

/** What a caller asks for, checked against the document in force. */
export interface Submission {
  readonly workspace: WorkspaceName
  readonly key: RequestKey
  readonly kind: KindName
  readonly payload: unknown
  /** Digest of the caller's body; the same key with another one is refused. */
  readonly bodyDigest: Digest
  readonly shape: Shape
  /** Milliseconds since 1970 by which the answer is wanted. */
  readonly deadline: number
  readonly idempotent: boolean
  /** How long the task is declared to run, in milliseconds. */
  readonly declaredMilliseconds: number
}

/** Where an attempt of a request runs. */
export interface Assignment {
  /** 1 for the first intent to start, one more for each later one. */
  readonly attempt: number
  /** The epoch of the owner that committed the intent. */
  readonly epoch: Epoch
  readonly members: readonly Member[]
}

/** Where a whole answer is kept, with what its reader checks. */
export interface AnswerReference {
  readonly lengthBytes: number
  readonly digest: Digest
  /** The answer itself as JSON text, where it is small. */
  readonly inline?: string
  /** The object that holds it, where it is not. */
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
  /** Number of the newest attempt that had an intent to start; 0 before the first. */
  readonly attempts: number
  /** Attempts that a failing task or backend server ended. */
  readonly faults: number
  /** True once an attempt may have run without finishing; then it is never said not to have run. */
  readonly mayHaveRun: boolean
  readonly cancelRequested: boolean
  /** Newest checkpoint of earlier attempts. */
  readonly checkpoint?: string
  readonly answer?: AnswerReference
  /** Why it ended as it did, as a code with a sentence. */
  readonly reason?: EndReason
  readonly endedAt?: number
}

/** Why a request ended other than by finishing. */
export interface EndReason {
  readonly code: EndReasonCode
  readonly detail: string
}

/** The code of an end reason. */
export type EndReasonCode =
  | 'cancelled-by-caller' | 'deadline-passed' | 'task-failed' | 'server-lost' | 'impossible'
  | 'never-started' | 'attempts-spent' | 'refused-by-policy' | 'lease-lapsed'

/** A request as its caller sees it. */
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
  /** Set where the cell's owner cannot reach the platform: the state as of this moment, by its clock. */
  readonly asOf?: string
}
