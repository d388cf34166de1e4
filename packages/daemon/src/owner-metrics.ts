/**
 * Metrics of cell owners, derived from the states before and after each step and
 * from events, so that the step itself remains pure.
 */
import type { Transition } from '@cornelgauge/coordination'
import { requestId, type RequestRecord } from '@cornelgauge/model'
import type { OwnerState } from '@cornelgauge/scheduler'
import type { EventFacts, EventName, Metrics } from '@cornelgauge/telemetry'
import type { CellEffects } from './cell-loop.js'

const ADMISSION_CODES: ReadonlySet<string> = new Set(['overloaded', 'quota-exceeded'])

/**
 * Records the metrics of one step of an owner: a finished commit with its
 * transitions, and the duration of a step in which the policy made a decision.
 *
 * @example
 * measureStep(metrics, step)
 */
export function measureStep (metrics: Metrics, { cell, before, after, startedAt, milliseconds }: CellEffects): void {
  if (before === undefined || after === undefined) return
  if (hasDecided(before, after)) metrics.measure('decisions.duration', milliseconds, { cell })
  if (before.batch === undefined || after.committed === before.committed) return
  const { transitions } = before.batch
  metrics.count('commits.finished', 1, { cell })
  metrics.measure('commits.transitions', transitions.length, { cell })
  metrics.measure('commits.duration', startedAt - before.lastCommitAt, { cell })
  transitions.forEach(transition => { measureTransition(metrics, after, transition) })
}

function hasDecided (before: OwnerState, after: OwnerState): boolean {
  return !after.policyChanged && after.policy !== before.policy
}

type MeasureTransition<Type extends Transition['type']> = (metrics: Metrics, state: OwnerState, transition: Extract<Transition, { type: Type }>) => void

const MEASURE_TRANSITION: { readonly [Type in Transition['type']]?: MeasureTransition<Type> } = {
  accepted (metrics, state, { submission }) {
    const { workspace, kind, key } = submission
    const refusal = state.committed.get(requestId(workspace, key))?.reason?.refusal
    if (refusal === undefined) return metrics.count('requests.accepted', 1, { workspace, kind })
    metrics.count('requests.refused', 1, { workspace, kind, code: refusal.code })
    if (ADMISSION_CODES.has(refusal.code)) metrics.count('admission.refused', 1, { kind })
  },

  intent (metrics, state, { id, assignment, at }) {
    const record = state.committed.get(id)
    if (record !== undefined && assignment.attempt === 1) metrics.measure('requests.wait', at - record.acceptedAt, tagsOf(record))
  },

  ended (metrics, state, { id, at, answer }) {
    const record = state.committed.get(id)
    if (record === undefined || record.reason?.refusal !== undefined) return
    const tags = tagsOf(record)
    metrics.count('requests.ended', 1, { ...tags, state: record.state })
    metrics.measure('requests.completion', at - record.acceptedAt, tags)
    if (answer !== undefined) metrics.measure('requests.answer.size', answer.lengthBytes, { kind: tags.kind })
  }
}

function measureTransition (metrics: Metrics, state: OwnerState, transition: Transition): void {
  const measure = MEASURE_TRANSITION[transition.type] as MeasureTransition<Transition['type']> | undefined
  measure?.(metrics, state, transition)
}

function tagsOf ({ submission: { workspace, kind } }: RequestRecord): { readonly workspace: string, readonly kind: string } {
  return { workspace, kind }
}

type MeasureEvent<Name extends EventName> = (metrics: Metrics, facts: EventFacts<Name>) => void

const MEASURE_EVENT: { readonly [Name in EventName]?: MeasureEvent<Name> } = {
  'cell-claimed': (metrics, { cell }) => { metrics.count('cells.claims', 1, { cell, outcome: 'claimed' }) },
  'cell-claim-lost': (metrics, { cell, details }) => { metrics.count('cells.claims', 1, { cell, outcome: String(details?.outcome) }) },
  'cell-recovered': (metrics, { cell, details }) => { metrics.measure('cells.recovery', Number(details?.milliseconds), { cell }) },
  'cell-handover-finished': (metrics, { cell, details }) => { metrics.measure('cells.handover', Number(details?.milliseconds), { cell }) },
  'journal-commit-failed': (metrics, { cell }) => { metrics.count('commits.failed', 1, { cell }) },
  'snapshot-written': (metrics, { cell }) => { metrics.count('snapshots.written', 1, { cell }) },
  'request-preempted': (metrics, { cell }) => { metrics.count('decisions.preempted', 1, { cell }) }
}

/**
 * Records the metrics that are derived from an event.
 *
 * @example
 * measureEvent(metrics, 'cell-recovered', { cell, details: { milliseconds: 12 } })
 */
export function measureEvent (metrics: Metrics, name: EventName, facts: EventFacts<EventName> = {}): void {
  const measure = MEASURE_EVENT[name] as MeasureEvent<EventName> | undefined
  measure?.(metrics, facts)
}
