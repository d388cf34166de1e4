/** Plays a load against a planner, with backend servers in memory. */
import { epoch } from '@cornelgauge/model'
import { parseTaskName, PLACEMENT_RULES, Planner, type Command, type PlacementRule, type RunEnd, type ServerId, type StartCommand, type StopCommand, type TaskAddress } from '@cornelgauge/jobs'
import { account, type Account, type Course } from './account.js'
import { SPREAD_FACTOR, type LoadPattern } from './pattern.js'
import { Random } from './random.js'
import { SimulatedServer, type SimulatedRun } from './simulated-server.js'
import { Timeline } from './timeline.js'
import { arrivalsOf, configurationOf, EPOCH_START, serversOf } from './workload.js'

/** A call between a VM and a backend server, in milliseconds. */
const CALL_MILLISECONDS = 3
/** A write to the store, in milliseconds. */
const WRITE_MILLISECONDS = 12
/** Events that come within this time are decided on together, and rounds are held at least so often, in milliseconds. */
const ROUND_DELAY_MILLISECONDS = 4
const ROUND_INTERVAL_MILLISECONDS = 150
/** A busy backend server is looked at this often without an end, in milliseconds. */
const LOOK_MILLISECONDS = 1200
/** The longest that a stop takes, in milliseconds. */
const STOP_MILLISECONDS = 200
/** A run that goes on from a checkpoint starts to work after this, in milliseconds. */
const RESTORE_MILLISECONDS = 600
/** How long work that is late is still played after the last arrival, in milliseconds. */
const TAIL_MILLISECONDS = 240_000
const CORES_PER_ACCELERATOR = 8

/**
 * Plays one seed of a pattern, and accounts it.
 *
 * @example
 * const { total } = new Replay(ROTA, 7).play()
 */
export class Replay {
  readonly #pattern: LoadPattern
  readonly #random: Random
  readonly #timeline = new Timeline()
  readonly #servers: ReadonlyMap<ServerId, SimulatedServer>
  readonly #courses: ReadonlyMap<string, Course>
  readonly #planner: Planner
  /** Work that checkpoints hold, in milliseconds, by their text. */
  readonly #saved = new Map<string, number>()
  #isRoundDue = false

  constructor (pattern: LoadPattern, seed: number, rules: readonly PlacementRule[] = PLACEMENT_RULES) {
    this.#pattern = pattern
    this.#random = new Random(seed + 1_000_003)
    const entries = serversOf(pattern)
    this.#servers = new Map(entries.map((entry, index) => [entry.id, new SimulatedServer(entry, pattern.serverSlowness[index % pattern.serverSlowness.length]!)]))
    this.#courses = new Map(arrivalsOf(pattern, seed).map(arrival => [arrival.job.id, { arrival, wasted: 0, stops: 0 }]))
    this.#planner = new Planner(epoch(1), [], this.#times, rules)
    this.#planner.configure(configurationOf(pattern))
    this.#planner.list(entries, 0)
  }

  play (): Account {
    for (const server of this.#servers.values()) this.#lookRegularly(server)
    for (const course of this.#courses.values()) {
      const { at, job, cancelAt } = course.arrival
      this.#timeline.at(at, () => this.#tell(() => this.#planner.submit(job)))
      if (cancelAt !== undefined) this.#timeline.at(cancelAt, () => this.#cancel(course))
    }
    this.#roundRegularly()
    this.#timeline.run(this.#pattern.lengthMilliseconds + TAIL_MILLISECONDS)
    return account(this.#pattern, [...this.#courses.values()])
  }

  get #times (): { now: number, wallTime: number } {
    return { now: this.#timeline.now, wallTime: EPOCH_START + this.#timeline.now }
  }

  get #isOver (): boolean {
    return this.#timeline.now > this.#pattern.lengthMilliseconds && [...this.#courses.values()].every(course => course.endedAt !== undefined)
  }

  #cancel (course: Course): void {
    if (course.endedAt !== undefined) return
    course.isCancelled = true
    this.#tell(() => this.#planner.cancel(course.arrival.job.id, this.#times.wallTime))
  }

  /** Tells the planner something and has it decide soon. */
  #tell (tell: () => void): void {
    tell()
    this.#noteEnds()
    if (this.#planner.unsaved.size > 0) {
      const changes = this.#planner.unsaved
      this.#timeline.after(WRITE_MILLISECONDS, () => this.#planner.saved(changes))
    }
    if (this.#isRoundDue) return
    this.#isRoundDue = true
    this.#timeline.after(ROUND_DELAY_MILLISECONDS, () => this.#round())
  }

  #noteEnds (): void {
    for (const finding of this.#planner.takeFindings()) {
      if (finding.type !== 'job-ended') continue
      const course = this.#courses.get(finding.job)
      if (course === undefined) continue
      course.endedAt ??= this.#timeline.now
      course.isFailed = finding.phase === 'failed'
    }
  }

  #roundRegularly (): void {
    this.#timeline.after(ROUND_INTERVAL_MILLISECONDS, () => {
      this.#tell(() => {})
      if (!this.#isOver) this.#roundRegularly()
    })
  }

  #round (): void {
    this.#isRoundDue = false
    const commands = this.#planner.decide(this.#times)
    for (const command of commands) this.#timeline.after(CALL_MILLISECONDS, () => this.#perform(command))
  }

  #perform (command: Command): void {
    if (command.type === 'start') this.#start(command)
    else if (command.type === 'stop') this.#stop(command)
  }

  #start (command: StartCommand): void {
    const server = this.#servers.get(command.server)!
    const address = parseTaskName(command.task)!
    const run = this.#runOf(command, address, server)
    server.runs.set(command.task, run)
    this.#timeline.after(CALL_MILLISECONDS, () => this.#tell(() => this.#planner.answerStart(command.server, command.task, command.run, 'started', this.#timeline.now)))
    const course = this.#courses.get(address.job)!
    course.startedAt ??= this.#timeline.now
    const members = this.#membersOf(run, address)
    if (course.arrival.job.steps[address.step]!.isGang) this.#startGang(members, address)
    else this.#work(server, run, command.checkpoint === '' ? 0 : RESTORE_MILLISECONDS)
  }

  /** The runs of a gang that are there, under one run number. */
  #membersOf (run: SimulatedRun, address: TaskAddress): readonly { readonly server: SimulatedServer, readonly run: SimulatedRun }[] {
    const prefix = `${address.job}.${address.occurrence}.${address.step}.`
    return [...this.#servers.values()].flatMap(server => [...server.runs.values()]
      .filter(other => other.run === run.run && other.task.startsWith(prefix))
      .map(other => ({ server, run: other })))
  }

  #startGang (members: readonly { readonly server: SimulatedServer, readonly run: SimulatedRun }[], address: TaskAddress): void {
    const step = this.#courses.get(address.job)!.arrival.job.steps[address.step]!
    if (members.length < step.count) return
    const isSpread = step.wantsOneRack && new Set(members.map(({ server }) => server.entry.rack)).size > 1
    const failing = members.filter(({ run }) => run.ending === 'failed')
    const ends = members.map(({ run }) => run.endsAfter * (isSpread ? SPREAD_FACTOR : 1))
    const longest = failing.length > 0 ? Math.min(...failing.map(({ run }) => run.endsAfter)) : Math.max(...ends)
    const restore = members.some(({ run }) => run.savedBefore > 0) ? RESTORE_MILLISECONDS : 0
    for (const { run } of members) run.workingSince = this.#timeline.now + restore
    this.#timeline.after(restore + longest, () => {
      if (!members.every(({ server, run }) => server.runs.get(run.task) === run)) return
      for (const { server, run } of members) this.#end(server, run, failing.length === 0 ? 'done' : failing.some(each => each.run === run) ? 'failed' : 'broken')
    })
  }

  #work (server: SimulatedServer, run: SimulatedRun, restore: number): void {
    run.workingSince = this.#timeline.now + restore
    this.#timeline.after(restore + run.endsAfter, () => this.#end(server, run, run.ending))
  }

  #runOf ({ task, run, checkpoint }: StartCommand, address: TaskAddress, server: SimulatedServer): SimulatedRun {
    const { arrival } = this.#courses.get(address.job)!
    const step = arrival.job.steps[address.step]!
    const isFar = step.dataRack !== undefined && step.dataRack !== server.entry.rack
    const whole = arrival.work[address.step]![address.index]! * server.slowness * (isFar ? SPREAD_FACTOR : 1)
    const savedBefore = Math.min(whole, this.#saved.get(checkpoint) ?? 0)
    const isFailing = this.#random.chance(arrival.kind.failures / (step.isGang ? step.count : 1))
    const work = whole - savedBefore
    return {
      task,
      run,
      savedBefore,
      work,
      ending: isFailing ? 'failed' : 'done',
      endsAfter: isFailing ? work * this.#random.uniform() : work,
      workingSince: Infinity,
      coresUsed: step.need.processor / 1000 + CORES_PER_ACCELERATOR * step.need.accelerators
    }
  }

  #stop (command: StopCommand): void {
    const server = this.#servers.get(command.server)!
    const run = server.runs.get(command.task)
    this.#timeline.after(CALL_MILLISECONDS, () => this.#tell(() => this.#planner.answerStop(command.server, command.task, command.run, 'stopped', this.#timeline.now)))
    if (run?.run !== command.run) return
    this.#timeline.after(this.#random.uniform() * STOP_MILLISECONDS, () => this.#end(server, run, 'stopped'))
  }

  #end (server: SimulatedServer, run: SimulatedRun, how: RunEnd): void {
    if (server.runs.get(run.task) !== run) return
    const address = parseTaskName(run.task)!
    const course = this.#courses.get(address.job)!
    const worked = Math.max(0, this.#timeline.now - run.workingSince)
    const isSaved = how === 'stopped' && course.arrival.job.steps[address.step]!.savesCheckpoints
    const checkpoint = isSaved ? `${run.task}#${run.run}` : ''
    if (isSaved) this.#saved.set(checkpoint, run.savedBefore + worked)
    if (how !== 'done' && !isSaved && course.isCancelled !== true) course.wasted += worked / 1000 * run.coresUsed
    if (how === 'stopped') course.stops += 1
    server.end(run, how, checkpoint)
    this.#timeline.after(CALL_MILLISECONDS, () => this.#look(server))
  }

  #look (server: SimulatedServer): void {
    const { id } = server.entry
    const request = this.#planner.lookRequest(id, this.#timeline.now)
    if (request === undefined) return
    const { now } = this.#timeline
    const report = { life: 1, clock: 1_000_000 + now, running: server.listRunning(now), ended: server.listEnded(request.notedPosition), sentAt: now, receivedAt: now }
    this.#tell(() => this.#planner.hear(id, report, this.#times.wallTime))
  }

  #lookRegularly (server: SimulatedServer): void {
    this.#look(server)
    if (!this.#isOver) this.#timeline.after(LOOK_MILLISECONDS, () => this.#lookRegularly(server))
  }
}

/**
 * One replay of a seed, with all rules of the placement or with those given.
 *
 * @example
 * replay(ROTA, 7).total
 */
export function replay (pattern: LoadPattern, seed: number, rules: readonly PlacementRule[] = PLACEMENT_RULES): Account {
  return new Replay(pattern, seed, rules).play()
}
