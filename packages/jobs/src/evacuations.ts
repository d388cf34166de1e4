/**
 * The failure domains that operators have ordered to be evacuated: nothing is started there until the order is withdrawn.
 * Orders may come late, twice or for a failure domain without backend servers; each reading replaces all of them.
 */
import type { Epoch } from '@cornelgauge/model'
import { EvacuationMoves } from './evacuation-moves.js'
import type { Server } from './server.js'
import type { PlannerState } from './state.js'

/** An order that begins or ends, with the number of backend servers and runs in its failure domain. */
export type EvacuationEvent =
  | { readonly type: 'domain-evacuated', readonly failureDomain: string, readonly servers: number, readonly runs: number, readonly epoch: Epoch }
  | { readonly type: 'domain-in-service', readonly failureDomain: string, readonly servers: number, readonly runs: number, readonly epoch: Epoch, readonly milliseconds: number }

/** The evacuated failure domains of one owner, with the time since which it knows of each order. */
export class Evacuations {
  readonly #since = new Map<string, number>()
  readonly moves = new EvacuationMoves()

  /** Number of evacuated failure domains. */
  get size (): number {
    return this.#since.size
  }

  /** True if nothing may be started on a backend server. */
  has ({ entry }: Server): boolean {
    return this.#since.has(entry.failureDomain)
  }

  /** True if the order for the failure domain of a backend server has held for so long. */
  hasHeldFor ({ entry }: Server, milliseconds: number, now: number): boolean {
    return now - (this.#since.get(entry.failureDomain) ?? Infinity) >= milliseconds
  }

  /** Replaces the orders, and returns those that are new and the failure domains whose order is withdrawn, with its duration. */
  replace (failureDomains: ReadonlySet<string>, now: number): { readonly ordered: readonly string[], readonly withdrawn: ReadonlyMap<string, number> } {
    const ordered = [...failureDomains].filter(name => !this.#since.has(name))
    const withdrawn = new Map([...this.#since].filter(([name]) => !failureDomains.has(name)).map(([name, since]) => [name, now - since]))
    for (const name of ordered) this.#since.set(name, now)
    for (const name of withdrawn.keys()) this.#since.delete(name)
    return { ordered, withdrawn }
  }
}

/**
 * Applies the orders in force, and records an event for each that begins or ends.
 *
 * @example
 * applyEvacuations(state, new Set(['north']), now)
 */
export function applyEvacuations (state: PlannerState, failureDomains: ReadonlySet<string>, now: number): void {
  const { ordered, withdrawn } = state.evacuations.replace(failureDomains, now)
  for (const failureDomain of ordered) state.recordEvent({ type: 'domain-evacuated', failureDomain, ...countIn(state, failureDomain), epoch: state.epoch })
  for (const [failureDomain, milliseconds] of withdrawn) state.recordEvent({ type: 'domain-in-service', failureDomain, ...countIn(state, failureDomain), epoch: state.epoch, milliseconds })
}

/**
 * Counts the runs on the backend servers of evacuated failure domains.
 *
 * @example
 * runsInEvacuated(state)
 */
export function runsInEvacuated (state: PlannerState): number {
  if (state.evacuations.size === 0) return 0
  let runs = 0
  for (const server of state.servers.values()) if (state.evacuations.has(server)) runs += server.runs.size
  return runs
}

function countIn (state: PlannerState, failureDomain: string): { readonly servers: number, readonly runs: number } {
  const servers = [...state.servers.values()].filter(({ entry }) => entry.failureDomain === failureDomain)
  return { servers: servers.length, runs: servers.reduce((sum, { runs }) => sum + runs.size, 0) }
}
