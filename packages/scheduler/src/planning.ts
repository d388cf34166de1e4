/**
 * Asks the policy what to do, and sets about it.
 */
import { decide, type Decision } from '@cornelgauge/policy'
import { RECOVERY_PATIENCE_MILLISECONDS, RETRY_PAUSE_MILLISECONDS } from './limits.js'
import { beginRun, stopRun } from './runs.js'
import type { OwnerState } from './state.js'
import type { Transaction } from './transaction.js'
import { endPending, hold } from './waiting.js'

/** Lets the policy decide where something has changed for it. */
export function plan (transaction: Transaction): void {
  const { state } = transaction
  if (!state.policyChanged || !mayPlan(state, transaction.at.monotonic)) return
  const outcome = decide(state.policy, transaction.at.wall)
  transaction.set({ policy: outcome.state, policyChanged: false })
  for (const decision of outcome.decisions) {
    const carryOut = CARRY_OUT[decision.type] as (transaction: Transaction, decision: Decision) => void
    carryOut(transaction, decision)
  }
  transaction.set({ policyChanged: false })
  if (outcome.wakeAt !== undefined) wakeAtWall(transaction, outcome.wakeAt)
}

/** The policy counts in wall time; the timers do not. */
function wakeAtWall (transaction: Transaction, wall: number): void {
  const { at } = transaction
  transaction.emit({ type: 'wake', at: at.monotonic + Math.max(0, wall - at.wall) })
}

/** A new owner first hears of what runs already. */
function mayPlan (state: OwnerState, monotonic: number): boolean {
  if (state.draining || state.servers.isEmpty()) return false
  const patient = monotonic - state.startedAt < RECOVERY_PATIENCE_MILLISECONDS
  return !patient || state.servers.every(server => server.status !== 'new')
}

type CarryOut<Type extends Decision['type']> = (transaction: Transaction, decision: Extract<Decision, { type: Type }>) => void

const CARRY_OUT: { readonly [Type in Decision['type']]: CarryOut<Type> } = {
  start (transaction, decision) {
    const record = transaction.record(decision.id)
    if (record === undefined || record.state !== 'pending') return
    const usable = decision.members.every(member => transaction.state.servers.get(member.server)?.status === 'live')
    if (usable) return beginRun(transaction, record, decision.members)
    transaction.tellPolicy({ type: 'job-ended', id: record.id, outcome: 'stopped', at: transaction.at.wall })
    hold(transaction, record, RETRY_PAUSE_MILLISECONDS)
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
