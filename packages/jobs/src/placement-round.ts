/** Places waiting work in the order of its weight. */
import { requestAdvice, ticketFor } from './advice.js'
import { CallWindow } from './call-window.js'
import { claimsOf } from './claims.js'
import type { AdviseCommand, StartCommand } from './command.js'
import { EligibleTargets } from './eligible-targets.js'
import { Isolation } from './isolation.js'
import { dueAt } from './job.js'
import type { JobState } from './job-state.js'
import { acceleratorsOfJobs, lendableAccelerators } from './lending.js'
import { LEASE_MILLISECONDS, LEAST_STARTS_PER_ROUND, MAXIMUM_BLOCKED_TASKS, MAXIMUM_DATA_RACK_WAIT_MILLISECONDS, MAXIMUM_OVERLAPPING_STEPS, MAXIMUM_RECLAIMED_TASKS, MAXIMUM_START_EXAMINATIONS_PER_ROUND } from './limits.js'
import { chainLength, hasMoreWaiting, inPlacementOrder, type Candidate } from './order.js'
import { placeTasks, placeGang } from './placement.js'
import { ReclaimRound } from './reclaim-round.js'
import { RoundHolds } from './round-holds.js'
import type { CapacitySnapshot, PlacementTarget } from './capacity-snapshot.js'
import { mostGangMembers } from './gang-size.js'
import { isMostlyIdle, snapshotAfterStops, snapshotOf } from './round-snapshots.js'
import { toleranceOf, type SpeedRank } from './speed-preference.js'
import type { Run } from './server.js'
import type { PlannerState } from './state.js'
import { startUnitOf, unitOf, type StartUnit } from './start-unit.js'
import { startingRun } from './starting-run.js'
import type { StepState } from './step-state.js'
import type { TaskState } from './task-state.js'
import { Waits } from './waits.js'

/** Current times for a round. */
export interface RoundTimes {
  /** Monotonic clock, in milliseconds. */
  readonly now: number
  /** Milliseconds since 1970. */
  readonly wallTime: number
}

/**
 * One pass over the waiting work: places it in order, frees capacity for claims and for
 * late urgent work, and reserves capacity for gangs.
 *
 * @example
 * new PlacementRound(state, { now, wallTime }, commands).place()
 */
export class PlacementRound {
  readonly #state: PlannerState
  readonly #times: RoundTimes
  readonly #commands: (StartCommand | AdviseCommand)[]
  /** Free capacity now, and after all runs that are being stopped have ended. */
  readonly #current: CapacitySnapshot
  readonly #afterStops: CapacitySnapshot
  readonly #eligible: EligibleTargets
  readonly #holds: RoundHolds
  readonly #reclaims: ReclaimRound
  readonly #waits: Waits
  readonly #isolation: Isolation
  readonly #claims: ReadonlySet<JobState>
  readonly #isMostlyIdle: boolean
  /** Starts that are under way, without those of members of gangs. */
  readonly #starting: CallWindow
  /** Members of gangs whose starts are under way. */
  #startingMembers = 0
  /** Tasks that a step without a gang may start. */
  #mostStartsPerStep = Infinity
  /** Tasks that this round may still start, since each is placed among all backend servers. */
  #startsLeft: number
  /** Accelerators of all usable backend servers, free or not. */
  readonly #totalAccelerators: number
  /** Accelerators that work without checkpoints may still borrow. */
  #lendableAccelerators: number

  constructor (state: PlannerState, times: RoundTimes, commands: (StartCommand | AdviseCommand)[]) {
    this.#state = state
    this.#times = times
    this.#commands = commands
    this.#current = snapshotOf(state, times.now)
    this.#afterStops = snapshotAfterStops(this.#current)
    this.#claims = claimsOf(state)
    this.#isMostlyIdle = isMostlyIdle(this.#current)
    this.#waits = new Waits(state, times.now, this.#isMostlyIdle)
    this.#isolation = new Isolation(state, times.now, this.#waits)
    this.#eligible = new EligibleTargets(state, times.now, this.#current)
    this.#holds = new RoundHolds(state.holds, this.#current, this.#afterStops)
    this.#reclaims = new ReclaimRound({
      state,
      now: times.now,
      current: this.#current,
      afterStops: this.#afterStops,
      eligibleAfterStops: new EligibleTargets(state, times.now, this.#afterStops),
      claims: this.#claims,
      holds: this.#holds,
      waits: this.#waits,
      isolation: this.#isolation
    })
    this.#starting = new CallWindow(state.startLimit.value)
    for (const run of state.startsUnderWay()) this.#noteStarting(run)
    this.#startsLeft = Math.max(LEAST_STARTS_PER_ROUND, Math.floor(MAXIMUM_START_EXAMINATIONS_PER_ROUND / Math.max(1, this.#current.targets.length)))
    this.#totalAccelerators = this.#current.targets.reduce((sum, { server }) => sum + server.entry.capacity.accelerators, 0)
    this.#holds.take(({ job }) => this.#claims.has(job))
    this.#lendableAccelerators = state.rules.has('keep-for-claims') ? this.#countLendable() : Infinity
  }

  place (): void {
    this.#state.claimTurns.beginRound()
    this.#state.reservationTurns.beginRound()
    this.#state.placementTurns.beginRound()
    const unknownEpochs = this.#state.recovery.unknownEpochs(this.#times.now)
    const candidates: Candidate[] = []
    let room = MAXIMUM_OVERLAPPING_STEPS
    for (const { overlappingSteps } of this.#state.openJobs) room -= overlappingSteps
    for (const job of this.#state.openJobs) {
      this.#state.work.add(1)
      const { overlappingSteps } = job
      job.activate(this.#times.wallTime, Math.max(0, room))
      room -= job.overlappingSteps - overlappingSteps
      if (this.#state.isRecovering(job, unknownEpochs) || this.#state.isRefused(job.job.id)) continue
      const candidate = this.#candidate(job)
      if (candidate !== undefined) candidates.push(candidate)
    }
    const ordered = inPlacementOrder(candidates)
    // In an idle pool each job without a run gets one start first, so that none waits for the starts of another.
    if (this.#isMostlyIdle && hasMoreWaiting(ordered, this.#mostStarts)) {
      // One start is enough. More would have the progress of all jobs stored in each round.
      this.#mostStartsPerStep = 1
      this.#placeJobs(ordered.filter(({ job }) => !job.hasRuns))
      this.#mostStartsPerStep = Infinity
    }
    this.#state.placementTurns.endRound(this.#placeJobs(ordered))
  }

  #noteStarting ({ server, step }: Run): void {
    if (step?.specification.isGang === true) this.#startingMembers += 1
    else this.#starting.add(server)
  }

  /** True if a gang that claims no capacity may start beside the members that are under way: a single one in any case, since its members need each other. */
  #hasRoomForMembers ({ count }: StartUnit): boolean {
    return this.#startingMembers === 0 || this.#startingMembers + count <= this.#state.startLimit.value
  }

  /** Tasks that may be started now; a gang may exceed it. */
  get #mostStarts (): number {
    return Math.min(this.#startsLeft, this.#starting.room)
  }

  /** True while each job without a run gets its first start; only claims have others stopped before the second pass, so that it starts nothing in their place. */
  get #isFirstPass (): boolean {
    return this.#mostStartsPerStep < Infinity
  }

  /** False if no more tasks may be started before all candidates had their turn. */
  #placeJobs (candidates: readonly Candidate[]): boolean {
    return candidates.every(candidate => {
      if (this.#mostStarts <= 0) return false
      // Claims come first, and may use what is held for others.
      if (!candidate.isClaim) this.#holds.take(() => true)
      this.#placeJob(candidate)
      return true
    })
  }

  #candidate (job: JobState): Candidate | undefined {
    const terms = this.#state.termsOf(job)
    const steps = job.waitingSteps()
    if (terms === undefined || steps.length === 0) return undefined
    const { queue } = job.job
    const mean = this.#state.meanRunTime(queue)
    const expected = steps.reduce((sum, step) => sum + (this.#state.speeds.expectedMilliseconds(step, this.#state, this.#times.now) ?? mean), 0) / steps.length
    const expectedWork = steps.reduce((sum, step) => sum + step.specification.count * this.#state.shareOf(step.specification, job.job.pool), 0) * mean
    return {
      job,
      priority: terms.priority,
      isClaim: this.#claims.has(job),
      expectedWork,
      meanWork: this.#state.meanWork(queue),
      waitedMilliseconds: Math.max(0, this.#times.wallTime - Math.max(...steps.map(step => dueAt(job.job, step.occurrence)))),
      remainingMilliseconds: chainLength(job, step => !step.isDone) * expected,
      objectiveMilliseconds: terms.stretch * chainLength(job, () => true) * expected + terms.latencyMilliseconds
    }
  }

  /** Places the ready steps of a job; once a step has found no capacity, not the same step of later occurrences, unless they claim it. */
  #placeJob (candidate: Candidate): void {
    const blocked = new Set<number>()
    for (const step of candidate.job.waitingSteps()) {
      if (blocked.has(step.number)) continue
      this.#placeStep(step, candidate)
      const mayFitLater = candidate.isClaim || step.specification.mostPerServer !== undefined
      if (!mayFitLater && step.hasWaiting) blocked.add(step.number)
    }
  }

  #placeStep (step: StepState, candidate: Candidate): void {
    const unit = startUnitOf(step)
    if (unit === undefined) return
    step.noteReady(this.#times.now)
    this.#holds.open(step)
    if (step.specification.isGang) this.#placeGang(unit, candidate)
    else this.#placeSingleTasks(unit, candidate)
    this.#holds.close(step)
    if (this.#eligible.isAdvised(step) && step.hasWaiting) this.#requestAdvice(unit, candidate)
  }

  /** Accelerators that are free or cheap to reclaim, minus the expected demand of claims. */
  #countLendable (): number {
    const expected = this.#state.claimDemand.observe(acceleratorsOfJobs(this.#claims), this.#state.guaranteedAccelerators, this.#times.now)
    return lendableAccelerators(this.#current.targets, this.#claims) - expected
  }

  /** False for work without checkpoints that would take accelerators which claims are expected to need. */
  #mayBorrow (unit: StartUnit, { isClaim }: Candidate): boolean {
    const { savesCheckpoints, need } = unit.step.specification
    const accelerators = unit.count * need.accelerators
    if (isClaim || savesCheckpoints || accelerators === 0) return true
    // In a mostly idle pool claims find other capacity, unless a gang takes more accelerators than are outside the guarantees.
    const isBlockingClaims = accelerators > this.#totalAccelerators - this.#state.guaranteedAccelerators && this.#waits.mayWait(unit.first)
    return accelerators <= this.#lendableAccelerators || (this.#isMostlyIdle && !isBlockingClaims)
  }

  #choose<Targets extends PlacementTarget | readonly PlacementTarget[]> (unit: StartUnit, candidate: Candidate, mayWait: boolean, place: (allowed: CapacitySnapshot) => Targets | undefined): Targets | undefined {
    const choose = (among: CapacitySnapshot): Targets | undefined => this.#isolation.choose(among, unit, mayWait, place)
    return this.#eligible.search(unit.step, this.#eligible.of(unit, mayWait), choose, targets => [targets].flat(), () => candidate.isClaim && this.#reclaims.canReclaimElsewhere(unit, candidate, mayWait))
  }

  #placeGang (unit: StartUnit, candidate: Candidate): void {
    const { step } = unit
    if (step.count > mostGangMembers(this.#state.bounds) || !(candidate.isClaim || this.#hasRoomForMembers(unit))) return
    const mayBorrow = this.#mayBorrow(unit, candidate)
    const mayWait = this.#waits.mayWaitForPlacement(unit, candidate)
    const turns = this.#state.placementTurns
    const isDeferred = mayBorrow && !turns.isNext(step)
    const targets = mayBorrow && !isDeferred ? turns.place(step, () => this.#choose(unit, candidate, mayWait, allowed => placeGang(allowed, step, mayWait, this.#speedRankFor(step, candidate)))) : undefined
    if (targets === undefined) {
      if ((this.#isFirstPass && !candidate.isClaim) || this.#isolation.mayHold(unit)) return
      // Nothing is stopped for a gang that may fit as it is, unless it claims capacity, or for one that may not start.
      if (!mayBorrow) this.#holds.withdraw(step)
      const isReclaimed = mayBorrow && (candidate.isClaim || !isDeferred) && this.#reclaims.reclaim(unit, candidate, isDeferred)
      if (!isReclaimed && !candidate.isClaim) this.#reclaims.reserveForGang(unit)
      return
    }
    const run = this.#state.nextRun()
    for (const task of step.waitingTasks()) this.#start(task, targets[task.index]!, run)
  }

  #placeSingleTasks (unit: StartUnit, candidate: Candidate): void {
    const { step } = unit
    let blocked = 0
    let started = 0
    for (const task of step.waitingTasks()) {
      if (this.#mostStarts <= 0 || started === this.#mostStartsPerStep) return
      const single = unitOf(task)
      if (!this.#mayBorrow(single, candidate)) return
      const mayWait = this.#waits.mayWaitForPlacement(single, candidate)
      const target = this.#choose(single, candidate, mayWait, allowed => this.#chooseTarget(allowed, task, candidate))
      if (target !== undefined) {
        this.#start(task, target, this.#state.nextRun())
        started += 1
      }
      if (target === undefined && this.#starting.hasFullServers) return
      if (target === undefined && !this.#isolation.mayHold(single)) blocked += 1
      if (blocked > 0 && (!candidate.isClaim || blocked === MAXIMUM_BLOCKED_TASKS)) break
    }
    const remaining = blocked > 0 && (candidate.isClaim || !this.#isFirstPass) ? this.#reclaimable(step, candidate) : undefined
    if (remaining !== undefined) this.#reclaims.reclaim(remaining, candidate)
  }

  /** The waiting tasks of a step that aren't held, as many as one search is made for; other work than claims frees capacity for all or none. */
  #reclaimable (step: StepState, { isClaim }: Candidate): StartUnit | undefined {
    const unit = startUnitOf(step)
    if (unit !== undefined && unit.count > MAXIMUM_RECLAIMED_TASKS && !isClaim) return undefined
    if (unit === undefined || !step.hasSuspect) return unit && { ...unit, count: Math.min(unit.count, MAXIMUM_RECLAIMED_TASKS) }
    let first: TaskState | undefined
    let count = 0
    for (const task of step.waitingTasks()) {
      if (this.#isolation.mayHold(unitOf(task))) continue
      first ??= task
      count += 1
      if (count === MAXIMUM_RECLAIMED_TASKS) break
    }
    return first === undefined ? undefined : { step, first, count }
  }

  #chooseTarget (snapshot: CapacitySnapshot, task: TaskState, candidate: Candidate): PlacementTarget | undefined {
    const { step } = task
    const { dataRack } = step.specification
    const targets = this.#starting.hasFullServers ? snapshot.targets.filter(({ server }) => this.#starting.hasRoomFor(server.id)) : snapshot.targets
    if (dataRack !== undefined) {
      const inDataRack = targets.filter(target => target.server.entry.rack === dataRack)
      const target = placeTasks(snapshot, inDataRack, step, 1, this.#speedRankFor(step, candidate, true))?.[0]
      const mayWaitForRack = this.#waits.readyMilliseconds(task) < MAXIMUM_DATA_RACK_WAIT_MILLISECONDS
      if (target !== undefined || (mayWaitForRack && inDataRack.length > 0)) return target
    }
    return placeTasks(snapshot, targets, step, 1, this.#speedRankFor(step, candidate))?.[0]
  }

  /** Ranks the backend servers for a step by their speeds, where these matter. */
  #speedRankFor ({ specification }: StepState, candidate: Candidate, isNearData = specification.dataRack === undefined): SpeedRank | undefined {
    const { rules, speeds } = this.#state
    const terms = rules.has('place-by-speed') ? this.#state.termsOf(candidate.job) : undefined
    if (terms === undefined) return undefined
    const pool = speeds.of(candidate.job.job.pool, this.#state, this.#times.now)
    return isNearData ? pool.rankFor(toleranceOf(candidate, terms.stretch)) : pool.neutralRank
  }

  #requestAdvice (unit: StartUnit, candidate: Candidate): void {
    const targets = this.#eligible.lowRisk(unit, this.#waits.mayWaitForPlacement(unit, candidate))
    const command = requestAdvice(unit.step, targets, this.#times.now)
    if (command !== undefined) this.#commands.push(command)
  }

  #start (task: TaskState, target: PlacementTarget, run: ReturnType<PlannerState['nextRun']>): void {
    const { server } = target
    const targetAfterStops = this.#afterStops.targetOf(server.id)
    if (targetAfterStops !== undefined) this.#afterStops.take(targetAfterStops, task.step)
    const isolatedUntil = this.#isolation.endFor(unitOf(task))
    const started = startingRun(task, server, run, this.#times.now, isolatedUntil)
    if (!task.step.specification.savesCheckpoints && !this.#claims.has(task.step.job)) this.#lendableAccelerators -= started.need.accelerators
    server.add(started)
    this.#state.noteStarting(started)
    this.#noteStarting(started)
    this.#startsLeft -= 1
    this.#isolation.add(server, started)
    this.#reclaims.noteStarted(task.step.job)
    this.#state.holds.noteStarted(task.step, server.id)
    task.step.keep(task)
    task.addRun(started)
    task.readySince = undefined
    const { job } = task.step
    this.#commands.push({
      type: 'start',
      server: server.id,
      task: task.name,
      run,
      job: job.job.id,
      change: this.#state.markStarted(job),
      specification: job.job.specification,
      incarnation: server.entry.incarnation,
      leaseUntil: server.extendLease(this.#times.now, LEASE_MILLISECONDS),
      checkpoint: task.checkpoint,
      ...(task.step.specification.isGang ? { isMember: true as const } : {}),
      ...(this.#eligible.isAdvised(task.step) ? { ticket: ticketFor(task.step, target, this.#times.now) } : {})
    })
  }
}
