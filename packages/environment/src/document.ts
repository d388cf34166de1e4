/**
 * The environment document as the rest of the system reads it, after validation.
 */
import type { CellName, FailureDomainName, KindName, RackName, RegionName, Shape, WorkspaceName } from '@cornelgauge/model'

/** A rack as the operators declare it. */
export interface RackDeclaration {
  readonly name: RackName
  readonly servers: number
  readonly slotsPerServer: number
  readonly acceleratorsPerServer: number
}

/** A cell: the unit of ownership, one failure domain's capacity. Neighbouring racks are neighbours in the list. */
export interface CellDeclaration {
  readonly name: CellName
  readonly region: RegionName
  readonly failureDomain: FailureDomainName
  readonly racks: readonly RackDeclaration[]
}

/** A kind of work. The order of kinds in the document is the order in which they are served. */
export interface KindDeclaration {
  readonly name: KindName
  readonly idempotent: boolean
  /** Urgent work is short, and is never queued behind long work. */
  readonly urgent: boolean
  /** Can be checkpointed and moved, and so may borrow idle guaranteed capacity. */
  readonly checkpointable: boolean
  /** Share of a cell's slots and accelerators that it gets under pressure, 0 to 1. */
  readonly minimumShare: number
  readonly shape: Shape
  readonly declaredMilliseconds: number
  /** Most attempts of idempotent work. */
  readonly maximumAttempts: number
}

/** Capacity that is always there for a workspace, in each of its cells. */
export interface Guarantee {
  readonly shape: Shape
  /** How many such shapes. */
  readonly count: number
}

/** A team with its guarantees and limits. */
export interface WorkspaceDeclaration {
  readonly name: WorkspaceName
  /** Part in what is left beyond guarantees, relative to the other workspaces. */
  readonly weight: number
  /** Cells that its requests may go to; all of them where the document names none. */
  readonly cells: readonly CellName[]
  readonly guarantees: readonly Guarantee[]
  /** Most requests that wait at once, per cell. */
  readonly maximumPending: number
}

/** Times that the document sets, in milliseconds. */
export interface DocumentTimes {
  /** Longest time between a claim on a guaranteed shape and its being there. */
  readonly reclaimMilliseconds: number
  /** How long an ended request can be read. */
  readonly retentionMilliseconds: number
  /** Lease of running tasks on backend servers. */
  readonly taskLeaseMilliseconds: number
}

/** A whole environment document. */
export interface EnvironmentDocument {
  readonly name: string
  /** Number of the rule by which requests find their cell; it changes with the cells. */
  readonly generation: number
  readonly cells: readonly CellDeclaration[]
  readonly kinds: readonly KindDeclaration[]
  readonly workspaces: readonly WorkspaceDeclaration[]
  readonly times: DocumentTimes
}
