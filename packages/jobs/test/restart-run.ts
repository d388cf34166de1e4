/** A seeded random run of a pool whose backend servers restart, drain and are cut off, and whose owners change. */
import { epoch } from '@cornelgauge/model'
import { RUNS_PER_EPOCH, type Job, type ServerEntry, type StartCommand, type StepSpecification, type StoredJob } from '../src/index.js'
import { DelayedCalls } from './delayed-calls.js'
import { SeededRandom } from './seeded-random.js'
import { CONFIGURATION, job, SERVER_CLOCK_OFFSET_MILLISECONDS, step, World, type Connectivity, type FakeServer } from './world.js'

const CONNECTIVITIES: readonly Connectivity[] = ['answers', 'answers', 'answers', 'loses-start-answers', 'delays-starts']
const MOST_JOBS = 60
const LASTING_JOBS = 4

/** Something that happens in a step, with its probability. */
type Incident = readonly [probability: number, happen: () => void]

/**
 * A run; each step has some incidents, a round and the polls. Calls, outcomes and some reports arrive later. Backend servers don't
 * guard their capacity; they forget, in a crash, the starts that have not arrived.
 *
 * @example
 * const run = new RestartRun(7919)
 * run.step()
 */
export class RestartRun {
  readonly world = new World(6, { perRack: 3 })
  /** What must not happen. */
  readonly problems: string[] = []
  readonly #jobs = new Map<string, Job>()
  readonly #random: SeededRandom
  readonly #calls: DelayedCalls
  readonly #reports: DelayedCalls
  /** Incarnation in which a delayed start was sent. */
  readonly #incarnations = new Map<StartCommand, number>()
  readonly #reachableAt = new Map<FakeServer, number>()
  #earlierEntries: readonly ServerEntry[] = []
  #epoch = 1

  readonly #incidents: readonly Incident[] = [
    [0.25, () => this.#submit()],
    [0.25, () => this.world.listServers()],
    [0.05, () => { this.#earlierEntries = this.world.entries }],
    [0.05, () => { if (this.#earlierEntries.length > 0) this.world.listServers([...this.#earlierEntries]) }],
    [0.03, () => this.#drain()],
    [0.1, () => this.#changeConnectivity()],
    [0.03, () => this.#cut(this.#anyServer())],
    [0.3, () => this.#deliverDelayed(this.#anyServer())],
    [0.5, () => this.#endSome(this.#anyServer())],
    [0.1, () => { this.#anyServer().stopsSlowly = this.#random.chance(0.5) }],
    [0.4, () => this.#anyServer().finishStops()],
    [0.08, () => this.#restart(this.#anyServer())],
    [0.2, () => this.#pollLate(this.#anyServer())],
    [0.01, () => this.#takeOver()]
  ]

  constructor (seed: number) {
    this.#random = new SeededRandom(seed)
    this.#calls = new DelayedCalls(() => this.#random.chance(0.5) ? 0 : this.#random.below(12))
    this.#reports = new DelayedCalls(() => 1 + this.#random.below(30))
    this.world.schedule = call => this.#calls.add(call)
    for (const server of this.world.servers) server.onRunStarted = command => this.#check(server, command)
    this.#configure()
    this.world.pollServers()
  }

  /** A step, with incidents unless it is calm. */
  step (isCalm = false): void {
    this.#calls.advance()
    this.#reports.advance()
    if (!isCalm) for (const [probability, happen] of this.#incidents) if (this.#random.chance(probability)) happen()
    for (const [server, at] of this.#reachableAt) if (at <= this.world.now) this.#reconnect(server)
    for (const server of this.world.servers) server.expireLeases(SERVER_CLOCK_OFFSET_MILLISECONDS + this.world.now)
    const commands = this.world.round(10 + this.#random.below(60))
    for (const command of commands) if (command.type === 'start') this.#incarnations.set(command, command.incarnation)
    this.world.now += 5
    this.world.pollServers(this.world.servers.filter(() => this.#random.chance(0.7)))
    if (this.#random.chance(0.8)) this.world.planner.markStored(this.world.planner.unstoredJobs)
  }

  /** Lets all work end that doesn't last, and compares what the planner knows with what runs. */
  settle (): void {
    for (const server of this.world.servers) {
      server.capacity = server.entry.capacity
      server.stopsSlowly = false
      server.finishStops()
      server.delayed.length = 0
      this.#reconnect(server)
    }
    for (let round = 0; round < 1500; round += 1) {
      if (round % 10 === 0) this.world.listServers()
      this.step(true)
      if (round < 1200 && this.#random.chance(0.2)) for (const server of this.world.servers) this.#endSome(server)
    }
    this.#checkRest()
  }

  /** A run that has begun is the only one of its task, and fits. */
  #check (server: FakeServer, { task, run }: StartCommand): void {
    const others = this.world.servers.filter(other => other !== server && other.running.has(task))
    for (const { entry } of others) this.problems.push(`run ${run} of ${task} begins on ${server.entry.id} at ${this.world.now}, beside one on ${entry.id}`)
    const used = [...server.running.keys()].reduce((sum, name) => sum + this.#stepOf(name).need.accelerators, 0)
    if (used > server.capacity.accelerators) this.problems.push(`run ${run} of ${task} begins on ${server.entry.id} at ${this.world.now}, which then uses ${used} of ${server.capacity.accelerators}`)
  }

  #checkRest (): void {
    const { runs, runsUnresolved, serversUsable } = this.world.planner.load
    const running = this.world.servers.flatMap(server => [...server.running.keys()])
    if (runs !== running.length || runsUnresolved > 0 || serversUsable < this.world.servers.length) this.problems.push(`${running.length} runs, known ${runs}, unresolved ${runsUnresolved}, usable backend servers ${serversUsable}`)
    for (const { id, steps: [only] } of this.#jobs.values()) {
      const isRunning = this.world.planner.phaseOf(id) === 'running'
      if (isRunning !== only!.isLasting) this.problems.push(`${id} is ${this.world.planner.phaseOf(id)}`)
      if (only!.isLasting && running.filter(task => task.startsWith(`${id}.`)).length !== only!.count) this.problems.push(`${id} doesn't run once`)
    }
  }

  #submit (): void {
    if (this.#jobs.size === MOST_JOBS) return
    const added = job(`job${this.#jobs.size}`, { ...this.#tenancy(), acceptedUnder: epoch(this.#epoch), acceptedAt: this.world.wallTime })
    this.#jobs.set(added.id, added)
    this.world.planner.submit(added)
  }

  #tenancy (): Parameters<typeof job>[1] {
    if (this.#jobs.size < LASTING_JOBS) return { queue: 'long', steps: [step({ isLasting: true })] }
    const isClaim = this.#random.chance(0.3)
    const count = 1 + this.#random.below(4)
    const accelerators = 1 + this.#random.below(isClaim ? Math.floor(8 / count) : 4)
    const specification = step({ count, accelerators, isGang: this.#random.chance(0.5), savesCheckpoints: this.#random.chance(0.5), wantsOneRack: this.#random.chance(0.2) })
    return { queue: isClaim ? 'urgent' : 'long', workspace: isClaim ? 'brno' : 'plzen', steps: [specification] }
  }

  /** Its entry says that it drains, or that its earlier incarnation did. */
  #drain (): void {
    const { entry: { id }, incarnation } = this.#anyServer()
    const changes = { incarnation: incarnation - this.#random.below(2), isDraining: true, remainingMilliseconds: this.#random.pick([500, 3000]) }
    this.world.listServers(this.world.entries.map(entry => entry.id === id ? { ...entry, ...changes } : entry))
  }

  #changeConnectivity (): void {
    const server = this.#anyServer()
    if (server.connectivity !== 'silent') server.connectivity = this.#random.pick(CONNECTIVITIES)
  }

  #cut (server: FakeServer): void {
    server.connectivity = 'silent'
    this.#reachableAt.set(server, this.world.now + this.#random.below(9000))
  }

  #reconnect (server: FakeServer): void {
    server.connectivity = 'answers'
    this.#reachableAt.delete(server)
  }

  /** Ends some runs; the members of a gang together. */
  #endSome (server: FakeServer): void {
    for (const [task, { run }] of [...server.running]) {
      if (!server.running.has(task) || !this.#random.chance(0.2)) continue
      const how = this.#random.chance(0.95) ? 'done' : 'failed'
      server.end(task, how)
      if (!this.#stepOf(task).isGang) continue
      for (const each of this.world.servers) {
        for (const member of [...each.running.values()]) if (member.run === run) each.end(member.task, how === 'done' ? 'done' : 'broken')
      }
    }
  }

  /** Delayed starts arrive, unless a newer owner has polled the backend server, it has crashed or their lease has ended. */
  #deliverDelayed (server: FakeServer): void {
    for (const command of server.delayed.splice(0)) {
      const isFenced = Math.floor(command.run / RUNS_PER_EPOCH) < server.highestEpoch
      const isLate = command.leaseUntil < SERVER_CLOCK_OFFSET_MILLISECONDS + this.world.now
      if (!isFenced && !isLate && this.#incarnations.get(command) === server.incarnation) server.start(command)
    }
  }

  /** The new incarnation may be of another size and unreachable for a while, and the registry may show it first. */
  #restart (server: FakeServer): void {
    if (this.#random.chance(0.5)) this.world.planner.recordMissedPoll(server.entry.id, server.incarnation)
    server.restart()
    server.highestEpoch = 0
    if (this.#random.chance(0.3)) server.capacity = { ...server.capacity, accelerators: this.#random.pick([4, 8]) }
    if (this.#random.chance(0.3)) this.world.listServers()
    if (this.#random.chance(0.3)) this.#cut(server)
  }

  /** A poll is answered beside the others, and its report is applied later. */
  #pollLate (server: FakeServer): void {
    const { planner } = this.world
    const report = this.world.poll(server)
    if (report !== undefined) this.#reports.add(() => planner.applyReport(server.entry.id, report, this.world.wallTime))
  }

  #takeOver (): void {
    this.#epoch += 1
    const stored: StoredJob[] = []
    for (const each of this.#jobs.values()) {
      const progress = this.world.planner.progressOf(each.id)
      if (progress !== undefined) stored.push({ job: each, isCancelled: false, progress })
    }
    this.#calls.clear()
    this.#reports.clear()
    this.world.takeOver(this.#epoch, stored)
    this.#configure()
  }

  /** No job fails, and backend servers accept every start. */
  #configure (): void {
    const queues = CONFIGURATION.queues.map(queue => ({ ...queue, attempts: 1000 }))
    this.world.planner.configure({ ...CONFIGURATION, queues, pools: CONFIGURATION.pools.map(pool => ({ ...pool, enforcesCapacity: false })) })
  }

  #stepOf (task: string): StepSpecification {
    return this.#jobs.get(task.split('.')[0]!)!.steps[0]!
  }

  #anyServer (): FakeServer {
    return this.#random.pick(this.world.servers)
  }
}
