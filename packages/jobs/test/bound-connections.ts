/** The connections of a simulated owner to one address, by the incarnation that answers on each. */
import { Connection, type Machine } from './message-network.js'

/**
 * Keeps connections as the platform's `IncarnationConnections` does.
 *
 * @example
 * const connection = connections.take(incarnation) ?? connections.open()
 */
export class BoundConnections {
  readonly #machine: Machine
  /** All in the order in which they were opened, each with its incarnation once that is known. */
  readonly #incarnations = new Map<Connection, number | undefined>()
  readonly #idle = new Set<Connection>()

  constructor (machine: Machine) {
    this.#machine = machine
  }

  /** Takes an idle connection to this incarnation; undefined if there is none. */
  take (incarnation: number | undefined): Connection | undefined {
    for (const connection of this.#idle) {
      if (connection.hasEnded) this.discard(connection)
      else if (this.#incarnations.get(connection) === incarnation) {
        this.#idle.delete(connection)
        return connection
      }
    }
    return undefined
  }

  /** Returns a connection whose incarnation isn't known. */
  open (): Connection {
    const idle = this.take(undefined)
    if (idle !== undefined) return idle
    const connection = new Connection(this.#machine)
    this.#incarnations.set(connection, undefined)
    return connection
  }

  /** Notes which incarnation has answered; connections opened before it to another one are closed. */
  bind (connection: Connection, incarnation: number): void {
    if (!this.#incarnations.has(connection)) return
    this.#incarnations.set(connection, incarnation)
    for (const [earlier, other] of [...this.#incarnations]) {
      if (earlier === connection) return
      if (other !== undefined && other !== incarnation) this.discard(earlier)
    }
  }

  release (connection: Connection): void {
    if (connection.hasEnded || !this.#incarnations.has(connection)) this.discard(connection)
    else this.#idle.add(connection)
  }

  discardIdle (): void {
    for (const connection of [...this.#idle]) this.discard(connection)
  }

  discard (connection: Connection): void {
    this.#idle.delete(connection)
    this.#incarnations.delete(connection)
    connection.close()
  }
}
