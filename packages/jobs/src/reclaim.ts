/**
 * What is stopped for a workspace that claims its guaranteed accelerators. Answers
 * the load in which others have borrowed them: the least work that isn't saved goes.
 */
import { addCapacity, type Capacity } from './capacity.js'
import type { StepState, TaskState } from './job-state.js'
import { couldHold, racksOf } from './placement.js'
import { roomFor, type Place, type Room } from './room.js'
import type { Run } from './server.js'

/** Runs that end together: a gang's, or a single one. */
export interface VictimGroup {
  readonly members: readonly { readonly task: TaskState, readonly run: Run, readonly need: Capacity }[]
  /** What stopping it throws away; in the unit of the caller's choice. */
  readonly cost: number
}

/** Where a claim goes, and what has to end before. */
export interface Reclaim {
  readonly places: readonly Place[]
  readonly victims: readonly VictimGroup[]
}

/**
 * The cheapest places for all tasks of a step, if some groups may be stopped. The
 * room given counts what is being stopped already as free. A step that wants one rack
 * is spread only if it is out of patience, or wider than any rack.
 *
 * @example
 * const reclaim = planReclaim(room, step, step.tasks.length, groups, true)
 */
export function planReclaim (room: Room, step: StepState, count: number, groups: readonly VictimGroup[], isPatient: boolean): Reclaim | undefined {
  const everywhere = (): Reclaim | undefined => search(room, room.places, step, count, groups)
  if (!step.specification.wantsOneRack) return everywhere()
  const racks = racksOf(room.places)
  const options = racks
    .map(places => search(room, places, step, count, groups))
    .filter(option => option !== undefined)
    .sort((left, right) => costOf(left) - costOf(right))
  if (options[0] !== undefined) return options[0]
  return isPatient && racks.some(places => couldHold(places, step)) ? undefined : everywhere()
}

function costOf (reclaim: Reclaim): number {
  return reclaim.victims.reduce((sum, group) => sum + group.cost, 0)
}

function search (room: Room, among: readonly Place[], step: StepState, count: number, groups: readonly VictimGroup[]): Reclaim | undefined {
  const trial = room.copy()
  const places = among.map(place => trial.placeOf(place.server.id)!)
  const left = new Set(groups)
  const victims: VictimGroup[] = []
  const chosen: Place[] = []
  while (chosen.length < count) {
    const option = cheapest(places, step, left)
    if (option === undefined) return undefined
    for (const group of option.victims) {
      left.delete(group)
      victims.push(group)
      free(trial, group)
    }
    trial.take(option.place, step)
    chosen.push(option.place)
  }
  return { places: chosen, victims }
}

interface Option {
  readonly place: Place
  readonly victims: readonly VictimGroup[]
  readonly cost: number
}

function cheapest (places: readonly Place[], step: StepState, groups: ReadonlySet<VictimGroup>): Option | undefined {
  let best: Option | undefined
  for (const place of places) {
    const option = optionAt(place, step, groups)
    if (option === undefined) continue
    const isBetter = best === undefined || option.cost < best.cost ||
      (option.cost === best.cost && option.place.free.accelerators < best.place.free.accelerators)
    if (isBetter) best = option
  }
  return best
}

/** The victims at one place that make room for one task: the cheapest first, until it fits. */
function optionAt (place: Place, step: StepState, groups: ReadonlySet<VictimGroup>): Option | undefined {
  if (roomFor(place, step, 1) > 0) return { place, victims: [], cost: 0 }
  const server = place.server.id
  const here = [...groups]
    .filter(group => group.members.some(member => member.run.server === server))
    .sort((left, right) => left.cost - right.cost)
  const victims: VictimGroup[] = []
  const trial: Place = { ...place }
  for (const group of here) {
    victims.push(group)
    for (const member of group.members) if (member.run.server === server) trial.free = addCapacity(trial.free, member.need)
    if (roomFor(trial, step, 1) > 0) return { place, victims, cost: victims.reduce((sum, each) => sum + each.cost, 0) }
  }
  return undefined
}

function free (room: Room, group: VictimGroup): void {
  for (const { run, need } of group.members) {
    const place = room.placeOf(run.server)
    if (place !== undefined) place.free = addCapacity(place.free, need)
  }
}
