/**
 * Brings a call to the owner of its cell, here or on another VM. A second try meets
 * the first in the cell's ledger by its key: both are told the same, also where the
 * first was refused. So a call whose connection was lost may be made again.
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

/** How long an owner may take beyond the wait that was asked for. */
const OWNER_PATIENCE_MILLISECONDS = 12_000
/** How long a call goes on looking for an owner. */
const SEARCH_PATIENCE_MILLISECONDS = 10_000
/** Pause between two looks for an owner. */
const SEARCH_PAUSE_MILLISECONDS = 100

/** What a call gets back. */
export interface Told {
  readonly cell: CellName
  readonly record: RequestRecord
  readonly asOf?: number
}

/** Calls a peer by its address; fails as `WireClient` does. */
export interface PeerCaller {
  call (address: string, body: CallBody, timeoutMilliseconds: number): Promise<ReplyBody>
}

/** What the router needs. */
export interface RouterOptions {
  readonly host: CellHost
  readonly replies: Replies
  readonly wire: PeerCaller
  readonly clock: Clock
  readonly objects: ObjectStore
  /** Fails with `not-ready` where no document is in force. */
  readonly document: () => EnvironmentDocument
}

/** A call as the router repeats it: the same on each try, but for the rest of its wait. */
interface RoutedCall {
  readonly cell: CellName
  readonly waitUntil: number
  /** True of a call that may change something. */
  readonly changes: boolean
  readonly event: (call: CallId) => OwnerEvent
  readonly body: (waitMilliseconds: number) => CallBody
}

/** Codes after which another try is made. */
const TRY_AGAIN: ReadonlySet<string> = new Set(['not-owner', 'connection-lost', 'timeout', 'no-owner', 'not-ready', 'stranger-refused', 'unavailable'])

/** Routes calls to cell owners. */
export class Router {
  readonly #options: RouterOptions

  constructor (options: RouterOptions) {
    this.#options = options
  }

  /**
   * Submits a request to its home.
   *
   * @throws CornelgaugeError with the request's true state
   */
  submit (submission: Submission, waitMilliseconds: number): Promise<Told> {
    const cell = this.#home(submission.workspace, submission.key)
    const waitUntil = this.#options.clock.now() + waitMilliseconds
    return this.#route({
      cell,
      waitUntil,
      changes: true,
      event: call => ({ type: 'submit', call, submission, waitUntil }),
      body: rest => ({ type: 'submit', cell, submission, waitMilliseconds: rest })
    })
  }

  /** Reads a request, waiting for its end where asked. */
  read (workspace: WorkspaceName, key: RequestKey, waitMilliseconds: number): Promise<Told> {
    const cell = this.#home(workspace, key)
    const id = requestId(workspace, key)
    const waitUntil = this.#options.clock.now() + waitMilliseconds
    return this.#route({
      cell,
      waitUntil,
      changes: false,
      event: call => ({ type: 'read', call, id, waitUntil }),
      body: rest => ({ type: 'read', cell, request: id, waitMilliseconds: rest })
    })
  }

  /** Cancels a request. */
  cancel (workspace: WorkspaceName, key: RequestKey): Promise<Told> {
    const cell = this.#home(workspace, key)
    const id = requestId(workspace, key)
    return this.#route({
      cell,
      waitUntil: this.#options.clock.now(),
      changes: true,
      event: call => ({ type: 'cancel', call, id }),
      body: () => ({ type: 'cancel', cell, request: id })
    })
  }

  /**
   * The whole answer of a finished request as JSON text, checked by length and digest.
   *
   * @throws CornelgaugeError `answer-damaged`, or as `read`
   */
  async answer ({ record, cell }: Told): Promise<string | undefined> {
    const { answer } = record
    if (answer === undefined) return undefined
    const text = answer.inline ?? await this.#storedAnswer(cell, record.id, answer.object!)
    const isWhole = Buffer.byteLength(text) === answer.lengthBytes && digestOf(text) === answer.digest
    if (!isWhole) throw new CornelgaugeError('answer-damaged', { state: record.state })
    return text
  }

  /** The object store is asked first; the owner has the same access and no more, but another way to it. */
  async #storedAnswer (cell: CellName, id: RequestId, object: string): Promise<string> {
    try {
      const content = await this.#options.objects.get(object)
      if (content !== undefined) return Buffer.from(content).toString()
    } catch {
      // The owner is asked below.
    }
    const reply = await this.#askPeer(cell, id)
    if (reply.type === 'answer') return reply.text
    throw new CornelgaugeError('unavailable', { detail: 'The stored answer cannot be read at the moment' })
  }

  async #askPeer (cell: CellName, request: RequestId): Promise<ReplyBody> {
    const owner = this.#options.host.ownerOf(cell)
    if (owner === undefined || owner.isSelf) throw new CornelgaugeError('unavailable', { detail: 'The stored answer cannot be read at the moment' })
    return this.#options.wire.call(owner.address, { type: 'answer', cell, request }, OWNER_PATIENCE_MILLISECONDS)
  }

  #home (workspace: WorkspaceName, key: RequestKey): CellName {
    return homeCell(this.#options.document(), workspace, key)
  }

  async #route (call: RoutedCall): Promise<Told> {
    const giveUpAt = Math.max(call.waitUntil, this.#options.clock.now()) + SEARCH_PATIENCE_MILLISECONDS
    while (true) {
      const owner = await this.#findOwner(call.cell, giveUpAt)
      if (owner === undefined) throw givenUp(call)
      try {
        return { cell: call.cell, ...await this.#ask(owner, call) }
      } catch (thrown) {
        const failure = asFailure(thrown)
        if (!TRY_AGAIN.has(failure.code)) throw failure
      }
      await this.#pause()
    }
  }

  async #ask (owner: KnownOwner, call: RoutedCall): Promise<{ record: RequestRecord, asOf?: number }> {
    if (owner.isSelf) return recordOf(await this.#askHere(call))
    const rest = Math.max(0, Math.round(call.waitUntil - this.#options.clock.now()))
    const reply = await this.#options.wire.call(owner.address, call.body(rest), rest + OWNER_PATIENCE_MILLISECONDS)
    if (reply.type === 'problem') throw fromProblem(reply.problem)
    if (reply.type !== 'record') throw new CornelgaugeError('protocol-violation', { detail: `A ${reply.type} is no answer to this call` })
    return reply
  }

  #askHere (call: RoutedCall): Promise<CallReply> {
    const { host, replies } = this.#options
    return replies.open(id => {
      const taken = host.put(call.cell, call.event(id))
      if (!taken) replies.settle(id, { type: 'failure', failure: new CornelgaugeError('not-owner') })
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
    return new Promise(resolve => { this.#options.clock.after(SEARCH_PAUSE_MILLISECONDS, resolve) })
  }
}

/**
 * The record in an owner's reply.
 *
 * @throws CornelgaugeError the failure in it
 */
export function recordOf (reply: CallReply): { record: RequestRecord, asOf?: number } {
  if (reply.type === 'failure') throw reply.failure
  return { record: reply.record, asOf: reply.asOf }
}

/** No owner was found: what became of an earlier try with this key is not known either. */
function givenUp (call: RoutedCall): CornelgaugeError {
  return new CornelgaugeError('no-owner', call.changes ? { state: 'unknown' } : {})
}
