/** Messages between entry VMs, carried in the extension messages of the inner protocol. */
import { CornelgaugeError, type Epoch, type VmName } from '@cornelgauge/model'
import type { Job, JobId, JobPhase, QueueName } from '@cornelgauge/jobs'
import type { JobDraft } from './job-store.js'

/** The owner of the planner as known to a VM. */
export interface KnownOwner {
  readonly vm: VmName
  readonly address: string
  readonly epoch: Epoch
  /** Version of its row in the store. */
  readonly version: number
}

/** An entry VM as known to its peers. */
export interface Member {
  readonly vm: VmName
  readonly address: string
  /** Capacity for owning the planner, compared with that of other members; absent in earlier releases. */
  readonly weight?: number
}

/** The replying VM's list of members. */
export interface ListedMembers {
  /** Version of the list; absent if the replying VM's release has none. */
  readonly listVersion?: string
  /** Absent if the requesting VM has this version. */
  readonly members?: readonly Member[]
}

/** A request to a peer; each kind has one kind of reply. */
export type PeerRequest =
  /**
   * Heartbeat of a VM: its name and address, the owner it follows, the milliseconds since the store last
   * answered it, and the version of the receiver's list of members that it has. Earlier releases send no
   * version and require the list in each reply.
   */
  | { readonly kind: 'beat', readonly member: Member, readonly owner?: KnownOwner, readonly storeAge: number, readonly listVersion?: string }
  /** A job from a VM that can't store it; the peer stores it instead. */
  | { readonly kind: 'accept', readonly draft: JobDraft }
  /** Notifies the owner of a stored job. */
  | { readonly kind: 'job', readonly job: Job }
  /** Notifies the owner of a stored cancellation. */
  | { readonly kind: 'cancel', readonly id: JobId }
  | { readonly kind: 'phase', readonly id: JobId }
  | { readonly kind: 'queued', readonly queue: QueueName }
  /** The owner hands over and requests that the receiver claims ownership. */
  | { readonly kind: 'succeed', readonly owner: KnownOwner }

/** The reply to a request. */
export type PeerReply =
  /** `ownedMilliseconds`: time since the owner's claim; absent if the replying VM isn't the owner, or runs an earlier release. */
  | { readonly kind: 'beat', readonly isOwner: boolean, readonly ownedMilliseconds?: number, readonly owner?: KnownOwner, readonly ownerHeardAge: number } & ListedMembers
  | { readonly kind: 'taken' }
  | { readonly kind: 'accept', readonly job: Job }
  | { readonly kind: 'phase', readonly phase?: JobPhase }
  | { readonly kind: 'queued', readonly count: number }

const REQUEST_KINDS: ReadonlySet<unknown> = new Set<PeerRequest['kind']>(['beat', 'accept', 'job', 'cancel', 'phase', 'queued', 'succeed'])

/**
 * Reads the request in a peer's message; the peer may run another release.
 *
 * @throws {CornelgaugeError} `protocol-violation`
 * @example
 * const request = readPeerRequest(message)
 */
export function readPeerRequest (message: unknown): PeerRequest {
  const kind = (message as { kind?: unknown } | null)?.kind
  if (REQUEST_KINDS.has(kind)) return message as PeerRequest
  throw new CornelgaugeError('protocol-violation', { detail: `No question of kind ${JSON.stringify(kind)}` })
}
