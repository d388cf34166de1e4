/** Replays a load against a planner, with simulated backend servers. */
import { epoch } from '@cornelgauge/model'
import { parseTaskName, PLACEMENT_RULES, Planner, type Command, type PlacementRule, type RunEnd, type ServerId, type StartCommand, type StopCommand, type TaskAddress } from '@cornelgauge/jobs'
import { account, type Account, type JobOutcome } from './account.js'
import { SPREAD_FACTOR, type LoadPattern } from './pattern.js'
import { Random } from './random.js'
import { SimulatedServer, type SimulatedRun } from './simulated-server.js'
import { Timeline } from './timeline.js'
import { arrivalsOf, configurationOf, START_TIME, serversOf } from './workload.js'

/** One-way latency between a VM and a backend server, in milliseconds. */
const CALL_MILLISECONDS = 3
/** Duration of a write to the store, in milliseconds. */
const STORE_WRITE_MILLISECONDS = 12
/** Delay between an event and the next round, so that one round handles several events, and maximum time between rounds, in milliseconds. */
const ROUND_DELAY_MILLISECONDS = 4
const ROUND_INTERVAL_MILLISECONDS = 150
/** Interval of polls to a backend server on which no run ends, in milliseconds. */
const POLL_INTERVAL_MILLISECONDS = 1200
/** Time to restore a checkpoint before a run starts to work where the pattern gives none, in milliseconds. */
const RESTORE_MILLISECONDS = 600
/** How long the replay continues after the last arrival, to let late jobs end, in milliseconds. */
const DRAIN_MILLISECONDS = 240_000
/** Interval at which the believed speeds are compared with the simulated ones, in milliseconds. */
const SPEED_MEASUREMENT_MILLISECONDS = 5000
const CORES_PER_ACCELERATOR = 8

/**
 * Replays one seed of a pattern and computes the result.
 *
 * @example
 * const { total } = new Replay(ROTA, 7).play()
 */
export class Replay {
  readonly #pattern: LoadPattern
  readonly #random: Random
  readonly #timeline = new Timeline()
  readonly #servers: ReadonlyMap<ServerId, SimulatedServer>
  readonly #outcomes: ReadonlyMap<string, JobOutcome>
  readonly #planner: Planner
  /** Work saved in checkpoints, in milliseconds, by checkpoint. */
  readonly #savedWork = new Map<string, number>()
  readonly #speedErrors = new Map<number, number>()
  #isRoundDue = false
  #largestRound = 0

  constructor (pattern: LoadPattern, seed: number, rules: readonly PlacementRule[] = PLACEMENT_RULES) {
    this.#pattern = pattern
    this.#random = new Random(seed + 1_000_003)
    const entries = serversOf(pattern)
    this.#servers = new Map(entries.map((entry, index) => [entry.id, new SimulatedServer(entry, pattern.serverSlowness[index % pattern.serverSlowness.length]!)]))
    this.#outcomes = new Map(arrivalsOf(pattern, seed).map(arrival => [arrival.job.id, { arrival, wastedCoreSeconds: 0, stops: 0 }]))
    const { restoreMilliseconds, longestStopMilliseconds } = pattern
    this.#planner = new Planner(epoch(1), [], this.#times, rules, restoreMilliseconds === undefined ? {} : { restoreMilliseconds, stopMilliseconds: longestStopMilliseconds })
    this.#planner.configure(configurationOf(pattern))
    this.#planner.updateServers(entries, 0)
  }

  play (): Account {
    for (const server of this.#servers.values()) this.#schedulePolls(server)
    for (const outcome of this.#outcomes.values()) {
      const { arrivesAt, job, cancelAt } = outcome.arrival
      this.#timeline.schedule(arrivesAt, () => this.#notify(() => this.#planner.submit(job)))
      if (cancelAt !== undefined) this.#timeline.schedule(cancelAt, () => this.#cancel(outcome))
    }
    this.#scheduleRounds()
    for (let at = SPEED_MEASUREMENT_MILLISECONDS; at <= this.#pattern.lengthMilliseconds; at += SPEED_MEASUREMENT_MILLISECONDS) this.#timeline.schedule(at, () => this.#measureSpeeds())
    this.#timeline.run(this.#pattern.lengthMilliseconds + DRAIN_MILLISECONDS)
    return account(this.#pattern, [...this.#outcomes.values()])
  }

  /** Error of the believed speeds, by time: the root of the mean square of the logarithms' errors, over all backend servers. */
  get speedErrors (): ReadonlyMap<number, number> {
    return this.#speedErrors
  }

  #measureSpeeds (): void {
    const { serverSlowness } = this.#pattern
    const usual = [...serverSlowness].sort((left, right) => left - right)[Math.floor(serverSlowness.length / 2)]!
    let sum = 0
    for (const { entry, slowness } of this.#servers.values()) sum += ((this.#planner.speedOf(entry.id)?.logSlowness ?? 0) - Math.log(slowness / usual)) ** 2
    this.#speedErrors.set(this.#timeline.now, Math.sqrt(sum / this.#servers.size))
  }

  /** Highest number of examinations in one round. */
  get largestRound (): number {
    return this.#largestRound
  }

  get #times (): { now: number, wallTime: number } {
    return { now: this.#timeline.now, wallTime: START_TIME + this.#timeline.now }
  }

  get #restoreMilliseconds (): number {
    return this.#pattern.restoreMilliseconds ?? RESTORE_MILLISECONDS
  }

  get #isFinished (): boolean {
    return this.#timeline.now > this.#pattern.lengthMilliseconds && [...this.#outcomes.values()].every(outcome => outcome.endedAt !== undefined)
  }

  #cancel (outcome: JobOutcome): void {
    if (outcome.endedAt !== undefined) return
    outcome.isCancelled = true
    this.#notify(() => this.#planner.cancel(outcome.arrival.job.id, this.#times.wallTime))
  }

  /** Passes an event to the planner and schedules a round. */
  #notify (notify: () => void): void {
    notify()
    this.#recordEndedJobs()
    if (this.#planner.unstoredJobs.size > 0) {
      const changes = this.#planner.unstoredJobs
      this.#timeline.scheduleAfter(STORE_WRITE_MILLISECONDS, () => this.#planner.markStored(changes))
    }
    if (this.#isRoundDue) return
    this.#isRoundDue = true
    this.#timeline.scheduleAfter(ROUND_DELAY_MILLISECONDS, () => this.#round())
  }

  #recordEndedJobs (): void {
    for (const event of this.#planner.drainEvents()) {
      if (event.type !== 'job-ended') continue
      const outcome = this.#outcomes.get(event.job)
      if (outcome === undefined) continue
      outcome.endedAt ??= this.#timeline.now
      outcome.isFailed = event.phase === 'failed'
    }
  }

  #scheduleRounds (): void {
    this.#timeline.scheduleAfter(ROUND_INTERVAL_MILLISECONDS, () => {
      this.#notify(() => {})
      if (!this.#isFinished) this.#scheduleRounds()
    })
  }

  #round (): void {
    this.#isRoundDue = false
    const before = this.#planner.examinations
    const commands = this.#planner.decide(this.#times)
    this.#largestRound = Math.max(this.#largestRound, this.#planner.examinations - before)
    for (const command of commands) this.#timeline.scheduleAfter(CALL_MILLISECONDS, () => this.#perform(command))
  }

  #perform (command: Command): void {
    if (command.type === 'start') this.#start(command)
    else if (command.type === 'stop') this.#stop(command)
  }

  #start (command: StartCommand): void {
    const server = this.#servers.get(command.server)!
    const address = parseTaskName(command.task)!
    const run = this.#createRun(command, address, server)
    server.runs.set(command.task, run)
    this.#timeline.scheduleAfter(CALL_MILLISECONDS, () => this.#notify(() => this.#planner.applyStartOutcome(command.server, command.task, command.run, 'started', this.#timeline.now)))
    const outcome = this.#outcomes.get(address.job)!
    outcome.startedAt ??= this.#timeline.now
    const members = this.#membersOf(run, address)
    if (outcome.arrival.job.steps[address.step]!.isGang) this.#startGang(members, address)
    else this.#startWork(server, run, command.checkpoint === '' ? 0 : this.#restoreMilliseconds)
  }

  /** Returns the active runs of a gang with the same run number. */
  #membersOf (run: SimulatedRun, address: TaskAddress): readonly { readonly server: SimulatedServer, readonly run: SimulatedRun }[] {
    const prefix = `${address.job}.${address.occurrence}.${address.step}.`
    return [...this.#servers.values()].flatMap(server => [...server.runs.values()]
      .filter(other => other.run === run.run && other.task.startsWith(prefix))
      .map(other => ({ server, run: other })))
  }

  #startGang (members: readonly { readonly server: SimulatedServer, readonly run: SimulatedRun }[], address: TaskAddress): void {
    const step = this.#outcomes.get(address.job)!.arrival.job.steps[address.step]!
    if (members.length < step.count) return
    const isSpread = step.wantsOneRack && new Set(members.map(({ server }) => server.entry.rack)).size > 1
    const failing = members.filter(({ run }) => run.plannedEnd === 'failed')
    const memberMilliseconds = members.map(({ run }) => run.endsAfterWork * (isSpread ? SPREAD_FACTOR : 1))
    const milliseconds = failing.length > 0 ? Math.min(...failing.map(({ run }) => run.endsAfterWork)) : Math.max(...memberMilliseconds)
    const restore = members.some(({ run }) => run.savedWork > 0) ? this.#restoreMilliseconds : 0
    for (const { run } of members) run.workingSince = this.#timeline.now + restore
    this.#timeline.scheduleAfter(restore + milliseconds, () => {
      if (!members.every(({ server, run }) => server.runs.get(run.task) === run)) return
      for (const { server, run } of members) this.#end(server, run, failing.length === 0 ? 'done' : failing.some(each => each.run === run) ? 'failed' : 'broken')
    })
  }

  #startWork (server: SimulatedServer, run: SimulatedRun, restore: number): void {
    run.workingSince = this.#timeline.now + restore
    this.#timeline.scheduleAfter(restore + run.endsAfterWork, () => this.#end(server, run, run.plannedEnd))
  }

  #createRun ({ task, run, checkpoint }: StartCommand, address: TaskAddress, server: SimulatedServer): SimulatedRun {
    const { arrival } = this.#outcomes.get(address.job)!
    const step = arrival.job.steps[address.step]!
    const isOutsideDataRack = step.dataRack !== undefined && step.dataRack !== server.entry.rack
    const totalWork = arrival.runTimes[address.step]![address.index]! * server.slowness * (isOutsideDataRack ? SPREAD_FACTOR : 1)
    const savedWork = Math.min(totalWork, this.#savedWork.get(checkpoint) ?? 0)
    const isFailing = this.#random.chance(arrival.kind.failureShare / (step.isGang ? step.count : 1))
    const remainingWork = totalWork - savedWork
    return {
      task,
      run,
      savedWork,
      remainingWork,
      plannedEnd: isFailing ? 'failed' : 'done',
      endsAfterWork: isFailing ? remainingWork * this.#random.uniform() : remainingWork,
      workingSince: Infinity,
      coreEquivalents: step.need.processor / 1000 + CORES_PER_ACCELERATOR * step.need.accelerators
    }
  }

  #stop (command: StopCommand): void {
    const server = this.#servers.get(command.server)!
    const run = server.runs.get(command.task)
    this.#timeline.scheduleAfter(CALL_MILLISECONDS, () => this.#notify(() => this.#planner.applyStopOutcome(command, 'stopped', this.#timeline.now)))
    if (run?.run !== command.run) return
    this.#timeline.scheduleAfter(this.#random.uniform() * this.#pattern.longestStopMilliseconds, () => this.#end(server, run, 'stopped'))
  }

  #end (server: SimulatedServer, run: SimulatedRun, how: RunEnd): void {
    if (server.runs.get(run.task) !== run) return
    const address = parseTaskName(run.task)!
    const outcome = this.#outcomes.get(address.job)!
    const worked = Math.max(0, this.#timeline.now - run.workingSince)
    const isSaved = how === 'stopped' && outcome.arrival.job.steps[address.step]!.savesCheckpoints
    const checkpoint = isSaved ? `${run.task}#${run.run}` : ''
    if (isSaved) this.#savedWork.set(checkpoint, run.savedWork + worked)
    if (how !== 'done' && !isSaved && outcome.isCancelled !== true) outcome.wastedCoreSeconds += worked / 1000 * run.coreEquivalents
    if (how === 'stopped') outcome.stops += 1
    server.end(run, how, checkpoint)
    this.#timeline.scheduleAfter(CALL_MILLISECONDS, () => this.#poll(server))
  }

  #poll (server: SimulatedServer): void {
    const { id } = server.entry
    const request = this.#planner.pollRequest(id, this.#timeline.now)
    if (request === undefined) return
    const { now } = this.#timeline
    const report = { incarnation: 1, clock: 1_000_000 + now, running: server.listRunning(now), ended: server.acknowledgeEnded(request.acknowledgedPosition), hasMoreEnds: false, sentAt: now, receivedAt: now }
    this.#notify(() => this.#planner.applyReport(id, report, this.#times.wallTime))
  }

  #schedulePolls (server: SimulatedServer): void {
    this.#poll(server)
    if (!this.#isFinished) this.#timeline.scheduleAfter(POLL_INTERVAL_MILLISECONDS, () => this.#schedulePolls(server))
  }
}

/**
 * Replays one seed, with all placement rules or with those given.
 *
 * @example
 * replay(ROTA, 7).total
 */
export function replay (pattern: LoadPattern, seed: number, rules: readonly PlacementRule[] = PLACEMENT_RULES): Account {
  return new Replay(pattern, seed, rules).play()
}
