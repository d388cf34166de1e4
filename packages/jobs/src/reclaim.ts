/**
 * Plans which runs are stopped to free capacity, for example when a workspace claims
 * guaranteed accelerators that others have borrowed. Chooses the runs that lose the least
 * work.
 */
import { addCapacity, type Capacity } from './capacity.js'
import type { StepState, TaskState } from './job-state.js'
import { couldHold, racksOf } from './placement.js'
import { countFitting, type PlacementTarget, type CapacitySnapshot } from './capacity-snapshot.js'
import type { RoundWork } from './round-work.js'
import type { Run } from './server.js'

/** Runs that are stopped together: those of a gang, or a single one. */
export interface VictimGroup {
  readonly members: readonly { readonly task: TaskState, readonly run: Run, readonly need: Capacity }[]
  /** Cost of stopping it, in a unit that the caller chooses. */
  readonly cost: number
}

/** Targets for the tasks of a step, and the groups that have to be stopped first. */
export interface ReclaimPlan {
  readonly targets: readonly PlacementTarget[]
  readonly victims: readonly VictimGroup[]
}

/**
 * Finds the cheapest targets for `count` tasks of a step when groups may be stopped. In
 * the snapshot, the capacity of runs that are already being stopped counts as free. A
 * step that wants one rack is spread only if it may not wait for one, or if no rack
 * could hold it.
 *
 * @example
 * const plan = planReclaim(snapshot, step, step.tasks.length, groups, true)
 */
export function planReclaim (snapshot: CapacitySnapshot, step: StepState, count: number, groups: readonly VictimGroup[], mayWaitForRack: boolean): ReclaimPlan | undefined {
  const findSpreadPlan = (): ReclaimPlan | undefined => findPlan(snapshot, snapshot.targets, step, count, groups)
  if (!step.specification.wantsOneRack) return findSpreadPlan()
  const racks = racksOf(snapshot.targets)
  const options = racks
    .map(targets => findPlan(snapshot, targets, step, count, groups))
    .filter(option => option !== undefined)
    .sort((left, right) => costOf(left) - costOf(right))
  if (options[0] !== undefined) return options[0]
  return mayWaitForRack && racks.some(targets => couldHold(targets, step)) ? undefined : findSpreadPlan()
}

function costOf (plan: ReclaimPlan): number {
  return plan.victims.reduce((sum, group) => sum + group.cost, 0)
}

function findPlan (snapshot: CapacitySnapshot, among: readonly PlacementTarget[], step: StepState, count: number, groups: readonly VictimGroup[]): ReclaimPlan | undefined {
  const trial = snapshot.copy()
  const targets = among.map(target => trial.targetOf(target.server.id)!)
  const remaining = new Set(groups)
  const victims: VictimGroup[] = []
  const chosen: PlacementTarget[] = []
  while (chosen.length < count) {
    const option = cheapestOption(trial, targets, step, remaining)
    if (option === undefined) return undefined
    for (const group of option.victims) {
      remaining.delete(group)
      victims.push(group)
      releaseGroup(trial, group)
    }
    trial.take(option.target, step)
    chosen.push(option.target)
  }
  return { targets: chosen, victims }
}

interface TargetOption {
  readonly target: PlacementTarget
  readonly victims: readonly VictimGroup[]
  readonly cost: number
}

function cheapestOption ({ work }: CapacitySnapshot, targets: readonly PlacementTarget[], step: StepState, groups: ReadonlySet<VictimGroup>): TargetOption | undefined {
  let best: TargetOption | undefined
  for (const target of targets) {
    const option = optionAt(target, step, groups, work)
    if (option === undefined) continue
    const isBetter = best === undefined || option.cost < best.cost ||
      (option.cost === best.cost && option.target.free.accelerators < best.target.free.accelerators)
    if (isBetter) best = option
  }
  return best
}

/** Chooses victims on one backend server, the cheapest first, until one task fits. */
function optionAt (target: PlacementTarget, step: StepState, groups: ReadonlySet<VictimGroup>, work: RoundWork): TargetOption | undefined {
  work.add(1)
  if (countFitting(target, step, 1) > 0) return { target, victims: [], cost: 0 }
  const server = target.server.id
  work.add(groups.size)
  const groupsHere = [...groups]
    .filter(group => group.members.some(member => member.run.server === server))
    .sort((left, right) => left.cost - right.cost)
  const victims: VictimGroup[] = []
  const trial: PlacementTarget = { ...target }
  for (const group of groupsHere) {
    victims.push(group)
    for (const member of group.members) if (member.run.server === server) trial.free = addCapacity(trial.free, member.need)
    if (countFitting(trial, step, 1) > 0) return { target, victims, cost: victims.reduce((sum, each) => sum + each.cost, 0) }
  }
  return undefined
}

function releaseGroup (snapshot: CapacitySnapshot, group: VictimGroup): void {
  for (const { run, need } of group.members) {
    const target = snapshot.targetOf(run.server)
    if (target !== undefined) target.free = addCapacity(target.free, need)
  }
}
