/** Runs the policy and carries out its decisions. */
import { decide, type Decision } from '@cornelgauge/policy'
import { RECOVERY_TIMEOUT_MILLISECONDS, RETRY_BACKOFF_MILLISECONDS } from './limits.js'
import { beginRun, stopRun } from './runs.js'
import type { OwnerState } from './state.js'
import type { Transaction } from './transaction.js'
import { endPending, enqueueAfterBackoff } from './waiting.js'

/** Runs the policy if its state has changed since the last run. */
export function runPolicy (transaction: Transaction): void {
  const { state } = transaction
  if (!state.policyChanged || !mayRunPolicy(state, transaction.now.monotonic)) return
  const outcome = decide(state.policy, transaction.now.wall)
  transaction.update({ policy: outcome.state, policyChanged: false })
  for (const decision of outcome.decisions) {
    const handle = DECISION_HANDLERS[decision.type] as (transaction: Transaction, decision: Decision) => void
    handle(transaction, decision)
  }
  transaction.update({ policyChanged: false })
  if (outcome.wakeAt !== undefined) requestWakeUpAt(transaction, outcome.wakeAt)
}

/** Converts a wall-clock time of the policy to the monotonic time of the timers, and requests a wake-up then. */
function requestWakeUpAt (transaction: Transaction, wall: number): void {
  const { now } = transaction
  transaction.emit({ type: 'wake', at: now.monotonic + Math.max(0, wall - now.wall) })
}

/**
 * True if the policy may run. A new owner first waits for all backend servers to report
 * the executions that already run there, up to a time limit.
 */
function mayRunPolicy (state: OwnerState, monotonic: number): boolean {
  if (state.draining || state.servers.isEmpty()) return false
  const isRecovering = monotonic - state.startedAt < RECOVERY_TIMEOUT_MILLISECONDS
  return !isRecovering || state.servers.every(server => server.status !== 'new')
}

type DecisionHandler<Type extends Decision['type']> = (transaction: Transaction, decision: Extract<Decision, { type: Type }>) => void

const DECISION_HANDLERS: { readonly [Type in Decision['type']]: DecisionHandler<Type> } = {
  start (transaction, decision) {
    const record = transaction.record(decision.id)
    if (record === undefined || record.state !== 'pending') return
    const usable = decision.members.every(member => transaction.state.servers.get(member.server)?.status === 'live')
    if (usable) return beginRun(transaction, record, decision.members)
    transaction.changePolicy({ type: 'job-ended', id: record.id, outcome: 'stopped', at: transaction.now.wall })
    enqueueAfterBackoff(transaction, record, RETRY_BACKOFF_MILLISECONDS)
  },

  preempt (transaction, decision) {
    const run = transaction.state.runs.get(decision.id)
    if (run === undefined) return
    transaction.log('request-preempted', decision.id, { rule: decision.rule })
    stopRun(transaction, run, 'preempted')
  },

  refuse (transaction, decision) {
    const record = transaction.record(decision.id)
    if (record === undefined || !transaction.state.waiting.has(decision.id)) return
    endPending(transaction, decision.id, 'not-run', { code: 'impossible', detail: decision.rule })
  }
}
