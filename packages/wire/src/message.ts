/**
 * The typed messages between daemons. Each call has a body and receives one reply;
 * `type` is the discriminator of both.
 */
import type { CellName, DocumentVersion, ProblemDetails, RequestId, RequestRecord, Submission, VmName } from '@cornelgauge/model'

/** The body of a call from one daemon to another. */
export type CallBody =
  | { readonly type: 'submit', readonly cell: CellName, readonly submission: Submission, readonly waitMilliseconds: number }
  | { readonly type: 'read', readonly cell: CellName, readonly request: RequestId, readonly waitMilliseconds: number }
  | { readonly type: 'cancel', readonly cell: CellName, readonly request: RequestId }
  | { readonly type: 'answer', readonly cell: CellName, readonly request: RequestId }
  | { readonly type: 'cell-status', readonly cell: CellName }
  | { readonly type: 'vm-status' }
  /** Requests the newest events with a logical time above `after`; an omitted filter matches all events. */
  | { readonly type: 'events', readonly after: number, readonly limit: number, readonly request?: RequestId, readonly cell?: CellName, readonly vm?: VmName }
  | { readonly type: 'document-hint', readonly environment: string, readonly version: DocumentVersion }
  | { readonly type: 'document', readonly environment: string }
  | { readonly type: 'handover-hint', readonly cell: CellName }
  /** A message of a higher layer, which validates it itself. */
  | { readonly type: 'extension', readonly message: unknown }

/** The body of a reply. */
export type ReplyBody =
  | { readonly type: 'record', readonly record: RequestRecord, readonly asOf?: number }
  | { readonly type: 'answer', readonly text: string }
  | { readonly type: 'status', readonly status: unknown }
  | { readonly type: 'events', readonly events: readonly unknown[] }
  | { readonly type: 'document', readonly version: DocumentVersion, readonly text: string }
  | { readonly type: 'done' }
  | { readonly type: 'extension', readonly message: unknown }
  | { readonly type: 'problem', readonly problem: ProblemDetails }

/** The identity of a peer, authenticated in the handshake. */
export interface PeerIdentity {
  readonly vm: VmName
}
