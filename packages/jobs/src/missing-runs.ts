/** Remembers runs whose leases have expired while their backend server was unreachable. */
import type { ServerId } from './ids.js'
import type { Run, Server } from './server.js'

/** The runs that a backend server had when their leases expired. */
interface MissingGroup {
  readonly server: Server
  readonly runs: readonly Run[]
}

/**
 * Runs of unreachable backend servers. They count as lost once the server is back with another
 * incarnation, or under another id at its address, and as nothing if it was only cut off.
 *
 * @example
 * state.missingRuns.take(server.id)
 */
export class MissingRuns {
  readonly #groups = new Map<ServerId, MissingGroup>()

  /** Adds the runs of a backend server; drops earlier ones that no longer matter. */
  add (server: Server, runs: readonly Run[], matters: (run: Run) => boolean): void {
    for (const [id, group] of this.#groups) if (!group.runs.some(matters)) this.#groups.delete(id)
    this.#groups.set(server.id, { server, runs: [...this.#groups.get(server.id)?.runs ?? [], ...runs] })
  }

  /** Removes and returns the runs of a backend server. */
  take (id: ServerId): readonly Run[] {
    const runs = this.of(id)
    this.#groups.delete(id)
    return runs
  }

  /** Returns the runs of a backend server. */
  of (id: ServerId): readonly Run[] {
    return this.#groups.get(id)?.runs ?? []
  }

  /** When the outage of a backend server with missing runs was first seen; undefined if it has none. */
  outageOf (id: ServerId): number | undefined {
    return this.#groups.get(id)?.server.outageAt
  }

  /** The backend servers with missing runs. */
  get servers (): readonly Server[] {
    return [...this.#groups.values()].map(({ server }) => server)
  }
}
