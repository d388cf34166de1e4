/** Computes the value that a replay earned, by the users' rules for late and discarded work. */
import type { LoadPattern } from './pattern.js'
import type { Arrival } from './workload.js'

/** Outcome of one job. */
export interface JobOutcome {
  readonly arrival: Arrival
  startedAt?: number
  endedAt?: number
  isFailed?: boolean
  isCancelled?: boolean
  /** Discarded work, in core-seconds. */
  wastedCoreSeconds: number
  /** Number of its runs that were stopped. */
  stops: number
}

/** Attainable and earned value of a set of jobs. */
export interface ValueSummary {
  attainable: number
  earned: number
  jobs: number
  inTime: number
  late: number
}

/** Result of one replay. */
export interface Account {
  readonly overall: ValueSummary
  readonly byKind: ReadonlyMap<string, ValueSummary>
  readonly byWorkspace: ReadonlyMap<string, ValueSummary>
  /** The tenth of each kind with the most work per job. */
  readonly widestTenth: ReadonlyMap<string, ValueSummary>
  /** Mean earned share of the two worst time windows. */
  readonly worstWindows: number
  /** Price of the discarded work, as a share of the attainable value. */
  readonly waste: number
  readonly stops: number
  /** Weighted sum of the earned shares of all jobs, the worst kind and the worst workspace, minus the waste. */
  readonly total: number
}

/** A completion later than this many times its objective earns nothing. */
const EXPIRY_OBJECTIVES = 3
const WINDOW_MILLISECONDS = 2000
const FIXED_VALUE_SHARE = 0.3
const MAXIMUM_SIZE = 4
/** Weights of the parts of the total. The worst windows are reported only, since they depend mostly on chance. */
const WEIGHTS = { overall: 0.7, worstKind: 0.12, worstWorkspace: 0.18 }

/**
 * Computes the result of a replay from the outcomes of all jobs.
 *
 * @example
 * const { total } = account(ROTA, outcomes)
 */
export function account (pattern: LoadPattern, outcomes: readonly JobOutcome[]): Account {
  const counted = outcomes.filter(outcome => outcome.isCancelled !== true)
  const meanWork = new Map(pattern.kinds.map(kind => [kind.name, mean(counted.filter(outcome => outcome.arrival.kind === kind).map(workOf))]))
  const entries = counted.map(outcome => ({ outcome, ...creditOf(outcome, meanWork.get(outcome.arrival.kind.name)!) }))
  const sharesBy = (keyOf: (outcome: JobOutcome) => string, chosen = entries): Map<string, ValueSummary> => {
    const shares = new Map<string, ValueSummary>()
    for (const entry of chosen) addTo(shares, keyOf(entry.outcome), entry)
    return shares
  }
  const overall = sharesBy(() => '').get('') ?? emptyShare()
  const byKind = sharesBy(outcome => outcome.arrival.kind.name)
  const byWorkspace = sharesBy(outcome => outcome.arrival.job.workspace)
  const widestTenth = sharesBy(outcome => outcome.arrival.kind.name, entries.filter(({ outcome }) => isWidest(outcome, counted)))
  const windows = [...sharesBy(outcome => String(Math.floor(outcome.arrival.arrivesAt / WINDOW_MILLISECONDS))).values()].map(earnedShare).sort((left, right) => left - right)
  const waste = pattern.wastePrice * outcomes.reduce((sum, outcome) => sum + outcome.wastedCoreSeconds, 0) / overall.attainable
  return {
    overall,
    byKind,
    byWorkspace,
    widestTenth,
    worstWindows: mean(windows.slice(0, 2)),
    waste,
    stops: outcomes.reduce((sum, outcome) => sum + outcome.stops, 0),
    total: WEIGHTS.overall * earnedShare(overall) + WEIGHTS.worstKind * lowest(byKind) + WEIGHTS.worstWorkspace * lowest(byWorkspace) - waste
  }
}

/**
 * Returns the earned share of the attainable value.
 *
 * @example
 * earnedShare({ attainable: 4, earned: 1, jobs: 1, inTime: 0, late: 1 }) // 0.25
 */
export function earnedShare ({ earned, attainable }: ValueSummary): number {
  return attainable === 0 ? 1 : earned / attainable
}

function creditOf (outcome: JobOutcome, meanWork: number): { readonly attainable: number, readonly earned: number } {
  const { kind, arrivesAt } = outcome.arrival
  const size = Math.min(MAXIMUM_SIZE, FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * workOf(outcome) / meanWork)
  const objective = kind.stretch * chainMillisecondsOf(outcome) + kind.latencyMilliseconds
  const elapsed = (outcome.endedAt ?? Infinity) - arrivesAt
  const isLost = outcome.isFailed === true || elapsed > EXPIRY_OBJECTIVES * objective
  const value = isLost ? 0 : elapsed > objective ? kind.lateValue : kind.value
  return { attainable: size * kind.value, earned: size * value }
}

/** Work of a job, in core-milliseconds; an accelerator counts as 8 cores. */
function workOf ({ arrival: { job, runTimes } }: JobOutcome): number {
  return job.steps.reduce((sum, { need }, number) => sum + (need.processor / 1000 + 8 * need.accelerators) * runTimes[number]!.reduce((left, right) => left + right, 0), 0)
}

function chainMillisecondsOf ({ arrival: { runTimes } }: JobOutcome): number {
  return runTimes.reduce((sum, tasks) => sum + Math.max(...tasks), 0)
}

function isWidest (outcome: JobOutcome, all: readonly JobOutcome[]): boolean {
  const sameKind = all.filter(other => other.arrival.kind === outcome.arrival.kind)
  const wider = sameKind.filter(other => workOf(other) > workOf(outcome)).length
  return wider < sameKind.length / 10
}

function addTo (shares: Map<string, ValueSummary>, key: string, { attainable, earned }: { readonly attainable: number, readonly earned: number }): void {
  const share = shares.get(key) ?? emptyShare()
  share.attainable += attainable
  share.earned += earned
  share.jobs += 1
  share.inTime += earned === attainable ? 1 : 0
  share.late += earned > 0 && earned < attainable ? 1 : 0
  shares.set(key, share)
}

function emptyShare (): ValueSummary {
  return { attainable: 0, earned: 0, jobs: 0, inTime: 0, late: 0 }
}

function lowest (shares: ReadonlyMap<string, ValueSummary>): number {
  return Math.min(1, ...[...shares.values()].map(earnedShare))
}

function mean (values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length
}
