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
}

/** A request to a peer; each kind has one kind of reply. */
export type PeerRequest =
  /** Heartbeat of a VM: its name and address, the owner it follows, and the milliseconds since the store last answered it. */
  | { readonly kind: 'beat', readonly member: Member, readonly owner?: KnownOwner, readonly storeAge: number }
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
  | { readonly kind: 'beat', readonly isOwner: boolean, readonly owner?: KnownOwner, readonly members: readonly Member[], readonly ownerHeardAge: number }
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
