/** Takes the capacity that is held for waiting steps out of the snapshots of a round, so that nothing else gets it. */
import type { CapacityHolds } from './capacity-holds.js'
import { countFitting, type CapacitySnapshot, type PlacementTarget } from './capacity-snapshot.js'
import type { ServerId } from './ids.js'
import { startUnitOf } from './start-unit.js'
import type { StepState } from './step-state.js'

/**
 * The holds of one round. Each step gets its own capacity back while its tasks are placed.
 *
 * @example
 * holds.take(step => claims.has(step.job))
 * holds.open(step)
 * place(step)
 * holds.close(step)
 */
export class RoundHolds {
  readonly #holds: CapacityHolds
  readonly #current: CapacitySnapshot
  readonly #afterStops: CapacitySnapshot
  /** What is taken out of the snapshots, by step. */
  readonly #taken = new Map<StepState, readonly ServerId[]>()

  constructor (holds: CapacityHolds, current: CapacitySnapshot, afterStops: CapacitySnapshot) {
    this.#holds = holds
    this.#current = current
    this.#afterStops = afterStops
  }

  /** Takes the holds of these steps, in the order in which they got them. One that no longer fits is withdrawn. */
  take (isIncluded: (step: StepState) => boolean): void {
    for (const step of this.#holds.steps) {
      if (this.#taken.has(step) || !isIncluded(step)) continue
      this.#holds.set(step, this.#validServers(step))
      this.#takeServers(step)
    }
  }

  /** True if capacity is held for a step. */
  has (step: StepState): boolean {
    return this.#holds.of(step).length > 0
  }

  /** Backend servers held for a step. */
  of (step: StepState): readonly ServerId[] {
    return this.#holds.of(step)
  }

  /** Gives a step its capacity back, so that its tasks can be placed there. */
  open (step: StepState): void {
    for (const id of this.#taken.get(step) ?? []) {
      this.#current.giveBack(this.#current.targetOf(id)!, step)
      this.#afterStops.giveBack(this.#afterStops.targetOf(id)!, step)
    }
    this.#taken.delete(step)
  }

  /** Takes what is still held for a step after its tasks were placed, or could not be. */
  close (step: StepState): void {
    if (!this.#taken.has(step)) this.#takeServers(step)
  }

  /** Holds targets for a step from now on. */
  add (step: StepState, targets: readonly PlacementTarget[]): void {
    this.#holds.set(step, targets.map(({ server }) => server.id))
    this.#takeServers(step)
  }

  /**
   * True if the capacity that is being freed for a step will do for this many tasks, so that nothing more is freed. If all of it is
   * free and the tasks weren't placed, though it was their turn, something else keeps them from it, and the hold is withdrawn.
   */
  suffices (step: StepState, count: number, isDeferred: boolean): boolean {
    const servers = this.#holds.of(step)
    if (servers.length < count) return false
    if (isDeferred || !this.#fits(this.#current, step, servers)) return true
    this.withdraw(step)
    return false
  }

  /** Ends the hold of a step whose plan no longer applies. */
  withdraw (step: StepState): void {
    this.#holds.set(step, [])
  }

  #takeServers (step: StepState): void {
    const servers = this.#holds.of(step)
    for (const id of servers) {
      this.#current.take(this.#current.targetOf(id)!, step)
      this.#afterStops.take(this.#afterStops.targetOf(id)!, step)
    }
    if (servers.length > 0) this.#taken.set(step, servers)
  }

  /** The held backend servers that can still be used: those of a gang all or none. */
  #validServers (step: StepState): readonly ServerId[] {
    const unit = step.job.isOpen ? startUnitOf(step) : undefined
    if (unit === undefined) return []
    const servers = this.#holds.of(step).slice(0, unit.count)
    if (this.#fits(this.#afterStops, step, servers)) return servers
    if (step.specification.isGang) return []
    const valid: ServerId[] = []
    for (const id of servers) if (this.#fits(this.#afterStops, step, [...valid, id])) valid.push(id)
    return valid
  }

  /** True if a task of the step fits for each entry. */
  #fits (snapshot: CapacitySnapshot, step: StepState, servers: readonly ServerId[]): boolean {
    const counts = new Map<ServerId, number>()
    for (const id of servers) counts.set(id, (counts.get(id) ?? 0) + 1)
    snapshot.work.add(counts.size)
    return [...counts].every(([id, count]) => {
      const target = snapshot.targetOf(id)
      return target !== undefined && countFitting(target, step, count) >= count
    })
  }
}
