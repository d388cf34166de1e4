/**
 * A transaction on the owner's state. Handlers change the state only through one;
 * its result is a new state and the effects in their order.
 */
import { applyTransition, type Transition } from '@cornelgauge/coordination'
import type { BackendServerName, CornelgaugeError, RequestId, RequestRecord } from '@cornelgauge/model'
import { applyChange, type PolicyChange } from '@cornelgauge/policy'
import type { EventDetails } from '@cornelgauge/telemetry'
import type { CallId, Instant } from './event.js'
import type { Command, OwnerEffect, OwnerLogEvent } from './effect.js'
import { indexRun, unindexRun } from './run-index.js'
import type { OwnerState, Run, ServerState } from './state.js'

/**
 * Collects changes to one state and the effects that go with them.
 *
 * @example
 * const transaction = new Transaction(state, instant)
 * transaction.stage({ type: 'accepted', submission, at: instant.wall })
 * const { state: next, effects } = transaction.result()
 */
export class Transaction {
  readonly at: Instant
  #state: OwnerState
  readonly #effects: OwnerEffect[] = []

  constructor (state: OwnerState, at: Instant) {
    this.#state = state
    this.at = at
  }

  /** The state with all changes so far. */
  get state (): OwnerState {
    return this.#state
  }

  /** The new state and the effects. */
  result (): { state: OwnerState, effects: readonly OwnerEffect[] } {
    return { state: this.#state, effects: this.#effects }
  }

  /** Replaces some members of the state. */
  set (changes: Partial<OwnerState>): void {
    this.#state = { ...this.#state, ...changes }
  }

  /** Adds an effect. */
  emit (effect: OwnerEffect): void {
    this.#effects.push(effect)
  }

  /** Adds an event of the time line. */
  log<Name extends OwnerLogEvent> (event: Name, request?: RequestId, details?: EventDetails<Name>): void {
    this.emit({ type: 'log', event, request, details })
  }

  /** Sends a command to a backend server. */
  command (server: BackendServerName, command: Command): void {
    this.emit({ type: 'command', server, command })
  }

  /** Applies a transition to the ledger and puts it into the next journal row. */
  stage (transition: Transition): void {
    const ledger = applyTransition(this.#state.ledger, transition)
    this.set({ ledger, staged: this.#state.staged.push(transition) })
  }

  /** Applies a change to the policy, which will be asked again before this step ends. */
  tellPolicy (change: PolicyChange): void {
    this.set({ policy: applyChange(this.#state.policy, change), policyChanged: true })
  }

  /** The request as decisions see it, uncommitted changes included. */
  record (id: RequestId): RequestRecord | undefined {
    return this.#state.ledger.get(id)
  }

  /** Replies to a call with a failure. */
  refuse (call: CallId, failure: CornelgaugeError): void {
    this.emit({ type: 'reply', call, reply: { type: 'failure', failure } })
  }

  /** Replies to a call with a committed record; says since when it may be out of date. */
  tell (call: CallId, record: RequestRecord): void {
    const asOf = this.#state.leaseValidUntil < this.at.monotonic ? this.#asOf() : undefined
    this.emit({ type: 'reply', call, reply: { type: 'record', record, asOf } })
  }

  /** Stores a changed run. */
  setRun (run: Run): void {
    const { runs, runsByServer } = this.#state
    const isNew = !runs.has(run.id)
    this.set({ runs: runs.set(run.id, run), runsByServer: isNew ? indexRun(runsByServer, run) : runsByServer })
  }

  /** Forgets a run. */
  dropRun (id: RequestId): void {
    const { runs, runsByServer } = this.#state
    const run = runs.get(id)
    if (run !== undefined) this.set({ runs: runs.delete(id), runsByServer: unindexRun(runsByServer, run) })
  }

  /** Stores a changed backend server. */
  setServer (server: ServerState): void {
    this.set({ servers: this.#state.servers.set(server.description.name, server) })
  }

  #asOf (): number {
    return this.at.wall - (this.at.monotonic - this.#state.leaseValidUntil)
  }
}
