/** One incarnation of a simulated backend server, and the gangs whose members run on several of them. */
import { runNumber, type ListedEnd, type ListedRun, type RunEnd, type ServerId, type TaskName } from '../src/index.js'
import type { NamedProcess, RunOracle } from './run-oracle.js'
import type { SeededRandom, VirtualTime } from './virtual-time.js'

const LONGEST_LEASE_MILLISECONDS = 10_000
const LONGEST_STOP_MILLISECONDS = 300
/** How long a member of a gang waits for the others. */
const GANG_WAIT_MILLISECONDS = 3000
const LONGEST_BREAK_MILLISECONDS = 400

/** A call as it is sent. */
export type Call = { readonly server: ServerId, readonly token: number } & (
  | { readonly type: 'poll', readonly position: number, readonly leaseUntil?: number | undefined, readonly waitMilliseconds: number }
  | { readonly type: 'start', readonly task: TaskName, readonly run: number, readonly leaseUntil: number }
  | { readonly type: 'stop', readonly task: TaskName, readonly run: number }
)

/** An answer: 200, 409 with a reason, or 421 of another server. */
export interface Answer {
  readonly status: 200 | 409 | 421
  readonly reason?: 'fence' | 'old' | 'late' | 'room'
  readonly incarnation: number
  readonly clock: number
  readonly running: readonly ListedRun[]
  readonly ended: readonly ListedEnd[]
}

type Reply = (answer: Answer) => void

/** What a task does. */
export interface Work {
  readonly milliseconds: number
  /** Tasks of its gang; 0 if it is none. */
  readonly members: number
  readonly accelerators: number
}

interface ExecutingTask {
  readonly process: BackendProcess
  readonly task: TaskName
  readonly run: number
  readonly work: Work
  /** Infinity while a gang waits for members. */
  workingSince: number
  isStopping: boolean
}

/** What all processes of a play share. */
export interface ProcessContext {
  readonly time: VirtualTime
  readonly random: SeededRandom
  readonly oracle: RunOracle
  readonly workOf: (task: string) => Work
  /** Starts are rejected for which there is no room. */
  readonly enforcesCapacity: boolean
  /** Ends that a report lists at most. */
  readonly mostListedEnds: number
  /** Members of gangs by step and run number. */
  readonly gangs: Map<string, Set<ExecutingTask>>
}

/** A process, with what it knows: nothing of any earlier one. */
export class BackendProcess implements NamedProcess {
  readonly server: ServerId
  readonly incarnation: number
  isUp = true
  readonly #context: ProcessContext
  readonly #accelerators: number
  readonly #bornAt: number
  readonly #clockAtStart: number
  readonly #clockRate: number
  #highestToken = 0
  #leaseUntil = 0
  #ends: ListedEnd[] = []
  #endCount = 0
  readonly #runs = new Set<ExecutingTask>()
  readonly #rejectedUpTo = new Map<string, number>()
  readonly #waitingPolls = new Set<() => void>()

  readonly #handlers: { readonly [Type in Call['type']]: (call: Extract<Call, { readonly type: Type }>, reply: Reply) => void } = {
    poll: (call, reply) => this.#poll(call, reply),
    start: (call, reply) => reply(this.#start(call)),
    stop: (call, reply) => reply(this.#stop(call))
  }

  constructor (context: ProcessContext, { server, incarnation, accelerators, clock, clockRate }: { readonly server: ServerId, readonly incarnation: number, readonly accelerators: number, readonly clock: number, readonly clockRate: number }) {
    this.#context = context
    this.server = server
    this.incarnation = incarnation
    this.#accelerators = accelerators
    this.#bornAt = context.time.now
    this.#clockAtStart = clock
    this.#clockRate = clockRate
  }

  get name (): string {
    return `${this.server}@${this.incarnation}`
  }

  get clock (): number {
    return Math.floor(this.#clockAtStart + (this.#context.time.now - this.#bornAt) * this.#clockRate)
  }

  get running (): readonly { readonly task: TaskName, readonly run: number }[] {
    return [...this.#runs]
  }

  /** Carries out a call; a process that has ended doesn't. */
  handle (call: Call, reply: Reply): void {
    if (!this.isUp) return
    if (call.server !== this.server) return reply(this.#answer(421))
    if (call.token < this.#highestToken) return reply(this.#answer(409, 'fence'))
    this.#highestToken = call.token
    const handler = this.#handlers[call.type] as (call: Call, reply: Reply) => void
    handler(call, reply)
  }

  crash (): void {
    this.isUp = false
    for (const run of [...this.#runs]) {
      this.#runs.delete(run)
      this.#context.oracle.noteEnded(this, run.task, run.run, 'crashed')
      this.#leaveGang(run)
    }
  }

  #answer (status: Answer['status'], reason?: Answer['reason']): Answer {
    const running = [...this.#runs].map(run => ({ task: run.task, run: runNumber(run.run), checkpoint: '', percent: this.#percentOf(run) }))
    return { status, ...(reason === undefined ? {} : { reason }), incarnation: this.incarnation, clock: this.clock, running, ended: this.#ends.slice(0, this.#context.mostListedEnds) }
  }

  #percentOf ({ workingSince, work }: ExecutingTask): number {
    return Math.max(0, Math.min(99, Math.floor(100 * (this.#context.time.now - workingSince) / work.milliseconds)))
  }

  #poll ({ position, leaseUntil, waitMilliseconds }: Extract<Call, { type: 'poll' }>, reply: Reply): void {
    for (const end of this.#ends) if (end.position <= position) this.#context.oracle.noteAcknowledged(this, end.task, end.position)
    this.#ends = this.#ends.filter(end => end.position > position)
    if (leaseUntil !== undefined) this.#extendLease(leaseUntil)
    const answer = (): void => {
      if (!this.isUp || !this.#waitingPolls.delete(answer)) return
      reply(this.#answer(200))
    }
    this.#waitingPolls.add(answer)
    if (this.#ends.length > 0) answer()
    else this.#context.time.after(waitMilliseconds, answer)
  }

  #start ({ task, run, leaseUntil }: Extract<Call, { type: 'start' }>): Answer {
    if (leaseUntil <= this.clock) return this.#answer(409, 'late')
    this.#extendLease(leaseUntil)
    if (this.#find(task, run) !== undefined) return this.#answer(200)
    if (run <= (this.#rejectedUpTo.get(task) ?? 0)) return this.#answer(409, 'old')
    const work = this.#context.workOf(task)
    const used = [...this.#runs].reduce((sum, each) => sum + each.work.accelerators, 0)
    const hasRoom = used + work.accelerators <= this.#accelerators
    if (!hasRoom && this.#context.enforcesCapacity) return this.#answer(409, 'room')
    if (!hasRoom) this.#context.oracle.noteOverload(this, task, run)
    const executing: ExecutingTask = { process: this, task, run, work, workingSince: Infinity, isStopping: false }
    this.#runs.add(executing)
    this.#context.oracle.noteBegun(this, task, run)
    if (work.members === 0) this.#beginWork(executing)
    else this.#joinGang(executing)
    return this.#answer(200)
  }

  #stop ({ task, run }: Extract<Call, { type: 'stop' }>): Answer {
    this.#rejectedUpTo.set(task, Math.max(run, this.#rejectedUpTo.get(task) ?? 0))
    const executing = this.#find(task, run)
    if (executing !== undefined && !executing.isStopping) {
      executing.isStopping = true
      this.#context.time.after(this.#context.random.between(0, LONGEST_STOP_MILLISECONDS), () => this.#end(executing, 'stopped'))
    }
    return this.#answer(200)
  }

  #find (task: string, run: number): ExecutingTask | undefined {
    return [...this.#runs].find(each => each.task === task && each.run === run)
  }

  #extendLease (until: number): void {
    const extended = Math.min(until, this.clock + LONGEST_LEASE_MILLISECONDS)
    if (extended <= this.#leaseUntil) return
    this.#leaseUntil = extended
    this.#context.time.after((extended - this.clock) / this.#clockRate + 1, () => this.#lapse(extended))
  }

  #lapse (until: number): void {
    if (!this.isUp || this.#leaseUntil !== until) return
    this.#context.oracle.noteLapsed(this)
    for (const run of [...this.#runs]) this.#end(run, 'lapsed')
  }

  #beginWork (executing: ExecutingTask): void {
    executing.workingSince = this.#context.time.now
    this.#context.time.after(executing.work.milliseconds, () => this.#end(executing, 'done'))
  }

  #end (executing: ExecutingTask, how: RunEnd): void {
    if (!this.isUp || !this.#runs.delete(executing)) return
    const { task, run } = executing
    this.#rejectedUpTo.set(task, Math.max(run, this.#rejectedUpTo.get(task) ?? 0))
    this.#endCount += 1
    this.#ends.push({ position: this.#endCount, task, run: runNumber(run), how, checkpoint: '' })
    this.#context.oracle.noteEnded(this, task, run, how, this.#endCount)
    if (how !== 'done') this.#leaveGang(executing)
    for (const answer of this.#waitingPolls) answer()
  }

  #gangOf ({ task, run, work }: ExecutingTask): Set<ExecutingTask> {
    const key = `${task.slice(0, task.lastIndexOf('.'))}#${run}`
    const members = work.members === 0 ? new Set<ExecutingTask>() : this.#context.gangs.get(key) ?? new Set<ExecutingTask>()
    this.#context.gangs.set(key, members)
    return members
  }

  #joinGang (executing: ExecutingTask): void {
    const members = this.#gangOf(executing)
    members.add(executing)
    this.#context.time.after(GANG_WAIT_MILLISECONDS, () => { if (executing.workingSince === Infinity) this.#end(executing, 'alone') })
    if (members.size < executing.work.members) return
    for (const member of members) member.process.#beginWork(member)
  }

  #leaveGang (executing: ExecutingTask): void {
    const members = this.#gangOf(executing)
    if (!members.delete(executing)) return
    for (const member of members) this.#context.time.after(this.#context.random.between(10, LONGEST_BREAK_MILLISECONDS), () => member.process.#end(member, 'broken'))
  }
}
