/**
 * The safety and liveness rules that every history must satisfy. A rule returns one line for each violation.
 */
import type { LoggedExecution } from '@cornelgauge/ports'

/** One response to a caller about one request. */
export interface CallerResponse {
  readonly key: string
  readonly receivedAt: number
  readonly state: string | undefined
  readonly code?: string
  readonly answer?: string
}

/** A request as it was submitted. */
export interface SubmittedRequest {
  readonly key: string
  readonly idempotent: boolean
}

/** Everything that callers and backend servers observed in one run. */
export interface History {
  readonly submitted: readonly SubmittedRequest[]
  readonly responses: readonly CallerResponse[]
  readonly executions: readonly LoggedExecution[]
  /** The response about each key after all faults were cleared. */
  readonly finalResponses: ReadonlyMap<string, CallerResponse>
  /** Keys with an intent to start on a backend server that restarted: their outcome may be impossible to determine. */
  readonly forgotten: ReadonlySet<string>
  /** Longest time for which only some members of a gang may run. */
  readonly maximumPartialGangMilliseconds: number
}

/** A rule: returns the violations in a history. */
export type Rule = (history: History) => readonly string[]

const FINAL_STATES = new Set(['finished', 'failed', 'cancelled', 'not-run'])

const isForgotten = (history: History, key: string) => history.forgotten.has(key) && history.finalResponses.get(key)?.state === 'unknown'

const executionsOf = (history: History, key: string) => history.executions.filter(execution => execution.requestKey === key)

/** Every rule, by the name that reports print. */
export const RULES: Readonly<Record<string, Rule>> = {
  'non-idempotent work starts once at most': history => history.submitted
    .filter(request => !request.idempotent && executionsOf(history, request.key).length > 1)
    .map(request => `${request.key} started ${executionsOf(history, request.key).length} times`),

  'what is told not to have run never runs': history => history.responses
    .filter(entry => entry.state === 'not-run' && executionsOf(history, entry.key).length > 0)
    .map(entry => `${entry.key} was reported not-run at ${entry.receivedAt} and started`),

  'what was accepted ends in a true state': history => history.submitted
    .filter(({ key }) => history.responses.some(entry => entry.key === key && entry.code === undefined))
    .filter(({ key }) => !FINAL_STATES.has(history.finalResponses.get(key)?.state ?? '') && !isForgotten(history, key))
    .map(({ key }) => `${key} is finally reported ${history.finalResponses.get(key)?.state ?? history.finalResponses.get(key)?.code ?? 'nothing'}`),

  'a final state never changes': history => history.responses
    .filter(entry => entry.code === undefined && FINAL_STATES.has(entry.state ?? ''))
    .filter(entry => history.finalResponses.get(entry.key)?.state !== entry.state)
    .map(entry => `${entry.key} was reported ${entry.state} and is finally ${history.finalResponses.get(entry.key)?.state}`),

  'an answer is whole and belongs to its request': history => history.responses
    .filter(entry => entry.state === 'finished')
    .filter(entry => (JSON.parse(entry.answer ?? 'null') as { echo?: { key?: string } } | null)?.echo?.key !== entry.key)
    .map(entry => `${entry.key} got the answer ${entry.answer}`),

  'what is told finished has finished': history => history.responses
    .filter(entry => entry.state === 'finished' && !executionsOf(history, entry.key).some(execution => execution.outcome === 'finished'))
    .map(entry => `${entry.key} was reported finished and never finished`),

  'no part of a gang runs without the whole': history => gangMembersByAttempt(history)
    .filter(members => partialMilliseconds(members) > history.maximumPartialGangMilliseconds)
    .map(members => `${members[0]!.requestKey} attempt ${members[0]!.attempt} ran with only some of its members for ${partialMilliseconds(members)} ms`)
}

/**
 * Checks a history against every rule.
 *
 * @example
 * violationsOf(history) // []
 */
export function violationsOf (history: History): readonly string[] {
  return Object.entries(RULES).flatMap(([name, rule]) => rule(history).map(line => `${name}: ${line}`))
}

function gangMembersByAttempt (history: History): readonly (readonly LoggedExecution[])[] {
  const groups = new Map<string, LoggedExecution[]>()
  for (const execution of history.executions.filter(candidate => (candidate.gang?.size ?? 1) > 1)) {
    const attemptId = `${execution.requestKey}/${execution.attempt}`
    groups.set(attemptId, [...groups.get(attemptId) ?? [], execution])
  }
  return [...groups.values()]
}

/** How long some members ran while others neither ran nor had finished. */
function partialMilliseconds (members: readonly LoggedExecution[]): number {
  const size = members[0]!.gang!.size
  const allStartedAt = members.length < size ? Infinity : Math.max(...members.map(member => member.startedAt))
  const firstStartedAt = Math.min(...members.map(member => member.startedAt))
  const firstInterruptedAt = Math.min(...members.filter(member => member.outcome !== 'finished').map(member => member.endedAt ?? Infinity))
  const lastEndedAt = Math.max(...members.map(member => member.endedAt ?? Infinity))
  const partialWhileStarting = Math.min(allStartedAt, lastEndedAt) - firstStartedAt
  const partialAfterInterruption = firstInterruptedAt === Infinity ? 0 : lastEndedAt - firstInterruptedAt
  return Math.max(partialWhileStarting, partialAfterInterruption)
}
