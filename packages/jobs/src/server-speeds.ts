/**
 * The speeds of all backend servers, learnt from reports. Each run is compared with the other runs of its step and with
 * the declared estimate, so that the size of the work isn't taken for the speed of a backend server. The work of a report
 * grows with the runs in it.
 */
import type { Configuration } from './configuration.js'
import type { PoolName, ServerId } from './ids.js'
import { RunPace, type ObservedPace } from './run-pace.js'
import { RunTimeEstimates } from './run-time-estimates.js'
import type { Run, Server, ServerReport } from './server.js'
import { medianOf, ServerSpeed, UNKNOWN_SPEED, type SpeedBelief } from './server-speed.js'
import { PoolSpeeds } from './speed-preference.js'
import type { StepState } from './step-state.js'
import { StepWork, type Contribution } from './step-work.js'

/** Standard deviation of the logarithm of the times of one step's tasks on equal backend servers. */
const TASK_DEVIATION = 0.2
/** How long the beliefs of a pool are used before they are computed anew, in milliseconds. */
const REFRESH_MILLISECONDS = 250

/** What is kept of one run. */
interface PacedRun {
  readonly pace: RunPace
  contribution?: Contribution
}

/** A speed as it is stored for the next owner. */
export interface StoredSpeed extends SpeedBelief {
  readonly id: ServerId
  readonly incarnation: number
}

/** The speed of one incarnation of a backend server. */
interface IncarnationSpeed {
  readonly incarnation: number
  readonly speed: ServerSpeed
}

/** What the speeds of a pool refer to. */
export interface SpeedContext {
  readonly servers: ReadonlyMap<ServerId, Server>
  readonly configuration: Configuration | undefined
}

/**
 * Learns the speeds of the backend servers of all pools.
 *
 * @example
 * speeds.noteProgress(server, run, report)
 * speeds.of(pool, state, now).beliefOf(server.id).logSlowness
 */
export class ServerSpeeds {
  readonly estimates = new RunTimeEstimates()
  readonly #servers = new Map<ServerId, IncarnationSpeed>()
  readonly #runs = new WeakMap<Run, PacedRun>()
  readonly #works = new WeakMap<StepState, StepWork>()
  readonly #pools = new Map<PoolName, { readonly speeds: PoolSpeeds, readonly at: number }>()

  /** Learns from a run that a report lists. */
  noteProgress (server: Server, run: Run, { clock, receivedAt }: ServerReport): void {
    if (run.state !== 'running' || !showsSpeed(server, run)) return
    const paced = this.#runs.get(run) ?? { pace: new RunPace(beginningOf(run, clock - receivedAt)) }
    this.#runs.set(run, paced)
    const pace = paced.pace.observe(run.percent, clock)
    if (pace !== undefined) this.#observe(server, run, paced, pace, receivedAt - clock)
  }

  /** Learns from a run that has done its work. The members of a gang end with its slowest. */
  noteDone (server: Server, run: Run, { clock, receivedAt }: ServerReport): void {
    if (run.step?.specification.isGang === true || !showsSpeed(server, run)) return
    const paced = this.#runs.get(run) ?? { pace: new RunPace(beginningOf(run, clock - receivedAt)) }
    const pace = paced.pace.end(clock)
    if (pace !== undefined) this.#observe(server, run, paced, pace, receivedAt - clock)
  }

  /** Returns the speeds of the backend servers of a pool. */
  of (pool: PoolName, { servers, configuration }: SpeedContext, now: number): PoolSpeeds {
    const known = this.#pools.get(pool)
    if (known !== undefined && now - known.at < REFRESH_MILLISECONDS) return known.speeds
    const stretches = (configuration?.queues ?? []).filter(queue => queue.pool === pool).map(queue => queue.stretch)
    const speeds = this.#believe(pool, now, servers.values(), Math.min(...stretches))
    this.#pools.set(pool, { speeds, at: now })
    return speeds
  }

  /** Collects the beliefs of the backend servers with observed runs, relative to the median of the pool. */
  #believe (pool: PoolName, now: number, servers: Iterable<Server>, lowestStretch: number): PoolSpeeds {
    const beliefs = new Map<ServerId, SpeedBelief>()
    const all: number[] = []
    for (const { id, entry } of this.#servers.size === 0 ? [] : servers) {
      if (entry.pool !== pool) continue
      const known = this.#servers.get(id)
      const belief = known?.incarnation === entry.incarnation ? known.speed.belief(now) : UNKNOWN_SPEED
      if (belief.deviation < UNKNOWN_SPEED.deviation) beliefs.set(id, belief)
      all.push(belief.logSlowness)
    }
    const median = medianOf(all)
    for (const [id, { logSlowness, deviation }] of beliefs) beliefs.set(id, { logSlowness: logSlowness - median, deviation })
    return new PoolSpeeds(beliefs, lowestStretch, all.length)
  }

  /**
   * Returns how long a task of a step is expected to take on a usual backend server, or on the given one, from the runs of the step
   * and its corrected declared time. Undefined if none is known, or if the pool's backend servers are fast enough for all queues.
   */
  expectedMilliseconds (step: StepState, context: SpeedContext, now: number, server?: ServerId): number | undefined {
    const speeds = this.of(step.job.job.pool, context, now)
    if (!speeds.doSpeedsMatter) return undefined
    const expected = this.#workOf(step).without()
    return expected && Math.exp(expected.mean + (server === undefined ? 0 : speeds.beliefOf(server).logSlowness))
  }

  /** Adds the speeds that an earlier owner has stored. */
  inherit (stored: Iterable<StoredSpeed>, now: number): void {
    for (const { id, incarnation, ...belief } of stored) {
      const known = this.#servers.get(id)
      const { speed } = known ?? { speed: new ServerSpeed() }
      if (known === undefined) this.#servers.set(id, { incarnation, speed })
      if (known === undefined || known.incarnation === incarnation) speed.inherit(belief, now)
    }
  }

  /** The speeds for the next owner, those that are known best first; none while they make no difference. */
  toStore (now: number): readonly StoredSpeed[] {
    if (![...this.#pools.values()].some(({ speeds }) => speeds.doSpeedsMatter)) return []
    const stored = [...this.#servers].map(([id, { incarnation, speed }]) => ({ id, incarnation, ...speed.belief(now) }))
    return stored.filter(({ deviation }) => deviation < UNKNOWN_SPEED.deviation).sort((left, right) => left.deviation - right.deviation)
  }

  /** Counts the backend servers whose speed is known, and those that are too slow, when the beliefs of each pool were last computed. */
  get counts (): { readonly serversTimed: number, readonly serversSlow: number } {
    const pools = [...this.#pools.values()].map(({ speeds }) => speeds)
    return { serversTimed: pools.reduce((sum, { known }) => sum + known, 0), serversSlow: pools.reduce((sum, { slowServers }) => sum + slowServers.size, 0) }
  }

  /** Forgets a backend server. */
  forget (id: ServerId): void {
    this.#servers.delete(id)
  }

  #observe (server: Server, run: Run, paced: PacedRun, { milliseconds, changedAt }: ObservedPace, clockOffset: number): void {
    const step = run.step!
    const work = this.#workOf(step)
    const speed = this.#speedOf(server)
    const logTime = Math.log(milliseconds)
    const at = server.lastAnswerAt
    if (paced.contribution !== undefined) work.remove(paced.contribution)
    if (changedAt !== undefined) speed.forgetBefore(changedAt + clockOffset)
    const { logSlowness, deviation } = speed.belief(at)
    const others = work.without()
    // The errors of the backend server and of the step are the same for all tasks of the step there.
    const alike = Math.max(1, server.tasksOf.get(step) ?? 0)
    paced.contribution = work.add({ value: logTime - logSlowness, precision: 1 / (TASK_DEVIATION ** 2 + alike * deviation ** 2) })
    if (others === undefined) return
    speed.observe(run, { mean: logTime - others.mean, variance: TASK_DEVIATION ** 2 + alike * others.variance, at })
    const { estimateMilliseconds } = step.specification
    if (estimateMilliseconds > 0) this.estimates.observe(step.job.job.queue, logTime - logSlowness - Math.log(estimateMilliseconds))
  }

  #speedOf ({ id, entry: { incarnation } }: Server): ServerSpeed {
    const known = this.#servers.get(id)
    if (known?.incarnation === incarnation) return known.speed
    const speed = new ServerSpeed()
    this.#servers.set(id, { incarnation, speed })
    return speed
  }

  #workOf (step: StepState): StepWork {
    const known = this.#works.get(step)
    if (known !== undefined) return known
    const work = new StepWork(this.estimates.of(step.job.job.queue, step.specification.estimateMilliseconds))
    this.#works.set(step, work)
    return work
  }
}

/** When a run has begun, on the clock of its backend server; undefined if it may have resumed from a checkpoint, or its age isn't known. */
function beginningOf ({ step, confirmedAt, isAdopted }: Run, clockOffset: number): { readonly percent: number, readonly at: number } | undefined {
  if (isAdopted === true || step?.specification.savesCheckpoints !== false || confirmedAt === Infinity) return undefined
  return { percent: 0, at: confirmedAt + clockOffset }
}

/** False for a run whose pace other causes decide: it serves, uses idle processor time only, or is away from its data. */
function showsSpeed ({ entry }: Server, { step }: Run): boolean {
  if (step === undefined) return false
  const { isLasting, fillsIdleProcessor, dataRack } = step.specification
  return !isLasting && !fillsIdleProcessor && (dataRack === undefined || dataRack === entry.rack)
}
