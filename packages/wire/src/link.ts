/**
 * One connection, as both ends use it: frames in and out, logical times, liveness,
 * and an orderly or abrupt end. What a frame means is up to the handlers.
 */
import type { Socket } from 'node:net'
import { asFailure, type CornelgaugeError } from '@cornelgauge/model'
import type { LogicalClock } from './clock.js'
import type { TrafficCounts } from './event.js'
import { frameStream, type DecoderOutput } from './frame-decoder.js'
import { encodeFrame, type Frame, type FrameBody, type FrameOf, type FrameType } from './frame.js'
import { HANDSHAKE_FRAME_BYTES, MAXIMUM_FRAME_BYTES, type WireLimits } from './limits.js'
import { checkLiveness, received, startLiveness, type LivenessAction, type LivenessState } from './liveness.js'
import { Outbox, type OutgoingMessage } from './outbox.js'
import type { CancelTimer, Timers } from './timers.js'
import { connectionLost, violation } from './violation.js'

/** What to do with each type of frame; a type without a handler breaks the protocol. */
export type FrameHandlers = { readonly [Type in FrameType]?: (frame: FrameOf<Type>) => void }

/** What a link needs of its owner. */
export interface LinkOptions {
  readonly socket: Socket
  readonly clock: LogicalClock
  readonly timers: Timers
  readonly limits: WireLimits
  readonly traffic: TrafficCounts
  readonly handlers: FrameHandlers
  /** Called once, when the socket has closed, with the failure that ended it, if any. */
  readonly onClosed: (failure: CornelgaugeError | undefined) => void
}

/** A connection between two daemons. */
export class Link {
  readonly #options: LinkOptions
  readonly #socket: Socket
  readonly #outbox: Outbox
  #handlers: FrameHandlers
  #liveness: LivenessState
  #cancelCheck: CancelTimer = () => {}
  #failure: CornelgaugeError | undefined
  #isAuthenticated = false
  #isBlocked = false
  #isFlushing = false
  #isEnding = false

  constructor (options: LinkOptions) {
    this.#options = options
    this.#socket = options.socket
    this.#handlers = options.handlers
    this.#outbox = new Outbox(frame => this.#write(frame))
    this.#liveness = startLiveness(options.timers.now(), options.limits)
    this.#listen()
    this.#scheduleCheck()
  }

  /** Bytes that wait to be written, here or in the socket. */
  get bufferedBytes (): number {
    return this.#outbox.bufferedBytes + this.#socket.writableLength
  }

  /** Sets what may come before the peer is authenticated. */
  expect (handlers: FrameHandlers): void {
    this.#handlers = handlers
  }

  /** Trusts the peer from now on: larger frames, and its logical times count. */
  authenticate (handlers: FrameHandlers): void {
    this.#isAuthenticated = true
    this.#handlers = handlers
  }

  /** Sends a frame ahead of all messages. */
  send (frame: FrameBody): void {
    this.#outbox.addControl(frame)
    this.#flushSoon()
  }

  /** Sends a call or reply, in parts if it is large. */
  transmit (message: OutgoingMessage): void {
    this.#outbox.add(message)
    this.#flushSoon()
  }

  /** Takes back a call that is not yet sent whole. */
  abandon (id: number): void {
    if (this.#outbox.abandon(id)) this.send({ type: 'abandon', id })
  }

  /** Closes the connection once everything is written. */
  end (): void {
    this.#isEnding = true
    this.#flushSoon()
  }

  /** Closes the connection at once; the first failure given is the one reported. */
  destroy (failure?: CornelgaugeError): void {
    this.#failure ??= failure
    this.#socket.destroy()
  }

  /** Sends one last frame if the socket takes it, and closes the connection. */
  refuse (frame: FrameBody, failure: CornelgaugeError): void {
    this.#failure ??= failure
    this.#handlers = {}
    this.#write(frame)
    this.#socket.end()
    this.#socket.destroySoon()
  }

  #listen (): void {
    this.#socket.setNoDelay(true)
    this.#socket.on('error', cause => this.destroy(connectionLost('socket-failure', false, cause)))
    this.#socket.on('data', (chunk: Buffer) => { this.#options.traffic.bytesReceived += chunk.length })
    this.#socket.on('drain', () => this.#resume())
    this.#socket.on('close', () => this.#closed())
    frameStream(this.#socket, () => this.#frameLimitBytes())
      .observe(output => this.#receive(output))
      .catch(thrown => this.destroy(asFailure(thrown)))
  }

  #frameLimitBytes (): number {
    return this.#isAuthenticated ? MAXIMUM_FRAME_BYTES : HANDSHAKE_FRAME_BYTES
  }

  #closed (): void {
    this.#cancelCheck()
    this.#options.onClosed(this.#failure)
  }

  #receive (output: DecoderOutput): void {
    this.#noteLife()
    output.frames.forEach(frame => this.#dispatch(frame))
    if (output.failure !== undefined) this.destroy(output.failure)
  }

  #dispatch (frame: Frame): void {
    if (this.#socket.destroyed || this.#failure !== undefined) return
    this.#options.traffic.framesReceived += 1
    if (this.#isAuthenticated) this.#options.clock.witness(frame.logicalTime)
    const handler = this.#handlerOf(frame.type)
    if (handler === undefined) return this.destroy(violation('unexpected-frame', `A ${frame.type} frame may not come now`))
    try {
      handler(frame)
    } catch (thrown) {
      this.destroy(asFailure(thrown))
    }
  }

  #handlerOf (type: FrameType): ((frame: Frame) => void) | undefined {
    const own: FrameHandlers = { ping: () => this.send({ type: 'pong' }), pong: () => {} }
    return (this.#handlers[type] ?? (this.#isAuthenticated ? own[type] : undefined)) as ((frame: Frame) => void) | undefined
  }

  #flushSoon (): void {
    if (this.#isFlushing) return
    this.#isFlushing = true
    queueMicrotask(() => {
      this.#isFlushing = false
      this.#flush()
    })
  }

  #flush (): void {
    if (this.#isBlocked || this.#socket.destroyed || this.#socket.writableEnded) return
    this.#socket.cork()
    const isDone = this.#outbox.flush()
    this.#socket.uncork()
    if (isDone && this.#isEnding) this.#socket.end()
  }

  #resume (): void {
    this.#isBlocked = false
    this.#flush()
  }

  #write (frame: FrameBody): boolean {
    if (this.#socket.destroyed || this.#socket.writableEnded) return false
    const bytes = encodeFrame({ ...frame, logicalTime: this.#options.clock.tick() })
    this.#options.traffic.framesSent += 1
    this.#options.traffic.bytesSent += bytes.length
    this.#isBlocked = !this.#socket.write(bytes)
    return !this.#isBlocked
  }

  #noteLife (): void {
    const { checkDueAt } = this.#liveness
    this.#liveness = received(this.#liveness, this.#options.timers.now(), this.#options.limits)
    if (this.#liveness.checkDueAt !== checkDueAt) this.#scheduleCheck()
  }

  #scheduleCheck (): void {
    this.#cancelCheck()
    const delay = Math.max(0, this.#liveness.checkDueAt - this.#options.timers.now())
    this.#cancelCheck = this.#options.timers.after(delay, () => this.#check())
  }

  #check (): void {
    const step = checkLiveness(this.#liveness, this.#options.timers.now(), this.#options.limits)
    this.#liveness = step.state
    this.#livenessActions[step.action]()
    if (!this.#socket.destroyed) this.#scheduleCheck()
  }

  readonly #livenessActions: Readonly<Record<LivenessAction, () => void>> = {
    wait: () => {},
    ping: () => this.#ping(),
    destroy: () => this.destroy(connectionLost('silence', false))
  }

  #ping (): void {
    if (this.#isAuthenticated) this.send({ type: 'ping' })
  }
}
