/**
 * The bytes of calls and replies. They come from an authenticated peer, which may
 * be of another release: an unknown type is a typed failure, not a broken
 * connection. A caller's payload travels as its JSON text, since CBOR by `cbor-x`
 * changes lone surrogates and the key `__proto__`.
 */
import { asFailure, CornelgaugeError, toProblem, type Submission } from '@cornelgauge/model'
import { decodeCbor, encodeCbor } from './cbor.js'
import { MAXIMUM_MESSAGE_BYTES } from './limits.js'
import type { CallBody, ReplyBody } from './message.js'
import { violation, withSent } from './violation.js'

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
  'handover-hint': true,
  extension: true
}

const REPLY_TYPES: Readonly<Record<ReplyBody['type'], true>> = {
  record: true,
  answer: true,
  status: true,
  events: true,
  document: true,
  done: true,
  extension: true,
  problem: true
}

type PayloadConversion = (payload: unknown) => unknown

/** How a payload is converted in the messages that hold one. */
type PayloadTable<Body extends CallBody | ReplyBody> = {
  readonly [Type in Body['type']]?: (body: Extract<Body, { type: Type }>, convert: PayloadConversion) => Body
}

const CALL_PAYLOADS: PayloadTable<CallBody> = {
  submit: (body, convert) => ({ ...body, submission: convertSubmission(body.submission, convert) })
}

const REPLY_PAYLOADS: PayloadTable<ReplyBody> = {
  record: (body, convert) => ({ ...body, record: { ...body.record, submission: convertSubmission(body.record.submission, convert) } })
}

/**
 * The bytes of a call.
 *
 * @throws {CornelgaugeError} `body-too-large`, or `internal` for what is no plain
 * data; nothing is sent.
 * @example
 * encodeCall({ type: 'vm-status' })
 */
export function encodeCall (body: CallBody): Buffer {
  const bytes = encodeTyped(body, CALL_PAYLOADS)
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
  const bytes = encodeTyped(body, REPLY_PAYLOADS)
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
  return decodeTyped(bytes, CALL_TYPES, CALL_PAYLOADS)
}

/**
 * The reply in its bytes.
 *
 * @throws {CornelgaugeError} `protocol-violation`
 * @example
 * decodeReply(encodeReply({ type: 'done' })).type // 'done'
 */
export function decodeReply (bytes: Buffer): ReplyBody {
  return decodeTyped(bytes, REPLY_TYPES, REPLY_PAYLOADS)
}

function encodeTyped<Body extends CallBody | ReplyBody> (body: Body, payloads: PayloadTable<Body>): Buffer {
  try {
    return encodeCbor(convertPayload(body, payloads, toText))
  } catch (thrown) {
    throw withSent(asFailure(thrown), false)
  }
}

function decodeTyped<Body extends CallBody | ReplyBody> (bytes: Buffer, types: Readonly<Record<Body['type'], true>>, payloads: PayloadTable<Body>): Body {
  const value = decodeCbor(bytes)
  const type = typeof value === 'object' && value !== null ? (value as { type?: unknown }).type : undefined
  if (typeof type !== 'string' || !Object.hasOwn(types, type)) throw violation('malformed-message', 'The message has no known type')
  try {
    return convertPayload(value as Body, payloads, toValue)
  } catch (cause) {
    throw violation('malformed-message', cause instanceof Error ? cause.message : undefined)
  }
}

function convertPayload<Body extends CallBody | ReplyBody> (body: Body, payloads: PayloadTable<Body>, convert: PayloadConversion): Body {
  const rule = payloads[body.type as Body['type']] as ((body: Body, convert: PayloadConversion) => Body) | undefined
  return rule === undefined ? body : rule(body, convert)
}

function convertSubmission (submission: Submission, convert: PayloadConversion): Submission {
  return { ...submission, payload: convert(submission.payload) }
}

function toText (payload: unknown): unknown {
  return JSON.stringify(payload)
}

function toValue (text: unknown): unknown {
  return text === undefined ? undefined : JSON.parse(String(text))
}
