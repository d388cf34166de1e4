/**
 * The frames of the inner protocol. A frame is one CBOR map behind its length as
 * an unsigned 32-bit number, high byte first.
 */
import type { ErrorCode } from '@cornelgauge/model'
import { decodeCbor, encodeCbor } from './cbor.js'
import { MAXIMUM_LOGICAL_TIME } from './limits.js'
import { violation } from './violation.js'

/** Bytes of a frame's length. */
export const LENGTH_BYTES = 4

/** Which of its two messages a part belongs to. */
export type MessageType = 'call' | 'reply'

/** The fields of each type of frame. */
export interface FrameFields {
  /** The server's first frame. */
  readonly challenge: { readonly version: number, readonly nonce: Uint8Array }
  /** The client's answer, with a proof that it holds a secret. */
  readonly hello: { readonly version: number, readonly vm: string, readonly nonce: Uint8Array, readonly proof: Uint8Array }
  /** The server's own proof; calls may follow. */
  readonly welcome: { readonly vm: string, readonly proof: Uint8Array }
  /** The server closes the connection for this reason. */
  readonly refused: { readonly code: ErrorCode, readonly detail: string }
  /** The last or only piece of a call. */
  readonly call: { readonly id: number, readonly timeoutMilliseconds: number, readonly parts: number, readonly body: Uint8Array }
  /** The last or only piece of a reply. */
  readonly reply: { readonly id: number, readonly parts: number, readonly body: Uint8Array }
  /** An earlier piece of a large call or reply. */
  readonly part: { readonly id: number, readonly message: MessageType, readonly index: number, readonly body: Uint8Array }
  /** The rest of a call will not come. */
  readonly abandon: { readonly id: number }
  readonly ping: object
  readonly pong: object
  /** The sender makes or takes no new calls here. */
  readonly goodbye: object
}

/** The type of a frame. */
export type FrameType = keyof FrameFields
/** One type of frame as its sender makes it. */
export type FrameBodyOf<Type extends FrameType> = { readonly type: Type } & FrameFields[Type]
/** Any frame as its sender makes it. */
export type FrameBody = { [Type in FrameType]: FrameBodyOf<Type> }[FrameType]
/** One type of frame as it crosses the wire. */
export type FrameOf<Type extends FrameType> = FrameBodyOf<Type> & { readonly logicalTime: number }
/** Any frame as it crosses the wire. */
export type Frame = { [Type in FrameType]: FrameOf<Type> }[FrameType]

type Check = (value: unknown) => boolean
type Checks<Fields> = { readonly [Field in keyof Fields]-?: Check }

const isCount: Check = value => Number.isSafeInteger(value) && (value as number) >= 0
const isDuration: Check = value => typeof value === 'number' && Number.isFinite(value) && value >= 0
const isText: Check = value => typeof value === 'string'
const isBytes: Check = value => value instanceof Uint8Array
const isMessageType: Check = value => value === 'call' || value === 'reply'
const isLogicalTime: Check = value => isCount(value) && (value as number) <= MAXIMUM_LOGICAL_TIME

const FRAME_CHECKS: { readonly [Type in FrameType]: Checks<FrameFields[Type]> } = {
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

/** Every type of frame. */
export const FRAME_TYPES = Object.keys(FRAME_CHECKS) as FrameType[]

/**
 * The bytes of a frame, length included.
 *
 * @example
 * encodeFrame({ type: 'ping', logicalTime: 7 }).readUInt32BE(0) // bytes that follow
 */
export function encodeFrame (frame: Frame): Buffer {
  const content = encodeCbor(frame)
  const bytes = Buffer.allocUnsafe(LENGTH_BYTES + content.length)
  bytes.writeUInt32BE(content.length, 0)
  content.copy(bytes, LENGTH_BYTES)
  return bytes
}

/**
 * The frame in one frame's content, checked field by field.
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
  const checks = Object.entries(FRAME_CHECKS[type as FrameType] as Readonly<Record<string, Check>>)
  const wrong = checks.find(([field, check]) => !check(fields[field]))
  if (wrong !== undefined) throw violation('malformed-frame', `The ${type} frame has a wrong field ${wrong[0]}`)
  return value as Frame
}
