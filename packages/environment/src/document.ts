/**
 * The environment document after validation, with its defaults filled in.
 */
import type { CellName, FailureDomainName, KindName, RackName, RegionName, Shape, WorkspaceName } from '@cornelgauge/model'

/** A rack as declared by the operators. */
export interface RackDeclaration {
  readonly name: RackName
  readonly servers: number
  readonly slotsPerServer: number
  readonly acceleratorsPerServer: number
}

/** A cell: the unit of ownership, with the capacity of one failure domain. Racks that are adjacent in the list are neighbouring racks. */
export interface CellDeclaration {
  readonly name: CellName
  readonly region: RegionName
  readonly failureDomain: FailureDomainName
  readonly racks: readonly RackDeclaration[]
}

/** A kind of work. Kinds are served in the order in which the document lists them. */
export interface KindDeclaration {
  readonly name: KindName
  readonly idempotent: boolean
  /** Urgent work is short and is never queued behind long work. */
  readonly urgent: boolean
  /** Tasks can be checkpointed and moved, so they may use idle guaranteed capacity of other workspaces. */
  readonly checkpointable: boolean
  /** Minimum share of a cell's slots and accelerators under contention, 0 to 1. */
  readonly minimumShare: number
  readonly shape: Shape
  readonly declaredMilliseconds: number
  /** Maximum number of attempts; always 1 for work that isn't idempotent. */
  readonly maximumAttempts: number
}

/** Capacity guaranteed to a workspace in each of its cells. */
export interface Guarantee {
  readonly shape: Shape
  /** How many allocations of this shape are guaranteed. */
  readonly count: number
}

/** A team with its guarantees and limits. */
export interface WorkspaceDeclaration {
  readonly name: WorkspaceName
  /** Weight of the workspace in sharing the capacity beyond guarantees. */
  readonly weight: number
  /** Cells that may be the home of its requests; all cells if the document names none. */
  readonly cells: readonly CellName[]
  readonly guarantees: readonly Guarantee[]
  /** Maximum number of pending requests per cell. */
  readonly maximumPending: number
}

/** Time settings of the document, in milliseconds. */
export interface DocumentTimes {
  /** Maximum time from a claim on guaranteed capacity until it is available. */
  readonly reclaimMilliseconds: number
  /** How long a request stays readable after it has ended. */
  readonly retentionMilliseconds: number
  /** Duration of the lease of running tasks on backend servers. */
  readonly taskLeaseMilliseconds: number
}

/** A complete environment document. */
export interface EnvironmentDocument {
  readonly name: string
  /** Generation of the mapping of requests to cells; it has to be raised when the cells change. */
  readonly generation: number
  readonly cells: readonly CellDeclaration[]
  readonly kinds: readonly KindDeclaration[]
  readonly workspaces: readonly WorkspaceDeclaration[]
  readonly times: DocumentTimes
}
