/**
 * Chooses targets for tasks by best fit: the fullest backend server that still fits. This
 * avoids fragmentation: small tasks spread over many backend servers leave no empty one for gangs.
 * Where the speeds of the backend servers matter, their ranks come first.
 */
import { sumFreeAccelerators } from './capacity.js'
import { countFitting, countFittingEmpty, type PlacementTarget, type CapacitySnapshot } from './capacity-snapshot.js'
import type { SpeedRank } from './speed-preference.js'
import type { StepState } from './step-state.js'

/**
 * Chooses targets for `count` tasks of a step, one entry per task, and subtracts their
 * needs from the snapshot. Returns undefined if they don't all fit.
 *
 * @example
 * const targets = placeTasks(snapshot, snapshot.targets, step, 3)
 */
export function placeTasks (snapshot: CapacitySnapshot, candidates: readonly PlacementTarget[], step: StepState, count: number, rankOf?: SpeedRank): readonly PlacementTarget[] | undefined {
  snapshot.work.add(candidates.length)
  if (count === 1) return placeTask(snapshot, candidates, step, rankOf)
  let room = 0
  const fittingTargets: { readonly target: PlacementTarget, readonly fitting: number }[] = []
  for (const target of candidates) {
    const fitting = countFitting(target, step, count)
    if (fitting > 0) fittingTargets.push({ target, fitting })
    room += fitting
  }
  if (room < count) return undefined
  fittingTargets.sort((left, right) => compareOffers(left.target, right.target, step, rankOf))
  const chosen: PlacementTarget[] = []
  for (const { target, fitting } of fittingTargets) {
    for (let taken = 0; taken < fitting && chosen.length < count; taken += 1) {
      snapshot.take(target, step)
      chosen.push(target)
    }
  }
  return chosen
}

/** Chooses the target of one task: of those that fit, the first of the best. */
function placeTask (snapshot: CapacitySnapshot, candidates: readonly PlacementTarget[], step: StepState, rankOf?: SpeedRank): readonly PlacementTarget[] | undefined {
  let best: PlacementTarget | undefined
  for (const target of candidates) {
    if (best !== undefined && compareOffers(best, target, step, rankOf) <= 0) continue
    if (countFitting(target, step, 1) > 0) best = target
  }
  if (best === undefined) return undefined
  snapshot.take(best, step)
  return [best]
}

/**
 * Chooses targets for a gang. A gang that wants one rack gets targets within one rack; it
 * is spread only if it may not wait for a rack, or if no rack could hold it. The slowest
 * member sets the pace of a gang, so the rack is chosen by that.
 *
 * @example
 * const targets = placeGang(snapshot, step, true)
 */
export function placeGang (snapshot: CapacitySnapshot, step: StepState, mayWaitForRack: boolean, rankOf?: SpeedRank): readonly PlacementTarget[] | undefined {
  const count = step.count
  if (!step.specification.wantsOneRack) return placeTasks(snapshot, snapshot.targets, step, count, rankOf)
  const { racks } = snapshot
  snapshot.work.add(snapshot.targets.length)
  const fitting = racks
    .map(targets => ({ targets, taskCapacity: targets.reduce((sum, target) => sum + countFitting(target, step, count), 0) }))
    .filter(rack => rack.taskCapacity >= count)
    .map(({ targets }) => ({ targets, slowestRank: slowestRank(targets, step, rankOf) }))
    .sort((left, right) => left.slowestRank - right.slowestRank || freeAccelerators(left.targets) - freeAccelerators(right.targets))
  if (fitting[0] !== undefined) return placeTasks(snapshot, fitting[0].targets, step, count, rankOf)
  const couldWait = mayWaitForRack && racks.some(targets => {
    snapshot.work.add(targets.length)
    return couldHold(targets, step)
  })
  return couldWait ? undefined : placeTasks(snapshot, snapshot.targets, step, count, rankOf)
}

/**
 * True if these targets could hold all tasks of a step if they were empty.
 *
 * @example
 * couldHold(rack, step)
 */
export function couldHold (targets: readonly PlacementTarget[], step: StepState): boolean {
  let room = 0
  return targets.some(({ server }) => {
    room += countFittingEmpty(server, step, step.count)
    return room >= step.count
  })
}

/** The highest rank among the targets that a gang gets of these. */
function slowestRank (targets: readonly PlacementTarget[], step: StepState, rankOf?: SpeedRank): number {
  if (rankOf === undefined) return 0
  const ranked = targets.map(target => ({ rank: rankOf(target.server.id), fitting: countFitting(target, step, step.count) })).sort((left, right) => left.rank - right.rank)
  let room = 0
  return ranked.find(({ fitting }) => {
    room += fitting
    return room >= step.count
  })?.rank ?? Infinity
}

function freeAccelerators (targets: readonly PlacementTarget[]): number {
  return sumFreeAccelerators(targets.map(target => target.free))
}

/** Orders targets for a step: by speed where that matters, then by kind. Work of the same kind, with or without checkpoints, is kept together, so that a claim finds backend servers that can be emptied without losing work. */
function compareOffers (left: PlacementTarget, right: PlacementTarget, { specification: { savesCheckpoints } }: StepState, rankOf?: SpeedRank): number {
  const bySpeed = rankOf === undefined ? 0 : rankOf(left.server.id) - rankOf(right.server.id)
  return bySpeed || Number(isOfOtherKind(left, savesCheckpoints)) - Number(isOfOtherKind(right, savesCheckpoints)) || compareTightness(left, right)
}

function isOfOtherKind ({ tasksWithoutCheckpoints }: PlacementTarget, savesCheckpoints: boolean): boolean {
  return (tasksWithoutCheckpoints > 0) === savesCheckpoints
}

/** Orders the fullest backend server first, so that empty ones stay empty. */
function compareTightness (left: PlacementTarget, right: PlacementTarget): number {
  return left.free.accelerators - right.free.accelerators ||
    left.free.memory - right.free.memory ||
    left.free.processor - right.free.processor
}
