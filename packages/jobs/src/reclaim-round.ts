/** Frees capacity in one round for claims and late urgent work that found none, and reserves capacity for gangs. */
import { addCapacity } from './capacity.js'
import type { CapacitySnapshot, PlacementTarget } from './capacity-snapshot.js'
import type { EligibleTargets } from './eligible-targets.js'
import type { Isolation } from './isolation.js'
import type { JobState } from './job-state.js'
import { CHEAP_RECLAIM_SERVER_MILLISECONDS, MAXIMUM_RESERVED_GANGS, PREEMPTIONS_PER_ROUND, PREEMPTION_DELAY_MILLISECONDS, PREEMPTION_MARGIN } from './limits.js'
import { gainOf, type Candidate } from './order.js'
import { planReclaim, type ReclaimPlan, type VictimGroup } from './reclaim.js'
import { noteReclaimed } from './reclaim-record.js'
import type { RoundHolds } from './round-holds.js'
import { remainingMilliseconds, runningGroups } from './running-groups.js'
import type { SearchTurns } from './search-turns.js'
import type { StartUnit } from './start-unit.js'
import type { PlannerState } from './state.js'
import type { StepState } from './step-state.js'
import { requestStop } from './stops.js'
import { VictimIndex } from './victim-index.js'
import { victimsOf } from './victims.js'
import type { Waits } from './waits.js'

/** What a round has that this part of it uses. */
export interface ReclaimParts {
  readonly state: PlannerState
  readonly now: number
  /** Free capacity now, and after all runs that are being stopped have ended. */
  readonly current: CapacitySnapshot
  readonly afterStops: CapacitySnapshot
  readonly eligibleAfterStops: EligibleTargets
  readonly claims: ReadonlySet<JobState>
  readonly holds: RoundHolds
  readonly waits: Waits
  readonly isolation: Isolation
}

/**
 * Stops and reservations of one round.
 *
 * @example
 * const reclaims = new ReclaimRound(parts)
 * if (!reclaims.reclaim(unit, candidate)) reclaims.reserveForGang(unit)
 */
export class ReclaimRound {
  readonly #parts: ReclaimParts
  readonly #state: PlannerState
  /** What may be stopped for claims, which is the same for all of them until other work starts. */
  #claimVictims: VictimIndex | undefined
  /** What ends before gangs that reserve, which is the same for all of them until work is started or stopped. */
  #reservationVictims: VictimIndex | undefined
  /** Steps for which something is reserved in this round. */
  readonly #reserved = new Set<StepState>()
  #reservedGangs = 0
  #preemptionSearches = 0

  constructor (parts: ReclaimParts) {
    this.#parts = parts
    this.#state = parts.state
  }

  /** Notes that a task of a job starts. */
  noteStarted (job: JobState): void {
    if (!this.#parts.claims.has(job)) this.#claimVictims = undefined
    this.#reservationVictims = undefined
  }

  /** True if backend servers that answer starts are being freed for a claim, or can be. */
  canReclaimElsewhere (unit: StartUnit, candidate: Candidate, mayWait: boolean): boolean {
    const { eligibleAfterStops, holds } = this.#parts
    const targets = eligibleAfterStops.answering(eligibleAfterStops.lowRisk(unit, mayWait))
    if (holds.has(unit.step)) return holds.of(unit.step).every(id => targets.targetOf(id) !== undefined)
    return this.#state.claimTurns.canPlan(unit.step, targets, () => this.#planReclaim(unit, candidate, mayWait, targets))
  }

  /**
   * Reserves the backend servers that are expected to become free first for a waiting
   * gang, so that smaller work behind it doesn't take them one by one.
   */
  reserveForGang (unit: StartUnit): void {
    const { step } = unit
    const isLimitReached = this.#reservedGangs === MAXIMUM_RESERVED_GANGS || !this.#state.rules.has('reserve-for-gangs')
    if (isLimitReached || this.#parts.eligibleAfterStops.isAdvised(step)) return
    const turns = this.#state.reservationTurns
    const isReserved = turns.isNext(step)
      ? this.#reserveTargets(turns.search(step, () => this.#planReservation(unit))?.targets ?? [], step)
      : this.#reserveAgain(unit, turns)
    if (isReserved) this.#reservedGangs += 1
  }

  #planReservation (unit: StartUnit): ReclaimPlan | undefined {
    const { step, first, count } = unit
    this.#reservationVictims ??= new VictimIndex(runningGroups(this.#state, () => true, (other, run) => remainingMilliseconds(this.#state, other, run, this.#parts.now)), this.#state.work)
    const targets = this.#parts.eligibleAfterStops.lowRisk(unit, this.#parts.waits.mayWait(first))
    return planReclaim(targets, step, count, this.#reservationVictims, true)
  }

  /** Reserves what was planned for a step in its last turn. */
  #reserveAgain ({ step, count }: StartUnit, turns: SearchTurns): boolean {
    const targets = turns.plannedFor(step).slice(0, count).map(server => this.#parts.afterStops.targetOf(server))
    return this.#reserveTargets(targets.filter(target => target !== undefined), step)
  }

  /** Reserves targets, so that work later in the order can't use them. False if there are none. */
  #reserveTargets (targets: readonly PlacementTarget[], step: StepState): boolean {
    const { current, afterStops } = this.#parts
    if (this.#reserved.has(step)) return true
    if (targets.length > 0) this.#reserved.add(step)
    for (const { server } of targets) {
      const target = current.targetOf(server.id)
      const targetAfterStops = afterStops.targetOf(server.id)
      if (target !== undefined) current.take(target, step)
      if (targetAfterStops !== undefined) afterStops.take(targetAfterStops, step)
    }
    return targets.length > 0
  }

  /**
   * Stops runs for a claim, or for work that gains more than the stops cost, and holds what
   * they free for it. False if nothing is held or reserved. `isDeferred` says that the unit hasn't been placed in this
   * round though it may fit.
   */
  reclaim (unit: StartUnit, candidate: Candidate, isDeferred = false): boolean {
    const { step, first, count } = unit
    const { holds, waits } = this.#parts
    const wasHeld = holds.has(step)
    if (holds.suffices(step, count, isDeferred)) return true
    if (!candidate.isClaim && !this.#mayPreempt(step, candidate)) return false
    const turns = this.#state.claimTurns
    if (candidate.isClaim && !turns.isNext(step)) return this.#reserveAgain(unit, turns)
    const plan = this.#search(unit, candidate)
    if (plan === undefined) return false
    const { cost } = plan
    if (!candidate.isClaim && cost * PREEMPTION_MARGIN > gainOf(candidate, PREEMPTION_DELAY_MILLISECONDS)) return false
    const mayWaitForCapacity = waits.readyMilliseconds(first) < waits.reclaimWaitMilliseconds(candidate)
    const mustWait = cost > CHEAP_RECLAIM_SERVER_MILLISECONDS && mayWaitForCapacity
    if (mustWait || (plan.victims.length === 0 && !wasHeld)) {
      holds.withdraw(step)
      return this.#reserveTargets(plan.targets, step)
    }
    this.#stop(plan.victims, unit, candidate)
    holds.add(step, plan.targets)
    return true
  }

  #search (unit: StartUnit, candidate: Candidate): ReclaimPlan | undefined {
    const { step } = unit
    const { eligibleAfterStops, afterStops } = this.#parts
    const mayWait = this.#parts.waits.mayWaitForPlacement(unit, candidate)
    const planAmong = (targets: CapacitySnapshot): ReclaimPlan | undefined => eligibleAfterStops.search(step, targets, among => this.#planReclaim(unit, candidate, mayWait, among), plan => plan.targets)
    const lowRisk = eligibleAfterStops.lowRisk(unit, mayWait)
    // A claim that has to use backend servers with recent failures has them freed while it still waits for others.
    const search = (): ReclaimPlan | undefined => planAmong(lowRisk) ?? (candidate.isClaim && lowRisk !== afterStops ? planAmong(afterStops) : undefined)
    return candidate.isClaim ? this.#state.claimTurns.search(step, search) : search()
  }

  #stop (victims: readonly VictimGroup[], unit: StartUnit, candidate: Candidate): void {
    if (victims.length === 0) return
    this.#reservationVictims = undefined
    noteReclaimed(this.#state, victims, unit, candidate)
    for (const group of victims) {
      this.#claimVictims?.remove(group)
      for (const { run, need } of group.members) {
        requestStop(this.#state, run, 'reclaimed', unit.step.job.job.id)
        const target = this.#parts.afterStops.targetOf(run.server)
        if (target !== undefined) target.free = addCapacity(target.free, need)
      }
    }
  }

  #planReclaim ({ step, count }: StartUnit, candidate: Candidate, mayWait: boolean, targets: CapacitySnapshot): ReclaimPlan | undefined {
    return planReclaim(mayWait ? this.#parts.isolation.exclude(targets) : targets, step, count, this.#victimsFor(candidate), mayWait)
  }

  #victimsFor (candidate: Candidate): VictimIndex {
    const index = (): VictimIndex => new VictimIndex(victimsOf(this.#state, this.#parts.claims, candidate, this.#parts.now), this.#state.work)
    if (!candidate.isClaim) return index()
    this.#claimVictims ??= index()
    return this.#claimVictims
  }

  /** Steps that need advice don't preempt: the advice service may refuse the backend servers that stops would free. */
  #mayPreempt (step: StepState, candidate: Candidate): boolean {
    const isLimitReached = this.#preemptionSearches === PREEMPTIONS_PER_ROUND || !this.#state.rules.has('stop-by-worth')
    if (isLimitReached || this.#parts.eligibleAfterStops.isAdvised(step) || gainOf(candidate, PREEMPTION_DELAY_MILLISECONDS) <= 0) return false
    this.#preemptionSearches += 1
    return true
  }
}
