/**
 * A transaction on the owner's state. Handlers change the state only through a
 * transaction, which results in a new state and an ordered list of effects.
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
 * Collects changes to a state, and the effects to carry out with them.
 *
 * @example
 * const transaction = new Transaction(state, instant)
 * transaction.stage({ type: 'accepted', submission, at: instant.wall })
 * const { state: next, effects } = transaction.result()
 */
export class Transaction {
  readonly now: Instant
  #state: OwnerState
  readonly #effects: OwnerEffect[] = []

  constructor (state: OwnerState, now: Instant) {
    this.#state = state
    this.now = now
  }

  /** The state with all changes made so far. */
  get state (): OwnerState {
    return this.#state
  }

  /** Returns the new state and the effects. */
  result (): { state: OwnerState, effects: readonly OwnerEffect[] } {
    return { state: this.#state, effects: this.#effects }
  }

  /** Replaces some properties of the state. */
  update (changes: Partial<OwnerState>): void {
    this.#state = { ...this.#state, ...changes }
  }

  /** Adds an effect. */
  emit (effect: OwnerEffect): void {
    this.#effects.push(effect)
  }

  /** Adds a log event. */
  log<Name extends OwnerLogEvent> (event: Name, request?: RequestId, details?: EventDetails<Name>): void {
    this.emit({ type: 'log', event, request, details })
  }

  /** Sends a command to a backend server. */
  sendCommand (server: BackendServerName, command: Command): void {
    this.emit({ type: 'command', server, command })
  }

  /** Applies a transition to the ledger, and queues it for the next journal row. */
  stage (transition: Transition): void {
    const ledger = applyTransition(this.#state.ledger, transition)
    this.update({ ledger, staged: this.#state.staged.push(transition) })
  }

  /** Applies a change to the policy's state; the policy runs again before this step ends. */
  changePolicy (change: PolicyChange): void {
    this.update({ policy: applyChange(this.#state.policy, change), policyChanged: true })
  }

  /** Returns a request's record including uncommitted changes, as decisions use it. */
  record (id: RequestId): RequestRecord | undefined {
    return this.#state.ledger.get(id)
  }

  /** Replies to a call with a failure. */
  replyFailure (call: CallId, failure: CornelgaugeError): void {
    this.emit({ type: 'reply', call, reply: { type: 'failure', failure } })
  }

  /**
   * Replies to a call with a committed record. If the lease has lapsed, `asOf` is the
   * time since when the record may be out of date.
   */
  replyRecord (call: CallId, record: RequestRecord): void {
    const asOf = this.#state.leaseValidUntil < this.now.monotonic ? this.#leaseExpiredAt() : undefined
    this.emit({ type: 'reply', call, reply: { type: 'record', record, asOf } })
  }

  /** Stores a new or changed run. */
  setRun (run: Run): void {
    const { runs, runsByServer } = this.#state
    const isNew = !runs.has(run.id)
    this.update({ runs: runs.set(run.id, run), runsByServer: isNew ? indexRun(runsByServer, run) : runsByServer })
  }

  /** Removes a run. */
  dropRun (id: RequestId): void {
    const { runs, runsByServer } = this.#state
    const run = runs.get(id)
    if (run !== undefined) this.update({ runs: runs.delete(id), runsByServer: unindexRun(runsByServer, run) })
  }

  /** Stores a new or changed backend server. */
  setServer (server: ServerState): void {
    this.update({ servers: this.#state.servers.set(server.description.name, server) })
  }

  #leaseExpiredAt (): number {
    return this.now.wall - (this.now.monotonic - this.#state.leaseValidUntil)
  }
}
