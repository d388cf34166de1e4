/**
 * Moves work out of evacuated failure domains. Stopping a run costs what it has done since it began or last saved, and the
 * capacity that it takes elsewhere is missed by work that arrives. So only work is moved that has long to go and
 * loses little, only into capacity that is free elsewhere, and little at a time; what ends soon ends where it is.
 */
import type { CapacitySnapshot } from './capacity-snapshot.js'
import { addCapacity, NO_CAPACITY, type Capacity } from './capacity.js'
import { claimsOf } from './claims.js'
import { EligibleTargets } from './eligible-targets.js'
import type { PoolName } from './ids.js'
import { isIsolated } from './isolation.js'
import { EVACUATION_FREE_SHARE, EVACUATION_MOVE_DELAY_MILLISECONDS, EVACUATION_MOVE_INTERVAL_MILLISECONDS, EVACUATION_MOVE_MARGIN, EVACUATION_MOVES, EVACUATION_SEARCHES, WORK_DONE_PERCENT } from './limits.js'
import { placeGang, placeTasks } from './placement.js'
import { isMostlyIdle, snapshotOf } from './round-snapshots.js'
import type { GroupMember, RunningGroup } from './running-group-cache.js'
import { lostMilliseconds, remainingMilliseconds } from './running-groups.js'
import type { PlannerState } from './state.js'
import type { StepState } from './step-state.js'
import { requestStop } from './stops.js'

/** A group that is worth moving. */
interface Move {
  readonly step: StepState
  readonly group: RunningGroup
  /** What the stop costs, as a share of the time that the group still takes. */
  readonly costShare: number
}

/**
 * The moves of one owner. The next ones follow once the tasks of the last ones run again.
 *
 * @example
 * state.evacuations.moves.plan(state, now)
 */
export class EvacuationMoves {
  #underWay: readonly GroupMember[] = []
  #nextAt = -Infinity

  /** Stops the runs that are to be moved now. */
  plan (state: PlannerState, now: number): void {
    if (state.evacuations.size === 0 || now < this.#nextAt) return
    this.#nextAt = now + EVACUATION_MOVE_INTERVAL_MILLISECONDS
    this.#underWay = this.#underWay.filter(({ task, run }) => task.step.job.isOpen && !task.isDone && (task.isWaiting || task.runs.has(run)))
    if (this.#underWay.length > 0) return
    const moves = findMoves(state, now).sort((left, right) => left.costShare - right.costShare)
    if (moves.length === 0) return
    const room = new RoomElsewhere(state, now)
    let left = EVACUATION_MOVES
    for (const { step, group } of moves) {
      if (left === 0) break
      if (!room.take(step, group)) continue
      for (const { run } of group.members) requestStop(state, run, 'evacuated')
      this.#underWay = [...this.#underWay, ...group.members]
      left -= 1
    }
  }
}

/** Returns the groups in evacuated failure domains that are worth moving. */
function findMoves (state: PlannerState, now: number): Move[] {
  const steps = new Set<StepState>()
  for (const server of state.servers.values()) {
    if (!state.evacuations.hasHeldFor(server, EVACUATION_MOVE_DELAY_MILLISECONDS, now)) continue
    for (const step of server.tasksOf.keys()) steps.add(step)
  }
  if (steps.size === 0) return []
  const claims = claimsOf(state)
  const moves: Move[] = []
  for (const step of steps) {
    const { specification: { isLasting, dataRack }, job } = step
    if (!job.isOpen || dataRack !== undefined || (claims.has(job) && !isLasting)) continue
    const groups = state.runningGroups.of(step)
    state.work.add(groups.length)
    const affected = groups.filter(group => isMovable(state, group, now))
    if (isLasting) moves.push(...lastingMoves(step, affected))
    else for (const group of affected) moves.push({ step, group, costShare: costShareOf(state, step, group, now) })
  }
  return moves.filter(({ costShare }) => costShare * EVACUATION_MOVE_MARGIN <= 1)
}

/** True if a group has a member in an evacuated failure domain, and each of its runs is confirmed and not isolated. */
function isMovable (state: PlannerState, { members }: RunningGroup, now: number): boolean {
  const isAffected = members.some(({ run }) => {
    const server = state.servers.get(run.server)
    return server !== undefined && state.evacuations.hasHeldFor(server, EVACUATION_MOVE_DELAY_MILLISECONDS, now)
  })
  return isAffected && members.every(({ run }) => run.state === 'running' && !isIsolated(run, now))
}

/** Of a step that lasts, one task is moved, while all others are at work: its users miss no more than one. */
function lastingMoves (step: StepState, affected: readonly RunningGroup[]): readonly Move[] {
  const [group] = affected
  if (group === undefined || step.specification.isGang || step.hasWaiting || step.specification.mayBeAway === 0) return []
  for (const task of step.placedTasks) {
    if (task !== group.members[0]!.task && ![...task.runs].some(({ state, percent }) => state === 'running' && percent >= WORK_DONE_PERCENT)) return []
  }
  return [{ step, group, costShare: 0 }]
}

/** Estimates what the stop of a group costs, as a share of the time that it still takes; Infinity if either isn't known. */
function costShareOf (state: PlannerState, step: StepState, { members }: RunningGroup, now: number): number {
  if (!step.specification.savesCheckpoints && members.some(({ run }) => run.isAdopted === true)) return Infinity
  const cost = state.stopMilliseconds + Math.max(...members.map(({ run }) => lostMilliseconds(step, run, now)))
  const remaining = Math.max(...members.map(({ run }) => remainingMilliseconds(state, step, run, now)))
  return remaining <= 0 ? Infinity : cost / remaining
}

/** What is free elsewhere, from which the moves of one search are taken. */
class RoomElsewhere {
  readonly #snapshot: CapacitySnapshot
  readonly #eligible: EligibleTargets
  /** Free and total capacity of each pool. */
  readonly #pools = new Map<PoolName, { free: Capacity, all: Capacity }>()
  #searchesLeft = EVACUATION_SEARCHES

  constructor (state: PlannerState, now: number) {
    this.#snapshot = snapshotOf(state, now)
    this.#eligible = new EligibleTargets(state, now, this.#snapshot)
    for (const { free, server: { entry: { pool, capacity } } } of this.#snapshot.targets) {
      const known = this.#pools.get(pool) ?? { free: NO_CAPACITY, all: NO_CAPACITY }
      this.#pools.set(pool, { free: addCapacity(known.free, free), all: addCapacity(known.all, capacity) })
    }
  }

  /** True if a group fits beside the moves before it, and enough stays free; its capacity is then taken. */
  take (step: StepState, { members }: RunningGroup): boolean {
    const { job: { job: { pool } }, specification: { isGang, need, savesCheckpoints } } = step
    const capacity = this.#pools.get(pool)
    // Work that can't be stopped cheaply may have to wait for what it borrows while the pool isn't mostly idle.
    if (capacity === undefined || this.#searchesLeft === 0 || (!savesCheckpoints && need.accelerators > 0 && !isMostlyIdle(this.#snapshot))) return false
    const left = members.reduce((free, { run }) => addCapacity(free, run.need, -1), capacity.free)
    const keepsFree = left.accelerators >= EVACUATION_FREE_SHARE * capacity.all.accelerators && left.processor >= EVACUATION_FREE_SHARE * capacity.all.processor
    if (!keepsFree) return false
    this.#searchesLeft -= 1
    const allowed = this.#eligible.of({ step, first: members[0]!.task, count: members.length }, true)
    const isPlaced = (isGang ? placeGang(allowed, step, true) : placeTasks(allowed, allowed.targets, step, 1)) !== undefined
    if (isPlaced) capacity.free = left
    return isPlaced
  }
}
