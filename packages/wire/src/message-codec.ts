/**
 * Encodes and decodes calls and replies. The authenticated peer may run another
 * release, so a message of unknown type fails its call and does not close the
 * connection. A caller's payload is sent as JSON text, because `cbor-x` does not
 * preserve lone surrogates and the key `__proto__`.
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

/** Functions that convert the payload, for each message type that contains one. */
type PayloadConverters<Body extends CallBody | ReplyBody> = {
  readonly [Type in Body['type']]?: (body: Extract<Body, { type: Type }>, convert: PayloadConversion) => Body
}

const CALL_PAYLOAD_CONVERTERS: PayloadConverters<CallBody> = {
  submit: (body, convert) => ({ ...body, submission: convertSubmission(body.submission, convert) })
}

const REPLY_PAYLOAD_CONVERTERS: PayloadConverters<ReplyBody> = {
  record: (body, convert) => ({ ...body, record: { ...body.record, submission: convertSubmission(body.record.submission, convert) } })
}

/**
 * Encodes a call.
 *
 * @throws {CornelgaugeError} `body-too-large`, or `internal` for a value that is not
 * plain data; nothing is sent.
 * @example
 * encodeCall({ type: 'vm-status' })
 */
export function encodeCall (body: CallBody): Buffer {
  const bytes = encodeBody(body, CALL_PAYLOAD_CONVERTERS)
  if (bytes.length <= MAXIMUM_MESSAGE_BYTES) return bytes
  throw new CornelgaugeError('body-too-large', {
    detail: `A call of ${bytes.length} bytes is over the limit of ${MAXIMUM_MESSAGE_BYTES}`,
    members: { sent: false, lengthBytes: bytes.length, limitBytes: MAXIMUM_MESSAGE_BYTES }
  })
}

/**
 * Encodes a reply; a reply over the limit is replaced by an `answer-too-large` problem.
 *
 * @example
 * encodeReply({ type: 'done' })
 */
export function encodeReply (body: ReplyBody): Buffer {
  const bytes = encodeBody(body, REPLY_PAYLOAD_CONVERTERS)
  if (bytes.length <= MAXIMUM_MESSAGE_BYTES) return bytes
  const members = { lengthBytes: bytes.length, limitBytes: MAXIMUM_MESSAGE_BYTES }
  return encodeCbor(problemReply(new CornelgaugeError('answer-too-large', { members })))
}

/**
 * Converts a failure to a reply.
 *
 * @example
 * problemReply(new CornelgaugeError('not-owner')).type // 'problem'
 */
export function problemReply (thrown: unknown): ReplyBody {
  return { type: 'problem', problem: toProblem(asFailure(thrown)) }
}

/**
 * Decodes a call.
 *
 * @throws {CornelgaugeError} `protocol-violation`
 * @example
 * decodeCall(encodeCall({ type: 'vm-status' })).type // 'vm-status'
 */
export function decodeCall (bytes: Buffer): CallBody {
  return decodeBody(bytes, CALL_TYPES, CALL_PAYLOAD_CONVERTERS)
}

/**
 * Decodes a reply.
 *
 * @throws {CornelgaugeError} `protocol-violation`
 * @example
 * decodeReply(encodeReply({ type: 'done' })).type // 'done'
 */
export function decodeReply (bytes: Buffer): ReplyBody {
  return decodeBody(bytes, REPLY_TYPES, REPLY_PAYLOAD_CONVERTERS)
}

function encodeBody<Body extends CallBody | ReplyBody> (body: Body, converters: PayloadConverters<Body>): Buffer {
  try {
    return encodeCbor(convertPayload(body, converters, payloadToJson))
  } catch (thrown) {
    throw withSent(asFailure(thrown), false)
  }
}

function decodeBody<Body extends CallBody | ReplyBody> (bytes: Buffer, types: Readonly<Record<Body['type'], true>>, converters: PayloadConverters<Body>): Body {
  const value = decodeCbor(bytes)
  const type = typeof value === 'object' && value !== null ? (value as { type?: unknown }).type : undefined
  if (typeof type !== 'string' || !Object.hasOwn(types, type)) throw violation('malformed-message', 'The message has no known type')
  try {
    return convertPayload(value as Body, converters, payloadFromJson)
  } catch (cause) {
    throw violation('malformed-message', cause instanceof Error ? cause.message : undefined)
  }
}

function convertPayload<Body extends CallBody | ReplyBody> (body: Body, converters: PayloadConverters<Body>, convert: PayloadConversion): Body {
  const converter = converters[body.type as Body['type']] as ((body: Body, convert: PayloadConversion) => Body) | undefined
  return converter === undefined ? body : converter(body, convert)
}

function convertSubmission (submission: Submission, convert: PayloadConversion): Submission {
  return { ...submission, payload: convert(submission.payload) }
}

function payloadToJson (payload: unknown): unknown {
  return JSON.stringify(payload)
}

function payloadFromJson (text: unknown): unknown {
  return text === undefined ? undefined : JSON.parse(String(text))
}
