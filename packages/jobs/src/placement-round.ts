/** Places what waits, in the order of its worth. */
import { advisedRoom, askAdvice, ticketFor } from './advice.js'
import { addCapacity } from './capacity.js'
import { claimsOf } from './claims.js'
import type { AdviseCommand, StartCommand } from './command.js'
import { dueAt } from './job.js'
import type { JobState, StartUnit, StepState, TaskState } from './job-state.js'
import { acceleratorsOfJobs } from './lending.js'
import { CHEAP_RECLAIM, CLAIM_RACK_PATIENCE_MILLISECONDS, DATA_RACK_PATIENCE_MILLISECONDS, FAILURE_MEMORY_MILLISECONDS, IDLE_POOL_PATIENCE_MILLISECONDS, LEASE_MILLISECONDS, PREEMPTIONS_PER_ROUND, PREEMPTION_DELAY_MILLISECONDS, PREEMPTION_MARGIN, RECLAIM_PATIENCE_MILLISECONDS, RESERVED_GANGS } from './limits.js'
import { gainOf, inOrder, type Candidate } from './order.js'
import { placeAll, placeGang } from './placement.js'
import { planReclaim } from './reclaim.js'
import { stopRun } from './reports.js'
import { countedNeed, Room, type Place } from './room.js'
import { apartFromServing, futureOf, isMostlyIdle, roomOf } from './round-room.js'
import { remainingMilliseconds, runningGroups } from './running-groups.js'
import type { Run } from './server.js'
import type { PlannerState } from './state.js'
import { victimsOf } from './victims.js'

/** Times of a round. */
export interface RoundTimes {
  /** Steady clock, in milliseconds. */
  readonly now: number
  /** Milliseconds since 1970. */
  readonly wallTime: number
}

/**
 * One pass over what waits: places it in order, makes room for claims, and keeps room
 * for gangs.
 *
 * @example
 * new PlacementRound(state, { now, wallTime }, commands).place()
 */
export class PlacementRound {
  readonly #state: PlannerState
  readonly #times: RoundTimes
  readonly #commands: (StartCommand | AdviseCommand)[]
  /** What is free now, and what will be when everything that is being stopped has ended. */
  readonly #room: Room
  readonly #future: Room
  readonly #claims: ReadonlySet<JobState>
  readonly #isMostlyIdle: boolean
  /** Accelerators of all backend servers that may get work, free or not. */
  readonly #accelerators: number
  /** Accelerators that work without checkpoints may still take. */
  #unsavedLeft: number
  #reservedGangs = 0
  #preemptions = 0

  constructor (state: PlannerState, times: RoundTimes, commands: (StartCommand | AdviseCommand)[]) {
    this.#state = state
    this.#times = times
    this.#commands = commands
    this.#room = roomOf(state, times.now, server => server.free)
    this.#future = roomOf(state, times.now, futureOf)
    this.#claims = claimsOf(state)
    this.#isMostlyIdle = isMostlyIdle(this.#room)
    this.#accelerators = this.#room.places.reduce((sum, { server }) => sum + server.entry.capacity.accelerators, 0)
    this.#unsavedLeft = state.rules.has('keep-for-claims') ? this.#lendable() : Infinity
  }

  place (): void {
    const isSettled = this.#state.isSettled(this.#times.now)
    const candidates: Candidate[] = []
    for (const job of this.#state.jobs.values()) {
      if (!job.isOpen || (job.isInherited && !isSettled)) continue
      job.activate(this.#times.wallTime)
      const candidate = this.#candidate(job)
      if (candidate !== undefined) candidates.push(candidate)
    }
    for (const candidate of inOrder(candidates)) {
      for (const step of candidate.job.readySteps()) this.#placeStep(step, candidate)
    }
  }

  #candidate (job: JobState): Candidate | undefined {
    const queue = this.#state.queueOf(job)
    const steps = job.readySteps().filter(step => step.tasks.some(task => task.isWaiting))
    if (queue === undefined || steps.length === 0) return undefined
    const mean = this.#state.meanRun(queue.name)
    const expectedWork = steps.reduce((sum, step) => sum + step.specification.count * this.#state.shareOf(step.specification, job.job.pool), 0) * mean
    return {
      job,
      priority: queue.priority,
      isClaim: this.#claims.has(job),
      expectedWork,
      meanWork: this.#state.meanWork(queue.name),
      waitedMilliseconds: Math.max(0, this.#times.wallTime - Math.max(...steps.map(step => dueAt(job.job, step.occurrence)))),
      remainingMilliseconds: chainLength(job, step => !step.isDone) * mean,
      objectiveMilliseconds: queue.stretch * chainLength(job, () => true) * mean + queue.latencyMilliseconds
    }
  }

  #placeStep (step: StepState, candidate: Candidate): void {
    const unit = unitOf(step)
    if (unit === undefined) return
    for (const task of unit.tasks) task.readySince ??= this.#times.now
    if (step.specification.isGang) this.#placeTogether(unit, candidate)
    else this.#placeSingly(unit, candidate)
    if (this.#isAdvised(step) && step.tasks.some(task => task.isWaiting)) this.#askAdvice(step)
  }

  /** What is free or cheap to reclaim, less what claims are expected to need. */
  #lendable (): number {
    const expected = this.#state.claimDemand.observe(acceleratorsOfJobs(this.#claims), this.#state.guaranteed, this.#times.now)
    let available = 0
    for (const { server, free } of this.#room.places) {
      available += Math.max(0, free.accelerators)
      for (const run of server.runs.values()) {
        const step = this.#state.task(run.task)?.step
        if (step?.specification.savesCheckpoints === true && !this.#claims.has(step.job)) available += run.need.accelerators
      }
    }
    return available - expected
  }

  /** Takes from what may be lent to work without checkpoints; false if there isn't as much. */
  #lend (unit: StartUnit, { isClaim }: Candidate): boolean {
    const { savesCheckpoints, need } = unit.step.specification
    const accelerators = unit.tasks.length * need.accelerators
    if (isClaim || savesCheckpoints || accelerators === 0) return true
    // In an idle pool claims find room beside anything but a gang that takes more than what isn't guaranteed.
    const isInTheWay = accelerators > this.#accelerators - this.#state.guaranteed && this.#isPatient(unit.tasks[0]!)
    return accelerators <= this.#unsavedLeft || (this.#isMostlyIdle && !isInTheWay)
  }

  #placeTogether (unit: StartUnit, candidate: Candidate): void {
    const { step } = unit
    const mayBorrow = this.#lend(unit, candidate)
    const places = mayBorrow ? placeGang(this.#roomFor(step), step, this.#isPatientFor(unit, candidate)) : undefined
    if (places === undefined) {
      if (!this.#reclaim(unit, candidate) && !candidate.isClaim) this.#reserve(unit)
      return
    }
    const run = this.#state.nextRun()
    unit.tasks.forEach((task, index) => this.#start(task, places[index]!, run))
  }

  #placeSingly (unit: StartUnit, candidate: Candidate): void {
    const { step } = unit
    let blocked = 0
    for (const task of unit.tasks) {
      if (!this.#lend({ step, tasks: [task] }, candidate)) return
      const place = this.#placeOne(step, task)
      if (place === undefined) blocked += 1
      else this.#start(task, place, this.#state.nextRun())
      if (place === undefined && !candidate.isClaim) break
    }
    if (blocked > 0) this.#reclaim({ step, tasks: unit.tasks.filter(task => task.isWaiting) }, candidate)
  }

  #placeOne (step: StepState, task: TaskState): Place | undefined {
    const room = this.#roomFor(step)
    const { dataRack } = step.specification
    if (dataRack !== undefined) {
      const near = room.places.filter(place => place.server.entry.rack === dataRack)
      const place = placeAll(room, near, step, 1)?.[0]
      const isPatient = this.#waited(task) < DATA_RACK_PATIENCE_MILLISECONDS
      if (place !== undefined || (isPatient && near.length > 0)) return place
    }
    return placeAll(room, room.places, step, 1)?.[0]
  }

  #isAdvised (step: StepState): boolean {
    return this.#state.queueOf(step.job)?.advice !== undefined
  }

  #askAdvice (step: StepState): void {
    const command = askAdvice(step, this.#cautious(step), this.#times.now)
    if (command !== undefined) this.#commands.push(command)
  }

  #roomFor (step: StepState): Room {
    const room = apartFromServing(this.#cautious(step), step)
    return this.#isAdvised(step) ? advisedRoom(room, step, this.#times.now) : room
  }

  /** While most of the pool is idle, nothing is gained by waiting for a better place. */
  #isPatient (task: TaskState): boolean {
    return !this.#isMostlyIdle || this.#waited(task) < IDLE_POOL_PATIENCE_MILLISECONDS
  }

  /** Milliseconds for which a task has been ready to start. */
  #waited ({ readySince = this.#times.now }: TaskState): number {
    return this.#times.now - readySince
  }

  /** A claim waits for one rack only as long as its guarantee allows. */
  #isPatientFor ({ tasks }: StartUnit, { isClaim }: Candidate): boolean {
    return isClaim ? this.#waited(tasks[0]!) < CLAIM_RACK_PATIENCE_MILLISECONDS : this.#isPatient(tasks[0]!)
  }

  /** The room without places where a job with few attempts left might spend its last one. */
  #cautious (step: StepState): Room {
    const attempts = this.#state.queueOf(step.job)?.attempts ?? Infinity
    const failures = Math.max(...step.tasks.map(task => step.failuresOf(task)))
    if (attempts - failures > 2 || !this.#isPatient(step.tasks[0]!)) return this.#room
    const sound = this.#room.places.filter(({ server }) => server.failures === 0 || this.#times.now - server.lastFailureAt > FAILURE_MEMORY_MILLISECONDS)
    return new Room(sound)
  }

  #start (task: TaskState, place: Place, run: ReturnType<PlannerState['nextRun']>): void {
    const { server } = place
    const future = this.#future.placeOf(server.id)
    if (future !== undefined) this.#future.take(future, task.step)
    const started: Run = {
      task: task.name,
      run,
      server: server.id,
      need: countedNeed(task.step),
      state: 'ordered',
      orderedAt: this.#times.now,
      confirmedAt: Infinity,
      isStopConfirmed: false,
      stopConfirmedAt: Infinity,
      percent: 0,
      percentAt: this.#times.now,
      checkpoint: '',
      stopSentAt: -Infinity
    }
    if (!task.step.specification.savesCheckpoints && !this.#claims.has(task.step.job)) this.#unsavedLeft -= started.need.accelerators
    server.add(started)
    task.runs.add(started)
    task.readySince = undefined
    this.#commands.push({
      type: 'start',
      server: server.id,
      task: task.name,
      run,
      specification: task.step.job.job.specification,
      leaseUntil: server.extendLease(this.#times.now, LEASE_MILLISECONDS),
      checkpoint: task.checkpoint,
      ...(this.#isAdvised(task.step) ? { ticket: ticketFor(task.step, place, this.#times.now) } : {})
    })
  }

  /**
   * Keeps the places that are expected to be free first for a gang that waits, so that
   * the small work behind it doesn't take each of them as it gets free.
   */
  #reserve ({ step, tasks }: StartUnit): void {
    const isSpent = this.#reservedGangs === RESERVED_GANGS || !this.#state.rules.has('reserve-for-gangs')
    if (isSpent || this.#isAdvised(step)) return
    const groups = runningGroups(this.#state, () => true, (other, run) => remainingMilliseconds(this.#state, other, run, this.#times.now))
    const reservation = planReclaim(this.#future, step, tasks.length, groups, true)
    if (reservation === undefined) return
    this.#reservedGangs += 1
    this.#keep(reservation.places, step)
  }

  /** Takes places from everybody behind in the order. */
  #keep (places: readonly Place[], step: StepState): void {
    for (const { server } of places) {
      const place = this.#room.placeOf(server.id)
      const future = this.#future.placeOf(server.id)
      if (place !== undefined) this.#room.take(place, step)
      if (future !== undefined) this.#future.take(future, step)
    }
  }

  /**
   * Makes room for a claim, or for work that earns more than stopping others loses, and
   * keeps what is chosen from everybody behind it. False if nothing is kept.
   */
  #reclaim (unit: StartUnit, candidate: Candidate): boolean {
    const { step, tasks } = unit
    if (!candidate.isClaim && !this.#mayPreempt(step, candidate)) return false
    const reclaim = planReclaim(this.#future, step, tasks.length, victimsOf(this.#state, this.#claims, candidate, this.#times.now), this.#isPatientFor(unit, candidate))
    if (reclaim === undefined) return false
    const cost = reclaim.victims.reduce((sum, group) => sum + group.cost, 0)
    if (!candidate.isClaim && cost * PREEMPTION_MARGIN > gainOf(candidate, PREEMPTION_DELAY_MILLISECONDS)) return false
    const isPatient = this.#waited(tasks[0]!) < RECLAIM_PATIENCE_MILLISECONDS
    const victims = cost > CHEAP_RECLAIM && isPatient ? [] : reclaim.victims
    for (const group of victims) {
      for (const { run, need } of group.members) {
        stopRun(run, 'reclaimed')
        const place = this.#future.placeOf(run.server)
        if (place !== undefined) place.free = addCapacity(place.free, need)
      }
    }
    this.#keep(reclaim.places, step)
    return true
  }

  /** Where an outside service decides, the places that stops would free may not be allowed. */
  #mayPreempt (step: StepState, candidate: Candidate): boolean {
    const isSpent = this.#preemptions === PREEMPTIONS_PER_ROUND || !this.#state.rules.has('stop-by-worth')
    if (isSpent || this.#isAdvised(step) || gainOf(candidate, PREEMPTION_DELAY_MILLISECONDS) <= 0) return false
    this.#preemptions += 1
    return true
  }
}

/** The tasks of a step that start now: of a gang all or none. */
function unitOf (step: StepState): StartUnit | undefined {
  const waiting = step.tasks.filter(task => task.isWaiting)
  if (waiting.length === 0 || (step.specification.isGang && waiting.length < step.tasks.length)) return undefined
  return { step, tasks: waiting }
}

/** Steps in the longest chain, of those that count. */
function chainLength (job: JobState, counts: (step: StepState) => boolean): number {
  const lengths: number[] = []
  for (const step of job.steps.filter(step => step.occurrence === job.steps.at(-1)?.occurrence)) {
    const before = Math.max(0, ...step.specification.after.map(number => lengths[number] ?? 0))
    lengths.push(before + (counts(step) ? 1 : 0))
  }
  return Math.max(0, ...lengths)
}
