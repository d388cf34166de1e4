/** Messages between entry VMs, carried in the extension messages of the inner protocol. */
import { CornelgaugeError, type Epoch, type VmName } from '@cornelgauge/model'
import type { Job, JobId, JobPhase, QueueName } from '@cornelgauge/jobs'
import type { ConfigurationRows, ConfirmedConfiguration } from './configuration-exchange.js'
import { isJobDraft } from './job-record.js'
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
   * version and require the list in each reply. `ownedMilliseconds` is that of the newest reply of the owner it follows, 0 before
   * the first: the heartbeat was sent later than that reply. Earlier releases don't send it. `staleConfiguration` is the version of
   * its configuration, if the store hasn't confirmed it lately.
   */
  | { readonly kind: 'beat', readonly member: Member, readonly owner?: KnownOwner, readonly storeAge: number, readonly listVersion?: string, readonly ownedMilliseconds?: number, readonly staleConfiguration?: number }
  /** A job from a VM that can't store it; the peer stores it instead. */
  | { readonly kind: 'accept', readonly draft: JobDraft }
  /** Notifies the owner of a stored job. */
  | { readonly kind: 'job', readonly job: Job }
  /** Notifies the owner of a stored cancellation. */
  | { readonly kind: 'cancel', readonly id: JobId }
  | { readonly kind: 'phase', readonly id: JobId }
  | { readonly kind: 'queued', readonly queue: QueueName }
  /** Requests the receiver's configuration. */
  | { readonly kind: 'configuration' }
  /** The owner hands over and requests that the receiver claims ownership. */
  | { readonly kind: 'succeed', readonly owner: KnownOwner }

/** The reply to a request. */
export type PeerReply =
  /**
   * `ownedMilliseconds`: time since the owner's claim; `waitingJobs`: accepted jobs that it has left in the store, once it has
   * loaded. Absent if the replying VM isn't the owner, or runs an earlier release. `storeAge` is as in the request; earlier releases
   * don't send it. `configuration`: what the replying VM knows of the configuration, if that helps the other one.
   */
  | { readonly kind: 'beat', readonly isOwner: boolean, readonly storeAge?: number, readonly configuration?: ConfirmedConfiguration, readonly ownedMilliseconds?: number, readonly waitingJobs?: number, readonly owner?: KnownOwner, readonly ownerHeardAge: number } & ListedMembers
  | { readonly kind: 'taken' }
  | { readonly kind: 'accept', readonly job: Job }
  | { readonly kind: 'phase', readonly phase?: JobPhase }
  | { readonly kind: 'queued', readonly count: number }
  | { readonly kind: 'configuration', readonly configuration: ConfigurationRows }

type Fields = Readonly<Record<string, unknown>>
type Check = (fields: Fields) => boolean

const isFields = (value: unknown): value is Fields => typeof value === 'object' && value !== null
const isString = (value: unknown): boolean => typeof value === 'string'
/** Ages may be Infinity: what they count from never happened. */
const isNumber = (value: unknown): boolean => typeof value === 'number' && !Number.isNaN(value)
const isWhole = (value: unknown): boolean => Number.isSafeInteger(value) && Number(value) >= 0
const isAbsentOr = (check: (value: unknown) => boolean) => (value: unknown): boolean => value === undefined || check(value)
const isMember = (value: unknown): boolean => isFields(value) && isString(value.vm) && isString(value.address) && isAbsentOr(isNumber)(value.weight)
const isOwner = (value: unknown): boolean => isFields(value) && isString(value.vm) && isString(value.address) && isWhole(value.epoch) && isWhole(value.version)
const isDraftWithId = (value: unknown): boolean => isFields(value) && isString(value.id) && isJobDraft(value)
const isJob = (value: unknown): boolean => isFields(value) && isDraftWithId(value) && isWhole(value.acceptedUnder)
const areMembers = (value: unknown): boolean => Array.isArray(value) && value.every(isMember)

const isConfirmation = (value: unknown): boolean => isFields(value) && isWhole(value.version) && isNumber(value.age) && Number(value.age) >= 0

const REQUEST_CHECKS: Readonly<Record<PeerRequest['kind'], Check>> = {
  beat: ({ member, owner, storeAge, listVersion, ownedMilliseconds, staleConfiguration }) => isMember(member) && isAbsentOr(isOwner)(owner) && isNumber(storeAge) && isAbsentOr(isString)(listVersion) && isAbsentOr(isNumber)(ownedMilliseconds) && isAbsentOr(isNumber)(staleConfiguration),
  accept: ({ draft }) => isDraftWithId(draft),
  job: ({ job }) => isJob(job),
  cancel: ({ id }) => isString(id),
  phase: ({ id }) => isString(id),
  queued: ({ queue }) => isString(queue),
  configuration: () => true,
  succeed: ({ owner }) => isOwner(owner)
}

const REPLY_CHECKS: Readonly<Record<PeerReply['kind'], Check>> = {
  beat: ({ isOwner: claimsToOwn, owner, ownerHeardAge, storeAge, configuration, ownedMilliseconds, waitingJobs, listVersion, members }) => typeof claimsToOwn === 'boolean' && isNumber(ownerHeardAge) &&
    isAbsentOr(isOwner)(owner) && isAbsentOr(isNumber)(storeAge) && isAbsentOr(isConfirmation)(configuration) && isAbsentOr(isNumber)(ownedMilliseconds) && isAbsentOr(isWhole)(waitingJobs) && isAbsentOr(isString)(listVersion) && isAbsentOr(areMembers)(members),
  taken: () => true,
  accept: ({ job }) => isJob(job),
  phase: ({ phase }) => isAbsentOr(isString)(phase),
  queued: ({ count }) => isWhole(count),
  configuration: ({ configuration }) => isConfirmation(configuration) && isFields((configuration as Fields).rows)
}

/**
 * Reads the request in a peer's message; the peer may run another release.
 *
 * @throws {CornelgaugeError} `protocol-violation`
 * @example
 * const request = readPeerRequest(message)
 */
export function readPeerRequest (message: unknown): PeerRequest {
  if (hasFieldsOf(REQUEST_CHECKS, message)) return message as unknown as PeerRequest
  throw new CornelgaugeError('protocol-violation', { detail: `The request of kind ${String(kindOf(message))} can't be read` })
}

/**
 * Reads the reply in a peer's message.
 *
 * @throws {CornelgaugeError} `protocol-violation`
 * @example
 * const reply = readPeerReply(message)
 */
export function readPeerReply (message: unknown): PeerReply {
  if (hasFieldsOf(REPLY_CHECKS, message)) return message as unknown as PeerReply
  throw new CornelgaugeError('protocol-violation', { detail: `The reply of kind ${String(kindOf(message))} can't be read` })
}

function hasFieldsOf (checks: Readonly<Record<string, Check>>, message: unknown): message is Fields {
  const kind = kindOf(message)
  return isFields(message) && typeof kind === 'string' && Object.hasOwn(checks, kind) && checks[kind]!(message)
}

function kindOf (message: unknown): unknown {
  return isFields(message) ? message.kind : undefined
}
