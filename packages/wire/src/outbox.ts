/**
 * The frames that wait to be written to one connection. Control frames are written
 * first; messages are interleaved piece by piece in round-robin order, so that a small
 * reply never waits for a complete large one.
 */
import type { FrameBody, MessageType } from './frame.js'
import { PART_BYTES } from './limits.js'

/** A call or reply to send, split into parts if it is large. */
export interface OutgoingMessage {
  readonly type: MessageType
  readonly id: number
  readonly bytes: Buffer
  /** Creates the last frame, called immediately before that frame is written. */
  readonly makeLastFrame: (parts: number, body: Buffer) => FrameBody
}

/** A message that is not yet sent completely. */
interface PendingMessage {
  readonly message: OutgoingMessage
  sentParts: number
}

/** Writes one frame; false if the connection accepts no more until it has drained. */
export type WriteFrame = (frame: FrameBody) => boolean

/**
 * The send queue of one connection.
 *
 * @example
 * outbox.add({ type: 'call', id: 1, bytes, makeLastFrame: (parts, body) => ({ type: 'call', id: 1, timeoutMilliseconds, parts, body }) })
 */
export class Outbox {
  readonly #write: WriteFrame
  readonly #controlFrames: FrameBody[] = []
  #pending: PendingMessage[] = []
  #bufferedBytes = 0

  constructor (write: WriteFrame) {
    this.#write = write
  }

  /** Bytes of messages not yet written. */
  get bufferedBytes (): number {
    return this.#bufferedBytes
  }

  get isEmpty (): boolean {
    return this.#controlFrames.length === 0 && this.#pending.length === 0
  }

  /** Adds a frame that is written before all messages. */
  addControl (frame: FrameBody): void {
    this.#controlFrames.push(frame)
  }

  /** Adds a message. */
  add (message: OutgoingMessage): void {
    this.#pending.push({ message, sentParts: 0 })
    this.#bufferedBytes += message.bytes.length
  }

  /** Removes a call whose last frame is not yet written; true if a part of it was written. */
  abandon (id: number): boolean {
    const pending = this.#pending.find(({ message }) => message.type === 'call' && message.id === id)
    if (pending === undefined) return false
    this.#pending = this.#pending.filter(other => other !== pending)
    this.#bufferedBytes -= pending.message.bytes.length - pending.sentParts * PART_BYTES
    return pending.sentParts > 0
  }

  /** Writes frames until none is left or the connection accepts no more; true if none is left. */
  flush (): boolean {
    for (let frame = this.#nextFrame(); frame !== undefined; frame = this.#nextFrame()) {
      if (!this.#write(frame)) return this.isEmpty
    }
    return true
  }

  #nextFrame (): FrameBody | undefined {
    const control = this.#controlFrames.shift()
    if (control !== undefined) return control
    const pending = this.#pending.shift()
    return pending === undefined ? undefined : this.#nextPieceOf(pending)
  }

  #nextPieceOf (pending: PendingMessage): FrameBody {
    const { message } = pending
    const start = pending.sentParts * PART_BYTES
    const body = message.bytes.subarray(start, start + PART_BYTES)
    this.#bufferedBytes -= body.length
    if (start + body.length === message.bytes.length) return message.makeLastFrame(pending.sentParts, body)
    pending.sentParts += 1
    this.#pending.push(pending)
    return { type: 'part', id: message.id, message: message.type, index: pending.sentParts - 1, body }
  }
}
