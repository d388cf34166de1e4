/**
 * Plays owners that follow each other on a clock of its own: backend servers are cut off and come back with their
 * runs, owners go on for a while after they were replaced, and answers of the store are lost or its writes late.
 * The backend servers note each start of a task that runs elsewhere.
 */
import { vmName, workspaceName } from '@cornelgauge/model'
import { ALL_SERVERS, configurationVersion, jobId, Planner, poolName, queueName, serverId, type Command, type Configuration, type Job, type ListedEnd, type ListedRun, type PollRequest, type ServerEntry, type ServerReport, type StartCommand, type StoredJob } from '@cornelgauge/jobs'
import { MemoryRowStore, type MemoryRowStoreView, type RowTransaction, type WriteOutcome } from '@cornelgauge/ports'
import { claimOwnership, NO_OWNER, type OwnerRecord } from '../src/owner-record.js'
import { earlierRunsOf, readServers, ServerRecord } from '../src/server-record.js'
import { ServerRecorder } from '../src/server-recorder.js'

const STEP_MILLISECONDS = 50
const POLL_MILLISECONDS = 300
const SERVERS = 6
/** An owner that is cut off from the store and its peers schedules for this long. */
const DISCONNECTED_MILLISECONDS = 2500
/** With the fault that ignores the record, an owner writes it for this long. */
const RECORDED_MILLISECONDS = 3000
const START_TIME = 1_700_000_000_000

const CONFIGURATION: Configuration = {
  version: configurationVersion(1),
  queues: [{ name: queueName('bulk'), host: 'jobs.example', prefix: '/bulk/', pool: poolName('pool'), priority: 1, attempts: 4, stretch: 2, latencyMilliseconds: 250, timeoutMilliseconds: 3000, isPublic: false }],
  pools: [{ name: poolName('pool'), maximumConnections: 64, enforcesCapacity: true, isStandby: false }],
  workspaces: [],
  limits: { headerBytes: 16_384, bodyBytes: 262_144, headerMilliseconds: 3000, idleMilliseconds: 15_000 }
}

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

/** A run with the time at which it is done. */
interface PlayedRun extends ListedRun {
  readonly doneAt: number
}

/** A backend server with leases on its own clock, which may be slow. */
class PlayedServer {
  readonly entry: ServerEntry
  readonly running = new Map<string, PlayedRun>()
  /** VMs that can't reach it. */
  cutFrom: ReadonlySet<string> = new Set()
  cutSince = Infinity
  cutUntil = -Infinity
  readonly #rate: number
  readonly #offset: number
  #highestEpoch = 0
  #leaseUntil = 0
  #ended: ListedEnd[] = []
  #endCount = 0

  constructor (index: number, random: Random) {
    this.#rate = random() < 0.5 ? 0.98 : 1
    this.#offset = Math.floor(100_000 * random())
    const labels = [`r1-${index}`]
    this.entry = { id: serverId(`server-${index}`), pool: poolName('pool'), address: `10.0.0.${index}:80`, failureDomain: 'north', capacity: { processor: 4000, memory: 64_000, accelerators: 4 }, labels, rack: labels[0]!, isDraining: false, incarnation: 1 }
  }

  #clock (now: number): number {
    return Math.floor(this.#offset + this.#rate * now)
  }

  /** Ends what is done, and everything once the lease has expired. */
  advance (now: number): void {
    const hasExpired = this.#clock(now) >= this.#leaseUntil
    for (const [key, run] of this.running) {
      if (run.doneAt <= now) this.#end(key, 'done')
      else if (hasExpired) this.#end(key, 'lapsed')
    }
  }

  #end (key: string, how: ListedEnd['how']): void {
    const { task, run } = this.running.get(key)!
    this.running.delete(key)
    this.#endCount += 1
    this.#ended.push({ position: this.#endCount, task, run, how, checkpoint: '' })
  }

  /** Answers a poll; undefined if a newer owner has been here. */
  poll (now: number, owner: number, { acknowledgedPosition, leaseUntil }: PollRequest): ServerReport | undefined {
    if (owner < this.#highestEpoch) return undefined
    this.#highestEpoch = owner
    if (leaseUntil !== undefined) this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(leaseUntil, this.#clock(now) + 10_000))
    this.#ended = this.#ended.filter(({ position }) => position > acknowledgedPosition)
    return { incarnation: 1, clock: this.#clock(now), running: [...this.running.values()], ended: this.#ended, hasMoreEnds: false, sentAt: now, receivedAt: now + 2 }
  }

  start (now: number, owner: number, { task, run, leaseUntil }: StartCommand, doneAt: number): 'started' | 'fenced' | 'late' {
    if (owner < this.#highestEpoch) return 'fenced'
    this.#highestEpoch = owner
    if (leaseUntil <= this.#clock(now)) return 'late'
    this.#leaseUntil = Math.max(this.#leaseUntil, leaseUntil)
    this.running.set(task, { task, run, checkpoint: '', percent: 0, doneAt })
    return 'started'
  }

  stop (owner: number, task: string): void {
    if (owner < this.#highestEpoch) return
    this.#highestEpoch = owner
    if (this.running.has(task)) this.#end(task, 'stopped')
  }
}

/** An owner from its claim until it notices that it was replaced. */
interface PlayedOwner {
  readonly vm: string
  readonly record: OwnerRecord
  readonly planner: Planner
  readonly recorder: ServerRecorder
  readonly startedAt: number
  /** It schedules until then. */
  endsAt: number
}

/** What a play has shown. */
export interface PlayResult {
  readonly starts: number
  /** Starts of tasks that ran elsewhere at that time. */
  readonly doubles: readonly string[]
  /** Backend servers whose stored bounds a new owner has relied on. */
  readonly trusted: number
  readonly owners: number
}

/** How the play differs from the code, to show that it finds a fault. */
export interface PlayFault {
  /** Backend servers that the record lists as unreached are used, and the record stays as it is. */
  readonly ignoresRecord?: boolean
  /** Backend servers are used before the first record of an owner is stored. */
  readonly usesBeforeRecord?: boolean
}

/** Shortest and longest time between two claims, in milliseconds. */
export type TenureRange = readonly [shortest: number, longest: number]

/**
 * Plays owners that follow each other.
 *
 * @example
 * const { doubles } = await new FollowingOwnersPlay(7).run(60_000)
 */
export class FollowingOwnersPlay {
  readonly #random: Random
  readonly #fault: PlayFault
  readonly #tenures: TenureRange
  readonly #rows = new MemoryRowStore(() => Math.floor(5_000_000 + this.#now))
  readonly #view: MemoryRowStoreView
  readonly #servers: readonly PlayedServer[]
  readonly #jobs = new Map<string, StoredJob>()
  readonly #lateWrites: { readonly at: number, readonly transaction: RowTransaction }[] = []
  readonly #doubles: string[] = []
  #now = 0
  #starts = 0
  #trusted = 0
  #owners: PlayedOwner[] = []
  #ownerCount = 0
  #isStoreAway = false

  constructor (seed: number, fault: PlayFault = {}, tenures: TenureRange = [500, 10_000]) {
    this.#random = seededRandom(seed)
    this.#fault = fault
    this.#tenures = tenures
    this.#view = this.#rows.view()
    this.#servers = Array.from({ length: SERVERS }, (_, index) => new PlayedServer(index, this.#random))
  }

  async run (milliseconds: number): Promise<PlayResult> {
    let nextOwnerAt = 0
    for (; this.#now < milliseconds; this.#now += STEP_MILLISECONDS) {
      for (const server of this.#servers) server.advance(this.#now)
      this.#cutServers()
      if (this.#random() < 0.02) this.#isStoreAway = this.#random() < 0.3
      this.#writeLate()
      if (this.#now >= nextOwnerAt) {
        await this.#changeOwner()
        nextOwnerAt = this.#now + this.#between(...this.#tenures)
      }
      this.#submitJob()
      this.#owners = this.#owners.filter(owner => this.#now < owner.endsAt)
      for (const owner of this.#owners) await this.#step(owner)
    }
    return { starts: this.#starts, doubles: this.#doubles, trusted: this.#trusted, owners: this.#ownerCount }
  }

  #between (low: number, high: number): number {
    return low + (high - low) * this.#random()
  }

  #cutServers (): void {
    for (const server of this.#servers) {
      if (this.#now >= server.cutUntil) {
        server.cutFrom = new Set()
        server.cutSince = Infinity
      }
      if (server.cutFrom.size > 0 || this.#random() > 0.004) continue
      server.cutFrom = new Set([['vm-0', 'vm-1', 'vm-2'], ['vm-0', 'vm-1'], ['vm-2'], ['vm-1']][Math.floor(4 * this.#random())])
      server.cutSince = this.#now
      server.cutUntil = this.#now + this.#between(300, 14_000)
    }
  }

  /** The registry drops a backend server after a while without reports. */
  #entries (): ServerEntry[] {
    return this.#servers.filter(({ cutSince, cutFrom }) => cutFrom.size < 3 || this.#now - cutSince < 4500).map(({ entry }) => entry)
  }

  #writeLate (): void {
    for (const write of this.#lateWrites.splice(0)) {
      if (write.at <= this.#now) this.#rows.apply(write.transaction)
      else this.#lateWrites.push(write)
    }
  }

  /** Writes for the recorder; the answer may be lost, and the write carried out at once, late or never. */
  async #write (transaction: RowTransaction): Promise<WriteOutcome> {
    if (this.#isStoreAway) throw new Error('The store is away')
    const chance = this.#random()
    if (chance < 0.1) this.#lateWrites.push({ at: this.#now + this.#between(0, 3000), transaction })
    if (chance < 0.2) throw new Error('No answer')
    const outcome = this.#rows.apply(transaction)
    if (chance < 0.3) throw new Error('The answer was lost')
    return outcome
  }

  async #changeOwner (): Promise<void> {
    const last = this.#owners.at(-1)
    if (last !== undefined) last.endsAt = this.#now + (this.#random() < 0.7 ? DISCONNECTED_MILLISECONDS : 0)
    const vm = `vm-${this.#ownerCount % 3}`
    this.#ownerCount += 1
    const known = this.#ownerCount === 1 ? NO_OWNER : last?.record ?? NO_OWNER
    const record = await claimOwnership(this.#view, known, { vm: vmName(vm), address: '10.0.0.1:7000' })
    const stored = { ...await readServers(this.#view), clock: { milliseconds: Math.floor(5_000_000 + this.#now), sentAt: this.#now - this.#between(0, 50), receivedAt: this.#now } }
    const planner = new Planner(record.epoch, [...this.#jobs.values()], { now: this.#now, wallTime: START_TIME + this.#now })
    const bounds = earlierRunsOf(stored, record)
    this.#trusted += [...bounds.values()].filter(({ until }) => until < Infinity).length
    planner.inheritServers(stored.ids, bounds)
    planner.configure(CONFIGURATION)
    if (this.#fault.ignoresRecord === true) planner.holdServers = () => {}
    const hold = planner.holdServers.bind(planner)
    if (this.#fault.usesBeforeRecord === true) planner.holdServers = ids => hold(ids === ALL_SERVERS ? new Set() : ids)
    const write = async (transaction: RowTransaction): Promise<WriteOutcome> => await this.#write(transaction)
    const store = Object.assign(this.#rows.view(), { write })
    const recorder = new ServerRecorder({
      planner,
      record: new ServerRecord(store, record, stored),
      tryStoreCall: async call => await call().then(() => true, () => false),
      onReleased: () => {},
      signal: new AbortController().signal,
      now: () => this.#now
    })
    this.#owners.push({ vm, record, planner, recorder, startedAt: this.#now, endsAt: Infinity })
  }

  #submitJob (): void {
    const owner = this.#owners.at(-1)
    if (owner === undefined || this.#random() > 0.05) return
    const job: Job = {
      id: jobId(`job-${this.#jobs.size}`),
      queue: queueName('bulk'),
      pool: poolName('pool'),
      workspace: workspaceName('brno'),
      specification: 'work',
      acceptedAt: START_TIME + this.#now,
      acceptedUnder: owner.record.epoch,
      steps: [{ count: 2, need: { processor: 1000, memory: 1000, accelerators: 1 }, estimateMilliseconds: 0, after: [], savesCheckpoints: true, isGang: false, wantsOneRack: false, allowsCopies: false, isLasting: false, fillsIdleProcessor: false }]
    }
    this.#jobs.set(job.id, { job, isCancelled: false })
    owner.planner.submit(job)
  }

  async #step (owner: PlayedOwner): Promise<void> {
    const { planner, startedAt } = owner
    const isCurrent = owner === this.#owners.at(-1)
    // An owner that was replaced without notice is cut off from the store, and from the registry in it.
    if (isCurrent && (this.#now - startedAt) % (5 * STEP_MILLISECONDS) === 0) planner.updateServers(this.#entries(), this.#now)
    if ((this.#now - startedAt) % POLL_MILLISECONDS === 0) for (const server of this.#servers) this.#poll(owner, server)
    if ((this.#now - startedAt) % (5 * STEP_MILLISECONDS) === 0 || this.#servers.some(({ entry }) => planner.isWaitingForRecord(entry.id))) await this.#record(owner)
    for (const command of planner.decide({ now: this.#now, wallTime: START_TIME + this.#now })) this.#perform(owner, command)
    planner.drainEvents()
    if (!isCurrent || this.#isStoreAway) return
    for (const id of planner.unstoredJobs.keys()) this.#jobs.set(id, { ...this.#jobs.get(id)!, progress: planner.progressOf(id)! })
    planner.markStored(planner.unstoredJobs)
  }

  async #record ({ recorder, startedAt }: PlayedOwner): Promise<void> {
    if (this.#fault.ignoresRecord === true && this.#now - startedAt > RECORDED_MILLISECONDS) return
    await recorder.update()
  }

  #poll ({ planner, vm }: PlayedOwner, server: PlayedServer): void {
    const { id } = server.entry
    const request = planner.pollRequest(id, this.#now)
    if (request === undefined) return
    const report = server.cutFrom.has(vm) ? undefined : server.poll(this.#now, planner.epoch, request)
    if (report === undefined || this.#random() < 0.05) planner.recordMissedPoll(id)
    else planner.applyReport(id, report, START_TIME + this.#now)
  }

  #perform ({ planner, vm }: PlayedOwner, command: Command): void {
    if (command.type === 'advise') return
    const server = this.#servers.find(({ entry }) => entry.id === command.server)!
    const isCut = server.cutFrom.has(vm)
    const isLost = isCut || this.#random() < 0.05
    if (command.type === 'stop') {
      if (!isCut) server.stop(planner.epoch, command.task)
      planner.applyStopOutcome(command.server, command.task, command.run, isLost ? 'unanswered' : 'stopped', this.#now)
      return
    }
    const outcome = isCut ? 'unanswered' : server.start(this.#now, planner.epoch, command, this.#now + this.#between(1000, 25_000))
    if (outcome === 'started') this.#noteStart(server, command)
    planner.applyStartOutcome(command.server, command.task, command.run, isLost ? 'unanswered' : outcome, this.#now)
  }

  #noteStart (server: PlayedServer, { task, run }: StartCommand): void {
    this.#starts += 1
    for (const other of this.#servers) {
      const found = other.running.get(task)
      if (other !== server && found !== undefined) this.#doubles.push(`${this.#now} ms: ${task} run ${run} on ${server.entry.id} beside run ${found.run} on ${other.entry.id}`)
    }
  }
}
