/** Draws the jobs and builds the deployment of a replay from a pattern. */
import { epoch, workspaceName } from '@cornelgauge/model'
import { configurationVersion, jobId, poolName, queueName, serverId, type Configuration, type Job, type ServerEntry, type StepSpecification } from '@cornelgauge/jobs'
import { STRAGGLER_FACTOR, STRAGGLER_SHARE, type Burst, type KindPattern, type LoadPattern } from './pattern.js'
import { Random } from './random.js'

/** A job with data that is hidden from the planner. */
export interface Arrival {
  readonly arrivesAt: number
  readonly job: Job
  readonly kind: KindPattern
  /** Actual run times of its tasks in milliseconds, by step and index. */
  readonly runTimes: readonly (readonly number[])[]
  /** When its caller cancels it, unless it has ended by then. */
  readonly cancelAt?: number
}

/** Milliseconds since 1970 at the start of a replay. */
export const START_TIME = 1_700_000_000_000
const POOL = poolName('pool')

/**
 * Draws the jobs of one replay, in order of arrival.
 *
 * @example
 * const arrivals = arrivalsOf(ROTA, 7)
 */
export function arrivalsOf (pattern: LoadPattern, seed: number): readonly Arrival[] {
  const random = new Random(seed)
  const arrivals = pattern.kinds.flatMap((kind, number) => drawArrivalTimes(pattern, kind, random).map((arrivesAt, count) => drawJob(pattern, kind, `${number}${String(count).padStart(15, '0')}`, arrivesAt, random)))
  return arrivals.sort((left, right) => left.arrivesAt - right.arrivesAt)
}

/**
 * Builds the backend servers of a pattern.
 *
 * @example
 * const entries = serversOf(ROTA)
 */
export function serversOf (pattern: LoadPattern): readonly ServerEntry[] {
  return Array.from({ length: pattern.servers }, (_, index) => {
    const rack = rackName(pattern, index)
    return { id: serverId(`server-${index}`), pool: POOL, address: `10.0.0.${index}:80`, failureDomain: 'north', capacity: pattern.capacity, labels: [rack], rack, isDraining: false, incarnation: 1 }
  })
}

/**
 * Builds the configuration of a pattern, with one queue per kind.
 *
 * @example
 * planner.configure(configurationOf(ROTA))
 */
export function configurationOf (pattern: LoadPattern): Configuration {
  return {
    version: configurationVersion(1),
    queues: pattern.kinds.map(kind => ({
      name: queueName(kind.name),
      host: 'jobs.example',
      prefix: `/${kind.name}/`,
      pool: POOL,
      priority: kind.priority,
      attempts: kind.attempts,
      stretch: kind.stretch,
      latencyMilliseconds: kind.latencyMilliseconds,
      timeoutMilliseconds: 3000,
      isPublic: false
    })),
    pools: [{ name: POOL, maximumConnections: 64, enforcesCapacity: true, isStandby: false }],
    workspaces: pattern.workspaces.map(({ name, guaranteed }) => ({ name: workspaceName(name), keys: [], guaranteedAccelerators: guaranteed })),
    limits: { headerBytes: 16_384, bodyBytes: 262_144, headerMilliseconds: 3000, idleMilliseconds: 15_000 }
  }
}

function rackName (pattern: LoadPattern, index: number): string {
  return `r1-${Math.floor(index / pattern.serversPerRack)}`
}

const NO_BURST: Burst = { factor: 1, from: 0, milliseconds: 0 }
/** Bursts by priority. */
const BURSTS: Readonly<Record<number, (pattern: LoadPattern) => Burst | undefined>> = { 0: ({ burst }) => burst, 2: ({ bulkBurst }) => bulkBurst }

function drawArrivalTimes (pattern: LoadPattern, kind: KindPattern, random: Random): readonly number[] {
  const { rateAmplitude, periodMilliseconds, lengthMilliseconds } = pattern
  const burst = BURSTS[kind.priority]?.(pattern) ?? NO_BURST
  const maximumRate = kind.perSecond * (1 + rateAmplitude) * burst.factor
  const times: number[] = []
  for (let time = random.exponential(1000 / maximumRate); time < lengthMilliseconds; time += random.exponential(1000 / maximumRate)) {
    const isBurst = time >= burst.from && time < burst.from + burst.milliseconds
    const rate = kind.perSecond * (1 + rateAmplitude * Math.sin(2 * Math.PI * time / periodMilliseconds)) * (isBurst ? burst.factor : 1)
    if (random.chance(rate / maximumRate)) times.push(time)
  }
  return times
}

function drawJob (pattern: LoadPattern, kind: KindPattern, id: string, arrivesAt: number, random: Random): Arrival {
  const meanMilliseconds = random.logNormal(kind.workMilliseconds, kind.workSigma)
  const steps = Array.from({ length: random.chance(kind.secondStepShare) ? 2 : 1 }, (_, number) => drawStep(pattern, kind, number, meanMilliseconds, random))
  const runTimes = steps.map(step => Array.from({ length: step.count }, () => meanMilliseconds * (1 + kind.runTimeSpread * (2 * random.uniform() - 1)) * (random.chance(STRAGGLER_SHARE) ? STRAGGLER_FACTOR : 1)))
  const job: Job = {
    id: jobId(id),
    queue: queueName(kind.name),
    pool: POOL,
    workspace: workspaceName(drawWorkspace(pattern, random)),
    specification: '',
    steps,
    acceptedAt: START_TIME + arrivesAt,
    acceptedUnder: epoch(1)
  }
  return { arrivesAt, job, kind, runTimes, ...(random.chance(kind.cancelledShare) ? { cancelAt: arrivesAt + random.exponential(kind.workMilliseconds) } : {}) }
}

function drawStep (pattern: LoadPattern, kind: KindPattern, number: number, meanMilliseconds: number, random: Random): StepSpecification {
  const count = Math.max(1, Math.min(kind.maximumTasks, Math.round(random.logNormal(kind.meanTasks, 0.8))))
  const racks = Math.floor(pattern.servers / pattern.serversPerRack)
  const error = 1 + kind.estimateError * (2 * random.uniform() - 1)
  const isGang = kind.isGang && count > 1
  return {
    count,
    need: { processor: kind.processor, memory: kind.memory, accelerators: random.choose(kind.accelerators) },
    estimateMilliseconds: meanMilliseconds * error,
    after: number === 0 ? [] : [number - 1],
    savesCheckpoints: random.chance(kind.checkpointShare),
    isGang,
    wantsOneRack: isGang && random.chance(kind.oneRackShare),
    allowsCopies: false,
    isLasting: false,
    fillsIdleProcessor: false,
    ...(random.chance(kind.dataRackShare) ? { dataRack: `r1-${Math.floor(random.uniform() * racks)}` } : {}),
    ...(random.chance(kind.limitedPerServerShare) ? { mostPerServer: 2 } : {})
  }
}

function drawWorkspace (pattern: LoadPattern, random: Random): string {
  let remainder = random.uniform()
  for (const { name, share } of pattern.workspaces) {
    remainder -= share
    if (remainder < 0) return name
  }
  return pattern.workspaces[0]!.name
}
