/**
 * The promises, each with the check of the evidence that a case gives.
 */
import type { LoggedExecution } from '@cornelgauge/ports'
import { RULES, type History, type ToldEntry } from './history.js'

/** Bound on the last new start of a backend server after the list says that it leaves. */
export const LEAVING_BOUND_MILLISECONDS = 3000
/** Bound on a new owner after a kill: a lease and two seconds. */
export const RECOVERY_BOUND_MILLISECONDS = 5000
/** Bound on the spread of a document. */
export const ADOPTION_BOUND_MILLISECONDS = 9000

/** A backend server that was to leave, and everything it started. */
export interface LeavingServer {
  readonly server: string
  readonly listedAt: number
  readonly executions: readonly LoggedExecution[]
}

/** An owner that was lost, and when another one served. */
export interface Recovery {
  readonly lostAt: number
  readonly servedAt: number | undefined
}

/** What an operator was told of one change. */
export interface ToldChange {
  readonly digest: string
  readonly environment: 'trial' | 'production'
  readonly at: number
  readonly version?: number
  readonly code?: string
}

/** A document that went in force on a VM. */
export interface SeenInForce {
  readonly vm: string
  readonly environment: 'trial' | 'production'
  readonly at: number
  readonly version: number
  readonly digest: string
}

/** The changes of the operators and what each VM had in force. */
export interface DocumentHistory {
  readonly vms: readonly string[]
  readonly told: readonly ToldChange[]
  readonly seen: readonly SeenInForce[]
}

/** What one run of a case shows. */
export interface Evidence {
  readonly history?: History
  /** When each caller must have been told at the latest. */
  readonly tellBy?: ReadonlyMap<string, number>
  /** What the callers were told while nothing but planned stops came. */
  readonly uncut?: { readonly keys: readonly string[], readonly told: readonly ToldEntry[] }
  readonly leaving?: readonly LeavingServer[]
  readonly recoveries?: readonly Recovery[]
  readonly documents?: DocumentHistory
}

/** Gives a line for each break; undefined where the evidence says nothing of the promise. */
export type PromiseCheck = (evidence: Evidence) => readonly string[] | undefined

const overHistory = (rule: (history: History) => readonly string[]): PromiseCheck => ({ history }) => history === undefined ? undefined : rule(history)

const overDocuments = (rule: (documents: DocumentHistory) => readonly string[]): PromiseCheck => ({ documents }) => documents === undefined ? undefined : rule(documents)

/** Every promise with its check. */
export const PROMISES: Readonly<Record<string, PromiseCheck>> = {
  ...Object.fromEntries(Object.entries(RULES).map(([name, rule]) => [name, overHistory(rule)])),

  'a caller is told by its deadline': ({ tellBy, history }) => tellBy === undefined
    ? undefined
    : [...tellBy].flatMap(([key, latest]) => lateness(key, latest, history?.told ?? [])),

  'a planned stop cuts no request': ({ uncut }) => uncut?.keys.flatMap(key => {
    const entries = uncut.told.filter(entry => entry.key === key)
    if (entries.length === 0) return [`${key} was told nothing`]
    return entries.filter(entry => entry.code !== undefined).map(entry => `${key} was told ${entry.code}`)
  }),

  'a leaving backend server gets no new work': ({ leaving }) => leaving?.flatMap(({ server, listedAt, executions }) => executions
    .filter(execution => execution.startedAt > listedAt + LEAVING_BOUND_MILLISECONDS)
    .map(execution => `${execution.requestKey} started on ${server} ${execution.startedAt - listedAt} ms after it was listed as leaving`)),

  'a lost owner is replaced in time': ({ recoveries }) => recoveries
    ?.filter(({ lostAt, servedAt }) => servedAt === undefined || servedAt - lostAt > RECOVERY_BOUND_MILLISECONDS)
    .map(({ lostAt, servedAt }) => servedAt === undefined ? `nobody served after ${lostAt}` : `served after ${servedAt - lostAt} ms`),

  'each version of a document is one text': overDocuments(({ told, seen }) => {
    const texts = new Map<string, Set<string>>()
    for (const { environment, version, digest } of [...told, ...seen]) {
      if (version === undefined) continue
      const name = `${environment} version ${version}`
      texts.set(name, (texts.get(name) ?? new Set()).add(digest))
    }
    return [...texts].filter(([, digests]) => digests.size > 1).map(([name, digests]) => `${name} is ${digests.size} texts`)
  }),

  'versions in force never fall': overDocuments(({ seen }) => seen
    .filter((entry, index) => seen.slice(0, index).some(earlier => earlier.vm === entry.vm && earlier.environment === entry.environment && earlier.version >= entry.version))
    .map(entry => `${entry.vm} went to ${entry.environment} version ${entry.version}`)),

  'a refused change never comes into force': overDocuments(({ told, seen }) => told
    .filter(change => change.code !== undefined && change.code !== 'outcome-unknown')
    .filter(change => seen.some(entry => entry.environment === change.environment && entry.digest === change.digest) && !isAcceptedElsewhere(told, change))
    .map(change => `${change.environment} ${change.digest} was refused with ${change.code} and came into force`)),

  'an accepted change is in force everywhere in time': overDocuments(({ vms, told, seen }) => told
    .filter(change => change.version !== undefined)
    .flatMap(change => vms.filter(vm => !isInForceBy(seen, vm, change)).map(vm => `${change.environment} version ${change.version} was not in force on ${vm}`))),

  'production holds only what trial held': overDocuments(({ seen }) => seen
    .filter(entry => entry.environment === 'production')
    .filter(entry => !seen.some(earlier => earlier.environment === 'trial' && earlier.digest === entry.digest))
    .map(entry => `production version ${entry.version} was never in force in trial`))
}

/** What one run breaks, by promise; promises that the evidence says nothing of are left out. */
export function checkPromises (evidence: Evidence): ReadonlyMap<string, readonly string[]> {
  const checked = new Map<string, readonly string[]>()
  for (const [name, check] of Object.entries(PROMISES)) {
    const lines = check(evidence)
    if (lines !== undefined) checked.set(name, lines)
  }
  return checked
}

function lateness (key: string, latest: number, told: readonly ToldEntry[]): readonly string[] {
  const times = told.filter(entry => entry.key === key).map(entry => entry.at)
  if (times.length === 0) return [`${key} was told nothing`]
  const first = Math.min(...times)
  return first <= latest ? [] : [`${key} was told ${first - latest} ms late`]
}

/** The same text may be refused to one operator and accepted from another. */
function isAcceptedElsewhere (told: readonly ToldChange[], change: ToldChange): boolean {
  return told.some(other => other !== change && other.environment === change.environment && other.digest === change.digest && (other.version !== undefined || other.code === 'outcome-unknown'))
}

function isInForceBy (seen: readonly SeenInForce[], vm: string, change: ToldChange): boolean {
  return seen.some(entry => entry.vm === vm && entry.environment === change.environment && entry.version >= change.version! && entry.at <= change.at + ADOPTION_BOUND_MILLISECONDS)
}
