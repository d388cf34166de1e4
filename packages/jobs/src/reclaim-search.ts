/** Searches for the cheapest targets of a step among some backend servers, when groups may be stopped. */
import { addCapacity, fits, type Capacity } from './capacity.js'
import { countedNeed, mostTasksOn, type PlacementTarget } from './capacity-snapshot.js'
import type { ServerId } from './ids.js'
import { withTasks, type TaskCounts } from './server.js'
import type { StepState } from './step-state.js'
import type { ReclaimPlan, VictimGroup } from './reclaim.js'
import type { RoundWork } from './round-work.js'
import type { GroupShare, VictimIndex } from './victim-index.js'

/** A target with the groups to stop there, so that one task fits. */
interface TargetOption {
  readonly target: PlacementTarget
  /** Position among the targets; of equal options the first is chosen. */
  readonly position: number
  readonly victims: readonly VictimGroup[]
  readonly cost: number
}

/**
 * One search. It computes the option of each target once, and again only where a choice
 * has changed the target or stopped a group.
 *
 * @example
 * const plan = new ReclaimSearch(targets, step, victims, work).plan(step.count)
 */
export class ReclaimSearch {
  readonly #step: StepState
  /** What one task takes. */
  readonly #need: Capacity
  readonly #victims: VictimIndex
  readonly #work: RoundWork
  /** Targets by position, as they are after the choices so far. */
  readonly #targets: PlacementTarget[]
  readonly #positions: ReadonlyMap<ServerId, number>
  readonly #stopped = new Set<VictimGroup>()
  #cost = 0
  /** Option of each position; undefined where no task fits. */
  readonly #options: (TargetOption | undefined)[]
  /** All options, the best last. */
  readonly #sorted: TargetOption[]

  constructor (among: readonly PlacementTarget[], step: StepState, victims: VictimIndex, work: RoundWork) {
    this.#step = step
    this.#need = countedNeed(step)
    this.#victims = victims
    this.#work = work
    this.#targets = [...among]
    this.#positions = new Map(among.map((target, position) => [target.server.id, position]))
    this.#options = among.map((_, position) => this.#optionAt(position))
    this.#sorted = this.#options.filter(option => option !== undefined).sort(compareWorstFirst)
  }

  /** Chooses targets for `count` tasks; undefined if they don't all fit, or if the stops don't cost less than the limit. */
  plan (count: number, costLimit = Infinity): ReclaimPlan | undefined {
    const targets: PlacementTarget[] = []
    while (targets.length < count && this.#cost < costLimit) {
      const option = this.#sorted.at(-1)
      if (option === undefined) return undefined
      this.#choose(option)
      targets.push(option.target)
    }
    return this.#cost < costLimit ? { targets, victims: [...this.#stopped], cost: this.#cost } : undefined
  }

  #choose ({ position, victims }: TargetOption): void {
    const changed = new Set([position])
    for (const group of victims) {
      this.#stopped.add(group)
      this.#cost += group.cost
      for (const { server, need } of group.needs) {
        const other = this.#positions.get(server)
        if (other === undefined) continue
        this.#targets[other] = { ...this.#targets[other]!, free: addCapacity(this.#targets[other]!.free, need) }
        changed.add(other)
      }
    }
    const target = this.#targets[position]!
    this.#targets[position] = { ...target, free: addCapacity(target.free, this.#need, -1), tasksOf: this.#withTask(target) }
    for (const each of changed) this.#updateOption(each)
  }

  /** The tasks on a target with one more of the step; counted only where their number is limited. */
  #withTask ({ tasksOf }: PlacementTarget): TaskCounts {
    return this.#step.specification.mostPerServer === undefined ? tasksOf : withTasks(tasksOf, this.#step, 1)
  }

  #updateOption (position: number): void {
    const before = this.#options[position]
    if (before !== undefined) this.#sorted.splice(this.#rankOf(before), 1)
    const option = this.#optionAt(position)
    this.#options[position] = option
    if (option !== undefined) this.#sorted.splice(this.#rankOf(option), 0, option)
  }

  /** Index of an option in the sorted list, or where it belongs. */
  #rankOf (option: TargetOption): number {
    let low = 0
    let high = this.#sorted.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (compareWorstFirst(this.#sorted[middle]!, option) < 0) low = middle + 1
      else high = middle
    }
    return low
  }

  /** Chooses victims on one backend server, the cheapest first, until one task fits. */
  #optionAt (position: number): TargetOption | undefined {
    const target = this.#targets[position]!
    this.#work.add(1)
    if (mostTasksOn(target, this.#step, 1) <= 0) return undefined
    if (fits(target.free, this.#need)) return { target, position, victims: [], cost: 0 }
    const shares: GroupShare[] = []
    let { free } = target
    for (const share of this.#victims.at(target.server.id)) {
      this.#work.add(1)
      if (this.#stopped.has(share.group)) continue
      shares.push(share)
      free = addCapacity(free, share.need)
      if (fits(free, this.#need)) return { target, position, ...this.#requiredVictims(free, shares) }
    }
    return undefined
  }

  /** Drops the groups that one task doesn't need, the most expensive ones first: the last group may have freed more than was missing. */
  #requiredVictims (freeAfterAll: Capacity, shares: readonly GroupShare[]): { readonly victims: readonly VictimGroup[], readonly cost: number } {
    const victims: VictimGroup[] = []
    let cost = 0
    let free = freeAfterAll
    for (let index = shares.length - 1; index >= 0; index -= 1) {
      const { group, need } = shares[index]!
      this.#work.add(1)
      const freeWithout = addCapacity(free, need, -1)
      if (fits(freeWithout, this.#need)) {
        free = freeWithout
      } else {
        victims.push(group)
        cost += group.cost
      }
    }
    return { victims, cost }
  }
}

/** Orders by cost, then the fullest, then the first; the best last. */
function compareWorstFirst (left: TargetOption, right: TargetOption): number {
  return right.cost - left.cost || right.target.free.accelerators - left.target.free.accelerators || right.position - left.position
}
