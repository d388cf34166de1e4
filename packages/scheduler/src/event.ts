/**
 * Typed events that the owner of a cell handles. The time is passed to each step along
 * with its event, so that a step reads no clock.
 */
import type { EnvironmentDocument } from '@cornelgauge/environment'
import type { AnswerReference, BackendServerName, Branded, DocumentVersion, ErrorCode, RequestId, SequenceNumber, Submission } from '@cornelgauge/model'
import type { ExecutionId, ExecutionReport, WatchResponse } from '@cornelgauge/ports'
import type { ServerDescription } from '@cornelgauge/policy'

/** Identifies a call that waits for a reply. */
export type CallId = Branded<number, 'CallId'>

/** A point in time, by both clocks of a VM. */
export interface Instant {
  /** Milliseconds since 1970; may jump in either direction. */
  readonly wall: number
  /** Milliseconds since the process started; never decreases. */
  readonly monotonic: number
}

/** Name of a command to a backend server. */
export type CommandName = 'prepare' | 'go' | 'fence' | 'stop' | 'checkpoint'

/** An event for the owner. `waitUntil` is a monotonic time. */
export type OwnerEvent =
  | { readonly type: 'submit', readonly call: CallId, readonly submission: Submission, readonly waitUntil: number }
  | { readonly type: 'read', readonly call: CallId, readonly id: RequestId, readonly waitUntil: number }
  | { readonly type: 'cancel', readonly call: CallId, readonly id: RequestId }
  | { readonly type: 'committed', readonly sequence: SequenceNumber }
  | { readonly type: 'fenced' }
  | { readonly type: 'lease', readonly validUntil: number }
  | { readonly type: 'reports', readonly server: BackendServerName, readonly reports: readonly ExecutionReport[] }
  | { readonly type: 'command-failed', readonly server: BackendServerName, readonly command: CommandName, readonly executions: readonly ExecutionId[], readonly code: ErrorCode }
  | { readonly type: 'watched', readonly server: BackendServerName, readonly answer: WatchResponse }
  | { readonly type: 'watch-failed', readonly server: BackendServerName, readonly code: ErrorCode }
  | { readonly type: 'servers', readonly servers: readonly ListedServer[] }
  | { readonly type: 'answer-stored', readonly id: RequestId, readonly answer: AnswerReference }
  | { readonly type: 'document', readonly document: EnvironmentDocument, readonly version: DocumentVersion }
  | { readonly type: 'snapshot-taken', readonly sequence: SequenceNumber }
  | { readonly type: 'snapshot-failed' }
  | { readonly type: 'drain' }
  | { readonly type: 'tick' }

/** The event of one type. */
export type OwnerEventOf<Type extends OwnerEvent['type']> = Extract<OwnerEvent, { type: Type }>

/** An entry of the VM list for a backend server. */
export interface ListedServer {
  readonly description: ServerDescription
  readonly address: string
  readonly leaving: boolean
}
