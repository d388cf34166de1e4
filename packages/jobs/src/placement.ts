/**
 * Chooses targets for tasks by best fit: the fullest backend server that still fits. This
 * avoids fragmentation: small tasks spread over many backend servers leave no empty one for gangs.
 */
import { sumFreeAccelerators } from './capacity.js'
import { countFitting, type PlacementTarget, type CapacitySnapshot } from './capacity-snapshot.js'
import { NO_TASKS } from './server.js'
import type { StepState } from './step-state.js'

/**
 * Chooses targets for `count` tasks of a step, one entry per task, and subtracts their
 * needs from the snapshot. Returns undefined if they don't all fit.
 *
 * @example
 * const targets = placeTasks(snapshot, snapshot.targets, step, 3)
 */
export function placeTasks (snapshot: CapacitySnapshot, candidates: readonly PlacementTarget[], step: StepState, count: number): readonly PlacementTarget[] | undefined {
  snapshot.work.add(candidates.length)
  // Work of the same kind, with or without checkpoints, is kept together, so that a claim finds backend servers that can be emptied without losing work.
  const { savesCheckpoints } = step.specification
  const fittingTargets = candidates
    .map(target => ({ target, fitting: countFitting(target, step, count), isOfOtherKind: (target.tasksWithoutCheckpoints > 0) === savesCheckpoints }))
    .filter(offer => offer.fitting > 0)
    .sort((left, right) => Number(left.isOfOtherKind) - Number(right.isOfOtherKind) || compareTightness(left.target, right.target))
  if (fittingTargets.reduce((sum, offer) => sum + offer.fitting, 0) < count) return undefined
  const chosen: PlacementTarget[] = []
  for (const { target, fitting } of fittingTargets) {
    for (let taken = 0; taken < fitting && chosen.length < count; taken += 1) {
      snapshot.take(target, step)
      chosen.push(target)
    }
  }
  return chosen
}

/**
 * Chooses targets for a gang. A gang that wants one rack gets targets within one rack; it
 * is spread only if it may not wait for a rack, or if no rack could hold it.
 *
 * @example
 * const targets = placeGang(snapshot, step, true)
 */
export function placeGang (snapshot: CapacitySnapshot, step: StepState, mayWaitForRack: boolean): readonly PlacementTarget[] | undefined {
  const count = step.count
  if (!step.specification.wantsOneRack) return placeTasks(snapshot, snapshot.targets, step, count)
  const racks = racksOf(snapshot.targets)
  snapshot.work.add(snapshot.targets.length)
  const fitting = racks
    .map(targets => ({ targets, taskCapacity: targets.reduce((sum, target) => sum + countFitting(target, step, count), 0) }))
    .filter(rack => rack.taskCapacity >= count)
    .sort((left, right) => freeAccelerators(left.targets) - freeAccelerators(right.targets))
  if (fitting[0] !== undefined) return placeTasks(snapshot, fitting[0].targets, step, count)
  const couldWait = mayWaitForRack && racks.some(targets => {
    snapshot.work.add(targets.length)
    return couldHold(targets, step)
  })
  return couldWait ? undefined : placeTasks(snapshot, snapshot.targets, step, count)
}

/**
 * Groups targets by rack.
 *
 * @example
 * racksOf(snapshot.targets).length
 */
export function racksOf (targets: readonly PlacementTarget[]): readonly (readonly PlacementTarget[])[] {
  const racks = new Map<string, PlacementTarget[]>()
  for (const target of targets) {
    const rack = racks.get(target.server.entry.rack)
    if (rack === undefined) racks.set(target.server.entry.rack, [target])
    else rack.push(target)
  }
  return [...racks.values()]
}

/**
 * True if these targets could hold all tasks of a step if they were empty.
 *
 * @example
 * couldHold(rack, step)
 */
export function couldHold (targets: readonly PlacementTarget[], step: StepState): boolean {
  const count = step.count
  const emptyTargets = targets.map(target => ({ ...target, free: target.server.entry.capacity, tasksOf: NO_TASKS, tasksWithoutCheckpoints: 0 }))
  return emptyTargets.reduce((sum, target) => sum + countFitting(target, step, count), 0) >= count
}

function freeAccelerators (targets: readonly PlacementTarget[]): number {
  return sumFreeAccelerators(targets.map(target => target.free))
}

/** Orders the fullest backend server first, so that empty ones stay empty. */
function compareTightness (left: PlacementTarget, right: PlacementTarget): number {
  return left.free.accelerators - right.free.accelerators ||
    left.free.memory - right.free.memory ||
    left.free.processor - right.free.processor
}
