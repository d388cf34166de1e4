/**
 * The state of the owner of a cell: one immutable value.
 */
import { hasEnded, type Ledger, type Transition } from '@cornelgauge/coordination'
import type { EnvironmentDocument } from '@cornelgauge/environment'
import type { BackendServerName, CellName, DocumentVersion, Epoch, Member, RequestId, RequestRecord, SequenceNumber, VmName } from '@cornelgauge/model'
import type { ExecutionId, ExecutionReport } from '@cornelgauge/ports'
import { createPolicy, type PolicyState, type ServerDescription } from '@cornelgauge/policy'
import { List, Map as ImmutableMap } from 'immutable'
import type { CallId } from './event.js'
import { policySettings } from './policy-settings.js'
import { indexRuns, type RunIndex } from './run-index.js'

/** The journal row that is being written. */
export interface Batch {
  readonly sequence: SequenceNumber
  readonly transitions: readonly Transition[]
  /** The ledger once the row is committed. */
  readonly ledger: Ledger
}

/** A call that waits on a request. Times are monotonic. */
export interface Waiter {
  readonly call: CallId
  /** True of a submission, false of a read or a cancellation. */
  readonly submits: boolean
  /** When it is told whatever is committed. */
  readonly until: number
  /** When it is told that its change is still not committed. */
  readonly commitBy: number
}

/**
 * Where one member of a run stands. Of a `lost` one its backend server may still
 * tell; a `forgotten` one belonged to a life of its backend server that is over.
 */
export interface MemberState {
  readonly state: 'asked' | 'prepared' | 'running' | 'finished' | 'failed' | 'stopped' | 'lapsed' | 'never-started' | 'lost' | 'forgotten'
  readonly report?: ExecutionReport
}

/** Phases of a run, in the order in which they come. */
export type RunPhase = 'preparing' | 'committing' | 'starting' | 'running' | 'stopping' | 'storing' | 'ending'

/** Why a run is being stopped. */
export type StopReason = 'cancelled' | 'preempted' | 'member-lost' | 'member-failed' | 'member-never-started'

/** One attempt of a request, as this owner follows it. */
export interface Run {
  readonly id: RequestId
  readonly attempt: number
  readonly phase: RunPhase
  /** What each member gives, in the order of the gang. */
  readonly plan: readonly Member[]
  readonly members: ImmutableMap<BackendServerName, MemberState>
  readonly stopReason?: StopReason
  /** False for a run that was recovered and whose servers have not all joined yet. */
  readonly inPolicy: boolean
  /** Monotonic time of the last inquiry, so that inquiries are spaced. */
  readonly inquiredAt: number
}

/** What the owner knows of a backend server. Times are monotonic. */
export interface ServerState {
  readonly description: ServerDescription
  readonly status: 'new' | 'live' | 'suspect' | 'leaving' | 'lost'
  readonly listed: boolean
  /** True while the VM list says that it is leaving, whatever it says of itself. */
  readonly listedLeaving: boolean
  readonly incarnation: string | undefined
  readonly cursor: number
  readonly heardAt: number
  /** Executions that it may forget, those under way with the present watch first. */
  readonly acknowledge: List<ExecutionId>
  readonly sentAcknowledgements: number
  /** When to watch again after a failure; undefined while a watch is under way. */
  readonly watchAt: number | undefined
}

/** The state of the owner. */
export interface OwnerState {
  readonly cell: CellName
  readonly vm: VmName
  readonly epoch: Epoch
  readonly document: EnvironmentDocument
  readonly documentVersion: DocumentVersion
  /** What the journal holds; callers are told only of this. */
  readonly committed: Ledger
  /** `committed` with the batch and all staged transitions applied; decisions are made on this. */
  readonly ledger: Ledger
  readonly batch: Batch | undefined
  readonly staged: List<Transition>
  readonly nextSequence: SequenceNumber
  readonly lastCommitAt: number
  readonly snapshotSequence: SequenceNumber
  readonly snapshotUnderWay: boolean
  readonly policy: PolicyState
  readonly policyChanged: boolean
  /** Requests that wait, by id, with their deadline. */
  readonly waiting: ImmutableMap<RequestId, number>
  /** Requests that wait for their backoff to pass before the policy sees them again, with that time. */
  readonly held: ImmutableMap<RequestId, number>
  /** Attempt numbers used so far, where they are ahead of the ledger's. */
  readonly tries: ImmutableMap<RequestId, number>
  readonly ended: List<RequestId>
  readonly waiters: ImmutableMap<RequestId, List<Waiter>>
  readonly runs: ImmutableMap<RequestId, Run>
  readonly runsByServer: RunIndex
  readonly servers: ImmutableMap<BackendServerName, ServerState>
  readonly startedAt: number
  readonly leaseValidUntil: number
  readonly draining: boolean
  /** True once this owner has given the cell up or lost it. */
  readonly over: boolean
}

/** What a new owner starts from. */
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
 * The state of an owner that has just recovered its cell. Pending requests wait
 * again; running ones are followed up with their backend servers.
 *
 * @example
 * const state = createOwner({ ...start, ledger: emptyLedger() })
 */
export function createOwner (start: OwnerStart): OwnerState {
  const records = [...start.ledger.values()]
  const open = records.filter(record => !hasEnded(record))
  const pending = open.filter(record => record.state === 'pending')
  const running = open.filter(record => record.state !== 'pending')
  const runs = running.map(recoveredRun)
  const { monotonic, ledger, ...rest } = start
  return {
    ...rest,
    committed: ledger,
    ledger,
    batch: undefined,
    staged: List(),
    lastCommitAt: -Infinity,
    snapshotUnderWay: false,
    policy: createPolicy(policySettings(start.document, start.cell)),
    policyChanged: true,
    waiting: ImmutableMap(pending.map(record => [record.id, record.submission.deadline])),
    held: ImmutableMap(pending.map(record => [record.id, monotonic])),
    tries: ImmutableMap(running.map(record => [record.id, record.assignment!.attempt])),
    ended: List(records.filter(hasEnded).sort((one, other) => one.endedAt! - other.endedAt!).map(record => record.id)),
    waiters: ImmutableMap(),
    runs: ImmutableMap(runs.map(run => [run.id, run])),
    runsByServer: indexRuns(runs),
    servers: ImmutableMap(),
    startedAt: monotonic,
    draining: false,
    over: false
  }
}

function recoveredRun (record: RequestRecord): Run {
  const assignment = record.assignment!
  const members = assignment.members.map(member => [member.server, { state: 'asked' } as MemberState] as const)
  return {
    id: record.id,
    attempt: assignment.attempt,
    plan: assignment.members,
    phase: record.cancelRequested ? 'stopping' : 'running',
    stopReason: record.cancelRequested ? 'cancelled' : undefined,
    members: ImmutableMap(members),
    inPolicy: false,
    inquiredAt: -Infinity
  }
}
