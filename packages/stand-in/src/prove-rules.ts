/**
 * The guarantees of the system, each with a check of the evidence that a case collects.
 */
import type { LoggedExecution } from '@cornelgauge/ports'
import { RULES, type History, type CallerResponse } from './history.js'

/** Latest start on a backend server after it has been listed as leaving. */
export const LEAVING_BOUND_MILLISECONDS = 3000
/** Bound on the time until a new owner serves after a kill: the lease and two seconds. */
export const RECOVERY_BOUND_MILLISECONDS = 5000
/** Bound on the time until a document is in force on every VM. */
export const ADOPTION_BOUND_MILLISECONDS = 9000

/** A backend server that was listed as leaving, and everything it started. */
export interface LeavingServer {
  readonly server: string
  readonly listedAt: number
  readonly executions: readonly LoggedExecution[]
}

/** When an owner was lost, and when another one served the cell. */
export interface Recovery {
  readonly lostAt: number
  readonly servedAt: number | undefined
}

/** The response that an operator received to one change. */
export interface ChangeResponse {
  readonly digest: string
  readonly environment: 'trial' | 'production'
  readonly at: number
  readonly version?: number
  readonly code?: string
}

/** A document that came into force on a VM. */
export interface Adoption {
  readonly vm: string
  readonly environment: 'trial' | 'production'
  readonly at: number
  readonly version: number
  readonly digest: string
}

/** The responses to the operators' changes, and the documents that came into force on each VM. */
export interface DocumentHistory {
  readonly vms: readonly string[]
  readonly responses: readonly ChangeResponse[]
  readonly adoptions: readonly Adoption[]
}

/** The observations of one run of a case; what a case does not cover is absent. */
export interface Evidence {
  readonly history?: History
  /** When each caller must have received its first response, by request key. */
  readonly responseDeadlines?: ReadonlyMap<string, number>
  /** The responses that callers received during a run with planned stops and no faults. */
  readonly duringPlannedStops?: { readonly keys: readonly string[], readonly responses: readonly CallerResponse[] }
  readonly leaving?: readonly LeavingServer[]
  readonly recoveries?: readonly Recovery[]
  readonly documents?: DocumentHistory
}

/** Returns a line for each violation; undefined if the evidence does not cover the guarantee. */
export type GuaranteeCheck = (evidence: Evidence) => readonly string[] | undefined

const overHistory = (rule: (history: History) => readonly string[]): GuaranteeCheck => ({ history }) => history === undefined ? undefined : rule(history)

const overDocuments = (rule: (documents: DocumentHistory) => readonly string[]): GuaranteeCheck => ({ documents }) => documents === undefined ? undefined : rule(documents)

/** The check of each guarantee, by its name in the table. */
export const GUARANTEES: Readonly<Record<string, GuaranteeCheck>> = {
  ...Object.fromEntries(Object.entries(RULES).map(([name, rule]) => [name, overHistory(rule)])),

  'a caller is told by its deadline': ({ responseDeadlines, history }) => responseDeadlines === undefined
    ? undefined
    : [...responseDeadlines].flatMap(([key, latest]) => lateResponses(key, latest, history?.responses ?? [])),

  'a planned stop cuts no request': ({ duringPlannedStops }) => duringPlannedStops?.keys.flatMap(key => {
    const entries = duringPlannedStops.responses.filter(entry => entry.key === key)
    if (entries.length === 0) return [`${key} received no response`]
    return entries.filter(entry => entry.code !== undefined).map(entry => `${key} received ${entry.code}`)
  }),

  'a leaving backend server gets no new work': ({ leaving }) => leaving?.flatMap(({ server, listedAt, executions }) => executions
    .filter(execution => execution.startedAt > listedAt + LEAVING_BOUND_MILLISECONDS)
    .map(execution => `${execution.requestKey} started on ${server} ${execution.startedAt - listedAt} ms after it was listed as leaving`)),

  'a lost owner is replaced in time': ({ recoveries }) => recoveries
    ?.filter(({ lostAt, servedAt }) => servedAt === undefined || servedAt - lostAt > RECOVERY_BOUND_MILLISECONDS)
    .map(({ lostAt, servedAt }) => servedAt === undefined ? `no owner served after ${lostAt}` : `another owner served after ${servedAt - lostAt} ms`),

  'each version of a document is one text': overDocuments(({ responses, adoptions }) => {
    const texts = new Map<string, Set<string>>()
    for (const { environment, version, digest } of [...responses, ...adoptions]) {
      if (version === undefined) continue
      const name = `${environment} version ${version}`
      texts.set(name, (texts.get(name) ?? new Set()).add(digest))
    }
    return [...texts].filter(([, digests]) => digests.size > 1).map(([name, digests]) => `${name} has ${digests.size} different texts`)
  }),

  'versions in force never fall': overDocuments(({ adoptions }) => adoptions
    .filter((entry, index) => adoptions.slice(0, index).some(earlier => earlier.vm === entry.vm && earlier.environment === entry.environment && earlier.version >= entry.version))
    .map(entry => `${entry.vm} adopted ${entry.environment} version ${entry.version} after the same or a later one`)),

  'a refused change never comes into force': overDocuments(({ responses, adoptions }) => responses
    .filter(change => change.code !== undefined && change.code !== 'outcome-unknown')
    .filter(change => adoptions.some(entry => entry.environment === change.environment && entry.digest === change.digest) && !isAcceptedElsewhere(responses, change))
    .map(change => `${change.environment} ${change.digest} was refused with ${change.code} and came into force`)),

  'an accepted change is in force everywhere in time': overDocuments(({ vms, responses, adoptions }) => responses
    .filter(change => change.version !== undefined)
    .flatMap(change => vms.filter(vm => !isInForceBy(adoptions, vm, change)).map(vm => `${change.environment} version ${change.version} was not in force on ${vm}`))),

  'production holds only what trial held': overDocuments(({ adoptions }) => adoptions
    .filter(entry => entry.environment === 'production')
    .filter(entry => !adoptions.some(earlier => earlier.environment === 'trial' && earlier.digest === entry.digest))
    .map(entry => `production version ${entry.version} was never in force in trial`))
}

/** Returns the violations of one run by guarantee; guarantees that the evidence does not cover are absent. */
export function checkGuarantees (evidence: Evidence): ReadonlyMap<string, readonly string[]> {
  const checked = new Map<string, readonly string[]>()
  for (const [name, check] of Object.entries(GUARANTEES)) {
    const lines = check(evidence)
    if (lines !== undefined) checked.set(name, lines)
  }
  return checked
}

function lateResponses (key: string, latest: number, responses: readonly CallerResponse[]): readonly string[] {
  const times = responses.filter(entry => entry.key === key).map(entry => entry.receivedAt)
  if (times.length === 0) return [`${key} received no response`]
  const first = Math.min(...times)
  return first <= latest ? [] : [`${key} received its first response ${first - latest} ms late`]
}

/** The same text may be refused from one operator and accepted from another. */
function isAcceptedElsewhere (responses: readonly ChangeResponse[], change: ChangeResponse): boolean {
  return responses.some(other => other !== change && other.environment === change.environment && other.digest === change.digest && (other.version !== undefined || other.code === 'outcome-unknown'))
}

function isInForceBy (adoptions: readonly Adoption[], vm: string, change: ChangeResponse): boolean {
  return adoptions.some(entry => entry.vm === vm && entry.environment === change.environment && entry.version >= change.version! && entry.at <= change.at + ADOPTION_BOUND_MILLISECONDS)
}
