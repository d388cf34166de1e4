/** The port to backend servers: polls, starts and stops, all fenced by the owner's epoch. */
import type { Epoch } from '@cornelgauge/model'
import type { ServerId, ServerReport, StartCommand, StartOutcome, StopCommand, StopOutcome } from '@cornelgauge/jobs'

/** Id and address of a backend server. */
export interface ServerTarget {
  readonly id: ServerId
  /** `ip:port` */
  readonly address: string
}

/** One poll: renews the leases of all tasks on the server, and acknowledges the task ends that are stored. */
export interface ServerPoll {
  readonly epoch: Epoch
  /** The incarnation to which position and lease refer; undefined if it isn't known. Any other one gets the poll without them. */
  readonly incarnation: number | undefined
  /** Task ends up to this position are stored. */
  readonly acknowledgedPosition: number
  readonly leaseUntil?: number
  /** How long the server waits for a task to end before it answers, in milliseconds. */
  readonly waitMilliseconds: number
}

/**
 * Calls to a backend server. No incarnation gets what was meant for another: neither a start or a stop, nor a position or a lease.
 * The time limit of a start or a stop holds for its wait in a queue and, anew, for the call. `poll` fails with a `CornelgaugeError`: `stale-epoch` if the
 * server has been called by a newer owner, `server-replaced` if another one answers at its address, otherwise
 * `unavailable` or `timeout`.
 */
export interface BackendServerCalls {
  poll (target: ServerTarget, poll: ServerPoll, timeoutMilliseconds: number): Promise<ServerReport>
  /** Once a connection to the backend server is free, `mayBeSent` decides whether the start is still sent; else it is `unsent`. If none is free in time, it is `expired`. */
  start (target: ServerTarget, command: StartCommand, epoch: Epoch, timeoutMilliseconds: number, mayBeSent?: () => boolean): Promise<StartOutcome>
  stop (target: ServerTarget, command: StopCommand, epoch: Epoch, timeoutMilliseconds: number): Promise<StopOutcome>
  /** Closes the connections to all addresses but these. */
  retainConnections (addresses: ReadonlySet<string>): void
  close (): Promise<void>
}
