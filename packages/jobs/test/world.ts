/** In-memory backend servers and a planner that controls them, on a clock that tests advance. */
import { epoch, workspaceName } from '@cornelgauge/model'
import { configurationVersion, jobId, Planner, poolName, queueName, serverId, type AdviseCommand, type Capacity, type Command, type Configuration, type Job, type ListedEnd, type ListedRun, type Queue, type RunEnd, type ServerEntry, type ServerId, type ServerReport, type StartCommand, type StartOutcome, type StepSpecification, type StopCommand, type StoredJob } from '../src/index.js'

const START_TIME = 1_700_000_000_000
/** Clock of the in-memory backend servers, ahead of the world's. */
export const SERVER_CLOCK_OFFSET_MILLISECONDS = 100_000

/** A step of one task with one accelerator; overrides change it. */
export function step (overrides: Partial<StepSpecification> & { accelerators?: number } = {}): StepSpecification {
  const { accelerators = 1, ...rest } = overrides
  return {
    count: 1,
    need: { processor: 1000, memory: 1000, accelerators },
    estimateMilliseconds: 1000,
    after: [],
    savesCheckpoints: false,
    isGang: false,
    wantsOneRack: false,
    allowsCopies: false,
    isLasting: false,
    fillsIdleProcessor: false,
    ...rest
  }
}

const queue = (name: string, priority: number, attempts: number): Queue => ({
  name: queueName(name),
  host: 'jobs.example',
  prefix: `/${name}/`,
  pool: poolName('pool'),
  priority,
  attempts,
  stretch: 2,
  latencyMilliseconds: 250,
  timeoutMilliseconds: 3000,
  isPublic: false
})

/** Queues `urgent`, `long`, `bulk` and `advised`; workspaces `brno` with 8 guaranteed accelerators, and `plzen` with none. */
export const CONFIGURATION: Configuration = {
  version: configurationVersion(1),
  queues: [queue('urgent', 0, 2), queue('long', 1, 4), queue('bulk', 2, 4), { ...queue('advised', 2, 4), advice: { decisionMilliseconds: 20, perServerMilliseconds: 5, validMilliseconds: 3000 } }],
  pools: [{ name: poolName('pool'), maximumConnections: 64, enforcesCapacity: true, isStandby: false }],
  workspaces: [
    { name: workspaceName('brno'), keys: ['brno-key'], guaranteedAccelerators: 8 },
    { name: workspaceName('plzen'), keys: ['plzen-key'], guaranteedAccelerators: 0 }
  ],
  limits: { headerBytes: 16_384, bodyBytes: 262_144, headerMilliseconds: 3000, idleMilliseconds: 15_000 }
}

/** A job of one step; overrides change it. */
export function job (id: string, overrides: Partial<Omit<Job, 'id' | 'queue' | 'workspace'>> & { queue?: string, workspace?: string } = {}): Job {
  const { queue: name = 'bulk', workspace = 'plzen', ...rest } = overrides
  return {
    id: jobId(id),
    queue: queueName(name),
    pool: poolName('pool'),
    workspace: workspaceName(workspace),
    specification: `work of ${id}`,
    steps: [step()],
    acceptedAt: START_TIME,
    acceptedUnder: epoch(1),
    ...rest
  }
}

/** How a backend server responds to calls; a delayed start isn't answered and has not arrived yet. */
export type Connectivity = 'answers' | 'silent' | 'loses-start-answers' | 'delays-starts'

/** When a task crashes its backend server: before the start is answered, after, or so many milliseconds later. */
export type CrashTime = 'before-answer' | 'after-answer' | number

/** An in-memory backend server. */
export class FakeServer {
  readonly entry: ServerEntry
  connectivity: Connectivity = 'answers'
  incarnation = 1
  highestEpoch = 0
  readonly running = new Map<string, ListedRun>()
  ended: ListedEnd[] = []
  /** Ends that it lists at most in one report. */
  mostListedEnds = Infinity
  /** Starts that have not arrived yet. */
  readonly delayed: StartCommand[] = []
  /** When it is reachable again after a crash, on the world's clock. */
  backAt = Infinity
  /** Capacity in its registry entry from the next listing on. */
  capacity: Capacity
  /** A stopped run ends only in `finishStops`. */
  stopsSlowly = false
  /** When the leases of all its runs expire, on its clock. */
  leaseUntil = 0
  /** Called when a start has begun a run. */
  onRunStarted: (command: StartCommand) => void = () => {}
  #endCount = 0
  readonly #stopped = new Map<string, number>()
  readonly #stopping = new Set<string>()
  readonly #startTimes = new Map<string, number>()

  constructor (entry: ServerEntry) {
    this.entry = entry
    this.capacity = entry.capacity
  }

  start (command: StartCommand): void {
    const { task, run } = command
    this.leaseUntil = Math.max(this.leaseUntil, command.leaseUntil)
    if (run <= (this.#stopped.get(task) ?? 0)) return
    this.running.set(task, { task, run, checkpoint: '', percent: 0 })
    this.onRunStarted(command)
  }

  stop ({ task, run }: StopCommand): void {
    this.#stopped.set(task, Math.max(run, this.#stopped.get(task) ?? 0))
    if (this.running.get(task)?.run !== run) return
    if (this.stopsSlowly) this.#stopping.add(task)
    else this.end(task, 'stopped')
  }

  /** Ends the runs whose stop was received. */
  finishStops (): void {
    for (const task of this.#stopping) if (this.running.has(task)) this.end(task, 'stopped')
    this.#stopping.clear()
  }

  end (task: string, how: RunEnd): void {
    const run = this.running.get(task)
    if (run === undefined) throw new Error(`${task} is not running here`)
    this.running.delete(task)
    this.#endCount += 1
    this.ended.push({ position: this.#endCount, task: run.task, run: run.run, how, checkpoint: '' })
  }

  /** Ends all runs once their leases have expired. */
  expireLeases (clock: number): void {
    if (clock > this.leaseUntil) for (const task of [...this.running.keys()]) this.end(task, 'lapsed')
  }

  /** Simulates a crash and a restart under the same id. */
  restart (): void {
    this.incarnation += 1
    this.leaseUntil = 0
    this.running.clear()
    this.#stopped.clear()
    this.ended = []
    this.#endCount = 0
  }

  /** Simulates a crash after which it is unreachable for some time. */
  crash (backAt: number): void {
    this.restart()
    this.connectivity = 'silent'
    this.backAt = backAt
  }

  /** Is reachable again once the time after its crash has passed. */
  recover (now: number): void {
    if (now < this.backAt) return
    this.connectivity = 'answers'
    this.backAt = Infinity
  }

  /** Returns when a run was first seen here. */
  startedAt (task: string, run: number, now: number): number {
    const known = this.#startTimes.get(`${task}#${run}`)
    if (known === undefined) this.#startTimes.set(`${task}#${run}`, now)
    return known ?? now
  }
}

/** A planner with its backend servers. */
export class World {
  now = 1000
  /** How far the time of day has been set, in milliseconds. */
  wallClockOffset = 0
  planner: Planner
  readonly servers: FakeServer[]
  /** Every start command. */
  readonly starts: StartCommand[] = []
  readonly stops: StopCommand[] = []
  readonly adviceRequests: AdviseCommand[] = []
  /** The store accepts writes. */
  isStoreAvailable = true
  /** A backend server answers polls that are meant for a silent one at its address. */
  answersForOthers = false
  /** Tasks that crash each backend server that starts them. */
  readonly deadlyTasks = new Map<string, CrashTime>()
  /** How long a crashed backend server is unreachable. */
  crashMilliseconds = 3000
  /** Crashes by tasks so far. */
  crashes = 0
  /** When calls are sent, and when their outcomes arrive: at once, unless a test delays them. */
  schedule: (step: () => void) => void = step => step()
  /** Runs that crash their backend servers later. */
  #crashesDue: { readonly start: StartCommand, readonly at: number }[] = []

  constructor (servers: number, options: { readonly accelerators?: number, readonly stored?: readonly StoredJob[], readonly epoch?: number, readonly perRack?: number, readonly failureDomains?: readonly string[] } = {}) {
    const { accelerators = 8, perRack = 8, failureDomains = ['north'] } = options
    this.servers = Array.from({ length: servers }, (_, index) => new FakeServer({
      id: serverId(`server-${index}`),
      pool: poolName('pool'),
      address: `10.0.0.${index}:80`,
      failureDomain: failureDomains[index % failureDomains.length]!,
      capacity: { processor: 32_000, memory: 64_000, accelerators },
      labels: [`r1-${Math.floor(index / perRack)}`],
      rack: `r1-${Math.floor(index / perRack)}`,
      isDraining: false,
      incarnation: 1
    }))
    this.planner = this.#createPlanner(options.epoch ?? 1, options.stored ?? [])
  }

  get wallTime (): number {
    return START_TIME + this.wallClockOffset + this.now
  }

  /** Registry entries of all backend servers. */
  get entries (): ServerEntry[] {
    return this.servers.map(server => ({ ...server.entry, capacity: server.capacity, incarnation: server.incarnation }))
  }

  /** Replaces the planner by one of a later owner, with the given stored jobs. */
  takeOver (number: number, stored: readonly StoredJob[]): void {
    this.planner = this.#createPlanner(number, stored)
  }

  listServers (entries = this.entries): void {
    this.planner.updateServers(entries, this.now)
  }

  /** Polls the given backend servers. */
  pollServers (servers: readonly FakeServer[] = this.servers): void {
    for (const server of servers) {
      const report = this.poll(server)
      if (report !== undefined) this.planner.applyReport(server.entry.id, report, this.wallTime)
    }
  }

  /** Polls a backend server; its report isn't applied. */
  poll (server: FakeServer): ServerReport | undefined {
    server.recover(this.now)
    const request = this.planner.pollRequest(server.entry.id, this.now)
    if (request === undefined) return undefined
    if (server.connectivity === 'silent') {
      this.planner.recordMissedPoll(server.entry.id, request.incarnation)
      const { id, address } = server.entry
      if (this.answersForOthers && this.servers.some(({ entry, connectivity }) => entry.address === address && connectivity !== 'silent')) this.planner.recordReplacement(id, address, this.now)
      return undefined
    }
    server.highestEpoch = Math.max(server.highestEpoch, this.planner.epoch)
    // No other incarnation gets the position or the lease.
    if (request.incarnation === server.incarnation) {
      server.ended = server.ended.filter(end => end.position > request.acknowledgedPosition)
      server.leaseUntil = Math.max(server.leaseUntil, request.leaseUntil ?? 0)
    }
    return { incarnation: server.incarnation, clock: SERVER_CLOCK_OFFSET_MILLISECONDS + this.now, running: [...server.running.values()], ended: server.ended.slice(0, server.mostListedEnds), hasMoreEnds: server.ended.length >= server.mostListedEnds, sentAt: this.now, receivedAt: this.now + 1 }
  }

  /** Advances the clock, runs a round and executes its commands. */
  round (milliseconds = 10): readonly Command[] {
    this.now += milliseconds
    const commands = this.planner.decide({ now: this.now, wallTime: this.wallTime })
    for (const command of commands) this.#perform(command)
    return commands
  }

  /** Repeats a round, a poll of all backend servers and a write to the store. */
  settle (times = 3): void {
    for (let time = 0; time < times; time += 1) {
      this.round()
      this.#crashDue()
      this.now += 10
      this.pollServers()
      if (this.isStoreAvailable) this.planner.markStored(this.planner.unstoredJobs)
    }
  }

  /** Returns the backend server that runs a task. */
  serverRunning (task: string): FakeServer | undefined {
    return this.servers.find(server => server.running.has(task))
  }

  #createPlanner (number: number, stored: readonly StoredJob[]): Planner {
    const planner = new Planner(epoch(number), stored, { now: this.now, wallTime: this.wallTime })
    planner.configure(CONFIGURATION)
    planner.updateServers(this.entries, this.now)
    return planner
  }

  #perform (command: Command): void {
    if (command.type === 'advise') {
      this.adviceRequests.push(command)
    } else if (command.type === 'start') {
      this.starts.push(command)
      this.schedule(() => this.#start(command))
    } else {
      this.stops.push(command)
      this.schedule(() => this.#stop(command))
    }
  }

  #start (command: StartCommand): void {
    const { planner } = this
    const { server: id, task, run } = command
    const apply = (outcome: StartOutcome): void => this.schedule(() => planner.applyStartOutcome(id, task, run, outcome, this.now))
    if (!planner.isStartDue(command)) {
      apply('unsent')
      return
    }
    const server = this.#server(id)
    if (server.connectivity !== 'silent' && server.incarnation !== command.incarnation) {
      apply('other-life')
      return
    }
    if (server.connectivity === 'delays-starts') server.delayed.push(command)
    else if (server.connectivity !== 'silent') server.start(command)
    this.#crashBy(command, 'before-answer')
    apply(server.connectivity === 'answers' ? 'started' : 'unanswered')
    this.#crashBy(command, 'after-answer')
  }

  #stop (command: StopCommand): void {
    const { planner } = this
    const server = this.#server(command.server)
    const isAnswered = server.connectivity !== 'silent' && server.incarnation === command.incarnation
    if (isAnswered) server.stop(command)
    this.schedule(() => planner.applyStopOutcome(command, isAnswered ? 'stopped' : 'unanswered', this.now))
  }

  /** Crashes the backend server of a start if its task does that at this time. */
  #crashBy (start: StartCommand, time: CrashTime): void {
    const { server: id, task } = start
    const server = this.#server(id)
    const delay = this.deadlyTasks.get(task)
    if (typeof delay === 'number' && time === 'after-answer') this.#crashesDue.push({ start, at: this.now + delay })
    if (this.deadlyTasks.get(task) !== time || !server.running.has(task)) return
    server.crash(this.now + this.crashMilliseconds)
    this.crashes += 1
  }

  /** Crashes the backend servers of the runs that are old enough, unless these have ended. */
  #crashDue (): void {
    const due = this.#crashesDue.filter(({ at }) => at <= this.now)
    this.#crashesDue = this.#crashesDue.filter(({ at }) => at > this.now)
    for (const { start: { server: id, task, run } } of due) {
      const server = this.#server(id)
      if (server.running.get(task)?.run !== run) continue
      server.crash(this.now + this.crashMilliseconds)
      this.crashes += 1
    }
  }

  #server (id: ServerId): FakeServer {
    return this.servers.find(server => server.entry.id === id)!
  }
}
