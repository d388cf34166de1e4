/**
 * Reassembles large calls or replies from their parts, with a bound on the bytes
 * buffered for one connection.
 */
import { MAXIMUM_MESSAGE_BYTES } from './limits.js'
import { violation } from './violation.js'

/** An incomplete message. */
interface Assembly {
  /** Received parts in order; empty arrays once the message is dropped, so that parts are still counted. */
  readonly pieces: Uint8Array[]
  lengthBytes: number
  /** True once the bound was exceeded: the content is dropped and later parts are only counted. */
  dropped: boolean
}

/**
 * The incomplete messages of one direction of a connection.
 *
 * @example
 * assembler.addPart(1, 0, firstPiece)
 * assembler.complete(1, 1, lastPiece) // the complete message
 */
export class Assembler {
  readonly #maximumBytes: number
  readonly #assemblies = new Map<number, Assembly>()
  #heldBytes = 0

  constructor (maximumBytes: number) {
    this.#maximumBytes = maximumBytes
  }

  /** Bytes buffered for incomplete messages. */
  get heldBytes (): number {
    return this.#heldBytes
  }

  /**
   * Adds one part, except the last, to a message.
   *
   * @throws {CornelgaugeError} `protocol-violation` if the part is out of order or the message too large.
   */
  addPart (id: number, index: number, body: Uint8Array): void {
    const assembly = this.#assemblies.get(id) ?? { pieces: [], lengthBytes: 0, dropped: false }
    if (index !== assembly.pieces.length) throw violation('part-out-of-order')
    assembly.lengthBytes += body.length
    if (assembly.lengthBytes > MAXIMUM_MESSAGE_BYTES) throw violation('message-too-large')
    this.#assemblies.set(id, assembly)
    this.#store(assembly, body)
  }

  #store (assembly: Assembly, body: Uint8Array): void {
    const exceedsLimit = this.#heldBytes + body.length > this.#maximumBytes
    if (exceedsLimit && !assembly.dropped) this.#drop(assembly)
    assembly.pieces.push(assembly.dropped ? new Uint8Array(0) : body)
    this.#heldBytes += assembly.dropped ? 0 : body.length
  }

  #drop (assembly: Assembly): void {
    this.#heldBytes -= heldBytesOf(assembly)
    assembly.pieces.fill(new Uint8Array(0))
    assembly.dropped = true
  }

  /**
   * Joins the parts of a message with its last one; `undefined` if the message was dropped because of the bound.
   *
   * @throws {CornelgaugeError} `protocol-violation` if parts are missing or the message is too large.
   */
  complete (id: number, parts: number, body: Uint8Array): Buffer | undefined {
    const assembly = this.#assemblies.get(id)
    const received = assembly?.pieces.length ?? 0
    if (received !== parts) throw violation('part-out-of-order')
    if (assembly === undefined) return asBuffer(body)
    if (assembly.lengthBytes + body.length > MAXIMUM_MESSAGE_BYTES) throw violation('message-too-large')
    this.abandon(id)
    return assembly.dropped ? undefined : Buffer.concat([...assembly.pieces, body])
  }

  /** Discards an incomplete message. */
  abandon (id: number): void {
    const assembly = this.#assemblies.get(id)
    if (assembly === undefined) return
    this.#assemblies.delete(id)
    this.#heldBytes -= heldBytesOf(assembly)
  }
}

function heldBytesOf (assembly: Assembly): number {
  return assembly.pieces.reduce((sum, piece) => sum + piece.length, 0)
}

function asBuffer (bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
}
