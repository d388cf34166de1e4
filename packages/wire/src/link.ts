/**
 * The part of a connection that clients and servers share: it sends and receives
 * frames, maintains logical times, detects a dead peer, and closes gracefully or
 * abruptly. The handlers interpret the frames.
 */
import type { Socket } from 'node:net'
import { asFailure, type CornelgaugeError } from '@cornelgauge/model'
import type { LogicalClock } from './clock.js'
import type { TrafficCounts } from './event.js'
import { frameStream, type DecoderOutput } from './frame-decoder.js'
import { encodeFrame, type Frame, type FrameBody, type FrameOf, type FrameType } from './frame.js'
import { HANDSHAKE_FRAME_BYTES, MAXIMUM_FRAME_BYTES, type WireLimits } from './limits.js'
import { checkLiveness, recordReceived, startLiveness, type LivenessAction, type LivenessState } from './liveness.js'
import { Outbox, type OutgoingMessage } from './outbox.js'
import type { CancelTimer, Timers } from './timers.js'
import { connectionLost, violation } from './violation.js'

/** The handlers for each frame type; a frame without a handler is a protocol violation. */
export type FrameHandlers = { readonly [Type in FrameType]?: (frame: FrameOf<Type>) => void }

/** The dependencies of a link. */
export interface LinkOptions {
  readonly socket: Socket
  readonly clock: LogicalClock
  readonly timers: Timers
  readonly limits: WireLimits
  readonly traffic: TrafficCounts
  readonly handlers: FrameHandlers
  /** Called once when the socket has closed, with the failure that closed it, if any. */
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
  /** True from a write that filled the socket's buffer until the next `drain`. */
  #isBlocked = false
  /** True while a flush is scheduled. */
  #isFlushing = false
  #isEnding = false

  constructor (options: LinkOptions) {
    this.#options = options
    this.#socket = options.socket
    this.#handlers = options.handlers
    this.#outbox = new Outbox(frame => this.#write(frame))
    this.#liveness = startLiveness(options.timers.now(), options.limits)
    this.#subscribe()
    this.#scheduleCheck()
  }

  /** Bytes that wait to be written, in the outbox or in the socket. */
  get bufferedBytes (): number {
    return this.#outbox.bufferedBytes + this.#socket.writableLength
  }

  /** Sets the handlers for frames received before the peer is authenticated. */
  setHandlers (handlers: FrameHandlers): void {
    this.#handlers = handlers
  }

  /** Marks the peer as authenticated: allows larger frames and applies its logical times. */
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

  /** Withdraws a call that is not yet sent completely. */
  abandon (id: number): void {
    if (this.#outbox.abandon(id)) this.send({ type: 'abandon', id })
  }

  /** Closes the connection after everything is written. */
  end (): void {
    this.#isEnding = true
    this.#flushSoon()
  }

  /** Closes the connection immediately; only the first failure passed is reported. */
  destroy (failure?: CornelgaugeError): void {
    this.#failure ??= failure
    this.#socket.destroy()
  }

  /** Sends one last frame if the socket is still writable, and closes the connection. */
  refuse (frame: FrameBody, failure: CornelgaugeError): void {
    this.#failure ??= failure
    this.#handlers = {}
    this.#write(frame)
    this.#socket.end()
    this.#socket.destroySoon()
  }

  #subscribe (): void {
    this.#socket.setNoDelay(true)
    this.#socket.on('error', cause => this.destroy(connectionLost('socket-failure', false, cause)))
    this.#socket.on('data', (chunk: Buffer) => { this.#options.traffic.bytesReceived += chunk.length })
    this.#socket.on('drain', () => this.#handleDrain())
    this.#socket.on('close', () => this.#handleClosed())
    frameStream(this.#socket, () => this.#frameLimitBytes())
      .observe(output => this.#receive(output))
      .catch(thrown => this.destroy(asFailure(thrown)))
  }

  #frameLimitBytes (): number {
    return this.#isAuthenticated ? MAXIMUM_FRAME_BYTES : HANDSHAKE_FRAME_BYTES
  }

  #handleClosed (): void {
    this.#cancelCheck()
    this.#options.onClosed(this.#failure)
  }

  #receive (output: DecoderOutput): void {
    this.#recordReceived()
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
    const defaultHandlers: FrameHandlers = { ping: () => this.send({ type: 'pong' }), pong: () => {} }
    return (this.#handlers[type] ?? (this.#isAuthenticated ? defaultHandlers[type] : undefined)) as ((frame: Frame) => void) | undefined
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
    const isEmpty = this.#outbox.flush()
    this.#socket.uncork()
    if (isEmpty && this.#isEnding) this.#socket.end()
  }

  #handleDrain (): void {
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

  #recordReceived (): void {
    const { checkDueAt } = this.#liveness
    this.#liveness = recordReceived(this.#liveness, this.#options.timers.now(), this.#options.limits)
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
