/** The client's end of a connection: opens it with the first secret that the server accepts, sends calls and receives replies. */
import { asFailure, CornelgaugeError, type VmName } from '@cornelgauge/model'
import { Assembler } from './assembler.js'
import type { ClientContext } from './client.js'
import type { WireEvent, WireReport } from './event.js'
import type { FrameBodyOf, FrameOf } from './frame.js'
import { openLink, type LinkCallbacks, type OpenedLink } from './handshake.js'
import type { FrameHandlers, Link } from './link.js'
import { decodeReply } from './message-codec.js'
import type { ReplyBody } from './message.js'
import type { OutgoingMessage } from './outbox.js'
import type { CancelTimer } from './timers.js'
import { connectionLost, violation, withSent, type LossReason } from './violation.js'

/** A call without a reply yet. */
interface PendingCall {
  readonly resolve: (body: ReplyBody) => void
  readonly reject: (failure: CornelgaugeError) => void
  readonly cancelTimeout: CancelTimer
  /** True once the last frame of the call was passed to the socket. */
  sent: boolean
}

/** The client's end of one connection. */
export class ClientConnection {
  readonly #address: string
  readonly #context: ClientContext
  readonly #onUnusable: () => void
  readonly #calls = new Map<number, PendingCall>()
  readonly #assembler: Assembler
  /** Calls made before the connection is open. */
  #queued: OutgoingMessage[] = []
  #queuedBytes = 0
  /** The current link, set as soon as it starts to connect. */
  #currentLink: Link | undefined
  /** The current link, set once the peer is authenticated. */
  #authenticatedLink: Link | undefined
  #vm: VmName | undefined
  #lastId = 0
  #isDraining = false
  #cancelIdle: CancelTimer = () => {}
  #resolveClosed: () => void = () => {}
  /** Resolves when the connection has closed. */
  readonly closed: Promise<void>

  /** `onUnusable` is called when new calls have to use another connection. */
  constructor (address: string, context: ClientContext, onUnusable: () => void) {
    this.#address = address
    this.#context = context
    this.#onUnusable = onUnusable
    this.#assembler = new Assembler(context.limits.maximumAssemblyBytes)
    this.closed = new Promise(resolve => { this.#resolveClosed = resolve })
    this.#open()
  }

  get callsInFlight (): number {
    return this.#calls.size
  }

  /** Sends one call and returns its reply. */
  call (bytes: Buffer, timeoutMilliseconds: number): Promise<ReplyBody> {
    const { limits, timers } = this.#context
    const bufferedBytes = this.#queuedBytes + (this.#authenticatedLink?.bufferedBytes ?? 0)
    const exceedsLimit = this.#calls.size >= limits.maximumInFlightCalls || bufferedBytes + bytes.length > limits.maximumBufferedBytes
    if (exceedsLimit) return Promise.reject(new CornelgaugeError('overloaded', { members: { sent: false } }))
    this.#cancelIdle()
    this.#lastId += 1
    const id = this.#lastId
    return new Promise((resolve, reject) => {
      const cancelTimeout = timers.after(timeoutMilliseconds, () => this.#timeOut(id))
      this.#calls.set(id, { resolve, reject, cancelTimeout, sent: false })
      this.#transmit(this.#messageOf(id, bytes, timers.now() + timeoutMilliseconds))
    })
  }

  /** Stops accepting new calls and closes the connection when those in flight are complete. */
  drain (): void {
    if (this.#isDraining) return
    this.#isDraining = true
    this.#onUnusable()
    this.#authenticatedLink?.send({ type: 'goodbye' })
    this.#endIfDone()
  }

  /** Closes the connection immediately; calls in flight fail. */
  destroy (): void {
    this.#isDraining = true
    this.#failCalls('stopped')
    this.#currentLink?.destroy()
  }

  #report (report: WireReport): void {
    this.#context.onEvent({ role: 'client', address: this.#address, vm: this.#vm, ...report } as WireEvent)
  }

  async #open (): Promise<void> {
    const { secrets } = this.#context
    let failure: CornelgaugeError | undefined
    for (const secret of secrets) {
      failure = await this.#tryOpen(secret)
      if (failure?.code !== 'stranger-refused' || this.#isDraining) break
    }
    if (failure !== undefined) this.#handleOpenFailure(failure)
  }

  async #tryOpen (secret: string): Promise<CornelgaugeError | undefined> {
    const callbacks: LinkCallbacks = {
      onStarted: link => { this.#currentLink = link },
      onOpened: opened => this.#handleOpened(opened),
      onClosed: failure => this.#handleClosed(failure)
    }
    try {
      await openLink(this.#address, secret, this.#context, callbacks)
      return undefined
    } catch (thrown) {
      return asFailure(thrown)
    }
  }

  #handleOpenFailure (failure: CornelgaugeError): void {
    const type = failure.code === 'protocol-violation' ? 'protocol-violation' : 'peer-refused'
    if (failure.code !== 'connection-lost') this.#report({ type, failure })
    this.#report({ type: 'connection-closed', failure })
    this.#finish()
    this.#rejectCalls(() => withSent(failure, false))
  }

  #handleOpened ({ link, vm }: OpenedLink): FrameHandlers {
    this.#authenticatedLink = link
    this.#vm = vm
    this.#report({ type: 'connection-opened' })
    this.#queued.forEach(message => link.transmit(message))
    this.#queued = []
    this.#queuedBytes = 0
    if (this.#isDraining) link.send({ type: 'goodbye' })
    this.#endIfDone()
    return {
      reply: frame => this.#handleReply(frame),
      part: frame => this.#handlePart(frame),
      goodbye: () => this.drain()
    }
  }

  #handleClosed (failure: CornelgaugeError | undefined): void {
    if (failure?.code === 'protocol-violation') this.#report({ type: 'protocol-violation', failure })
    if (failure?.members.reason === 'silence') this.#report({ type: 'connection-silent' })
    this.#report({ type: 'connection-closed', failure })
    this.#finish()
    this.#failCalls(lossReasonOf(failure), failure)
  }

  #finish (): void {
    this.#isDraining = true
    this.#cancelIdle()
    this.#onUnusable()
    this.#resolveClosed()
  }

  #failCalls (reason: LossReason, cause?: CornelgaugeError): void {
    this.#rejectCalls(call => connectionLost(reason, call.sent, cause))
  }

  #rejectCalls (failureOf: (call: PendingCall) => CornelgaugeError): void {
    const calls = [...this.#calls.values()]
    this.#calls.clear()
    this.#queued = []
    calls.forEach(call => {
      call.cancelTimeout()
      call.reject(failureOf(call))
    })
  }

  #messageOf (id: number, bytes: Buffer, deadline: number): OutgoingMessage {
    const makeLastFrame = (parts: number, body: Buffer): FrameBodyOf<'call'> => {
      const call = this.#calls.get(id)
      if (call !== undefined) call.sent = true
      const timeoutMilliseconds = Math.max(0, deadline - this.#context.timers.now())
      return { type: 'call', id, timeoutMilliseconds, parts, body }
    }
    return { type: 'call', id, bytes, makeLastFrame }
  }

  #transmit (message: OutgoingMessage): void {
    if (this.#authenticatedLink !== undefined) return this.#authenticatedLink.transmit(message)
    this.#queued.push(message)
    this.#queuedBytes += message.bytes.length
  }

  #timeOut (id: number): void {
    const call = this.#removeCall(id)
    if (call === undefined) return
    this.#withdraw(id)
    call.reject(new CornelgaugeError('timeout', { members: { sent: call.sent } }))
    this.#endIfDone()
  }

  #withdraw (id: number): void {
    this.#authenticatedLink?.abandon(id)
    this.#queued = this.#queued.filter(message => message.id !== id)
    this.#queuedBytes = this.#queued.reduce((sum, message) => sum + message.bytes.length, 0)
  }

  #removeCall (id: number): PendingCall | undefined {
    const call = this.#calls.get(id)
    if (call === undefined) return undefined
    this.#calls.delete(id)
    call.cancelTimeout()
    return call
  }

  #handlePart (frame: FrameOf<'part'>): void {
    if (frame.message !== 'reply') throw violation('unexpected-frame')
    this.#assembler.addPart(frame.id, frame.index, frame.body)
  }

  #handleReply (frame: FrameOf<'reply'>): void {
    if (frame.id > this.#lastId) throw violation('unexpected-frame', 'A reply to a call that was never made')
    const bytes = this.#assembler.complete(frame.id, frame.parts, frame.body)
    const call = this.#removeCall(frame.id)
    if (call === undefined) return this.#report({ type: 'late-reply', id: frame.id })
    this.#settle(call, bytes)
    this.#endIfDone()
  }

  #settle (call: PendingCall, bytes: Buffer | undefined): void {
    if (bytes === undefined) return call.reject(assemblyOverflow())
    try {
      call.resolve(decodeReply(bytes))
    } catch (thrown) {
      call.reject(withSent(asFailure(thrown), true))
    }
  }

  #endIfDone (): void {
    if (this.#calls.size > 0) return
    if (this.#isDraining) return this.#authenticatedLink?.end()
    this.#cancelIdle()
    this.#cancelIdle = this.#context.timers.after(this.#context.limits.idleMilliseconds, () => this.drain())
  }
}

function lossReasonOf (failure: CornelgaugeError | undefined): LossReason {
  const reason = failure?.code === 'connection-lost' ? failure.members.reason : undefined
  return (reason ?? 'closed') as LossReason
}

function assemblyOverflow (): CornelgaugeError {
  return new CornelgaugeError('answer-too-large', { detail: 'Too many bytes of replies were in assembly', members: { sent: true } })
}
