/**
 * The in-memory backend server, which simulates the run of tasks by an injected clock.
 */
import { randomUUID } from 'node:crypto'
import { CornelgaugeError, type CellName, type Epoch } from '@cornelgauge/model'
import type {
  BackendServer, ExecutionId, ExecutionReport, ExecutionState, OwnerClaim, Preparation, WatchResponse, WatchRequest
} from './backend-server.js'
import { systemClock, type CancelTimer, type Clock } from './clock.js'
import {
  checkpointAt, completedWork, completedInCheckpoint, executionKey, fencedExecution, isLive, preparedExecution, remainingMilliseconds, reportOf,
  type Execution
} from './execution.js'
import { ExecutionLog, type LoggedExecution } from './execution-log.js'
import { FaultSwitch, type Access } from './fault-switch.js'
import { answerOf, failsAtEnd } from './task.js'
import { UsageHistory, type Usage } from './usage-history.js'
import { WatchQueue } from './watch-queue.js'

const DEFAULT_LEASE_MILLISECONDS = 10_000
const DEFAULT_USAGE_LAG_MILLISECONDS = 1000
/** Duration of a task in the fault mode `fail-everything`. */
const QUICK_FAILURE_MILLISECONDS = 5

/** Capacity and settings of a backend server. */
export interface BackendServerOptions {
  readonly slots: number
  readonly accelerators: number
  readonly clock?: Clock
  /** Lease of an execution until the first watch of its cell sets another. */
  readonly leaseMilliseconds?: number
  readonly usageLagMilliseconds?: number
  /** Identifier of this incarnation of the backend server; random by default. */
  readonly incarnation?: string
}

/** The timers of a live execution. */
interface ExecutionTimers {
  readonly lease?: CancelTimer
  readonly end?: CancelTimer
}

/**
 * A backend server with slots and accelerators, leases, fencing by epoch, and a
 * log of every start. A batch of preparations is reserved atomically.
 *
 * @example
 * const server = new MemoryBackendServer({ slots: 8, accelerators: 8 })
 * await server.prepare({ cell, epoch }, [preparation])
 */
export class MemoryBackendServer implements BackendServer {
  readonly faults: FaultSwitch
  readonly #clock: Clock
  readonly #capacity: Usage
  readonly #defaultLeaseMilliseconds: number
  readonly #leaseMillisecondsByCell = new Map<CellName, number>()
  readonly #highestEpochs = new Map<CellName, Epoch>()
  readonly #executions = new Map<string, Execution>()
  /** Ended executions that their owner has acknowledged, without their answers. */
  readonly #acknowledged = new Map<string, Execution>()
  readonly #timers = new Map<string, ExecutionTimers>()
  readonly #log = new ExecutionLog()
  readonly #usageHistory: UsageHistory
  readonly #watches: WatchQueue
  readonly #incarnation: string
  #revision = 0

  constructor (options: BackendServerOptions) {
    this.#clock = options.clock ?? systemClock
    this.#capacity = { slots: options.slots, accelerators: options.accelerators }
    this.#defaultLeaseMilliseconds = options.leaseMilliseconds ?? DEFAULT_LEASE_MILLISECONDS
    this.#incarnation = options.incarnation ?? randomUUID()
    this.#usageHistory = new UsageHistory(options.usageLagMilliseconds ?? DEFAULT_USAGE_LAG_MILLISECONDS)
    this.#watches = new WatchQueue(this.#clock)
    this.faults = new FaultSwitch(this.#clock)
    this.faults.onChange(() => this.#watches.wakeAll())
  }

  /** The log of all executions that were started here. */
  get executions (): readonly LoggedExecution[] {
    return this.#log.entries
  }

  /** Capacity in use now. */
  get usage (): Usage {
    const livePreparations = [...this.#executions.values()].filter(isLive).map(({ preparation }) => preparation!)
    return totalUsage(livePreparations)
  }

  /** Number of pending watch calls. */
  get waitingWatches (): number {
    return this.#watches.size
  }

  prepare (claim: OwnerClaim, preparations: readonly Preparation[]): Promise<readonly ExecutionReport[]> {
    return this.#respond('writes', claim, () => {
      this.#checkAdmission(preparations.filter(preparation => this.#find(preparation) === undefined))
      return preparations.map(preparation => this.#prepareOne(claim, preparation))
    })
  }

  go (claim: OwnerClaim, executions: readonly ExecutionId[]): Promise<readonly ExecutionReport[]> {
    return this.#updateEach(claim, executions, execution =>
      execution.state === 'prepared' ? this.#start(execution, claim.epoch) : execution)
  }

  fence (claim: OwnerClaim, executions: readonly ExecutionId[]): Promise<readonly ExecutionReport[]> {
    return this.#updateEach(claim, executions, execution =>
      execution.state === 'prepared' ? this.#end(execution, 'never-started') : execution)
  }

  stop (claim: OwnerClaim, executions: readonly ExecutionId[]): Promise<readonly ExecutionReport[]> {
    return this.#updateEach(claim, executions, execution => this.#stopOne(execution))
  }

  checkpoint (claim: OwnerClaim, executions: readonly ExecutionId[]): Promise<readonly ExecutionReport[]> {
    return this.#updateEach(claim, executions, execution => {
      if (execution.state !== 'running') return execution
      return this.#update({ ...execution, checkpoint: checkpointAt(execution.progress!, this.#clock.now()) })
    })
  }

  throttle (claim: OwnerClaim, executions: readonly ExecutionId[], share: number): Promise<readonly ExecutionReport[]> {
    return this.#updateEach(claim, executions, execution => {
      if (execution.state !== 'running') return execution
      return this.#run(execution, completedWork(execution.progress!, this.#clock.now()), Math.min(1, Math.max(0, share)))
    })
  }

  watch (request: WatchRequest): Promise<WatchResponse> {
    const { cell, epoch } = request
    return this.faults.apply('reads', async () => {
      this.#checkEpoch({ cell, epoch })
      for (const id of request.acknowledged) this.#acknowledge(id)
      this.#renewLeases(cell, request.leaseMilliseconds)
      const after = request.after > this.#revision ? 0 : request.after
      const mustWait = request.waitMilliseconds > 0 && this.#changedSince(cell, after).length === 0
      if (mustWait) await this.#watches.wait({ cell, epoch }, request.waitMilliseconds)
      return this.#watchAnswer(cell, after)
    })
  }

  #respond (access: Access, claim: OwnerClaim, effect: () => readonly Execution[]): Promise<readonly ExecutionReport[]> {
    return this.faults.apply(access, () => {
      this.#checkEpoch(claim)
      return effect().map(execution => ({ ...reportOf(execution), incarnation: this.#incarnation }))
    })
  }

  #updateEach (claim: OwnerClaim, ids: readonly ExecutionId[], effect: (execution: Execution) => Execution): Promise<readonly ExecutionReport[]> {
    return this.#respond('writes', claim, () => ids.map(id => effect(this.#findOrFence(claim, id))))
  }

  #checkEpoch (claim: OwnerClaim): void {
    const highest = this.#highestEpochs.get(claim.cell)
    if (highest !== undefined && claim.epoch < highest) {
      throw new CornelgaugeError('stale-epoch', { members: { highestEpoch: highest } })
    }
    this.#highestEpochs.set(claim.cell, claim.epoch)
    this.#watches.rejectOlderEpochs(claim)
  }

  #find (id: ExecutionId): Execution | undefined {
    const key = executionKey(id)
    return this.#executions.get(key) ?? this.#acknowledged.get(key)
  }

  /** The execution with this id. An unknown one is fenced, so that the report `never-started` stays valid. */
  #findOrFence (claim: OwnerClaim, id: ExecutionId): Execution {
    return this.#find(id) ?? this.#update(fencedExecution(claim, id))
  }

  #checkAdmission (preparations: readonly Preparation[]): void {
    if (preparations.length === 0) return
    const isForOtherIncarnation = preparations.some(({ incarnation }) => incarnation !== undefined && incarnation !== this.#incarnation)
    if (isForOtherIncarnation) throw new CornelgaugeError('conflict', { detail: 'The backend server has restarted since' })
    if (this.faults.mode === 'leaving') throw new CornelgaugeError('server-leaving')
    const needed = totalUsage(preparations)
    const used = this.usage
    const fits = used.slots + needed.slots <= this.#capacity.slots && used.accelerators + needed.accelerators <= this.#capacity.accelerators
    if (!fits) throw new CornelgaugeError('capacity-taken')
  }

  #prepareOne (claim: OwnerClaim, preparation: Preparation): Execution {
    const known = this.#find(preparation)
    if (known !== undefined) return known
    const execution = this.#update(preparedExecution(claim, preparation))
    this.#restartLease(execution)
    return preparation.start ? this.#start(execution, claim.epoch) : execution
  }

  #start (execution: Execution, epoch: Epoch): Execution {
    this.#log.started(execution, epoch, this.#clock.now())
    this.#restartLease(execution)
    return this.#run(execution, completedInCheckpoint(execution.checkpoint), 1)
  }

  #run (execution: Execution, completedMilliseconds: number, speed: number): Execution {
    const progress = { completedMilliseconds, speed, since: this.#clock.now() }
    const running = this.#update({ ...execution, state: 'running', progress })
    this.#scheduleEnd(running)
    return running
  }

  #scheduleEnd (execution: Execution): void {
    const key = executionKey(execution.id)
    const failing = this.faults.mode === 'fail-everything'
    const delay = failing ? QUICK_FAILURE_MILLISECONDS : remainingMilliseconds(execution, this.#clock.now())
    this.#timers.get(key)?.end?.()
    const end = Number.isFinite(delay) ? this.#clock.after(delay, () => this.#complete(key, failing)) : undefined
    this.#timers.set(key, { ...this.#timers.get(key), end })
  }

  #complete (key: string, failing: boolean): void {
    const execution = this.#executions.get(key)!
    const failed = failing || failsAtEnd(execution.preparation!.payload)
    if (failed) this.#end(execution, 'failed', { detail: 'The task failed' })
    else this.#end(execution, 'finished', { answer: answerOf(execution.preparation!) })
  }

  #stopOne (execution: Execution): Execution {
    if (execution.state === 'prepared') return this.#end(execution, 'never-started')
    return execution.state === 'running' ? this.#end(execution, 'stopped') : execution
  }

  #end (execution: Execution, state: ExecutionState, fields: Partial<Execution> = {}): Execution {
    const key = executionKey(execution.id)
    const timers = this.#timers.get(key)
    timers?.lease?.()
    timers?.end?.()
    this.#timers.delete(key)
    this.#log.ended(execution, state, this.#clock.now())
    return this.#update({ ...execution, ...fields, state })
  }

  /** Stores an execution under the next revision and wakes the watches of its cell. */
  #update (execution: Execution): Execution {
    this.#revision += 1
    const changed = { ...execution, revision: this.#revision }
    this.#executions.set(executionKey(changed.id), changed)
    this.#usageHistory.record(this.usage, this.#clock.now())
    this.#watches.wake(changed.cell)
    return changed
  }

  #renewLeases (cell: CellName, leaseMilliseconds: number): void {
    this.#leaseMillisecondsByCell.set(cell, leaseMilliseconds)
    for (const execution of this.#executions.values()) {
      if (execution.cell === cell && isLive(execution)) this.#restartLease(execution)
    }
  }

  /** Restarts the full lease of an execution from now. */
  #restartLease ({ id, cell }: Execution): void {
    const key = executionKey(id)
    const timers = this.#timers.get(key)
    timers?.lease?.()
    const delay = this.#leaseMillisecondsByCell.get(cell) ?? this.#defaultLeaseMilliseconds
    this.#timers.set(key, { ...timers, lease: this.#clock.after(delay, () => this.#expireLease(key)) })
  }

  #expireLease (key: string): void {
    const execution = this.#executions.get(key)!
    this.#end(execution, execution.state === 'running' ? 'lapsed' : 'never-started', { detail: 'The lease lapsed' })
  }

  #acknowledge (id: ExecutionId): void {
    const key = executionKey(id)
    const execution = this.#executions.get(key)
    if (execution === undefined || isLive(execution)) return
    this.#executions.delete(key)
    this.#acknowledged.set(key, { ...execution, answer: undefined })
  }

  #changedSince (cell: CellName, after: number): readonly Execution[] {
    return [...this.#executions.values()].filter(execution =>
      execution.cell === cell && execution.revision > after)
  }

  #watchAnswer (cell: CellName, after: number): WatchResponse {
    return {
      reports: this.#changedSince(cell, after).map(reportOf),
      cursor: this.#revision,
      leaving: this.faults.mode === 'leaving',
      incarnation: this.#incarnation,
      usage: this.#usageHistory.laggedUsage(this.#clock.now())
    }
  }
}

/** The sum of capacities. */
function totalUsage (parts: readonly Usage[]): Usage {
  return {
    slots: parts.reduce((sum, { slots }) => sum + slots, 0),
    accelerators: parts.reduce((sum, { accelerators }) => sum + accelerators, 0)
  }
}
