/** Backend servers in memory and a planner that drives them, on a clock that tests move. */
import { epoch, workspaceName } from '@cornelgauge/model'
import { configurationVersion, jobId, Planner, poolName, queueName, serverId, type AdviseCommand, type Command, type Configuration, type Job, type ListedEnd, type ListedRun, type Queue, type RunEnd, type ServerEntry, type ServerId, type StartCommand, type StepSpecification, type StopCommand, type StoredJob } from '../src/index.js'

const EVERY_START = 1_700_000_000_000

/** A step of single tasks with one accelerator each, unless told otherwise. */
export function step (given: Partial<StepSpecification> & { accelerators?: number } = {}): StepSpecification {
  const { accelerators = 1, ...rest } = given
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

/** Queues `urgent`, `long`, `bulk` and `advised`; workspaces `brno` with a guarantee of 8, and `plzen` with none. */
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

/** A job of one step, unless told otherwise. */
export function job (id: string, given: Partial<Omit<Job, 'id' | 'queue' | 'workspace'>> & { queue?: string, workspace?: string } = {}): Job {
  const { queue: name = 'bulk', workspace = 'plzen', ...rest } = given
  return {
    id: jobId(id),
    queue: queueName(name),
    pool: poolName('pool'),
    workspace: workspaceName(workspace),
    specification: `work of ${id}`,
    steps: [step()],
    acceptedAt: EVERY_START,
    acceptedUnder: epoch(1),
    ...rest
  }
}

/** How a backend server treats calls. */
export type Reach = 'answers' | 'silent' | 'loses-start-answers'

/** One backend server. */
export class FakeServer {
  readonly entry: ServerEntry
  reach: Reach = 'answers'
  life = 1
  token = 0
  readonly running = new Map<string, ListedRun>()
  ended: ListedEnd[] = []
  #ends = 0
  readonly #stopped = new Map<string, number>()

  constructor (entry: ServerEntry) {
    this.entry = entry
  }

  start ({ task, run }: StartCommand): void {
    if (run > (this.#stopped.get(task) ?? 0)) this.running.set(task, { task, run, checkpoint: '', percent: 0 })
  }

  stop ({ task, run }: StopCommand): void {
    this.#stopped.set(task, run)
    if (this.running.get(task)?.run === run) this.end(task, 'stopped')
  }

  end (task: string, how: RunEnd): void {
    const run = this.running.get(task)
    if (run === undefined) throw new Error(`${task} doesn't run here`)
    this.running.delete(task)
    this.#ends += 1
    this.ended.push({ position: this.#ends, task: run.task, run: run.run, how, checkpoint: '' })
  }

  /** Crashes and starts again under the same id. */
  restart (): void {
    this.life += 1
    this.running.clear()
    this.ended = []
    this.#ends = 0
  }
}

/** A planner with its backend servers. */
export class World {
  now = 1000
  planner: Planner
  readonly servers: readonly FakeServer[]
  /** Every start that was ordered. */
  readonly starts: StartCommand[] = []
  readonly stops: StopCommand[] = []
  readonly advice: AdviseCommand[] = []
  /** The store takes writes. */
  storeIsUp = true

  constructor (servers: number, options: { readonly accelerators?: number, readonly stored?: readonly StoredJob[], readonly epoch?: number, readonly perRack?: number } = {}) {
    const { accelerators = 8, perRack = 8 } = options
    this.servers = Array.from({ length: servers }, (_, index) => new FakeServer({
      id: serverId(`server-${index}`),
      pool: poolName('pool'),
      address: `10.0.0.${index}:80`,
      failureDomain: 'north',
      capacity: { processor: 32_000, memory: 64_000, accelerators },
      labels: [`r1-${Math.floor(index / perRack)}`],
      rack: `r1-${Math.floor(index / perRack)}`,
      isLeaving: false,
      life: 1
    }))
    this.planner = this.#plannerOf(options.epoch ?? 1, options.stored ?? [])
  }

  get wallTime (): number {
    return EVERY_START + this.now
  }

  /** Another owner takes over with what is stored. */
  takeOver (number: number, stored: readonly StoredJob[]): void {
    this.planner = this.#plannerOf(number, stored)
  }

  list (entries = this.servers.map(server => ({ ...server.entry, life: server.life }))): void {
    this.planner.list(entries, this.now)
  }

  /** Looks at all backend servers, or at those given. */
  look (servers: readonly FakeServer[] = this.servers): void {
    for (const server of servers) {
      const request = this.planner.lookRequest(server.entry.id, this.now)
      if (request === undefined) continue
      if (server.reach === 'silent') {
        this.planner.miss(server.entry.id)
        continue
      }
      server.token = Math.max(server.token, this.planner.epoch)
      server.ended = server.ended.filter(end => end.position > request.notedPosition)
      this.planner.hear(server.entry.id, { life: server.life, clock: 100_000 + this.now, running: [...server.running.values()], ended: [...server.ended], sentAt: this.now, receivedAt: this.now + 1 }, this.wallTime)
    }
  }

  /** Lets time pass, decides and performs. */
  round (milliseconds = 10): readonly Command[] {
    this.now += milliseconds
    const commands = this.planner.decide({ now: this.now, wallTime: this.wallTime })
    for (const command of commands) this.#perform(command)
    return commands
  }

  /** A round, a look and a store write; what a calm moment brings. */
  settle (times = 3): void {
    for (let time = 0; time < times; time += 1) {
      this.round()
      this.now += 10
      this.look()
      if (this.storeIsUp) this.planner.saved(this.planner.unsaved)
    }
  }

  /** The backend server that runs a task. */
  runs (task: string): FakeServer | undefined {
    return this.servers.find(server => server.running.has(task))
  }

  #plannerOf (number: number, stored: readonly StoredJob[]): Planner {
    const planner = new Planner(epoch(number), stored, { now: this.now, wallTime: this.wallTime })
    planner.configure(CONFIGURATION)
    planner.list(this.servers.map(server => ({ ...server.entry, life: server.life })), this.now)
    return planner
  }

  #perform (command: Command): void {
    if (command.type === 'advise') {
      this.advice.push(command)
      return
    }
    const server = this.#server(command.server)
    if (command.type === 'start') {
      this.starts.push(command)
      if (server.reach !== 'silent') server.start(command)
      this.planner.answerStart(command.server, command.task, command.run, server.reach === 'answers' ? 'started' : 'unanswered', this.now)
    } else if (command.type === 'stop') {
      this.stops.push(command)
      const isAnswered = server.reach !== 'silent'
      if (isAnswered) server.stop(command)
      this.planner.answerStop(command.server, command.task, command.run, isAnswered ? 'stopped' : 'unanswered', this.now)
    }
  }

  #server (id: ServerId): FakeServer {
    return this.servers.find(server => server.entry.id === id)!
  }
}
