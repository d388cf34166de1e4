/**
 * What can happen to the owner of a cell, as typed events. Times in `at` come with
 * each event, so that a step reads no clock.
 */
import type { EnvironmentDocument } from '@cornelgauge/environment'
import type { AnswerReference, BackendServerName, Branded, DocumentVersion, ErrorCode, RequestId, SequenceNumber, Submission } from '@cornelgauge/model'
import type { ExecutionId, ExecutionReport, WatchAnswer } from '@cornelgauge/ports'
import type { ServerDescription } from '@cornelgauge/policy'

/** Names one call that waits for a reply. */
export type CallId = Branded<number, 'CallId'>

/** A moment, by both of a VM's clocks. */
export interface Instant {
  /** Milliseconds since 1970; may jump. */
  readonly wall: number
  /** Milliseconds since the process started; never goes back. */
  readonly monotonic: number
}

/** A command to a backend server. */
export type CommandName = 'prepare' | 'go' | 'fence' | 'stop' | 'checkpoint'

/** An event. `waitUntil` is by the monotonic clock. */
export type OwnerEvent =
  | { readonly type: 'submit', readonly call: CallId, readonly submission: Submission, readonly waitUntil: number }
  | { readonly type: 'read', readonly call: CallId, readonly id: RequestId, readonly waitUntil: number }
  | { readonly type: 'cancel', readonly call: CallId, readonly id: RequestId }
  | { readonly type: 'committed', readonly sequence: SequenceNumber }
  | { readonly type: 'fenced' }
  | { readonly type: 'lease', readonly validUntil: number }
  | { readonly type: 'reports', readonly server: BackendServerName, readonly reports: readonly ExecutionReport[] }
  | { readonly type: 'command-failed', readonly server: BackendServerName, readonly command: CommandName, readonly executions: readonly ExecutionId[], readonly code: ErrorCode }
  | { readonly type: 'watched', readonly server: BackendServerName, readonly answer: WatchAnswer }
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

/** A backend server as the VM list names it. */
export interface ListedServer {
  readonly description: ServerDescription
  readonly address: string
  readonly leaving: boolean
}
