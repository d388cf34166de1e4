/** Ends of runs that backend servers may forget once their effects are stored. */
import type { JobId } from './ids.js'
import type { Server } from './server.js'

/** Ends that a backend server has listed, up to a position. */
export interface ListedEnds {
  readonly server: Server
  readonly incarnation: number
  readonly position: number
  /** Number of the last change when they were applied. */
  readonly change: number
  /** Jobs of which there are any among them. */
  readonly jobs: ReadonlySet<JobId>
}

/**
 * The ends that aren't acknowledged. A backend server forgets all ends up to a position, so those of one are
 * acknowledged in order.
 *
 * @example
 * acknowledgements.add({ server, incarnation, position: 7, change, jobs })
 * acknowledgements.acknowledge(({ change }) => change < oldestUnstored)
 */
export class PendingAcknowledgements {
  #pending: ListedEnds[] = []

  add (ends: ListedEnds): void {
    this.#pending.push(ends)
  }

  /** Acknowledges those that are stored. */
  acknowledge (areStored: (ends: ListedEnds) => boolean): void {
    const waiting = new Set<Server>()
    this.#pending = this.#pending.filter(ends => {
      const { server, incarnation, position } = ends
      if (server.entry.incarnation !== incarnation) return false
      if (waiting.has(server) || !areStored(ends)) {
        waiting.add(server)
        return true
      }
      server.acknowledgedPosition = Math.max(server.acknowledgedPosition, position)
      return false
    })
  }
}
