/**
 * Decides which backend servers a queue's work gets first where they differ in speed. It answers a load of work with little time, such as
 * gangs whose slowest member sets their pace, on a pool part of which is too slow for it: that work gets the fast ones, and
 * work that can wait gets those that are too slow for others. Among backend servers of about the same speed, the order is that
 * of a pool whose backend servers are alike, and so it is in a pool that is fast enough for all of its queues.
 */
import type { ServerId } from './ids.js'
import { EXPIRY_OBJECTIVES, type Candidate } from './order.js'
import { UNKNOWN_SPEED, type SpeedBelief } from './server-speed.js'

/** Share of the time that work may take which the speed may use up; the rest is for starts, reports and uneven tasks. */
const USABLE_SHARE = 0.9
/** Standard deviations from which on a backend server is certainly too slow. */
const CERTAIN_DEVIATIONS = 2
/** Share of a pool's backend servers from which on they aren't too slow by chance only, and the highest deviation of those that count. */
const NOTICEABLE_SHARE = 0.1
const NOTICEABLE_DEVIATION = 0.2
/** Ratio of the speeds of two classes. */
const CLASS_FACTOR = 1.5
/** Number of classes, numbered from the fastest. */
const CLASSES = 7
/** Steps in which tolerances differ, and the highest that does. */
const TOLERANCE_STEP = 0.25
const MAXIMUM_TOLERANCE = 10

/** Ranks the backend servers for some work; the lowest comes first. */
export type SpeedRank = (server: ServerId) => number

/**
 * Returns how many times as long as usual a candidate's work may take: as long as its queue's stretch allows, less what it has
 * waited, or, if it can't end in time any longer, as long as its end has any value.
 *
 * @example
 * toleranceOf(candidate, 1.5) // 1.5 before it has waited
 */
export function toleranceOf ({ waitedMilliseconds, remainingMilliseconds, objectiveMilliseconds }: Candidate, stretch: number): number {
  const toleranceFor = (milliseconds: number): number => (milliseconds - waitedMilliseconds) / Math.max(1, remainingMilliseconds)
  const inTime = toleranceFor(objectiveMilliseconds)
  return inTime >= 1 ? Math.min(stretch, inTime) : toleranceFor(EXPIRY_OBJECTIVES * objectiveMilliseconds)
}

/**
 * Speeds of the backend servers of one pool, as believed at one time.
 *
 * @example
 * const rank = new PoolSpeeds(beliefs, 1.5).rankFor(toleranceOf(candidate, 3))
 */
export class PoolSpeeds {
  readonly #beliefs: ReadonlyMap<ServerId, SpeedBelief>
  /** The lowest stretch of the pool's queues. */
  readonly lowestStretch: number
  /** A backend server is too slow for the queue with the lowest stretch. */
  readonly doSpeedsMatter: boolean
  readonly #ranks = new Map<number, SpeedRank>()
  #neutralRank: SpeedRank | undefined

  /** Backend servers without a belief count among `servers` only. */
  constructor (beliefs: ReadonlyMap<ServerId, SpeedBelief>, lowestStretch: number, servers = beliefs.size) {
    this.#beliefs = beliefs
    this.lowestStretch = lowestStretch
    this.doSpeedsMatter = areSomeTooSlow([...beliefs.values()], lowestStretch, servers)
  }

  beliefOf (server: ServerId): SpeedBelief {
    return this.#beliefs.get(server) ?? UNKNOWN_SPEED
  }

  /** Number of backend servers whose speed is known to some extent. */
  get known (): number {
    return this.#beliefs.size
  }

  /** Those that are too slow for the queue with the lowest stretch; none while the speeds make no difference. */
  get slowServers (): ReadonlyMap<ServerId, SpeedBelief> {
    return new Map(this.doSpeedsMatter ? [...this.#beliefs].filter(([, belief]) => isTooSlow(belief, this.lowestStretch)) : [])
  }

  /** Returns the order for work with this tolerance; undefined if all backend servers are fast enough for all queues. */
  rankFor (tolerance: number): SpeedRank | undefined {
    if (!this.doSpeedsMatter) return undefined
    const limit = TOLERANCE_STEP * Math.round(Math.max(0, Math.min(MAXIMUM_TOLERANCE, tolerance)) / TOLERANCE_STEP)
    const known = this.#ranks.get(limit)
    if (known !== undefined) return known
    const rank = this.#rankBy(belief => this.#rank(belief, limit))
    this.#ranks.set(limit, rank)
    return rank
  }

  /** Returns the order for work that takes longer than usual in any case, since its data is elsewhere: the slow ones come last. */
  get neutralRank (): SpeedRank | undefined {
    if (!this.doSpeedsMatter) return undefined
    this.#neutralRank ??= this.#rankBy(belief => isTooSlow(belief, this.lowestStretch) ? 1 : 0)
    return this.#neutralRank
  }

  #rankBy (rank: (belief: SpeedBelief) => number): SpeedRank {
    const ranks = new Map([...this.#beliefs].map(([id, belief]) => [id, rank(belief)]))
    const unknownRank = rank(UNKNOWN_SPEED)
    return server => ranks.get(server) ?? unknownRank
  }

  #rank (belief: SpeedBelief, tolerance: number): number {
    const speedClass = classOf(belief)
    if (isTooSlow(belief, tolerance)) return 2 * CLASSES + speedClass
    if (tolerance <= this.lowestStretch) return speedClass
    return isTooSlow(belief, this.lowestStretch) ? 0 : CLASSES - speedClass
  }
}

/** True if one is certainly too slow for a stretch, or so many are that it isn't by chance. */
function areSomeTooSlow (beliefs: readonly SpeedBelief[], stretch: number, servers: number): boolean {
  const limit = Math.log(Math.max(1, stretch))
  const slow = beliefs.filter(({ logSlowness }) => logSlowness > limit)
  const noticed = slow.filter(({ deviation }) => deviation <= NOTICEABLE_DEVIATION)
  return noticed.length > NOTICEABLE_SHARE * servers || slow.some(({ logSlowness, deviation }) => logSlowness - CERTAIN_DEVIATIONS * deviation > limit)
}

/** True if tasks probably outlast what is tolerated on a backend server by its speed alone. */
function isTooSlow ({ logSlowness }: SpeedBelief, tolerance: number): boolean {
  return logSlowness > Math.log(Math.max(1, USABLE_SHARE * tolerance))
}

function classOf ({ logSlowness }: SpeedBelief): number {
  const middle = (CLASSES - 1) / 2
  return middle + Math.max(-middle, Math.min(middle, Math.round(logSlowness / Math.log(CLASS_FACTOR))))
}
