/**
 * The pure step that cuts a connection's bytes into frames, and the `most` stream
 * built on it. Chunks may end anywhere; bytes of an incomplete frame are kept as a
 * list and joined once, when the frame is whole.
 */
import type { Socket } from 'node:net'
import { asFailure, type CornelgaugeError } from '@cornelgauge/model'
import { fromEvent, merge, type Stream } from 'most'
import { decodeFrame, LENGTH_BYTES, type Frame } from './frame.js'
import { violation } from './violation.js'

/** Chunks received and not yet used, newest first. */
interface Chunks {
  readonly bytes: Buffer
  readonly earlier: Chunks | undefined
}

/** What the decoder keeps between two chunks. */
export interface DecoderState {
  readonly chunks: Chunks | undefined
  readonly lengthBytes: number
  /** Bytes that must be there before the next frame can be cut. */
  readonly neededBytes: number
  readonly failed: boolean
}

/** What a connection's reading side delivers. */
export type DecoderInput =
  | { readonly type: 'bytes', readonly bytes: Buffer, readonly limitBytes: number }
  | { readonly type: 'end' }

/** The frames that an input made whole, and the failure that follows them, if any. */
export interface DecoderOutput {
  readonly frames: readonly Frame[]
  readonly failure?: CornelgaugeError
  /** Set when the peer has ended its side. */
  readonly ended: boolean
}

/** A decoder's state with the output of its last step. */
export interface DecoderStep {
  readonly state: DecoderState
  readonly output: DecoderOutput
}

/** The state before the first chunk. */
export const INITIAL_DECODER_STATE: DecoderState = { chunks: undefined, lengthBytes: 0, neededBytes: LENGTH_BYTES, failed: false }

const FAILED_STATE: DecoderState = { ...INITIAL_DECODER_STATE, failed: true }

/**
 * Applies one input to a decoder. After a failure every further input is ignored.
 *
 * @example
 * decodeStep(INITIAL_DECODER_STATE, { type: 'bytes', bytes: encodeFrame(frame), limitBytes: 1024 }).output.frames // [frame]
 */
export function decodeStep (state: DecoderState, input: DecoderInput): DecoderStep {
  const ended = input.type === 'end'
  if (state.failed) return { state, output: { frames: [], ended } }
  return input.type === 'end' ? endStep(state) : bytesStep(state, input.bytes, input.limitBytes)
}

function endStep (state: DecoderState): DecoderStep {
  const failure = state.lengthBytes === 0 ? undefined : violation('truncated-frame')
  return { state: FAILED_STATE, output: { frames: [], ended: true, failure } }
}

function bytesStep (state: DecoderState, bytes: Buffer, limitBytes: number): DecoderStep {
  const chunks = { bytes, earlier: state.chunks }
  const lengthBytes = state.lengthBytes + bytes.length
  if (lengthBytes < state.neededBytes) {
    return { state: { ...state, chunks, lengthBytes }, output: { frames: [], ended: false } }
  }
  return cutFrames(joinChunks(chunks, lengthBytes), limitBytes)
}

function joinChunks (chunks: Chunks, lengthBytes: number): Buffer {
  if (chunks.earlier === undefined) return chunks.bytes
  const list: Buffer[] = []
  for (let next: Chunks | undefined = chunks; next !== undefined; next = next.earlier) list.push(next.bytes)
  return Buffer.concat(list.reverse(), lengthBytes)
}

function cutFrames (bytes: Buffer, limitBytes: number): DecoderStep {
  const frames: Frame[] = []
  let position = 0
  let neededBytes = LENGTH_BYTES
  try {
    while (bytes.length - position >= LENGTH_BYTES) {
      const contentBytes = checkedLength(bytes.readUInt32BE(position), limitBytes)
      neededBytes = LENGTH_BYTES + contentBytes
      if (bytes.length - position < neededBytes) break
      frames.push(decodeFrame(bytes.subarray(position + LENGTH_BYTES, position + neededBytes)))
      position += neededBytes
      neededBytes = LENGTH_BYTES
    }
  } catch (thrown) {
    return { state: FAILED_STATE, output: { frames, ended: false, failure: asFailure(thrown) } }
  }
  const rest = bytes.subarray(position)
  const chunks = rest.length === 0 ? undefined : { bytes: rest, earlier: undefined }
  return { state: { chunks, lengthBytes: rest.length, neededBytes, failed: false }, output: { frames, ended: false } }
}

function checkedLength (contentBytes: number, limitBytes: number): number {
  if (contentBytes === 0) throw violation('empty-frame')
  if (contentBytes > limitBytes) throw violation('frame-too-large', `A frame of ${contentBytes} bytes is over the limit of ${limitBytes}`)
  return contentBytes
}

/**
 * The frames that come in on a socket, as a stream that ends with the socket.
 *
 * @param limitBytes gives the largest frame allowed at the moment.
 * @example
 * frameStream(socket, () => MAXIMUM_FRAME_BYTES).observe(output => output.frames.forEach(handle))
 */
export function frameStream (socket: Socket, limitBytes: () => number): Stream<DecoderOutput> {
  const bytes: Stream<DecoderInput> = fromEvent<Buffer>('data', socket)
    .map(chunk => ({ type: 'bytes', bytes: chunk, limitBytes: limitBytes() }))
  const end: Stream<DecoderInput> = fromEvent<undefined>('end', socket)
    .map(() => ({ type: 'end' }))
  return merge(bytes, end)
    .loop(loopStep, INITIAL_DECODER_STATE)
    .takeUntil(fromEvent('close', socket))
}

function loopStep (state: DecoderState, input: DecoderInput): { seed: DecoderState, value: DecoderOutput } {
  const step = decodeStep(state, input)
  return { seed: step.state, value: step.output }
}
