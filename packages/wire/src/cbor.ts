/**
 * The CBOR subset of the inner protocol: maps, arrays, text, byte strings, numbers
 * and simple values, all of definite length. Tags are rejected, and every length is
 * checked against the available bytes before the decoder allocates memory, because
 * the first frames come from peers that are not yet authenticated.
 */
import { Encoder } from 'cbor-x'
import { violation } from './violation.js'

const MAXIMUM_DEPTH = 64
/** Additional information below this value is the argument itself; from 24 on it selects the argument's size. */
const SMALL_ARGUMENT_LIMIT = 24
const ARGUMENT_BYTES: Readonly<Record<number, number>> = { 24: 1, 25: 2, 26: 4, 27: 8 }

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, variableMapSize: true, tagUint8Array: false })

/** Number of content bytes and of nested items that follow an item's head. */
interface Content {
  readonly bytes: number
  readonly items: number
}

const NO_CONTENT = (): Content => ({ bytes: 0, items: 0 })
const BYTES_CONTENT = (argument: number): Content => ({ bytes: argument, items: 0 })

/** Content by major type; major types without an entry are rejected. */
const CONTENT_BY_MAJOR_TYPE: Readonly<Record<number, (argument: number) => Content>> = {
  0: NO_CONTENT,
  1: NO_CONTENT,
  2: BYTES_CONTENT,
  3: BYTES_CONTENT,
  4: argument => ({ bytes: 0, items: argument }),
  5: argument => ({ bytes: 0, items: 2 * argument }),
  7: NO_CONTENT
}

/** Reads an unsigned big-endian argument of 1, 2, 4 or 8 bytes. */
function readArgument (bytes: Buffer, position: number, size: number): number {
  return size === 8 ? Number(bytes.readBigUInt64BE(position)) : bytes.readUIntBE(position, size)
}

/**
 * True if the bytes are exactly one CBOR item of the allowed subset.
 *
 * @example
 * isWellFormed(Buffer.from([0x9a, 0xff, 0xff, 0xff, 0xff])) // false: the array's items are missing
 */
export function isWellFormed (bytes: Buffer): boolean {
  const openItems = [1]
  let position = 0
  while (openItems.length > 0) {
    const depth = openItems.length - 1
    if (openItems[depth] === 0) {
      openItems.pop()
      continue
    }
    openItems[depth]! -= 1
    if (position >= bytes.length) return false
    const head = bytes[position]!
    position += 1
    const additionalInformation = head & 0x1f
    const size = additionalInformation < SMALL_ARGUMENT_LIMIT ? 0 : ARGUMENT_BYTES[additionalInformation]
    if (size === undefined || position + size > bytes.length) return false
    const argument = size === 0 ? additionalInformation : readArgument(bytes, position, size)
    position += size
    const content = CONTENT_BY_MAJOR_TYPE[head >> 5]?.(argument)
    if (content === undefined || content.bytes + content.items > bytes.length - position) return false
    position += content.bytes
    if (content.items > 0) openItems.push(content.items)
    if (openItems.length > MAXIMUM_DEPTH) return false
  }
  return position === bytes.length
}

/**
 * Encodes a value as CBOR.
 *
 * @example
 * encodeCbor({ type: 'done' }).length // 11
 */
export function encodeCbor (value: unknown): Buffer {
  return codec.encode(value)
}

/**
 * Decodes one CBOR item of the allowed subset.
 *
 * @throws {CornelgaugeError} `protocol-violation` for any other bytes.
 * @example
 * decodeCbor(encodeCbor([1, 'a'])) // [1, 'a']
 */
export function decodeCbor (bytes: Buffer): unknown {
  if (!isWellFormed(bytes)) throw violation('malformed-frame')
  try {
    return codec.decode(bytes)
  } catch (cause) {
    throw violation('malformed-frame', cause instanceof Error ? cause.message : undefined)
  }
}
