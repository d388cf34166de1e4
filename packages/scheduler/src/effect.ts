/**
 * Typed effects that the owner of a cell requests. The daemon has a handler for each,
 * which reports the outcome as an event.
 */
import type { Transition, Ledger } from '@cornelgauge/coordination'
import type { AnswerReference, BackendServerName, CornelgaugeError, RequestId, RequestRecord, SequenceNumber } from '@cornelgauge/model'
import type { ExecutionId, Preparation } from '@cornelgauge/ports'
import type { EventName } from '@cornelgauge/telemetry'
import type { CallId } from './event.js'

/** The reply to a call. */
export type CallReply =
  | { readonly type: 'record', readonly record: RequestRecord, readonly asOf?: number }
  | { readonly type: 'failure', readonly failure: CornelgaugeError }

/** A command to a backend server, with its parameters. */
export type Command =
  | { readonly name: 'prepare', readonly preparations: readonly Preparation[] }
  | { readonly name: 'go' | 'fence' | 'stop' | 'checkpoint', readonly executions: readonly ExecutionId[] }

/** An effect for the daemon to carry out. */
export type OwnerEffect =
  | { readonly type: 'reply', readonly call: CallId, readonly reply: CallReply }
  | { readonly type: 'commit', readonly sequence: SequenceNumber, readonly transitions: readonly Transition[] }
  | { readonly type: 'command', readonly server: BackendServerName, readonly command: Command }
  | { readonly type: 'watch', readonly server: BackendServerName, readonly after: number, readonly waitMilliseconds: number, readonly leaseMilliseconds: number, readonly acknowledged: readonly ExecutionId[] }
  | { readonly type: 'store-answer', readonly id: RequestId, readonly answer: AnswerReference, readonly text: string }
  | { readonly type: 'delete-answers', readonly objects: readonly string[] }
  | { readonly type: 'snapshot', readonly sequence: SequenceNumber, readonly ledger: Ledger }
  /** Request a `tick` event at this monotonic time at the latest. */
  | { readonly type: 'wake', readonly at: number }
  /** After a `drain` event: all transitions are committed, and the cell may be released. */
  | { readonly type: 'drained' }
  /** This VM no longer owns the cell, because a newer owner has fenced it or a step failed. */
  | { readonly type: 'stepped-down' }
  | { readonly type: 'log', readonly event: OwnerLogEvent, readonly request?: RequestId, readonly details?: Readonly<Record<string, unknown>> }

/** Names of the log events that the owner emits. */
export type OwnerLogEvent = Extract<EventName,
  | 'request-accepted' | 'request-refused' | 'request-start-intended' | 'request-started' | 'request-returned'
  | 'request-ended' | 'request-unknown' | 'request-cancel-requested' | 'request-preempted'
  | 'gang-preparing' | 'gang-prepared' | 'gang-released' | 'gang-stopping'
  | 'server-joined' | 'server-suspected' | 'server-lost' | 'server-leaving'
  | 'execution-orphaned'>
