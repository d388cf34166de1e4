/** The state of the owner of a cell, as one immutable value. */
import { hasEnded, type Ledger, type Transition } from '@cornelgauge/coordination'
import type { EnvironmentDocument } from '@cornelgauge/environment'
import type { BackendServerName, CellName, DocumentVersion, Epoch, PlacementMember, RequestId, RequestRecord, SequenceNumber, VmName } from '@cornelgauge/model'
import type { ExecutionId, ExecutionReport } from '@cornelgauge/ports'
import { createPolicy, type PolicyState, type ServerDescription } from '@cornelgauge/policy'
import { List, Map as ImmutableMap } from 'immutable'
import type { CallId } from './event.js'
import { policySettings } from './policy-settings.js'
import { indexRuns, type RunIndex } from './run-index.js'

/** The journal row being written. */
export interface Batch {
  readonly sequence: SequenceNumber
  readonly transitions: readonly Transition[]
  /** The ledger once the row is committed. */
  readonly ledger: Ledger
}

/** A call that waits for a request. Times are monotonic. */
export interface Waiter {
  readonly call: CallId
  /** True for a submission, false for a read or a cancellation. */
  readonly isSubmission: boolean
  /** When to reply with the state committed by then. */
  readonly replyBy: number
  /** When to stop waiting for its change to be committed. */
  readonly commitDeadline: number
}

/**
 * The state of one member of a run. The backend server of a `lost` member may become
 * reachable again and report it. A `forgotten` member belonged to an earlier incarnation
 * of its backend server, which will never report it.
 */
export interface MemberState {
  readonly state: 'asked' | 'prepared' | 'running' | 'finished' | 'failed' | 'stopped' | 'lapsed' | 'never-started' | 'lost' | 'forgotten'
  readonly report?: ExecutionReport
}

/** Phases of a run, in order. */
export type RunPhase = 'preparing' | 'committing' | 'starting' | 'running' | 'stopping' | 'storing' | 'ending'

/** Why a run is being stopped. */
export type StopReason = 'cancelled' | 'preempted' | 'member-lost' | 'member-failed' | 'member-never-started'

/** One attempt of a request, as tracked by this owner. */
export interface Run {
  readonly id: RequestId
  readonly attempt: number
  readonly phase: RunPhase
  /** The capacity of each member, in the order of the gang. */
  readonly plannedMembers: readonly PlacementMember[]
  readonly members: ImmutableMap<BackendServerName, MemberState>
  readonly stopReason?: StopReason
  /**
   * True if the policy counts the run as running: not for a recovered run until all its
   * backend servers have joined, nor after its capacity was freed.
   */
  readonly isInPolicy: boolean
  /** Monotonic time of the last start, stop or inquiry; inquiries are spaced from it. */
  readonly inquiredAt: number
}

/** The owner's record of a backend server. Times are monotonic. */
export interface ServerState {
  readonly description: ServerDescription
  readonly status: 'new' | 'live' | 'suspect' | 'leaving' | 'lost'
  readonly isListed: boolean
  /** True if the VM list marks it as leaving, regardless of its own reports. */
  readonly isListedAsLeaving: boolean
  readonly incarnation: string | undefined
  readonly cursor: number
  readonly lastAnswerAt: number
  /** Executions to acknowledge, so that the backend server may discard them. The first ones were sent with the current watch. */
  readonly unacknowledged: List<ExecutionId>
  readonly sentAcknowledgementCount: number
  /** When to watch again after a failure; undefined while a watch is in progress. */
  readonly nextWatchAt: number | undefined
}

/** The state of the owner. */
export interface OwnerState {
  readonly cell: CellName
  readonly vm: VmName
  readonly epoch: Epoch
  readonly document: EnvironmentDocument
  readonly documentVersion: DocumentVersion
  /** The ledger as committed to the journal; replies to callers are based on this alone. */
  readonly committed: Ledger
  /** `committed` with the batch and all staged transitions applied; decisions are based on this. */
  readonly ledger: Ledger
  readonly batch: Batch | undefined
  readonly staged: List<Transition>
  readonly nextSequence: SequenceNumber
  readonly lastCommitAt: number
  readonly snapshotSequence: SequenceNumber
  readonly isSnapshotInProgress: boolean
  readonly policy: PolicyState
  readonly policyChanged: boolean
  /** Deadlines of the waiting requests, by id. */
  readonly waiting: ImmutableMap<RequestId, number>
  /** Waiting requests that are in backoff and not in the policy, with the time when the backoff ends. */
  readonly backoffUntil: ImmutableMap<RequestId, number>
  /**
   * Latest attempt number of each request with runs under this owner. May be ahead of
   * the ledger's, because a gang is prepared before its intent is committed.
   */
  readonly lastAttempts: ImmutableMap<RequestId, number>
  readonly ended: List<RequestId>
  readonly waiters: ImmutableMap<RequestId, List<Waiter>>
  readonly runs: ImmutableMap<RequestId, Run>
  readonly runsByServer: RunIndex
  readonly servers: ImmutableMap<BackendServerName, ServerState>
  readonly startedAt: number
  readonly leaseValidUntil: number
  readonly draining: boolean
  /** True once this owner has released or lost the cell. */
  readonly hasEnded: boolean
}

/** The recovered ledger and settings from which a new owner starts. */
export interface OwnerStart {
  readonly cell: CellName
  readonly vm: VmName
  readonly epoch: Epoch
  readonly document: EnvironmentDocument
  readonly documentVersion: DocumentVersion
  readonly ledger: Ledger
  readonly nextSequence: SequenceNumber
  readonly snapshotSequence: SequenceNumber
  readonly monotonic: number
  readonly leaseValidUntil: number
}

/**
 * Creates the state of an owner that has just recovered its cell. Pending requests are
 * queued again; the state of running ones is queried from their backend servers.
 *
 * @example
 * const state = createOwner({ ...start, ledger: emptyLedger() })
 */
export function createOwner (start: OwnerStart): OwnerState {
  const records = [...start.ledger.values()]
  const unfinished = records.filter(record => !hasEnded(record))
  const pending = unfinished.filter(record => record.state === 'pending')
  const running = unfinished.filter(record => record.state !== 'pending')
  const runs = running.map(recoveredRun)
  const { monotonic, ledger, ...rest } = start
  return {
    ...rest,
    committed: ledger,
    ledger,
    batch: undefined,
    staged: List(),
    lastCommitAt: -Infinity,
    isSnapshotInProgress: false,
    policy: createPolicy(policySettings(start.document, start.cell)),
    policyChanged: true,
    waiting: ImmutableMap(pending.map(record => [record.id, record.submission.deadline])),
    backoffUntil: ImmutableMap(pending.map(record => [record.id, monotonic])),
    lastAttempts: ImmutableMap(running.map(record => [record.id, record.assignment!.attempt])),
    ended: List(records.filter(hasEnded).sort((first, second) => first.endedAt! - second.endedAt!).map(record => record.id)),
    waiters: ImmutableMap(),
    runs: ImmutableMap(runs.map(run => [run.id, run])),
    runsByServer: indexRuns(runs),
    servers: ImmutableMap(),
    startedAt: monotonic,
    draining: false,
    hasEnded: false
  }
}

function recoveredRun (record: RequestRecord): Run {
  const assignment = record.assignment!
  const members = assignment.members.map(member => [member.server, { state: 'asked' } as MemberState] as const)
  return {
    id: record.id,
    attempt: assignment.attempt,
    plannedMembers: assignment.members,
    phase: record.cancelRequested ? 'stopping' : 'running',
    stopReason: record.cancelRequested ? 'cancelled' : undefined,
    members: ImmutableMap(members),
    isInPolicy: false,
    inquiredAt: -Infinity
  }
}
