/** The port to backend servers: looks, starts and stops under the owner's epoch. */
import type { Epoch } from '@cornelgauge/model'
import type { RunNumber, ServerId, ServerReport, StartCommand, StartOutcome, StopOutcome, TaskName } from '@cornelgauge/jobs'

/** A backend server to be called. */
export interface ServerTarget {
  readonly id: ServerId
  /** `ip:port` */
  readonly address: string
}

/** One look: renews the lease of all that runs there, and tells which ends are stored. */
export interface Look {
  readonly epoch: Epoch
  readonly notedPosition: number
  readonly leaseUntil?: number
  /** How long to wait for an end, in milliseconds. */
  readonly waitMilliseconds: number
}

/**
 * What can be asked of a backend server. `look` fails with a `CornelgaugeError`:
 * `stale-epoch` where a newer owner has been there, else `unavailable` or `timeout`.
 */
export interface BackendServerCalls {
  look (target: ServerTarget, look: Look, timeoutMilliseconds: number): Promise<ServerReport>
  start (target: ServerTarget, command: StartCommand, epoch: Epoch, timeoutMilliseconds: number): Promise<StartOutcome>
  stop (target: ServerTarget, task: TaskName, run: RunNumber, epoch: Epoch, timeoutMilliseconds: number): Promise<StopOutcome>
  /** Forgets the connections to backend servers that aren't among these. */
  keep (addresses: ReadonlySet<string>): void
  close (): Promise<void>
}
