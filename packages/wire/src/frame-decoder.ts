/**
 * A pure step function that splits a connection's bytes into frames, and the `most`
 * stream built on it. Chunks may end anywhere; the chunks of an incomplete frame are
 * kept in a list, each longer than the one after it, and joined when the frame is complete.
 */
import type { Socket } from 'node:net'
import { asFailure, type CornelgaugeError } from '@cornelgauge/model'
import { fromEvent, merge, type Stream } from 'most'
import { decodeFrame, LENGTH_BYTES, type Frame } from './frame.js'
import { violation } from './violation.js'

/** Linked list of received chunks that are not yet decoded, newest first. */
interface Chunks {
  readonly bytes: Buffer
  readonly earlier: Chunks | undefined
}

/** The state of the decoder between two inputs. */
export interface DecoderState {
  readonly chunks: Chunks | undefined
  readonly lengthBytes: number
  /** Bytes needed to decode the next frame, or its length prefix if the length is not yet known. */
  readonly neededBytes: number
  readonly failed: boolean
}

/** An input of the decoder: received bytes, or the end of the stream. */
export type DecoderInput =
  | { readonly type: 'bytes', readonly bytes: Buffer, readonly limitBytes: number }
  | { readonly type: 'end' }

/** The frames that an input completed, and the failure that follows them, if any. */
export interface DecoderOutput {
  readonly frames: readonly Frame[]
  readonly failure?: CornelgaugeError
  /** True when the peer has ended its side of the connection. */
  readonly ended: boolean
}

/** The result of a step: the next state and its output. */
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
    return { state: { ...state, chunks: mergeSmaller(chunks), lengthBytes }, output: { frames: [], ended: false } }
  }
  return extractFrames(joinChunks(chunks, lengthBytes), limitBytes)
}

/** Joins the newest chunk with earlier ones that are not longer: the list stays short, however small the chunks are. */
function mergeSmaller (chunks: Chunks): Chunks {
  const { bytes, earlier } = chunks
  if (earlier === undefined || earlier.bytes.length > bytes.length) return chunks
  // A buffer of its own: one from the shared pool would keep the pool's memory.
  const merged = Buffer.allocUnsafeSlow(earlier.bytes.length + bytes.length)
  merged.set(earlier.bytes)
  merged.set(bytes, earlier.bytes.length)
  return mergeSmaller({ bytes: merged, earlier: earlier.earlier })
}

function joinChunks (chunks: Chunks, lengthBytes: number): Buffer {
  if (chunks.earlier === undefined) return chunks.bytes
  const buffers: Buffer[] = []
  for (let next: Chunks | undefined = chunks; next !== undefined; next = next.earlier) buffers.push(next.bytes)
  return Buffer.concat(buffers.reverse(), lengthBytes)
}

function extractFrames (bytes: Buffer, limitBytes: number): DecoderStep {
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
 * The frames received on a socket, as a stream that ends when the socket closes.
 *
 * @param limitBytes returns the current maximum frame size.
 * @example
 * frameStream(socket, () => MAXIMUM_FRAME_BYTES).observe(output => output.frames.forEach(handle))
 */
export function frameStream (socket: Socket, limitBytes: () => number): Stream<DecoderOutput> {
  const bytes: Stream<DecoderInput> = fromEvent<Buffer>('data', socket)
    .map(chunk => ({ type: 'bytes', bytes: chunk, limitBytes: limitBytes() }))
  const end: Stream<DecoderInput> = fromEvent<undefined>('end', socket)
    .map(() => ({ type: 'end' }))
  return merge(bytes, end)
    .loop(toLoopResult, INITIAL_DECODER_STATE)
    .takeUntil(fromEvent('close', socket))
}

function toLoopResult (state: DecoderState, input: DecoderInput): { seed: DecoderState, value: DecoderOutput } {
  const step = decodeStep(state, input)
  return { seed: step.state, value: step.output }
}
