/** What entry VMs say to each other, carried by the inner protocol's extension messages. */
import { CornelgaugeError, type Epoch, type VmName } from '@cornelgauge/model'
import type { Job, JobId, JobPhase, QueueName } from '@cornelgauge/jobs'
import type { JobDraft } from './job-store.js'

/** The owner as a VM knows it. */
export interface KnownOwner {
  readonly vm: VmName
  readonly address: string
  readonly epoch: Epoch
  /** Version of its row in the store. */
  readonly version: number
}

/** A VM as its peers know it. */
export interface Member {
  readonly vm: VmName
  readonly address: string
}

/** What is asked; each kind has one answer. */
export type PeerQuestion =
  /** Heartbeat of a VM: who it is, what owner it follows and how long ago the store answered it. */
  | { readonly kind: 'beat', readonly member: Member, readonly owner?: KnownOwner, readonly storeAge: number }
  /** A caller's job, from a VM that the store turns away; the peer stores it. */
  | { readonly kind: 'accept', readonly draft: JobDraft }
  /** A job was stored. */
  | { readonly kind: 'job', readonly job: Job }
  /** A job's cancel was stored. */
  | { readonly kind: 'cancel', readonly id: JobId }
  | { readonly kind: 'phase', readonly id: JobId }
  | { readonly kind: 'queued', readonly queue: QueueName }
  /** The owner leaves and asks its successor to claim. */
  | { readonly kind: 'succeed', readonly owner: KnownOwner }

/** What is answered. */
export type PeerAnswer =
  | { readonly kind: 'beat', readonly isOwner: boolean, readonly owner?: KnownOwner, readonly members: readonly Member[], readonly ownerHeardAge: number }
  | { readonly kind: 'taken' }
  | { readonly kind: 'accept', readonly job: Job }
  | { readonly kind: 'phase', readonly phase?: JobPhase }
  | { readonly kind: 'queued', readonly count: number }

const QUESTION_KINDS: ReadonlySet<unknown> = new Set<PeerQuestion['kind']>(['beat', 'accept', 'job', 'cancel', 'phase', 'queued', 'succeed'])

/**
 * The question in a message of a peer, which may be of another release.
 *
 * @throws {CornelgaugeError} `protocol-violation`
 * @example
 * const question = readQuestion(message)
 */
export function readQuestion (message: unknown): PeerQuestion {
  const kind = (message as { kind?: unknown } | null)?.kind
  if (QUESTION_KINDS.has(kind)) return message as PeerQuestion
  throw new CornelgaugeError('protocol-violation', { detail: `No question of kind ${JSON.stringify(kind)}` })
}
