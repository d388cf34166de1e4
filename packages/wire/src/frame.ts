/**
 * The frames of the inner protocol. A frame is one CBOR map, preceded by its length
 * as an unsigned 32-bit integer in big-endian order.
 */
import type { ErrorCode } from '@cornelgauge/model'
import { decodeCbor, encodeCbor } from './cbor.js'
import { MAXIMUM_LOGICAL_TIME } from './limits.js'
import { violation } from './violation.js'

/** Size of the length prefix. */
export const LENGTH_BYTES = 4

/** Whether a part belongs to a call or to its reply. */
export type MessageType = 'call' | 'reply'

/** The fields of each frame type. */
export interface FrameFields {
  /** The server's first frame. */
  readonly challenge: { readonly version: number, readonly nonce: Uint8Array }
  /** The client's response, with a proof that it knows a secret. */
  readonly hello: { readonly version: number, readonly vm: string, readonly nonce: Uint8Array, readonly proof: Uint8Array }
  /** The server's proof; after it the client may send calls. */
  readonly welcome: { readonly vm: string, readonly proof: Uint8Array }
  /** The reason for which the server closes the connection. */
  readonly refused: { readonly code: ErrorCode, readonly detail: string }
  /** A small call, or the last part of a large one. */
  readonly call: { readonly id: number, readonly timeoutMilliseconds: number, readonly parts: number, readonly body: Uint8Array }
  /** A small reply, or the last part of a large one. */
  readonly reply: { readonly id: number, readonly parts: number, readonly body: Uint8Array }
  /** A part of a large call or reply, except the last. */
  readonly part: { readonly id: number, readonly message: MessageType, readonly index: number, readonly body: Uint8Array }
  /** The client will not send the remaining parts of a call. */
  readonly abandon: { readonly id: number }
  readonly ping: object
  readonly pong: object
  /** The sender starts draining: it neither sends nor accepts new calls on this connection. */
  readonly goodbye: object
}

/** The name of a frame type. */
export type FrameType = keyof FrameFields
/** A frame of one type, before its logical time is added. */
export type FrameBodyOf<Type extends FrameType> = { readonly type: Type } & FrameFields[Type]
/** A frame of any type, before its logical time is added. */
export type FrameBody = { [Type in FrameType]: FrameBodyOf<Type> }[FrameType]
/** A frame of one type as it is sent. */
export type FrameOf<Type extends FrameType> = FrameBodyOf<Type> & { readonly logicalTime: number }
/** A frame of any type as it is sent. */
export type Frame = { [Type in FrameType]: FrameOf<Type> }[FrameType]

type FieldCheck = (value: unknown) => boolean
type FieldChecks<Fields> = { readonly [Field in keyof Fields]-?: FieldCheck }

const isCount: FieldCheck = value => Number.isSafeInteger(value) && (value as number) >= 0
const isDuration: FieldCheck = value => typeof value === 'number' && Number.isFinite(value) && value >= 0
const isText: FieldCheck = value => typeof value === 'string'
const isBytes: FieldCheck = value => value instanceof Uint8Array
const isMessageType: FieldCheck = value => value === 'call' || value === 'reply'
const isLogicalTime: FieldCheck = value => isCount(value) && (value as number) <= MAXIMUM_LOGICAL_TIME

const FRAME_CHECKS: { readonly [Type in FrameType]: FieldChecks<FrameFields[Type]> } = {
  challenge: { version: isCount, nonce: isBytes },
  hello: { version: isCount, vm: isText, nonce: isBytes, proof: isBytes },
  welcome: { vm: isText, proof: isBytes },
  refused: { code: isText, detail: isText },
  call: { id: isCount, timeoutMilliseconds: isDuration, parts: isCount, body: isBytes },
  reply: { id: isCount, parts: isCount, body: isBytes },
  part: { id: isCount, message: isMessageType, index: isCount, body: isBytes },
  abandon: { id: isCount },
  ping: {},
  pong: {},
  goodbye: {}
}

/** All frame types. */
export const FRAME_TYPES = Object.keys(FRAME_CHECKS) as FrameType[]

/**
 * Encodes a frame, including its length prefix.
 *
 * @example
 * encodeFrame({ type: 'ping', logicalTime: 7 }).readUInt32BE(0) // number of bytes that follow
 */
export function encodeFrame (frame: Frame): Buffer {
  const content = encodeCbor(frame)
  const bytes = Buffer.allocUnsafe(LENGTH_BYTES + content.length)
  bytes.writeUInt32BE(content.length, 0)
  content.copy(bytes, LENGTH_BYTES)
  return bytes
}

/**
 * Decodes the content of a frame, without the length prefix, and checks every field.
 *
 * @throws {CornelgaugeError} `protocol-violation` with the reason.
 * @example
 * decodeFrame(encodeFrame({ type: 'ping', logicalTime: 7 }).subarray(4)).type // 'ping'
 */
export function decodeFrame (content: Buffer): Frame {
  const value = decodeCbor(content)
  if (typeof value !== 'object' || value === null || Array.isArray(value)) throw violation('malformed-frame')
  const fields = value as Record<string, unknown>
  const type = fields.type
  if (typeof type !== 'string') throw violation('malformed-frame', 'The frame has no type')
  if (!Object.hasOwn(FRAME_CHECKS, type)) throw violation('unknown-frame-type')
  if (!isLogicalTime(fields.logicalTime)) throw violation('malformed-frame', 'The frame has no valid logical time')
  const checks = Object.entries(FRAME_CHECKS[type as FrameType] as Readonly<Record<string, FieldCheck>>)
  const invalidField = checks.find(([field, check]) => !check(fields[field]))
  if (invalidField !== undefined) throw violation('malformed-frame', `The ${type} frame has a wrong field ${invalidField[0]}`)
  return value as Frame
}
