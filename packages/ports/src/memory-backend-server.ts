/**
 * A backend server in memory, which runs tasks by the clock that is handed in.
 */
import { randomUUID } from 'node:crypto'
import { CornelgaugeError, type CellName, type Epoch } from '@cornelgauge/model'
import type {
  BackendServer, ExecutionId, ExecutionReport, ExecutionState, OwnerClaim, Preparation, WatchAnswer, WatchRequest
} from './backend-server.js'
import { systemClock, type CancelTimer, type Clock } from './clock.js'
import {
  checkpointAt, completedBy, completedIn, executionKey, fencedExecution, isLive, preparedExecution, remainingMilliseconds, reportOf,
  type Execution
} from './execution.js'
import { ExecutionLog, type LoggedExecution } from './execution-log.js'
import { FaultSwitch, type Access } from './fault-switch.js'
import { answerOf, failsAtEnd } from './task.js'
import { UsageHistory, type Usage } from './usage-history.js'
import { WatchQueue } from './watch-queue.js'

const DEFAULT_LEASE_MILLISECONDS = 10_000
const DEFAULT_USAGE_LAG_MILLISECONDS = 1000
/** How soon a task ends on a backend server that fails everything. */
const QUICK_FAILURE_MILLISECONDS = 5

/** What a backend server has. */
export interface BackendServerOptions {
  readonly slots: number
  readonly accelerators: number
  readonly clock?: Clock
  /** Lease of an execution until the first watch of its cell sets another. */
  readonly leaseMilliseconds?: number
  readonly usageLagMilliseconds?: number
  /** Tells this life of the backend server from earlier ones. */
  readonly incarnation?: string
}

/** The timers of a live execution. */
interface Timers {
  readonly lease?: CancelTimer
  readonly end?: CancelTimer
}

/**
 * A backend server with slots and accelerators, leases, fencing by epoch, and a
 * log of every start. A preparation batch is taken as a whole or not at all.
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
  readonly #leaseMilliseconds = new Map<CellName, number>()
  readonly #epochs = new Map<CellName, Epoch>()
  readonly #executions = new Map<string, Execution>()
  /** Ended executions that their owner has acknowledged, without their answers. */
  readonly #acknowledged = new Map<string, Execution>()
  readonly #timers = new Map<string, Timers>()
  readonly #log = new ExecutionLog()
  readonly #usage: UsageHistory
  readonly #watches: WatchQueue
  readonly #incarnation: string
  #revision = 0

  constructor (options: BackendServerOptions) {
    this.#clock = options.clock ?? systemClock
    this.#capacity = { slots: options.slots, accelerators: options.accelerators }
    this.#defaultLeaseMilliseconds = options.leaseMilliseconds ?? DEFAULT_LEASE_MILLISECONDS
    this.#incarnation = options.incarnation ?? randomUUID()
    this.#usage = new UsageHistory(options.usageLagMilliseconds ?? DEFAULT_USAGE_LAG_MILLISECONDS)
    this.#watches = new WatchQueue(this.#clock)
    this.faults = new FaultSwitch(this.#clock)
    this.faults.onChange(() => this.#watches.wakeAll())
  }

  /** Every start that was ever made here. */
  get executions (): readonly LoggedExecution[] {
    return this.#log.entries
  }

  /** Capacity in use at this moment. */
  get usage (): Usage {
    const held = [...this.#executions.values()].filter(isLive).map(({ preparation }) => preparation!)
    return sumOf(held)
  }

  /** Watch calls that wait at this moment. */
  get waitingWatches (): number {
    return this.#watches.size
  }

  prepare (claim: OwnerClaim, preparations: readonly Preparation[]): Promise<readonly ExecutionReport[]> {
    return this.#answer('writes', claim, () => {
      this.#admit(preparations.filter(preparation => this.#find(preparation) === undefined))
      return preparations.map(preparation => this.#prepareOne(claim, preparation))
    })
  }

  go (claim: OwnerClaim, executions: readonly ExecutionId[]): Promise<readonly ExecutionReport[]> {
    return this.#forEach(claim, executions, execution =>
      execution.state === 'prepared' ? this.#start(execution, claim.epoch) : execution)
  }

  fence (claim: OwnerClaim, executions: readonly ExecutionId[]): Promise<readonly ExecutionReport[]> {
    return this.#forEach(claim, executions, execution =>
      execution.state === 'prepared' ? this.#end(execution, 'never-started') : execution)
  }

  stop (claim: OwnerClaim, executions: readonly ExecutionId[]): Promise<readonly ExecutionReport[]> {
    return this.#forEach(claim, executions, execution => this.#stopOne(execution))
  }

  checkpoint (claim: OwnerClaim, executions: readonly ExecutionId[]): Promise<readonly ExecutionReport[]> {
    return this.#forEach(claim, executions, execution => {
      if (execution.state !== 'running') return execution
      return this.#change({ ...execution, checkpoint: checkpointAt(execution.progress!, this.#clock.now()) })
    })
  }

  throttle (claim: OwnerClaim, executions: readonly ExecutionId[], share: number): Promise<readonly ExecutionReport[]> {
    return this.#forEach(claim, executions, execution => {
      if (execution.state !== 'running') return execution
      return this.#run(execution, completedBy(execution.progress!, this.#clock.now()), Math.min(1, Math.max(0, share)))
    })
  }

  watch (request: WatchRequest): Promise<WatchAnswer> {
    const { cell, epoch } = request
    return this.faults.apply('reads', async () => {
      this.#checkEpoch({ cell, epoch })
      for (const id of request.acknowledged) this.#acknowledge(id)
      this.#renew(cell, request.leaseMilliseconds)
      const after = request.after > this.#revision ? 0 : request.after
      const waits = request.waitMilliseconds > 0 && this.#changedSince(cell, after).length === 0
      if (waits) await this.#watches.wait({ cell, epoch }, request.waitMilliseconds)
      return this.#watchAnswer(cell, after)
    })
  }

  #answer (access: Access, claim: OwnerClaim, effect: () => readonly Execution[]): Promise<readonly ExecutionReport[]> {
    return this.faults.apply(access, () => {
      this.#checkEpoch(claim)
      return effect().map(execution => ({ ...reportOf(execution), incarnation: this.#incarnation }))
    })
  }

  #forEach (claim: OwnerClaim, ids: readonly ExecutionId[], effect: (execution: Execution) => Execution): Promise<readonly ExecutionReport[]> {
    return this.#answer('writes', claim, () => ids.map(id => effect(this.#known(claim, id))))
  }

  #checkEpoch (claim: OwnerClaim): void {
    const highest = this.#epochs.get(claim.cell)
    if (highest !== undefined && claim.epoch < highest) {
      throw new CornelgaugeError('stale-epoch', { members: { highestEpoch: highest } })
    }
    this.#epochs.set(claim.cell, claim.epoch)
    this.#watches.refuseOlder(claim)
  }

  #find (id: ExecutionId): Execution | undefined {
    const key = executionKey(id)
    return this.#executions.get(key) ?? this.#acknowledged.get(key)
  }

  /** The execution of this id. One that was never heard of is fenced from now on, so that the answer stays true. */
  #known (claim: OwnerClaim, id: ExecutionId): Execution {
    return this.#find(id) ?? this.#change(fencedExecution(claim, id))
  }

  #admit (preparations: readonly Preparation[]): void {
    if (preparations.length === 0) return
    const isForAnother = preparations.some(({ incarnation }) => incarnation !== undefined && incarnation !== this.#incarnation)
    if (isForAnother) throw new CornelgaugeError('conflict', { detail: 'The backend server has restarted since' })
    if (this.faults.mode === 'leaving') throw new CornelgaugeError('server-leaving')
    const needed = sumOf(preparations)
    const used = this.usage
    const fits = used.slots + needed.slots <= this.#capacity.slots && used.accelerators + needed.accelerators <= this.#capacity.accelerators
    if (!fits) throw new CornelgaugeError('capacity-taken')
  }

  #prepareOne (claim: OwnerClaim, preparation: Preparation): Execution {
    const known = this.#find(preparation)
    if (known !== undefined) return known
    const execution = this.#change(preparedExecution(claim, preparation))
    this.#startLease(execution)
    return preparation.start ? this.#start(execution, claim.epoch) : execution
  }

  #start (execution: Execution, epoch: Epoch): Execution {
    this.#log.started(execution, epoch, this.#clock.now())
    this.#startLease(execution)
    return this.#run(execution, completedIn(execution.checkpoint), 1)
  }

  #run (execution: Execution, completedMilliseconds: number, speed: number): Execution {
    const progress = { completedMilliseconds, speed, since: this.#clock.now() }
    const running = this.#change({ ...execution, state: 'running', progress })
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

  #end (execution: Execution, state: ExecutionState, rest: Partial<Execution> = {}): Execution {
    const key = executionKey(execution.id)
    const timers = this.#timers.get(key)
    timers?.lease?.()
    timers?.end?.()
    this.#timers.delete(key)
    this.#log.ended(execution, state, this.#clock.now())
    return this.#change({ ...execution, ...rest, state })
  }

  #change (execution: Execution): Execution {
    this.#revision += 1
    const changed = { ...execution, revision: this.#revision }
    this.#executions.set(executionKey(changed.id), changed)
    this.#usage.record(this.usage, this.#clock.now())
    this.#watches.wake(changed.cell)
    return changed
  }

  #renew (cell: CellName, leaseMilliseconds: number): void {
    this.#leaseMilliseconds.set(cell, leaseMilliseconds)
    for (const execution of this.#executions.values()) {
      if (execution.cell === cell && isLive(execution)) this.#startLease(execution)
    }
  }

  /** Gives the execution a whole lease from now. */
  #startLease ({ id, cell }: Execution): void {
    const key = executionKey(id)
    const timers = this.#timers.get(key)
    timers?.lease?.()
    const delay = this.#leaseMilliseconds.get(cell) ?? this.#defaultLeaseMilliseconds
    this.#timers.set(key, { ...timers, lease: this.#clock.after(delay, () => this.#lapse(key)) })
  }

  #lapse (key: string): void {
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

  #watchAnswer (cell: CellName, after: number): WatchAnswer {
    return {
      reports: this.#changedSince(cell, after).map(reportOf),
      cursor: this.#revision,
      leaving: this.faults.mode === 'leaving',
      incarnation: this.#incarnation,
      usage: this.#usage.lagging(this.#clock.now())
    }
  }
}

/** Capacity that these hold together. */
function sumOf (parts: readonly Usage[]): Usage {
  return {
    slots: parts.reduce((sum, { slots }) => sum + slots, 0),
    accelerators: parts.reduce((sum, { accelerators }) => sum + accelerators, 0)
  }
}
