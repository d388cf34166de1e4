/**
 * The frames that wait to be written to one connection. Control frames go first;
 * messages take turns, one piece each, so that a small reply never waits for the
 * whole of a large one.
 */
import type { FrameBody, MessageType } from './frame.js'
import { PART_BYTES } from './limits.js'

/** A call or reply to be written in pieces. */
export interface OutgoingMessage {
  readonly type: MessageType
  readonly id: number
  readonly bytes: Buffer
  /** Makes the last frame, at the moment when it is written. */
  readonly last: (parts: number, body: Buffer) => FrameBody
}

interface Turn {
  readonly message: OutgoingMessage
  parts: number
}

/** Writes one frame; false if the connection takes no more for the moment. */
export type WriteFrame = (frame: FrameBody) => boolean

/**
 * The outgoing side of one connection.
 *
 * @example
 * outbox.add({ type: 'call', id: 1, bytes, last: (parts, body) => ({ type: 'call', id: 1, timeoutMilliseconds, parts, body }) })
 */
export class Outbox {
  readonly #write: WriteFrame
  readonly #control: FrameBody[] = []
  #turns: Turn[] = []
  #bufferedBytes = 0

  constructor (write: WriteFrame) {
    this.#write = write
  }

  /** Bytes of messages not yet written. */
  get bufferedBytes (): number {
    return this.#bufferedBytes
  }

  get isEmpty (): boolean {
    return this.#control.length === 0 && this.#turns.length === 0
  }

  /** Adds a frame that goes before all messages. */
  addControl (frame: FrameBody): void {
    this.#control.push(frame)
  }

  /** Adds a message. */
  add (message: OutgoingMessage): void {
    this.#turns.push({ message, parts: 0 })
    this.#bufferedBytes += message.bytes.length
  }

  /** Takes a call back whose last frame is not yet written; true if a part of it was. */
  abandon (id: number): boolean {
    const turn = this.#turns.find(({ message }) => message.type === 'call' && message.id === id)
    if (turn === undefined) return false
    this.#turns = this.#turns.filter(other => other !== turn)
    this.#bufferedBytes -= turn.message.bytes.length - turn.parts * PART_BYTES
    return turn.parts > 0
  }

  /** Writes frames until none is left or the connection takes no more; true if none is left. */
  flush (): boolean {
    for (let frame = this.#next(); frame !== undefined; frame = this.#next()) {
      if (!this.#write(frame)) return this.isEmpty
    }
    return true
  }

  #next (): FrameBody | undefined {
    const control = this.#control.shift()
    if (control !== undefined) return control
    const turn = this.#turns.shift()
    return turn === undefined ? undefined : this.#takeTurn(turn)
  }

  #takeTurn (turn: Turn): FrameBody {
    const { message } = turn
    const start = turn.parts * PART_BYTES
    const body = message.bytes.subarray(start, start + PART_BYTES)
    this.#bufferedBytes -= body.length
    if (start + body.length === message.bytes.length) return message.last(turn.parts, body)
    turn.parts += 1
    this.#turns.push(turn)
    return { type: 'part', id: message.id, message: message.type, index: turn.parts - 1, body }
  }
}
