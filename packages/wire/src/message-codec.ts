/**
 * The bytes of calls and replies. The types come from an authenticated peer, which
 * may be of another release: an unknown type is a typed failure, not a broken
 * connection.
 */
import { asFailure, CornelgaugeError, toProblem } from '@cornelgauge/model'
import { decodeCbor, encodeCbor } from './cbor.js'
import { MAXIMUM_MESSAGE_BYTES } from './limits.js'
import type { CallBody, ReplyBody } from './message.js'
import { violation } from './violation.js'

const CALL_TYPES: Readonly<Record<CallBody['type'], true>> = {
  submit: true,
  read: true,
  cancel: true,
  answer: true,
  'cell-status': true,
  'vm-status': true,
  events: true,
  'document-hint': true,
  document: true,
  'handover-hint': true
}

const REPLY_TYPES: Readonly<Record<ReplyBody['type'], true>> = {
  record: true,
  answer: true,
  status: true,
  events: true,
  document: true,
  done: true,
  problem: true
}

/**
 * The bytes of a call.
 *
 * @throws {CornelgaugeError} `body-too-large`, with nothing sent.
 * @example
 * encodeCall({ type: 'vm-status' })
 */
export function encodeCall (body: CallBody): Buffer {
  const bytes = encodeCbor(body)
  if (bytes.length <= MAXIMUM_MESSAGE_BYTES) return bytes
  throw new CornelgaugeError('body-too-large', {
    detail: `A call of ${bytes.length} bytes is over the limit of ${MAXIMUM_MESSAGE_BYTES}`,
    members: { sent: false, lengthBytes: bytes.length, limitBytes: MAXIMUM_MESSAGE_BYTES }
  })
}

/**
 * The bytes of a reply; one over the limit becomes an `answer-too-large` problem.
 *
 * @example
 * encodeReply({ type: 'done' })
 */
export function encodeReply (body: ReplyBody): Buffer {
  const bytes = encodeCbor(body)
  if (bytes.length <= MAXIMUM_MESSAGE_BYTES) return bytes
  const members = { lengthBytes: bytes.length, limitBytes: MAXIMUM_MESSAGE_BYTES }
  return encodeCbor(problemReply(new CornelgaugeError('answer-too-large', { members })))
}

/**
 * A failure as a reply.
 *
 * @example
 * problemReply(new CornelgaugeError('not-owner')).type // 'problem'
 */
export function problemReply (thrown: unknown): ReplyBody {
  return { type: 'problem', problem: toProblem(asFailure(thrown)) }
}

/**
 * The call in its bytes.
 *
 * @throws {CornelgaugeError} `protocol-violation`
 * @example
 * decodeCall(encodeCall({ type: 'vm-status' })).type // 'vm-status'
 */
export function decodeCall (bytes: Buffer): CallBody {
  return decodeTyped(bytes, CALL_TYPES) as CallBody
}

/**
 * The reply in its bytes.
 *
 * @throws {CornelgaugeError} `protocol-violation`
 * @example
 * decodeReply(encodeReply({ type: 'done' })).type // 'done'
 */
export function decodeReply (bytes: Buffer): ReplyBody {
  return decodeTyped(bytes, REPLY_TYPES) as ReplyBody
}

function decodeTyped (bytes: Buffer, types: Readonly<Record<string, true>>): unknown {
  const value = decodeCbor(bytes)
  const type = typeof value === 'object' && value !== null ? (value as { type?: unknown }).type : undefined
  if (typeof type === 'string' && Object.hasOwn(types, type)) return value
  throw violation('malformed-frame', 'The message has no known type')
}
