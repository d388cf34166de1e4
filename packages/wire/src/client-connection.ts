/** One connection at its client: opened with the first secret accepted, calls out, replies in. */
import { asFailure, CornelgaugeError, type VmName } from '@cornelgauge/model'
import { Assembler } from './assembler.js'
import type { ClientContext } from './client.js'
import type { WireEvent, WireReport } from './event.js'
import type { FrameBodyOf, FrameOf } from './frame.js'
import { openLink, type LinkOwner, type OpenedLink } from './handshake.js'
import type { FrameHandlers, Link } from './link.js'
import { decodeReply } from './message-codec.js'
import type { ReplyBody } from './message.js'
import type { OutgoingMessage } from './outbox.js'
import type { CancelTimer } from './timers.js'
import { connectionLost, violation, withSent, type LossReason } from './violation.js'

interface PendingCall {
  readonly resolve: (body: ReplyBody) => void
  readonly reject: (failure: CornelgaugeError) => void
  readonly cancelTimeout: CancelTimer
  /** True once the frame that makes the call whole was handed to the socket. */
  sent: boolean
}

/** The client's end of one connection. */
export class ClientConnection {
  readonly #address: string
  readonly #context: ClientContext
  readonly #onUnusable: () => void
  readonly #calls = new Map<number, PendingCall>()
  readonly #assembler: Assembler
  #waiting: OutgoingMessage[] = []
  #waitingBytes = 0
  /** The connection, from its first packet on. */
  #opening: Link | undefined
  /** The connection, once it is authenticated. */
  #link: Link | undefined
  #vm: VmName | undefined
  #lastId = 0
  #isDraining = false
  #cancelIdle: CancelTimer = () => {}
  #markClosed: () => void = () => {}
  /** Settles when the connection has closed. */
  readonly closed: Promise<void>

  /** `onUnusable` is called when later calls need another connection. */
  constructor (address: string, context: ClientContext, onUnusable: () => void) {
    this.#address = address
    this.#context = context
    this.#onUnusable = onUnusable
    this.#assembler = new Assembler(context.limits.maximumAssemblyBytes)
    this.closed = new Promise(resolve => { this.#markClosed = resolve })
    this.#open()
  }

  get callsInFlight (): number {
    return this.#calls.size
  }

  /** Sends one call and gives its reply. */
  call (bytes: Buffer, timeoutMilliseconds: number): Promise<ReplyBody> {
    const { limits, timers } = this.#context
    const bufferedBytes = this.#waitingBytes + (this.#link?.bufferedBytes ?? 0)
    const isOver = this.#calls.size >= limits.maximumInFlightCalls || bufferedBytes + bytes.length > limits.maximumBufferedBytes
    if (isOver) return Promise.reject(new CornelgaugeError('overloaded', { members: { sent: false } }))
    this.#cancelIdle()
    this.#lastId += 1
    const id = this.#lastId
    return new Promise((resolve, reject) => {
      const cancelTimeout = timers.after(timeoutMilliseconds, () => this.#timeOut(id))
      this.#calls.set(id, { resolve, reject, cancelTimeout, sent: false })
      this.#transmit(this.#messageOf(id, bytes, timers.now() + timeoutMilliseconds))
    })
  }

  /** Takes no new calls, and closes once those in flight are answered. */
  drain (): void {
    if (this.#isDraining) return
    this.#isDraining = true
    this.#onUnusable()
    this.#link?.send({ type: 'goodbye' })
    this.#endIfDone()
  }

  /** Closes at once; calls in flight fail. */
  destroy (): void {
    this.#isDraining = true
    this.#failCalls('stopped')
    this.#opening?.destroy()
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
    if (failure !== undefined) this.#failToOpen(failure)
  }

  async #tryOpen (secret: string): Promise<CornelgaugeError | undefined> {
    const owner: LinkOwner = {
      started: link => { this.#opening = link },
      opened: opened => this.#opened(opened),
      closed: failure => this.#closed(failure)
    }
    try {
      await openLink(this.#address, secret, this.#context, owner)
      return undefined
    } catch (thrown) {
      return asFailure(thrown)
    }
  }

  #failToOpen (failure: CornelgaugeError): void {
    const type = failure.code === 'protocol-violation' ? 'protocol-violation' : 'peer-refused'
    if (failure.code !== 'connection-lost') this.#report({ type, failure })
    this.#report({ type: 'connection-closed', failure })
    this.#finish()
    this.#rejectCalls(() => withSent(failure, false))
  }

  #opened ({ link, vm }: OpenedLink): FrameHandlers {
    this.#link = link
    this.#vm = vm
    this.#report({ type: 'connection-opened' })
    this.#waiting.forEach(message => link.transmit(message))
    this.#waiting = []
    this.#waitingBytes = 0
    if (this.#isDraining) link.send({ type: 'goodbye' })
    this.#endIfDone()
    return {
      reply: frame => this.#reply(frame),
      part: frame => this.#part(frame),
      goodbye: () => this.drain()
    }
  }

  #closed (failure: CornelgaugeError | undefined): void {
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
    this.#markClosed()
  }

  #failCalls (reason: LossReason, cause?: CornelgaugeError): void {
    this.#rejectCalls(call => connectionLost(reason, call.sent, cause))
  }

  #rejectCalls (failureOf: (call: PendingCall) => CornelgaugeError): void {
    const calls = [...this.#calls.values()]
    this.#calls.clear()
    this.#waiting = []
    calls.forEach(call => {
      call.cancelTimeout()
      call.reject(failureOf(call))
    })
  }

  #messageOf (id: number, bytes: Buffer, deadline: number): OutgoingMessage {
    const last = (parts: number, body: Buffer): FrameBodyOf<'call'> => {
      const call = this.#calls.get(id)
      if (call !== undefined) call.sent = true
      const timeoutMilliseconds = Math.max(0, deadline - this.#context.timers.now())
      return { type: 'call', id, timeoutMilliseconds, parts, body }
    }
    return { type: 'call', id, bytes, last }
  }

  #transmit (message: OutgoingMessage): void {
    if (this.#link !== undefined) return this.#link.transmit(message)
    this.#waiting.push(message)
    this.#waitingBytes += message.bytes.length
  }

  #timeOut (id: number): void {
    const call = this.#take(id)
    if (call === undefined) return
    this.#withdraw(id)
    call.reject(new CornelgaugeError('timeout', { members: { sent: call.sent } }))
    this.#endIfDone()
  }

  #withdraw (id: number): void {
    this.#link?.abandon(id)
    this.#waiting = this.#waiting.filter(message => message.id !== id)
    this.#waitingBytes = this.#waiting.reduce((sum, message) => sum + message.bytes.length, 0)
  }

  #take (id: number): PendingCall | undefined {
    const call = this.#calls.get(id)
    if (call === undefined) return undefined
    this.#calls.delete(id)
    call.cancelTimeout()
    return call
  }

  #part (frame: FrameOf<'part'>): void {
    if (frame.message !== 'reply') throw violation('unexpected-frame')
    this.#assembler.part(frame.id, frame.index, frame.body)
  }

  #reply (frame: FrameOf<'reply'>): void {
    if (frame.id > this.#lastId) throw violation('unexpected-frame', 'A reply to a call that was never made')
    const bytes = this.#assembler.complete(frame.id, frame.parts, frame.body)
    const call = this.#take(frame.id)
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
    if (this.#isDraining) return this.#link?.end()
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
