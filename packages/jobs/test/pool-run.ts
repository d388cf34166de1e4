/** A seeded random run of a pool whose backend servers change their capacity, fail and restart under changing owners. */
import { epoch } from '@cornelgauge/model'
import { jobId, RUNS_PER_EPOCH, type Job, type StartCommand, type StoredJob } from '../src/index.js'
import { CapacityRecord } from './capacity-record.js'
import { SeededRandom } from './seeded-random.js'
import { CONFIGURATION, job, SERVER_CLOCK_OFFSET_MILLISECONDS, step, World, type Connectivity, type FakeServer } from './world.js'

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
  readonly #random: SeededRandom
  #epoch = 1
  #shrunkStarts = 0

  readonly #incidents: readonly Incident[] = [
    [0.7, () => this.#submit()],
    [0.25, () => this.#resize()],
    [0.3, () => this.#world.listServers()],
    [0.15, () => { this.#anyServer().connectivity = this.#random.pick(CONNECTIVITIES) }],
    [0.3, () => this.#deliverDelayed(this.#anyServer())],
    [0.6, () => this.#endSome()],
    [0.2, () => { this.#anyServer().stopsSlowly = this.#random.chance(0.5) }],
    [0.4, () => this.#anyServer().finishStops()],
    [0.05, () => this.#cancel()],
    [0.03, () => this.#restart()],
    [0.02, () => this.#takeOver()]
  ]

  constructor (seed: number) {
    this.#random = new SeededRandom(seed)
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
    for (const [probability, happen] of this.#incidents) if (this.#random.chance(probability)) happen()
    const commands = this.#record.round(10 + this.#random.below(200))
    for (const command of commands) {
      if (command.type !== 'start') continue
      const server = this.#world.servers.find(({ entry }) => entry.id === command.server)!
      this.#incarnations.set(command, server.incarnation)
      if (server.capacity.accelerators < server.entry.capacity.accelerators) this.#shrunkStarts += 1
    }
    this.#world.now += 5
    this.#world.pollServers(this.#world.servers.filter(() => this.#random.chance(0.7)))
    if (this.#random.chance(0.8)) this.#world.planner.markStored(this.#world.planner.unstoredJobs)
  }

  #submit (): void {
    const id = `job${this.#jobs.length}`
    const isClaim = this.#random.chance(0.3)
    const overrides = { queue: isClaim ? 'urgent' : this.#random.pick(['long', 'bulk']), workspace: isClaim ? 'brno' : 'plzen', acceptedUnder: epoch(this.#epoch), acceptedAt: this.#world.wallTime }
    const count = 1 + this.#random.below(4)
    const accelerators = this.#random.below(isClaim ? Math.floor(8 / count) + 1 : 9)
    const specification = step({ count, accelerators, need: { processor: 1000 * this.#random.below(16), memory: 1000 * (1 + this.#random.below(16)), accelerators }, isGang: this.#random.chance(0.4), savesCheckpoints: this.#random.chance(0.5), wantsOneRack: this.#random.chance(0.2), fillsIdleProcessor: this.#random.chance(0.1), isLasting: this.#random.chance(0.05) })
    const added = job(id, { ...overrides, steps: [specification] })
    this.#jobs.push(added)
    this.#record.submit(added)
  }

  #resize (): void {
    this.#record.resize(this.#anyServer(), { processor: 8000 * this.#random.below(6), memory: 16_000 * this.#random.below(6), accelerators: this.#random.pick([0, 2, 4, 6, 8, 8, 12]) })
    this.#world.listServers()
  }

  #endSome (): void {
    const server = this.#anyServer()
    for (const task of [...server.running.keys()]) if (this.#random.chance(0.4)) server.end(task, this.#random.chance(0.9) ? 'done' : 'failed')
  }

  #cancel (): void {
    const cancelled = this.#jobs.at(-1 - this.#random.below(Math.min(20, this.#jobs.length)))
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
    if (this.#random.chance(0.5)) this.#record.resize(server, { accelerators: this.#random.pick([2, 4, 8]) })
  }

  /** A later owner loads all jobs but a few, whose records are lost. */
  #takeOver (): void {
    this.#epoch += 1
    const stored: StoredJob[] = []
    for (const each of this.#jobs) {
      const progress = this.#world.planner.progressOf(each.id)
      if (progress !== undefined && this.#random.chance(0.9)) stored.push({ job: each, isCancelled: this.#cancelled.has(each), progress })
    }
    this.#world.takeOver(this.#epoch, stored)
    this.#configure()
  }

  /** Backend servers accept every start. */
  #configure (): void {
    this.#world.planner.configure({ ...CONFIGURATION, pools: CONFIGURATION.pools.map(pool => ({ ...pool, enforcesCapacity: false })) })
  }

  #anyServer (): FakeServer {
    return this.#random.pick(this.#world.servers)
  }
}
