/**
 * Routes calls to the owner of their cell, on this VM or another. Retries are safe:
 * the cell's ledger finds the first attempt by the request's key, and both get the
 * same result, even if the first was refused. So a call whose connection was lost is
 * simply repeated.
 */
import { homeCell, type EnvironmentDocument } from '@cornelgauge/environment'
import {
  asFailure, CornelgaugeError, digestOf, fromProblem, requestId, type CellName, type RequestId, type RequestKey, type RequestRecord, type Submission, type WorkspaceName
} from '@cornelgauge/model'
import type { Clock, ObjectStore } from '@cornelgauge/ports'
import type { CallId, CallReply, OwnerEvent } from '@cornelgauge/scheduler'
import type { CallBody, ReplyBody } from '@cornelgauge/wire'
import type { CellHost, KnownOwner } from './cell-host.js'
import type { Replies } from './replies.js'

/** Time that an owner may take to answer, in addition to the wait that the caller requested. */
const OWNER_TIMEOUT_MILLISECONDS = 12_000
/** How long a call keeps searching for an owner. */
const OWNER_SEARCH_TIMEOUT_MILLISECONDS = 10_000
/** Interval between two attempts to find or call an owner. */
const OWNER_SEARCH_INTERVAL_MILLISECONDS = 100

/** The result of a routed call: the request's record in its home cell. */
export interface RoutedRecord {
  readonly cell: CellName
  readonly record: RequestRecord
  readonly asOf?: number
}

/** Calls a peer by its address; rejects as `WireClient` does. */
export interface PeerCaller {
  call (address: string, body: CallBody, timeoutMilliseconds: number): Promise<ReplyBody>
}

/** Dependencies of the router. */
export interface RouterOptions {
  readonly host: CellHost
  readonly replies: Replies
  readonly wire: PeerCaller
  readonly clock: Clock
  readonly objects: ObjectStore
  /** Returns the document in force; throws `not-ready` if there is none. */
  readonly document: () => EnvironmentDocument
}

/** A call that the router can repeat; each attempt differs only in the remaining wait. */
interface RoutedCall {
  readonly cell: CellName
  readonly waitUntil: number
  /** True if the call may change the request's state. */
  readonly mayChangeState: boolean
  readonly event: (call: CallId) => OwnerEvent
  readonly body: (waitMilliseconds: number) => CallBody
}

/** Codes of failures after which the call is repeated. */
const RETRIABLE_CODES: ReadonlySet<string> = new Set(['not-owner', 'connection-lost', 'timeout', 'no-owner', 'not-ready', 'stranger-refused', 'unavailable'])

/** Routes calls to cell owners. */
export class Router {
  readonly #options: RouterOptions

  constructor (options: RouterOptions) {
    this.#options = options
  }

  /**
   * Submits a request to its home cell.
   *
   * @throws CornelgaugeError with the request's state if it is known
   */
  submit (submission: Submission, waitMilliseconds: number): Promise<RoutedRecord> {
    const cell = this.#homeCell(submission.workspace, submission.key)
    const waitUntil = this.#options.clock.now() + waitMilliseconds
    return this.#route({
      cell,
      waitUntil,
      mayChangeState: true,
      event: call => ({ type: 'submit', call, submission, waitUntil }),
      body: rest => ({ type: 'submit', cell, submission, waitMilliseconds: rest })
    })
  }

  /** Reads a request, after waiting for its end for the given time at most. */
  read (workspace: WorkspaceName, key: RequestKey, waitMilliseconds: number): Promise<RoutedRecord> {
    const cell = this.#homeCell(workspace, key)
    const id = requestId(workspace, key)
    const waitUntil = this.#options.clock.now() + waitMilliseconds
    return this.#route({
      cell,
      waitUntil,
      mayChangeState: false,
      event: call => ({ type: 'read', call, id, waitUntil }),
      body: rest => ({ type: 'read', cell, request: id, waitMilliseconds: rest })
    })
  }

  /** Cancels a request. */
  cancel (workspace: WorkspaceName, key: RequestKey): Promise<RoutedRecord> {
    const cell = this.#homeCell(workspace, key)
    const id = requestId(workspace, key)
    return this.#route({
      cell,
      waitUntil: this.#options.clock.now(),
      mayChangeState: true,
      event: call => ({ type: 'cancel', call, id }),
      body: () => ({ type: 'cancel', cell, request: id })
    })
  }

  /**
   * Returns the complete answer of a finished request as JSON text, verified by length and digest.
   *
   * @throws CornelgaugeError `answer-damaged`, or as `read`
   */
  async answer ({ record, cell }: RoutedRecord): Promise<string | undefined> {
    const { answer } = record
    if (answer === undefined) return undefined
    const text = answer.inline ?? await this.#storedAnswer(cell, record.id, answer.object!)
    const isIntact = Buffer.byteLength(text) === answer.lengthBytes && digestOf(text) === answer.digest
    if (!isIntact) throw new CornelgaugeError('answer-damaged', { state: record.state })
    return text
  }

  /**
   * Reads a stored answer from the object store, and through the cell's owner if that
   * fails: the owner reads the same object, but may have a working connection.
   */
  async #storedAnswer (cell: CellName, id: RequestId, object: string): Promise<string> {
    try {
      const content = await this.#options.objects.get(object)
      if (content !== undefined) return Buffer.from(content).toString()
    } catch {
      // Falls through to the owner.
    }
    const reply = await this.#readAnswerFromOwner(cell, id)
    if (reply.type === 'answer') return reply.text
    throw new CornelgaugeError('unavailable', { detail: 'The stored answer cannot be read at the moment' })
  }

  async #readAnswerFromOwner (cell: CellName, request: RequestId): Promise<ReplyBody> {
    const owner = this.#options.host.ownerOf(cell)
    if (owner === undefined || owner.isSelf) throw new CornelgaugeError('unavailable', { detail: 'The stored answer cannot be read at the moment' })
    return this.#options.wire.call(owner.address, { type: 'answer', cell, request }, OWNER_TIMEOUT_MILLISECONDS)
  }

  #homeCell (workspace: WorkspaceName, key: RequestKey): CellName {
    return homeCell(this.#options.document(), workspace, key)
  }

  async #route (call: RoutedCall): Promise<RoutedRecord> {
    const giveUpAt = Math.max(call.waitUntil, this.#options.clock.now()) + OWNER_SEARCH_TIMEOUT_MILLISECONDS
    while (true) {
      const owner = await this.#findOwner(call.cell, giveUpAt)
      if (owner === undefined) throw noOwnerFailure(call)
      try {
        return { cell: call.cell, ...await this.#callOwner(owner, call) }
      } catch (thrown) {
        const failure = asFailure(thrown)
        if (!RETRIABLE_CODES.has(failure.code)) throw failure
      }
      await this.#pause()
    }
  }

  async #callOwner (owner: KnownOwner, call: RoutedCall): Promise<{ record: RequestRecord, asOf?: number }> {
    if (owner.isSelf) return recordOf(await this.#callLocalOwner(call))
    const remainingMilliseconds = Math.max(0, Math.round(call.waitUntil - this.#options.clock.now()))
    const reply = await this.#options.wire.call(owner.address, call.body(remainingMilliseconds), remainingMilliseconds + OWNER_TIMEOUT_MILLISECONDS)
    if (reply.type === 'problem') throw fromProblem(reply.problem)
    if (reply.type !== 'record') throw new CornelgaugeError('protocol-violation', { detail: `A ${reply.type} is no answer to this call` })
    return reply
  }

  #callLocalOwner (call: RoutedCall): Promise<CallReply> {
    const { host, replies } = this.#options
    return replies.open(id => {
      const isQueued = host.put(call.cell, call.event(id))
      if (!isQueued) replies.settle(id, { type: 'failure', failure: new CornelgaugeError('not-owner') })
    })
  }

  async #findOwner (cell: CellName, giveUpAt: number): Promise<KnownOwner | undefined> {
    while (this.#options.clock.now() < giveUpAt) {
      const owner = this.#options.host.ownerOf(cell)
      if (owner !== undefined) return owner
      await this.#pause()
    }
    return undefined
  }

  #pause (): Promise<void> {
    return new Promise(resolve => { this.#options.clock.after(OWNER_SEARCH_INTERVAL_MILLISECONDS, resolve) })
  }
}

/**
 * Returns the record in an owner's reply.
 *
 * @throws CornelgaugeError the failure, if the reply is one
 */
export function recordOf (reply: CallReply): { record: RequestRecord, asOf?: number } {
  if (reply.type === 'failure') throw reply.failure
  return { record: reply.record, asOf: reply.asOf }
}

/** The failure if no owner was found. The state is unknown, since an earlier attempt with this key may have been accepted. */
function noOwnerFailure (call: RoutedCall): CornelgaugeError {
  return new CornelgaugeError('no-owner', call.mayChangeState ? { state: 'unknown' } : {})
}
