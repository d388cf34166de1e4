/** A backend server of a play: it runs tasks under leases, and can be cut off from VMs. */
import { poolName, serverId, type ListedEnd, type ListedRun, type PollRequest, type ServerEntry, type ServerId, type ServerReport, type StartCommand } from '@cornelgauge/jobs'

/** Returns the next pseudorandom number from 0 to 1. */
export type Random = () => number

/**
 * Creates a seeded generator (mulberry32).
 *
 * @example
 * const random = seededRandom(7)
 */
export function seededRandom (seed: number): Random {
  let state = seed
  return () => {
    state = (state + 0x6D2B79F5) | 0
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state)
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }
}

/** A run with the times at which it has begun and is done. */
interface PlayedRun extends ListedRun {
  readonly startedAt: number
  readonly doneAt: number
}

/** A backend server with leases on its own clock, which may be slow. */
export class PlayedServer {
  readonly entry: ServerEntry
  readonly running = new Map<string, PlayedRun>()
  /** Tasks whose runs have ended here as done. */
  readonly doneTasks = new Set<string>()
  /** VMs that can't reach it. */
  cutFrom: ReadonlySet<string> = new Set()
  cutSince = Infinity
  cutUntil = -Infinity
  readonly #reportsProgress: boolean
  readonly #rate: number
  readonly #offset: number
  #highestEpoch = 0
  #leaseUntil = 0
  #ended: ListedEnd[] = []
  #endCount = 0

  /** Without `reportsProgress`, the planner stops runs as stuck after some time. */
  constructor (index: number, random: Random, reportsProgress: boolean) {
    this.#reportsProgress = reportsProgress
    this.#rate = random() < 0.5 ? 0.98 : 1
    this.#offset = Math.floor(100_000 * random())
    const labels = [`r1-${index}`]
    this.entry = { id: serverId(`server-${index}`), pool: poolName('pool'), address: `10.0.0.${index}:80`, failureDomain: 'north', capacity: { processor: 4000, memory: 64_000, accelerators: 4 }, labels, rack: labels[0]!, isDraining: false, incarnation: 1 }
  }

  /** Cuts it off from VMs until a time. */
  cut (vms: Iterable<string>, now: number, until: number): void {
    this.cutFrom = new Set(vms)
    this.cutSince = now
    this.cutUntil = until
  }

  /** No VM is cut off from it. */
  get isReachable (): boolean {
    return this.cutFrom.size === 0
  }

  #clock (now: number): number {
    return Math.floor(this.#offset + this.#rate * now)
  }

  /** Ends what is done, everything once the lease has expired, and a cut whose time has passed. */
  advance (now: number): void {
    const hasExpired = this.#clock(now) >= this.#leaseUntil
    for (const [key, run] of this.running) {
      if (run.doneAt <= now) this.#end(key, 'done')
      else if (hasExpired) this.#end(key, 'lapsed')
    }
    if (now < this.cutUntil) return
    this.cutFrom = new Set()
    this.cutSince = Infinity
  }

  #end (key: string, how: ListedEnd['how']): void {
    const { task, run } = this.running.get(key)!
    this.running.delete(key)
    if (how === 'done') this.doneTasks.add(task)
    this.#endCount += 1
    this.#ended.push({ position: this.#endCount, task, run, how, checkpoint: '' })
  }

  #listed ({ startedAt, doneAt, ...run }: PlayedRun, now: number): ListedRun {
    return this.#reportsProgress ? { ...run, percent: Math.floor(100 * (now - startedAt) / (doneAt - startedAt)) } : run
  }

  /** Answers a poll; undefined if a newer owner has been here. */
  poll (now: number, owner: number, { acknowledgedPosition, leaseUntil }: PollRequest): ServerReport | undefined {
    if (owner < this.#highestEpoch) return undefined
    this.#highestEpoch = owner
    if (leaseUntil !== undefined) this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(leaseUntil, this.#clock(now) + 10_000))
    this.#ended = this.#ended.filter(({ position }) => position > acknowledgedPosition)
    return { incarnation: 1, clock: this.#clock(now), running: [...this.running.values()].map(run => this.#listed(run, now)), ended: this.#ended, hasMoreEnds: false, sentAt: now, receivedAt: now + 2 }
  }

  start (now: number, owner: number, { task, run, leaseUntil }: StartCommand, doneAt: number): 'started' | 'fenced' | 'late' {
    if (owner < this.#highestEpoch) return 'fenced'
    this.#highestEpoch = owner
    if (leaseUntil <= this.#clock(now)) return 'late'
    this.#leaseUntil = Math.max(this.#leaseUntil, leaseUntil)
    this.running.set(task, { task, run, checkpoint: '', percent: 0, startedAt: now, doneAt })
    return 'started'
  }

  stop (owner: number, task: string): void {
    if (owner < this.#highestEpoch) return
    this.#highestEpoch = owner
    if (this.running.has(task)) this.#end(task, 'stopped')
  }
}

/** The VMs that own the planner in turn. */
export const PLAYED_VMS = ['vm-0', 'vm-1', 'vm-2'] as const
/** The registry drops a backend server that no VM has reached for this long. */
const REGISTRY_MILLISECONDS = 4500

/**
 * All backend servers of a play, with a record of the starts.
 *
 * @example
 * const pool = new PlayedPool(6, random)
 */
export class PlayedPool {
  readonly servers: readonly PlayedServer[]
  /** Starts of tasks that ran elsewhere at that time. */
  readonly doubles: string[] = []
  starts = 0

  constructor (size: number, random: Random, { reportsProgress = false } = {}) {
    this.servers = Array.from({ length: size }, (_, index) => new PlayedServer(index, random, reportsProgress))
  }

  advance (now: number): void {
    for (const server of this.servers) server.advance(now)
  }

  /** The registry's entries. */
  entries (now: number): ServerEntry[] {
    return this.servers.filter(({ cutSince, cutFrom }) => cutFrom.size < PLAYED_VMS.length || now - cutSince < REGISTRY_MILLISECONDS).map(({ entry }) => entry)
  }

  /** Accelerators of the backend servers that no VM is cut off from. */
  get reachableAccelerators (): number {
    return this.servers.reduce((sum, { isReachable, entry }) => sum + (isReachable ? entry.capacity.accelerators : 0), 0)
  }

  server (id: ServerId): PlayedServer {
    return this.servers.find(({ entry }) => entry.id === id)!
  }

  /** Notes a start that was carried out. */
  noteStart (now: number, { server, task, run }: StartCommand): void {
    this.starts += 1
    for (const { entry, running } of this.servers) {
      const found = running.get(task)
      if (entry.id !== server && found !== undefined) this.doubles.push(`${now} ms: ${task} run ${run} on ${server} beside run ${found.run} on ${entry.id}`)
    }
  }
}
