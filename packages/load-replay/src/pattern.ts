/** Load patterns for replays: the users' kinds of work, at the sizes of their deployments. */
import type { Capacity } from '@cornelgauge/jobs'

/** Distribution of one kind of jobs. */
export interface KindPattern {
  readonly name: string
  readonly priority: number
  /** Arrival rate on a busy day, in jobs per second. */
  readonly perSecond: number
  /** Mean run time of a task in milliseconds, and the standard deviation of its logarithm. */
  readonly workMilliseconds: number
  readonly workSigma: number
  /** Maximum relative deviation of a task's run time from the mean of its job. */
  readonly runTimeSpread: number
  /** Maximum relative error of estimates. */
  readonly estimateError: number
  /** Mean and maximum number of tasks per step. */
  readonly meanTasks: number
  readonly maximumTasks: number
  /** Share of jobs that have a second step. */
  readonly secondStepShare: number
  /** Processor and memory of one task. */
  readonly processor: number
  readonly memory: number
  /** Accelerators of one task, chosen at random from these. */
  readonly accelerators: readonly number[]
  readonly isGang: boolean
  /** Share of gangs that run slower when spread over racks. */
  readonly oneRackShare: number
  /** Shares of steps that save checkpoints, have a data rack and limit their tasks per backend server, and share of jobs that are cancelled. */
  readonly checkpointShare: number
  readonly dataRackShare: number
  readonly limitedPerServerShare: number
  readonly cancelledShare: number
  /** Probability that a run fails; for a gang, that any of its members fails. */
  readonly failureShare: number
  readonly attempts: number
  readonly stretch: number
  readonly latencyMilliseconds: number
  readonly value: number
  readonly lateValue: number
}

/** An interval in which the arrival rate of some jobs is multiplied by a factor. */
export interface Burst {
  readonly factor: number
  readonly from: number
  readonly milliseconds: number
}

/** A load with the deployment that serves it. */
export interface LoadPattern {
  readonly name: string
  readonly kinds: readonly KindPattern[]
  readonly servers: number
  readonly serversPerRack: number
  readonly capacity: Capacity
  /** Run time factors of the backend servers, assigned in turn. */
  readonly serverSlowness: readonly number[]
  readonly workspaces: readonly { readonly name: string, readonly share: number, readonly guaranteed: number }[]
  readonly lengthMilliseconds: number
  /** Relative amplitude and period of the arrival rate's oscillation around its mean. */
  readonly rateAmplitude: number
  readonly periodMilliseconds: number
  /** Interval in which the arrival rate of urgent jobs is multiplied by a factor. */
  readonly burst: Burst
  /** The same for bulk jobs, if they have a burst of their own. */
  readonly bulkBurst?: Burst
  /** Price of one core-second of discarded work. */
  readonly wastePrice: number
  /** Maximum duration of a stop. */
  readonly longestStopMilliseconds: number
  /** Time to restore a checkpoint before a run starts to work, where the platform gives it; else 600. */
  readonly restoreMilliseconds?: number
}

/** Run time factor of stragglers, and their share of the tasks. */
export const STRAGGLER_FACTOR = 7
export const STRAGGLER_SHARE = 0.03
/** Run time factor of a task outside its data rack, and of a gang that is spread over racks. */
export const SPREAD_FACTOR = 3

const BUSY_DAY = {
  servers: 33,
  serversPerRack: 8,
  serverSlowness: [1, 1, 1.3],
  workspaces: [
    { name: 'first', share: 0.4, guaranteed: 48 },
    { name: 'second', share: 0.25, guaranteed: 40 },
    { name: 'third', share: 0.2, guaranteed: 32 },
    { name: 'fourth', share: 0.15, guaranteed: 32 }
  ],
  lengthMilliseconds: 34_000,
  rateAmplitude: 0.55,
  periodMilliseconds: 13_000,
  burst: { factor: 2.2, from: 4000, milliseconds: 6000 },
  longestStopMilliseconds: 200
} as const

const URGENT = { priority: 0, secondStepShare: 0, accelerators: [1, 2, 4, 8, 8], isGang: true, oneRackShare: 0.8, checkpointShare: 0, dataRackShare: 0, limitedPerServerShare: 0, cancelledShare: 0, attempts: 2, stretch: 1.5, workMilliseconds: 2100, workSigma: 0.5, value: 4, lateValue: 0.8 } as const
const LONG = { priority: 1, secondStepShare: 0, accelerators: [1, 2, 4, 8, 8], isGang: true, oneRackShare: 0.6, checkpointShare: 0.45, dataRackShare: 0.3, limitedPerServerShare: 0, cancelledShare: 0.05, stretch: 3, workSigma: 0.3, latencyMilliseconds: 1000, value: 3 } as const
const BULK = { priority: 2, secondStepShare: 0.3, accelerators: [1], isGang: false, oneRackShare: 0, checkpointShare: 0.45, dataRackShare: 0.12, limitedPerServerShare: 0.12, cancelledShare: 0.15, stretch: 3, workSigma: 0.3, workMilliseconds: 5200, latencyMilliseconds: 3000, value: 1 } as const

/** A busy day of the rota service. */
export const ROTA: LoadPattern = {
  ...BUSY_DAY,
  name: 'rota',
  capacity: { processor: 32_000, memory: 65_536, accelerators: 8 },
  wastePrice: 0.0023,
  kinds: [
    { ...URGENT, name: 'shift-swap', perSecond: 1.3, runTimeSpread: 0.15, estimateError: 0.9, meanTasks: 3.4, maximumTasks: 21, processor: 3700, memory: 9800, failureShare: 0.005, latencyMilliseconds: 250 },
    { ...LONG, name: 'term-rota', perSecond: 0.53, workMilliseconds: 5800, runTimeSpread: 0.3, estimateError: 0.2, meanTasks: 5, maximumTasks: 30, processor: 13_000, memory: 34_000, failureShare: 0.05, attempts: 4, lateValue: 0.9 },
    { ...BULK, name: 'availability-check', perSecond: 0.5, runTimeSpread: 0.15, estimateError: 0.9, meanTasks: 16, maximumTasks: 94, processor: 2800, memory: 7400, failureShare: 0.02, attempts: 4, lateValue: 0.3 }
  ]
}

/** The same day where a stop takes several times as long, as on the large deployment. */
export const ROTA_SLOW_STOPS: LoadPattern = { ...ROTA, name: 'rota-slow-stops', longestStopMilliseconds: 900 }

/** A busy day of the renewal service. */
export const RENEWAL: LoadPattern = {
  ...BUSY_DAY,
  name: 'renewal',
  capacity: { processor: 128_000, memory: 262_144, accelerators: 8 },
  wastePrice: 0.0016,
  kinds: [
    { ...URGENT, name: 'pass-reprint', perSecond: 2, runTimeSpread: 0.3, estimateError: 0.2, meanTasks: 3, maximumTasks: 18, processor: 15_000, memory: 31_000, failureShare: 0.05, latencyMilliseconds: 300 },
    { ...LONG, name: 'proof-of-age-check', perSecond: 0.46, workMilliseconds: 9400, runTimeSpread: 0.15, estimateError: 0.5, meanTasks: 4, maximumTasks: 24, processor: 52_000, memory: 140_000, failureShare: 0.02, attempts: 2, lateValue: 1.5 },
    { ...BULK, name: 'eligibility-check', perSecond: 0.7, runTimeSpread: 0.3, estimateError: 0.5, meanTasks: 12, maximumTasks: 72, processor: 11_000, memory: 29_000, failureShare: 0.05, attempts: 3, lateValue: 0.5 }
  ]
}

const GROWN_GUARANTEES = [240, 200, 160, 120, 96, 80, 64, 64, 56, 48]

/** A busy day of the renewal service at the grown size. */
export const RENEWAL_GROWN: LoadPattern = {
  ...RENEWAL,
  name: 'renewal-grown',
  servers: 246,
  serversPerRack: 12,
  workspaces: GROWN_GUARANTEES.map((guaranteed, index) => ({ name: `workspace-${index}`, share: guaranteed / GROWN_GUARANTEES.reduce((sum, each) => sum + each), guaranteed })),
  kinds: [
    { ...RENEWAL.kinds[0]!, perSecond: 8.5, meanTasks: 5, maximumTasks: 30 },
    { ...RENEWAL.kinds[1]!, perSecond: 1.46, meanTasks: 10, maximumTasks: 60 },
    { ...RENEWAL.kinds[2]!, perSecond: 1.8, meanTasks: 30, maximumTasks: 180 }
  ]
}

/** Bursts of urgent and of bulk work on a full pool of 245 backend servers, with gangs of whole ones in a rack, and stops that take 400 ms. */
export const DOCK_PLANNING: LoadPattern = {
  ...RENEWAL_GROWN,
  name: 'dock-planning',
  servers: 245,
  serversPerRack: 8,
  serverSlowness: [1],
  capacity: { processor: 128_000, memory: 524_288, accelerators: 8 },
  burst: { factor: 2, from: 4000, milliseconds: 6000 },
  bulkBurst: { factor: 2.4, from: 6000, milliseconds: 6000 },
  longestStopMilliseconds: 400,
  restoreMilliseconds: 100,
  wastePrice: 0.00056,
  kinds: [
    { ...URGENT, name: 'reconciliation', perSecond: 4, workMilliseconds: 2500, runTimeSpread: 0.3, estimateError: 0.5, meanTasks: 4, maximumTasks: 30, processor: 15_000, memory: 61_000, failureShare: 0.05, attempts: 4, latencyMilliseconds: 250 },
    { ...LONG, name: 'van-routes', perSecond: 1.17, workMilliseconds: 8500, runTimeSpread: 0.15, estimateError: 0.5, meanTasks: 9, maximumTasks: 60, processor: 52_000, memory: 270_000, failureShare: 0.02, attempts: 2, lateValue: 0.9 },
    { ...BULK, name: 'ride-forecast', perSecond: 1.15, workMilliseconds: 7600, runTimeSpread: 0.3, estimateError: 0.5, meanTasks: 28, maximumTasks: 180, processor: 11_000, memory: 46_000, failureShare: 0.05, attempts: 4, lateValue: 0.3 }
  ]
}

const RETURNS_GUARANTEES = [240, 200, 160, 120, 96, 80, 64, 64, 56, 48]

/** A busy day of the tax return service: backend servers of three speeds, and gangs of urgent work that the slow ones make late. */
export const RETURNS: LoadPattern = {
  ...BUSY_DAY,
  name: 'returns',
  servers: 246,
  serverSlowness: [0.6, 1, 1.6],
  capacity: { processor: 128_000, memory: 262_144, accelerators: 8 },
  wastePrice: 0.0016,
  workspaces: RETURNS_GUARANTEES.map((guaranteed, index) => ({ name: `workspace-${index}`, share: guaranteed / RETURNS_GUARANTEES.reduce((sum, each) => sum + each), guaranteed })),
  kinds: [
    { ...URGENT, name: 'preview', perSecond: 4.45, runTimeSpread: 0.3, estimateError: 0.5, meanTasks: 5.4, maximumTasks: 32, processor: 15_000, memory: 22_000, failureShare: 0.05, attempts: 4, latencyMilliseconds: 250 },
    { ...LONG, name: 'recalculation', perSecond: 0.84, workMilliseconds: 9400, runTimeSpread: 0.15, estimateError: 0.5, meanTasks: 13, maximumTasks: 78, processor: 52_000, memory: 140_000, failureShare: 0.02, attempts: 2, lateValue: 0.9 },
    { ...BULK, name: 'deductions', perSecond: 1.28, runTimeSpread: 0.15, estimateError: 0.2, meanTasks: 39, maximumTasks: 230, processor: 11_000, memory: 23_000, failureShare: 0.05, attempts: 4, lateValue: 0.3 }
  ]
}

export const PATTERNS: Readonly<Record<string, LoadPattern>> = { rota: ROTA, 'rota-slow-stops': ROTA_SLOW_STOPS, renewal: RENEWAL, 'renewal-grown': RENEWAL_GROWN, 'dock-planning': DOCK_PLANNING, returns: RETURNS }

/**
 * Multiplies the arrival rates of a pattern.
 *
 * @example
 * scaled(ROTA, 0.7) // a quiet day
 */
export function scaled (pattern: LoadPattern, factor: number): LoadPattern {
  return { ...pattern, kinds: pattern.kinds.map(kind => ({ ...kind, perSecond: kind.perSecond * factor })) }
}
