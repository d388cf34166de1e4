/**
 * Capacity that is being freed for waiting steps. Without it, each round would decide anew for whom the capacity of
 * stopped runs is: work that precedes in the placement order would take it, and be stopped for it again.
 */
import type { ServerId } from './ids.js'
import type { StepState } from './step-state.js'

/**
 * The backend servers that are held for each step, one entry per task. A hold ends when the tasks start, when their
 * job ends, or when the plan is withdrawn.
 *
 * @example
 * holds.set(step, plan.targets.map(({ server }) => server.id))
 */
export class CapacityHolds {
  readonly #servers = new Map<StepState, readonly ServerId[]>()

  /** Steps with a hold, in the order in which they got it. */
  get steps (): readonly StepState[] {
    return [...this.#servers.keys()]
  }

  /** Returns the backend servers that are held for a step, one for each task. */
  of (step: StepState): readonly ServerId[] {
    return this.#servers.get(step) ?? []
  }

  /** Holds these backend servers for a step in place of others; none end its hold. */
  set (step: StepState, servers: readonly ServerId[]): void {
    if (servers.length === 0) this.#servers.delete(step)
    else this.#servers.set(step, servers)
  }

  /** Ends the hold of one task that starts: that on its backend server, or else the last one. */
  noteStarted (step: StepState, server: ServerId): void {
    const servers = this.#servers.get(step)
    if (servers === undefined) return
    const index = servers.includes(server) ? servers.indexOf(server) : servers.length - 1
    this.set(step, servers.filter((_, position) => position !== index))
  }
}
