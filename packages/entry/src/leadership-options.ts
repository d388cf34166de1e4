/** What leader election needs from its VM. */
import type { Clock, RowStore } from '@cornelgauge/ports'
import type { EmitEvent } from '@cornelgauge/telemetry'
import type { ConfigurationExchange } from './configuration-exchange.js'
import type { Member } from './messages.js'
import type { OwnerRecord } from './owner-record.js'
import type { Peers } from './peers.js'

/** Options of `Leadership`. */
export interface LeadershipOptions {
  readonly self: Member
  readonly seeds: readonly string[]
  readonly store: RowStore
  readonly peers: Peers
  readonly emit: EmitEvent
  /** The steady clock; the system's unless a test advances its own. */
  readonly clock?: Clock
  /** Milliseconds since the store last answered this VM. */
  readonly storeAge: () => number
  /** Called when this VM has become the owner, to load the planner; the signal aborts when it no longer is. */
  readonly onOwned: (owner: OwnerRecord, signal: AbortSignal) => Promise<void>
  /** Called when another VM has become the owner. */
  readonly onLost: () => void
  /** As owner: number of accepted jobs that wait in the store; undefined until the planner is loaded. */
  readonly waitingJobs?: () => number | undefined
  /** Called with that number as the owner says it. */
  readonly onWaitingJobs?: (count: number) => void
  /** Passes on what VMs know of the configuration. */
  readonly configuration?: ConfigurationExchange
}
