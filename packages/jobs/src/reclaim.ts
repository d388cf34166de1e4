/**
 * Plans which runs are stopped to free capacity, for example when a workspace claims
 * guaranteed accelerators that others have borrowed. Chooses the runs that lose the least
 * work.
 */
import { couldHold } from './placement.js'
import type { PlacementTarget, CapacitySnapshot } from './capacity-snapshot.js'
import { ReclaimSearch } from './reclaim-search.js'
import type { RunningGroup } from './running-group-cache.js'
import type { StepState } from './step-state.js'
import type { VictimIndex } from './victim-index.js'

/** A running group with the cost of stopping it, in a unit that the caller chooses. */
export interface VictimGroup extends RunningGroup {
  readonly cost: number
}

/** Targets for the tasks of a step, and the groups that have to be stopped first. */
export interface ReclaimPlan {
  readonly targets: readonly PlacementTarget[]
  readonly victims: readonly VictimGroup[]
  /** Cost of stopping all of them. */
  readonly cost: number
}

/**
 * Finds the cheapest targets for `count` tasks of a step when groups may be stopped. In
 * the snapshot, the capacity of runs that are already being stopped counts as free. A
 * step that wants one rack is spread only if it may not wait for one, or if no rack
 * could hold it.
 *
 * @example
 * const plan = planReclaim(snapshot, step, step.count, new VictimIndex(groups, snapshot.work), true)
 */
export function planReclaim (snapshot: CapacitySnapshot, step: StepState, count: number, victims: VictimIndex, mayWaitForRack: boolean): ReclaimPlan | undefined {
  const findSpreadPlan = (): ReclaimPlan | undefined => new ReclaimSearch(snapshot.targets, step, victims, snapshot.work).plan(count)
  if (!step.specification.wantsOneRack) return findSpreadPlan()
  const { racks } = snapshot
  let cheapest: ReclaimPlan | undefined
  for (const targets of racks) {
    if (cheapest?.cost === 0) break
    cheapest = new ReclaimSearch(targets, step, victims, snapshot.work).plan(count, cheapest?.cost) ?? cheapest
  }
  if (cheapest !== undefined) return cheapest
  return mayWaitForRack && racks.some(targets => couldHold(targets, step)) ? undefined : findSpreadPlan()
}
