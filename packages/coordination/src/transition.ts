/**
 * The transitions of the request ledger. A journal row holds a list of them, and
 * the ledger changes only by applying them.
 */
import type { AnswerReference, Assignment, EndReason, RequestId, Submission } from '@cornelgauge/model'

/**
 * Why a running request may be requeued, or reported as not run:
 * - `fenced`: its backend servers guaranteed that this attempt has not started and never will;
 * - `not-sent`: this owner never sent the start command, and nobody else can under its epoch;
 * - `idempotent`: running it again is harmless; allows requeueing only.
 */
export type Proof = 'fenced' | 'not-sent' | 'idempotent'

/** One change of the ledger. `at` is in milliseconds since 1970, by the owner's clock. */
export type Transition =
  | { readonly type: 'accepted', readonly submission: Submission, readonly at: number }
  | { readonly type: 'intent', readonly id: RequestId, readonly assignment: Assignment, readonly at: number }
  | { readonly type: 'returned', readonly id: RequestId, readonly proof: Proof, readonly fault: boolean, readonly checkpoint?: string, readonly at: number }
  | { readonly type: 'cancel-requested', readonly id: RequestId, readonly at: number }
  | { readonly type: 'doubted', readonly id: RequestId, readonly reason: EndReason, readonly at: number }
  | {
    readonly type: 'ended'
    readonly id: RequestId
    readonly state: 'finished' | 'failed' | 'cancelled' | 'not-run' | 'unknown'
    readonly answer?: AnswerReference
    readonly reason?: EndReason
    /** Required if a request with a recorded start intent is reported as not run. */
    readonly proof?: Proof
    readonly at: number
  }
  /** Removes ended requests; `objects` are their stored answers, which are deleted with them. */
  | { readonly type: 'forgotten', readonly ids: readonly RequestId[], readonly objects: readonly string[] }

/** The transitions that concern one request that is already in the ledger. */
export type RecordTransition = Exclude<Transition, { type: 'accepted' | 'forgotten' }>
