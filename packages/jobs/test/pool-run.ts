/** A seeded random run of a pool whose backend servers change their capacity, fail and restart under changing owners. */
import { epoch } from '@cornelgauge/model'
import { jobId, RUNS_PER_EPOCH, type Job, type StartCommand, type StoredJob } from '../src/index.js'
import { CapacityRecord } from './capacity-record.js'
import { CONFIGURATION, job, step, World, type Connectivity, type FakeServer } from './world.js'

/** Clock of the in-memory backend servers, ahead of the world's. */
const SERVER_CLOCK_OFFSET_MILLISECONDS = 100_000
const CONNECTIVITIES: readonly Connectivity[] = ['answers', 'answers', 'answers', 'silent', 'loses-start-answers', 'delays-starts']

/** Something that happens in a step, with its probability. */
type Incident = readonly [probability: number, happen: () => void]

/**
 * A run; each step has some incidents, a round and the polls. Capacities, jobs and faults depend on the seed alone.
 *
 * @example
 * const run = new PoolRun(7919)
 * run.step()
 */
export class PoolRun {
  readonly #world = new World(6, { perRack: 3 })
  readonly #record = new CapacityRecord(this.#world)
  readonly #jobs: Job[] = []
  readonly #cancelled = new Set<Job>()
  /** Incarnation in which a delayed start was sent. */
  readonly #incarnations = new Map<StartCommand, number>()
  #random: number
  #epoch = 1
  #shrunkStarts = 0

  readonly #incidents: readonly Incident[] = [
    [0.7, () => this.#submit()],
    [0.25, () => this.#resize()],
    [0.3, () => this.#world.listServers()],
    [0.15, () => { this.#anyServer().connectivity = this.#pick(CONNECTIVITIES) }],
    [0.3, () => this.#deliverDelayed(this.#anyServer())],
    [0.6, () => this.#endSome()],
    [0.2, () => { this.#anyServer().stopsSlowly = this.#chance(0.5) }],
    [0.4, () => this.#anyServer().finishStops()],
    [0.05, () => this.#cancel()],
    [0.03, () => this.#restart()],
    [0.02, () => this.#takeOver()]
  ]

  constructor (seed: number) {
    this.#random = seed
    this.#configure()
    this.#world.pollServers()
  }

  /** Starts that exceeded a capacity. */
  get violations (): readonly string[] {
    return this.#record.violations
  }

  get startCount (): number {
    return this.#world.starts.length
  }

  /** Starts on backend servers that had less than their first capacity. */
  get shrunkStartCount (): number {
    return this.#shrunkStarts
  }

  step (): void {
    for (const [probability, happen] of this.#incidents) if (this.#chance(probability)) happen()
    const commands = this.#record.round(10 + this.#below(200))
    for (const command of commands) {
      if (command.type !== 'start') continue
      const server = this.#world.servers.find(({ entry }) => entry.id === command.server)!
      this.#incarnations.set(command, server.incarnation)
      if (server.capacity.accelerators < server.entry.capacity.accelerators) this.#shrunkStarts += 1
    }
    this.#world.now += 5
    this.#world.pollServers(this.#world.servers.filter(() => this.#chance(0.7)))
    if (this.#chance(0.8)) this.#world.planner.markStored(this.#world.planner.unstoredJobs)
  }

  #submit (): void {
    const id = `job${this.#jobs.length}`
    const isClaim = this.#chance(0.3)
    const overrides = { queue: isClaim ? 'urgent' : this.#pick(['long', 'bulk']), workspace: isClaim ? 'brno' : 'plzen', acceptedUnder: epoch(this.#epoch), acceptedAt: this.#world.wallTime }
    const count = 1 + this.#below(4)
    const accelerators = this.#below(isClaim ? Math.floor(8 / count) + 1 : 9)
    const specification = step({ count, accelerators, need: { processor: 1000 * this.#below(16), memory: 1000 * (1 + this.#below(16)), accelerators }, isGang: this.#chance(0.4), savesCheckpoints: this.#chance(0.5), wantsOneRack: this.#chance(0.2), fillsIdleProcessor: this.#chance(0.1), isLasting: this.#chance(0.05) })
    const added = job(id, { ...overrides, steps: [specification] })
    this.#jobs.push(added)
    this.#record.submit(added)
  }

  #resize (): void {
    this.#record.resize(this.#anyServer(), { processor: 8000 * this.#below(6), memory: 16_000 * this.#below(6), accelerators: this.#pick([0, 2, 4, 6, 8, 8, 12]) })
    this.#world.listServers()
  }

  #endSome (): void {
    const server = this.#anyServer()
    for (const task of [...server.running.keys()]) if (this.#chance(0.4)) server.end(task, this.#chance(0.9) ? 'done' : 'failed')
  }

  #cancel (): void {
    const cancelled = this.#jobs.at(-1 - this.#below(Math.min(20, this.#jobs.length)))
    if (cancelled === undefined) return
    this.#cancelled.add(cancelled)
    this.#world.planner.cancel(jobId(cancelled.id), this.#world.wallTime)
  }

  /** Delayed starts arrive, unless a newer owner has polled the backend server or their lease has ended. */
  #deliverDelayed (server: FakeServer): void {
    for (const command of server.delayed.splice(0)) {
      const isFenced = Math.floor(command.run / RUNS_PER_EPOCH) < server.highestEpoch
      const isLate = command.leaseUntil < SERVER_CLOCK_OFFSET_MILLISECONDS + this.#world.now
      if (!isFenced && !isLate && this.#incarnations.get(command) === server.incarnation) server.start(command)
    }
  }

  /** A crash breaks the poll that is under way. The new incarnation may be of another size, which the registry shows later. */
  #restart (): void {
    const server = this.#anyServer()
    this.#world.planner.recordMissedPoll(server.entry.id, server.incarnation)
    server.restart()
    server.highestEpoch = 0
    if (this.#chance(0.5)) this.#record.resize(server, { accelerators: this.#pick([2, 4, 8]) })
  }

  /** A later owner loads all jobs but a few, whose records are lost. */
  #takeOver (): void {
    this.#epoch += 1
    const stored: StoredJob[] = []
    for (const each of this.#jobs) {
      const progress = this.#world.planner.progressOf(each.id)
      if (progress !== undefined && this.#chance(0.9)) stored.push({ job: each, isCancelled: this.#cancelled.has(each), progress })
    }
    this.#world.takeOver(this.#epoch, stored)
    this.#configure()
  }

  /** Backend servers accept every start. */
  #configure (): void {
    this.#world.planner.configure({ ...CONFIGURATION, pools: CONFIGURATION.pools.map(pool => ({ ...pool, enforcesCapacity: false })) })
  }

  #anyServer (): FakeServer {
    return this.#pick(this.#world.servers)
  }

  #pick<T> (values: readonly T[]): T {
    return values[this.#below(values.length)]!
  }

  #chance (probability: number): boolean {
    return this.#below(10_000) < 10_000 * probability
  }

  /** The next pseudorandom integer below a limit (mulberry32). */
  #below (limit: number): number {
    this.#random = (this.#random + 0x6d2b79f5) >>> 0
    let mixed = Math.imul(this.#random ^ (this.#random >>> 15), 1 | this.#random)
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return Math.floor(((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32 * limit)
  }
}
