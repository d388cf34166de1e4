/**
 * The rules that every history must keep. Each gives a line for each break of it.
 */
import type { LoggedExecution } from '@cornelgauge/ports'

/** What one caller was told of one request, in order of time. */
export interface ToldEntry {
  readonly key: string
  readonly at: number
  readonly state: string | undefined
  readonly code?: string
  readonly answer?: string
}

/** A request as it was submitted. */
export interface SubmittedRequest {
  readonly key: string
  readonly idempotent: boolean
}

/** All that was seen from outside. */
export interface History {
  readonly submitted: readonly SubmittedRequest[]
  readonly told: readonly ToldEntry[]
  readonly executions: readonly LoggedExecution[]
  /** What each key is told once every fault is over. */
  readonly last: ReadonlyMap<string, ToldEntry>
  /** Keys with an intent to start on a backend server that restarted: nobody may know what became of them. */
  readonly forgotten: ReadonlySet<string>
  /** Longest time that a part of a gang may run without the whole. */
  readonly gangBoundMilliseconds: number
}

/** A rule. */
export type Rule = (history: History) => readonly string[]

const FINAL = new Set(['finished', 'failed', 'cancelled', 'not-run'])

const isForgotten = (history: History, key: string) => history.forgotten.has(key) && history.last.get(key)?.state === 'unknown'

const executionsOf = (history: History, key: string) => history.executions.filter(execution => execution.requestKey === key)

/** Every rule by its name. */
export const RULES: Readonly<Record<string, Rule>> = {
  'non-idempotent work starts once at most': history => history.submitted
    .filter(request => !request.idempotent && executionsOf(history, request.key).length > 1)
    .map(request => `${request.key} started ${executionsOf(history, request.key).length} times`),

  'what is told not to have run never runs': history => history.told
    .filter(entry => entry.state === 'not-run' && executionsOf(history, entry.key).length > 0)
    .map(entry => `${entry.key} was told not-run at ${entry.at} and started`),

  'what was accepted ends in a true state': history => history.submitted
    .filter(({ key }) => history.told.some(entry => entry.key === key && entry.code === undefined))
    .filter(({ key }) => !FINAL.has(history.last.get(key)?.state ?? '') && !isForgotten(history, key))
    .map(({ key }) => `${key} is at last told ${history.last.get(key)?.state ?? history.last.get(key)?.code ?? 'nothing'}`),

  'a final state never changes': history => history.told
    .filter(entry => entry.code === undefined && FINAL.has(entry.state ?? ''))
    .filter(entry => history.last.get(entry.key)?.state !== entry.state)
    .map(entry => `${entry.key} was told ${entry.state} and is at last ${history.last.get(entry.key)?.state}`),

  'an answer is whole and belongs to its request': history => history.told
    .filter(entry => entry.state === 'finished')
    .filter(entry => (JSON.parse(entry.answer ?? 'null') as { echo?: { key?: string } } | null)?.echo?.key !== entry.key)
    .map(entry => `${entry.key} was given ${entry.answer}`),

  'what is told finished has finished': history => history.told
    .filter(entry => entry.state === 'finished' && !executionsOf(history, entry.key).some(execution => execution.outcome === 'finished'))
    .map(entry => `${entry.key} was told finished and never finished`),

  'no part of a gang runs without the whole': history => gangAttempts(history)
    .filter(members => partialMilliseconds(members) > history.gangBoundMilliseconds)
    .map(members => `${members[0]!.requestKey} attempt ${members[0]!.attempt} ran in part for ${partialMilliseconds(members)} ms`)
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

function gangAttempts (history: History): readonly (readonly LoggedExecution[])[] {
  const groups = new Map<string, LoggedExecution[]>()
  for (const execution of history.executions.filter(candidate => (candidate.gang?.size ?? 1) > 1)) {
    const name = `${execution.requestKey}/${execution.attempt}`
    groups.set(name, [...groups.get(name) ?? [], execution])
  }
  return [...groups.values()]
}

/** Time in which some members ran and others neither ran nor had finished. */
function partialMilliseconds (members: readonly LoggedExecution[]): number {
  const size = members[0]!.gang!.size
  const startedAll = members.length < size ? Infinity : Math.max(...members.map(member => member.startedAt))
  const firstStart = Math.min(...members.map(member => member.startedAt))
  const cutAt = Math.min(...members.filter(member => member.outcome !== 'finished').map(member => member.endedAt ?? Infinity))
  const lastEnd = Math.max(...members.map(member => member.endedAt ?? Infinity))
  const beforeWhole = Math.min(startedAll, lastEnd) - firstStart
  const afterCut = cutAt === Infinity ? 0 : lastEnd - cutAt
  return Math.max(beforeWhole, afterCut)
}
