/** What a replay earned, by the users' own reckoning of late and lost work. */
import type { LoadPattern } from './pattern.js'
import type { Arrival } from './workload.js'

/** What became of one job. */
export interface Course {
  readonly arrival: Arrival
  startedAt?: number
  endedAt?: number
  isFailed?: boolean
  isCancelled?: boolean
  /** Core-seconds of its work that were thrown away. */
  wasted: number
  /** Runs of it that were stopped. */
  stops: number
}

/** Earned and owed worth. */
export interface Share {
  owed: number
  earned: number
  jobs: number
  inTime: number
  late: number
}

/** The account of one replay. */
export interface Account {
  readonly whole: Share
  readonly byKind: ReadonlyMap<string, Share>
  readonly byWorkspace: ReadonlyMap<string, Share>
  /** The widest tenth of each kind. */
  readonly widest: ReadonlyMap<string, Share>
  /** Mean share of the two worst windows. */
  readonly worstWindows: number
  /** Price of the work thrown away, as a share of what is owed. */
  readonly waste: number
  readonly stops: number
  /** Whole day, worst kind and worst workspace, weighed, less the price of waste. */
  readonly total: number
}

/** An answer later than this many times its objective earns nothing. */
const LATEST_OBJECTIVES = 3
const WINDOW_MILLISECONDS = 2000
const FIXED_WORTH = 0.3
const MOST_SIZE = 4
/** How the parts count for the users; the worst windows are shown beside them, they are mostly chance. */
const WEIGHTS = { whole: 0.7, worstKind: 0.12, worstWorkspace: 0.18 }

/**
 * Accounts the courses of all jobs.
 *
 * @example
 * const { total } = account(ROTA, courses)
 */
export function account (pattern: LoadPattern, courses: readonly Course[]): Account {
  const owed = courses.filter(course => course.isCancelled !== true)
  const meanWork = new Map(pattern.kinds.map(kind => [kind.name, mean(owed.filter(course => course.arrival.kind === kind).map(workOf))]))
  const entries = owed.map(course => ({ course, ...creditOf(course, meanWork.get(course.arrival.kind.name)!) }))
  const sharesBy = (keyOf: (course: Course) => string, chosen = entries): Map<string, Share> => {
    const shares = new Map<string, Share>()
    for (const entry of chosen) add(shares, keyOf(entry.course), entry)
    return shares
  }
  const whole = sharesBy(() => '').get('') ?? emptyShare()
  const byKind = sharesBy(course => course.arrival.kind.name)
  const byWorkspace = sharesBy(course => course.arrival.job.workspace)
  const widest = sharesBy(course => course.arrival.kind.name, entries.filter(({ course }) => isWidest(course, owed)))
  const windows = [...sharesBy(course => String(Math.floor(course.arrival.at / WINDOW_MILLISECONDS))).values()].map(ratio).sort((left, right) => left - right)
  const waste = pattern.wastePrice * courses.reduce((sum, course) => sum + course.wasted, 0) / whole.owed
  return {
    whole,
    byKind,
    byWorkspace,
    widest,
    worstWindows: mean(windows.slice(0, 2)),
    waste,
    stops: courses.reduce((sum, course) => sum + course.stops, 0),
    total: WEIGHTS.whole * ratio(whole) + WEIGHTS.worstKind * lowest(byKind) + WEIGHTS.worstWorkspace * lowest(byWorkspace) - waste
  }
}

/**
 * The part of what is owed that was earned.
 *
 * @example
 * ratio({ owed: 4, earned: 1, jobs: 1, inTime: 0, late: 1 }) // 0.25
 */
export function ratio ({ earned, owed }: Share): number {
  return owed === 0 ? 1 : earned / owed
}

function creditOf (course: Course, meanWork: number): { readonly owed: number, readonly earned: number } {
  const { kind, at } = course.arrival
  const size = Math.min(MOST_SIZE, FIXED_WORTH + (1 - FIXED_WORTH) * workOf(course) / meanWork)
  const objective = kind.stretch * chainOf(course) + kind.latencyMilliseconds
  const taken = (course.endedAt ?? Infinity) - at
  const isLost = course.isFailed === true || taken > LATEST_OBJECTIVES * objective
  const worth = isLost ? 0 : taken > objective ? kind.lateWorth : kind.worth
  return { owed: size * kind.worth, earned: size * worth }
}

/** Core-milliseconds of a job. */
function workOf ({ arrival: { job, work } }: Course): number {
  return job.steps.reduce((sum, { need }, number) => sum + (need.processor / 1000 + 8 * need.accelerators) * work[number]!.reduce((left, right) => left + right, 0), 0)
}

function chainOf ({ arrival: { work } }: Course): number {
  return work.reduce((sum, tasks) => sum + Math.max(...tasks), 0)
}

function isWidest (course: Course, all: readonly Course[]): boolean {
  const same = all.filter(other => other.arrival.kind === course.arrival.kind)
  const wider = same.filter(other => workOf(other) > workOf(course)).length
  return wider < same.length / 10
}

function add (shares: Map<string, Share>, key: string, { owed, earned }: { readonly owed: number, readonly earned: number }): void {
  const share = shares.get(key) ?? emptyShare()
  share.owed += owed
  share.earned += earned
  share.jobs += 1
  share.inTime += earned === owed ? 1 : 0
  share.late += earned > 0 && earned < owed ? 1 : 0
  shares.set(key, share)
}

function emptyShare (): Share {
  return { owed: 0, earned: 0, jobs: 0, inTime: 0, late: 0 }
}

function lowest (shares: ReadonlyMap<string, Share>): number {
  return Math.min(1, ...[...shares.values()].map(ratio))
}

function mean (values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length
}
