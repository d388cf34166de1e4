/**
 * What the owner of a cell wants done, as typed effects. The daemon has a handler
 * for each; the outcome comes back as an event.
 */
import type { Transition, Ledger } from '@cornelgauge/coordination'
import type { AnswerReference, BackendServerName, CornelgaugeError, RequestId, RequestRecord, SequenceNumber } from '@cornelgauge/model'
import type { ExecutionId, Preparation } from '@cornelgauge/ports'
import type { EventName } from '@cornelgauge/telemetry'
import type { CallId } from './event.js'

/** What a call gets back. */
export type CallReply =
  | { readonly type: 'record', readonly record: RequestRecord, readonly asOf?: number }
  | { readonly type: 'failure', readonly failure: CornelgaugeError }

/** A command with what it needs. */
export type Command =
  | { readonly name: 'prepare', readonly preparations: readonly Preparation[] }
  | { readonly name: 'go' | 'fence' | 'stop' | 'checkpoint', readonly executions: readonly ExecutionId[] }

/** An effect. */
export type OwnerEffect =
  | { readonly type: 'reply', readonly call: CallId, readonly reply: CallReply }
  | { readonly type: 'commit', readonly sequence: SequenceNumber, readonly transitions: readonly Transition[] }
  | { readonly type: 'command', readonly server: BackendServerName, readonly command: Command }
  | { readonly type: 'watch', readonly server: BackendServerName, readonly after: number, readonly waitMilliseconds: number, readonly leaseMilliseconds: number, readonly acknowledged: readonly ExecutionId[] }
  | { readonly type: 'store-answer', readonly id: RequestId, readonly answer: AnswerReference, readonly text: string }
  | { readonly type: 'delete-answers', readonly objects: readonly string[] }
  | { readonly type: 'snapshot', readonly sequence: SequenceNumber, readonly ledger: Ledger }
  /** Wanted: a `tick` at this monotonic time at the latest. */
  | { readonly type: 'wake', readonly at: number }
  /** Everything is committed after a `drain`; the cell may be given up. */
  | { readonly type: 'drained' }
  /** A newer owner has the cell. */
  | { readonly type: 'stepped-down' }
  | { readonly type: 'log', readonly event: OwnerLogEvent, readonly request?: RequestId, readonly details?: Readonly<Record<string, unknown>> }

/** Names of time line events that the owner itself causes. */
export type OwnerLogEvent = Extract<EventName,
  | 'request-accepted' | 'request-refused' | 'request-start-intended' | 'request-started' | 'request-returned'
  | 'request-ended' | 'request-unknown' | 'request-cancel-requested' | 'request-preempted'
  | 'gang-preparing' | 'gang-prepared' | 'gang-released' | 'gang-stopping'
  | 'server-joined' | 'server-suspected' | 'server-lost' | 'server-leaving'
  | 'execution-orphaned'>
