/**
 * The typed messages between daemons. A call has a body and gets one reply; both
 * are tagged by `type`.
 */
import type { CellName, DocumentVersion, ProblemDetails, RequestId, RequestRecord, Submission, VmName } from '@cornelgauge/model'

/** What one daemon asks of another. */
export type CallBody =
  | { readonly type: 'submit', readonly cell: CellName, readonly submission: Submission, readonly waitMilliseconds: number }
  | { readonly type: 'read', readonly cell: CellName, readonly request: RequestId, readonly waitMilliseconds: number }
  | { readonly type: 'cancel', readonly cell: CellName, readonly request: RequestId }
  | { readonly type: 'answer', readonly cell: CellName, readonly request: RequestId }
  | { readonly type: 'cell-status', readonly cell: CellName }
  | { readonly type: 'vm-status' }
  /** The newest events with a logical time above `after`; a member that is not set keeps all. */
  | { readonly type: 'events', readonly after: number, readonly limit: number, readonly request?: RequestId, readonly cell?: CellName, readonly vm?: VmName }
  | { readonly type: 'document-hint', readonly environment: string, readonly version: DocumentVersion }
  | { readonly type: 'document', readonly environment: string }
  | { readonly type: 'handover-hint', readonly cell: CellName }
  /** A message of a layer above, which checks it itself. */
  | { readonly type: 'extension', readonly message: unknown }

/** What it gets back. */
export type ReplyBody =
  | { readonly type: 'record', readonly record: RequestRecord, readonly asOf?: number }
  | { readonly type: 'answer', readonly text: string }
  | { readonly type: 'status', readonly status: unknown }
  | { readonly type: 'events', readonly events: readonly unknown[] }
  | { readonly type: 'document', readonly version: DocumentVersion, readonly text: string }
  | { readonly type: 'done' }
  | { readonly type: 'extension', readonly message: unknown }
  | { readonly type: 'problem', readonly problem: ProblemDetails }

/** Who speaks at the other end, as proved at its hello. */
export interface PeerIdentity {
  readonly vm: VmName
}
