/**
 * A harness for the step of a cell owner: commits succeed at once, and backend servers
 * report the state that each command requests.
 */
import { emptyLedger, type Ledger } from '@cornelgauge/coordination'
import { parseDocument, type EnvironmentDocument } from '@cornelgauge/environment'
import {
  backendServerName, cellName, digestOf, documentVersion, epoch, kindName, rackName, requestId, requestKey, sequenceNumber, vmName, workspaceName,
  type BackendServerName, type RequestRecord, type Submission
} from '@cornelgauge/model'
import type { ExecutionReport } from '@cornelgauge/ports'
import { createOwner, step, type Command, type ListedServer, type OwnerEffect, type OwnerEvent, type OwnerState } from '@cornelgauge/scheduler'

const CELL = cellName('cell-1')
const START_MILLISECONDS = 1_000_000
const DEADLINE_MILLISECONDS = 1_000_000_000
const SERVERS_PER_RACK = 16
const TICK_MILLISECONDS = 250
const SECOND_MILLISECONDS = 1000
const SERVER_LISTS_PER_SECOND = 2

/** The sizes of a cell. */
export interface CellSizes {
  readonly servers: number
  readonly slots: number
  readonly accelerators: number
  readonly workspaces: number
}

const oneTo = (count: number): readonly number[] => Array.from({ length: count }, (_, index) => index + 1)

/** Text of an environment document with one cell of these sizes. */
export function documentText ({ servers, slots, accelerators, workspaces }: CellSizes): string {
  const racks = oneTo(Math.ceil(servers / SERVERS_PER_RACK)).map(number =>
    ({ name: `rack-${number}`, servers: Math.min(SERVERS_PER_RACK, servers - (number - 1) * SERVERS_PER_RACK), slotsPerServer: slots, acceleratorsPerServer: accelerators }))
  return JSON.stringify({
    name: 'slopes',
    generation: 1,
    cells: [{ name: CELL, region: 'region-1', failureDomain: 'domain-1', racks }],
    kinds: [
      { name: 'short', idempotent: true, urgent: true, checkpointable: false, minimumShare: 0.2, shape: { slots: 1 }, declaredMilliseconds: 300 },
      { name: 'long', idempotent: true, urgent: false, checkpointable: true, minimumShare: 0.3, shape: { slots: 1 }, declaredMilliseconds: 3_600_000 }
    ],
    workspaces: oneTo(workspaces).map(number => ({ name: `team-${number}`, guarantees: [], maximumPending: 100_000 })),
    times: { reclaimMilliseconds: 5000, retentionMilliseconds: 600_000, taskLeaseMilliseconds: 30_000 }
  })
}

/** Makes a submission of a kind. */
export function submission (key: string, kind: 'short' | 'long', workspace = 1): Submission {
  return {
    workspace: workspaceName(`team-${workspace}`),
    key: requestKey(key),
    kind: kindName(kind),
    payload: { branch: 'main', desk: 4 },
    bodyDigest: digestOf(key),
    shape: { slots: 1, accelerators: 0, adjacency: 'server' },
    deadline: START_MILLISECONDS + DEADLINE_MILLISECONDS,
    idempotent: true,
    declaredMilliseconds: 3_600_000
  }
}

/** The name of the backend server with this number. */
export const serverName = (number: number): BackendServerName => backendServerName(`server-${number}`)

/** Records of running tasks, spread over the backend servers. */
export function runningLedger (tasks: number, servers: number): Ledger {
  return ledgerOf(tasks, (record, number) => ({
    ...record,
    state: 'running',
    attempts: 1,
    assignment: { attempt: 1, epoch: epoch(1), members: [{ server: serverName(number % servers + 1), slots: 1, accelerators: 0, incarnation: 'life-1' }] }
  }))
}

/** Records of requests that have ended and are kept. */
export function endedLedger (requests: number): Ledger {
  const answer = JSON.stringify({ echo: { branch: 'main', desk: 4 } })
  return ledgerOf(requests, (record, number) => ({
    ...record, state: 'finished', attempts: 1, endedAt: START_MILLISECONDS + number, answer: { lengthBytes: answer.length, digest: digestOf(answer), inline: answer }
  }))
}

function ledgerOf (count: number, change: (record: RequestRecord, number: number) => RequestRecord): Ledger {
  return emptyLedger().withMutations(ledger => {
    for (const number of oneTo(count)) {
      const submitted = submission(`request-${number}`, 'long')
      const id = requestId(submitted.workspace, submitted.key)
      const record: RequestRecord = { id, submission: submitted, state: 'pending', acceptedAt: START_MILLISECONDS, attempts: 0, faults: 0, mayHaveRun: false, cancelRequested: false }
      ledger.set(id, change(record, number))
    }
  })
}

/** Counts of the commits, watches and finished requests of the owner. */
export interface OwnerCounts {
  readonly commits: number
  readonly watches: number
  readonly finished: number
}

/** Runs one owner on virtual time. */
export class OwnerHarness {
  readonly #sizes: CellSizes
  readonly #document: EnvironmentDocument
  readonly #listed: readonly ListedServer[]
  #state: OwnerState
  #now = START_MILLISECONDS
  #calls = 0
  #counts = { commits: 0, watches: 0, finished: 0 }

  constructor (sizes: CellSizes, ledger: Ledger = emptyLedger()) {
    this.#sizes = sizes
    this.#document = parseDocument(documentText(sizes)).document
    this.#listed = oneTo(sizes.servers).map(number => this.#listServer(number))
    this.#state = createOwner({
      cell: CELL,
      vm: vmName('vm-1'),
      epoch: epoch(1),
      document: this.#document,
      documentVersion: documentVersion(1),
      ledger,
      nextSequence: sequenceNumber(1),
      snapshotSequence: sequenceNumber(0),
      monotonic: this.#now,
      leaseValidUntil: Infinity
    })
  }

  get state (): OwnerState {
    return this.#state
  }

  get counts (): OwnerCounts {
    return this.#counts
  }

  /** Lists all backend servers and answers the first watch of each with its running tasks. */
  joinServers (): this {
    const reports = this.#runningReports()
    this.dispatch({ type: 'servers', servers: this.#listed })
    for (const { description } of this.#listed) this.#completeWatch(description.name, reports.get(description.name) ?? [])
    return this
  }

  /** Submits requests. */
  submit (count: number, kind: 'short' | 'long', prefix = 'job'): void {
    for (let number = 0; number < count; number++) {
      const workspace = number % this.#sizes.workspaces + 1
      this.dispatch({ type: 'submit', call: ++this.#calls as never, submission: submission(`${prefix}-${number}`, kind, workspace), waitUntil: this.#now })
    }
    this.passTime(TICK_MILLISECONDS)
  }

  /** Simulates one second: ticks, server lists, and one watch of each backend server. */
  passSecond (): void {
    for (let list = 0; list < SERVER_LISTS_PER_SECOND; list++) this.dispatch({ type: 'servers', servers: this.#listed })
    for (const { description } of this.#listed) this.#completeWatch(description.name, [])
    for (let passed = 0; passed < SECOND_MILLISECONDS; passed += TICK_MILLISECONDS) this.passTime(TICK_MILLISECONDS)
  }

  /** Advances the clock and dispatches a tick. */
  passTime (milliseconds: number): void {
    this.#now += milliseconds
    this.dispatch({ type: 'tick' })
  }

  /** Reports every running task as finished. */
  finishAll (): void {
    for (const run of this.#state.runs.filter(candidate => candidate.phase === 'running').values()) {
      for (const server of run.members.keys()) {
        const report: ExecutionReport = { request: run.id, attempt: run.attempt, state: 'finished', answer: '{"echo":1}' }
        this.dispatch({ type: 'reports', server, reports: [report] })
      }
    }
    this.passTime(TICK_MILLISECONDS)
  }

  /** Dispatches an event and all events that its effects cause. */
  dispatch (event: OwnerEvent): void {
    const events = [event]
    for (let next = events.shift(); next !== undefined; next = events.shift()) {
      const result = step(this.#state, next, { wall: this.#now, monotonic: this.#now })
      this.#state = result.state
      events.push(...result.effects.flatMap(effect => this.#eventsAfter(effect)))
    }
  }

  #eventsAfter (effect: OwnerEffect): readonly OwnerEvent[] {
    if (effect.type === 'commit') return this.#commit(effect)
    if (effect.type === 'command') return [{ type: 'reports', server: effect.server, reports: reportsOf(effect.command) }]
    if (effect.type === 'snapshot') return [{ type: 'snapshot-taken', sequence: effect.sequence }]
    if (effect.type === 'watch') this.#counts.watches += 1
    return []
  }

  #commit (effect: Extract<OwnerEffect, { type: 'commit' }>): readonly OwnerEvent[] {
    this.#counts.commits += 1
    this.#counts.finished += effect.transitions.filter(transition => transition.type === 'ended').length
    return [{ type: 'committed', sequence: effect.sequence }]
  }

  #completeWatch (server: BackendServerName, reports: readonly ExecutionReport[]): void {
    const usage = { slots: 0, accelerators: 0, measuredAt: this.#now }
    this.dispatch({ type: 'watched', server, answer: { reports, cursor: 1, leaving: false, incarnation: 'life-1', usage } })
  }

  #runningReports (): ReadonlyMap<BackendServerName, readonly ExecutionReport[]> {
    const reports = new Map<BackendServerName, ExecutionReport[]>()
    for (const run of this.#state.runs.values()) {
      for (const server of run.members.keys()) {
        const own = reports.get(server) ?? []
        own.push({ request: run.id, attempt: run.attempt, state: 'running' })
        reports.set(server, own)
      }
    }
    return reports
  }

  #listServer (number: number): ListedServer {
    const { slots, accelerators } = this.#sizes
    const position = Math.ceil(number / SERVERS_PER_RACK)
    const description = { name: serverName(number), rack: rackName(`rack-${position}`), rackPosition: position, slots, accelerators }
    return { description, address: '127.0.0.1:1', leaving: false }
  }
}

const STATES_AFTER = { go: 'running', fence: 'never-started', stop: 'stopped', checkpoint: 'running' } as const

function reportsOf (command: Command): readonly ExecutionReport[] {
  if (command.name !== 'prepare') return command.executions.map(execution => ({ ...execution, state: STATES_AFTER[command.name] }))
  return command.preparations.map(({ request, attempt, start }) => ({ request, attempt, state: start ? 'running' : 'prepared' }))
}
