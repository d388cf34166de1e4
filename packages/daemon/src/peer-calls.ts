/** Handles the calls of other daemons, with a handler for each type of call. */
import { CornelgaugeError, documentVersion, toProblem, type CellName, type RequestId } from '@cornelgauge/model'
import type { ObjectStore } from '@cornelgauge/ports'
import type { CallId, OwnerEvent } from '@cornelgauge/scheduler'
import type { CallBody, PeerIdentity, ReplyBody } from '@cornelgauge/wire'
import type { CellHost } from './cell-host.js'
import type { Documents } from './documents.js'
import type { EventQuery } from './event-query.js'
import type { Replies } from './replies.js'
import { recordOf } from './router.js'

/** Dependencies of the handlers. */
export interface PeerCallOptions {
  readonly host: CellHost
  readonly replies: Replies
  readonly documents: Documents
  readonly objects: ObjectStore
  readonly now: () => number
  readonly vmStatus: () => unknown
  readonly events: (query: EventQuery) => readonly unknown[]
  readonly onHandoverHint: () => void
}

/**
 * Creates the handler of calls from peers.
 *
 * @example
 * const server = new WireServer({ identity, secrets, clock, handle: peerCallHandler(options) })
 */
export function peerCallHandler (options: PeerCallOptions): (peer: PeerIdentity, body: CallBody) => Promise<ReplyBody> {
  return (_, body) => {
    const handle = CALL_HANDLERS[body.type] as (options: PeerCallOptions, body: CallBody) => Promise<ReplyBody>
    return handle(options, body)
  }
}

type CallHandler<Type extends CallBody['type']> = (options: PeerCallOptions, body: Extract<CallBody, { type: Type }>) => Promise<ReplyBody>

const CALL_HANDLERS: { readonly [Type in CallBody['type']]: CallHandler<Type> } = {
  submit: (options, { cell, submission, waitMilliseconds }) =>
    callOwner(options, cell, call => ({ type: 'submit', call, submission, waitUntil: options.now() + waitMilliseconds })),

  read: (options, { cell, request, waitMilliseconds }) =>
    callOwner(options, cell, call => ({ type: 'read', call, id: request, waitUntil: options.now() + waitMilliseconds })),

  cancel: (options, { cell, request }) => callOwner(options, cell, call => ({ type: 'cancel', call, id: request })),

  answer: (options, { cell, request }) => readAnswer(options, cell, request),

  async 'cell-status' ({ host }, { cell }) {
    const state = host.states.find(candidate => candidate.cell === cell)
    return { type: 'status', status: state === undefined ? null : { cell, epoch: state.epoch } }
  },

  'vm-status': async ({ vmStatus }) => ({ type: 'status', status: vmStatus() }),

  events: async ({ events }, query) => ({ type: 'events', events: events(query) }),

  async 'document-hint' ({ documents }, { environment, version }) {
    if (environment === 'trial' || environment === 'production') documents.hint(environment, version)
    return { type: 'done' }
  },

  async document ({ documents }, { environment }) {
    const current = environment === 'trial' || environment === 'production' ? documents.newestDocument(environment) : undefined
    return { type: 'document', version: current?.version ?? documentVersion(0), text: current?.text ?? '' }
  },

  async 'handover-hint' ({ onHandoverHint }) {
    onHandoverHint()
    return { type: 'done' }
  },

  async extension () {
    throw new CornelgaugeError('protocol-violation', { detail: 'This VM takes no extension messages' })
  }
}

async function callOwner ({ host, replies }: PeerCallOptions, cell: CellName, event: (call: CallId) => OwnerEvent): Promise<ReplyBody> {
  const reply = await replies.open(call => {
    if (!host.put(cell, event(call))) replies.settle(call, { type: 'failure', failure: new CornelgaugeError('not-owner') })
  })
  if (reply.type === 'failure') return { type: 'problem', problem: toProblem(reply.failure) }
  return { type: 'record', ...recordOf(reply) }
}

async function readAnswer (options: PeerCallOptions, cell: CellName, request: RequestId): Promise<ReplyBody> {
  const reply = await callOwner(options, cell, call => ({ type: 'read', call, id: request, waitUntil: 0 }))
  if (reply.type !== 'record') return reply
  const { answer } = reply.record
  if (answer?.inline !== undefined) return { type: 'answer', text: answer.inline }
  const content = answer?.object === undefined ? undefined : await options.objects.get(answer.object)
  if (content === undefined) return { type: 'problem', problem: toProblem(new CornelgaugeError('not-found')) }
  return { type: 'answer', text: Buffer.from(content).toString() }
}
