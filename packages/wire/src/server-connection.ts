/** One connection at its server: the handshake, then calls in and replies out. */
import type { Socket } from 'node:net'
import { asFailure, CornelgaugeError, vmName, type VmName } from '@cornelgauge/model'
import { formatAddress } from './address.js'
import { Assembler } from './assembler.js'
import type { WireEvent, WireReport } from './event.js'
import type { FrameBodyOf, FrameOf } from './frame.js'
import { PROTOCOL_VERSION } from './limits.js'
import { Link, type FrameHandlers } from './link.js'
import { decodeCall, encodeReply, problemReply } from './message-codec.js'
import type { ReplyBody } from './message.js'
import { matchingSecret, NONCE_BYTES, welcomeProof, type HandshakeFacts } from './proof.js'
import type { ServerContext } from './server.js'
import type { CancelTimer } from './timers.js'
import { connectionLost, violation } from './violation.js'

/** The server's end of one connection. */
export class ServerConnection {
  readonly #context: ServerContext
  readonly #address: string
  readonly #link: Link
  readonly #nonce: Uint8Array
  readonly #cancelHandshake: CancelTimer
  readonly #assembler: Assembler
  readonly #inFlight = new Set<number>()
  #vm: VmName | undefined
  #isDraining = false
  #hasPeerSaidGoodbye = false

  constructor (socket: Socket, context: ServerContext, onClosed: (connection: ServerConnection) => void) {
    const { clock, timers, limits, traffic } = context
    this.#context = context
    this.#address = formatAddress({ host: String(socket.remoteAddress), port: Number(socket.remotePort) })
    this.#assembler = new Assembler(limits.maximumAssemblyBytes)
    this.#nonce = context.randomBytes(NONCE_BYTES)
    const handlers: FrameHandlers = { hello: frame => this.#hello(frame) }
    this.#link = new Link({ socket, clock, timers, limits, traffic, handlers, onClosed: failure => this.#closed(failure, onClosed) })
    this.#cancelHandshake = timers.after(limits.handshakeMilliseconds, () => this.#link.destroy(violation('handshake-timeout')))
    this.#link.send({ type: 'challenge', version: PROTOCOL_VERSION, nonce: this.#nonce })
  }

  /** Calls whose reply is not yet handed to the connection. */
  get callsInFlight (): number {
    return this.#inFlight.size
  }

  /** Takes no new calls, and ends once those in flight are answered. */
  drain (): void {
    if (this.#vm === undefined) return this.destroy()
    this.#isDraining = true
    this.#link.send({ type: 'goodbye' })
    this.#endIfDone()
  }

  /** Ends at once. */
  destroy (): void {
    this.#link.destroy(connectionLost('stopped', false))
  }

  /** Tells the peer why it is not served, and ends. */
  refuse (failure: CornelgaugeError): void {
    this.#report({ type: 'peer-refused', failure })
    this.#link.refuse({ type: 'refused', code: failure.code, detail: failure.message }, failure)
  }

  #report (report: WireReport): void {
    this.#context.onEvent({ role: 'server', address: this.#address, vm: this.#vm, ...report } as WireEvent)
  }

  #closed (failure: CornelgaugeError | undefined, onClosed: (connection: ServerConnection) => void): void {
    this.#cancelHandshake()
    if (failure?.code === 'protocol-violation') this.#report({ type: 'protocol-violation', failure })
    if (failure?.members.reason === 'silence') this.#report({ type: 'connection-silent' })
    this.#report({ type: 'connection-closed', failure })
    onClosed(this)
  }

  #hello (frame: FrameOf<'hello'>): void {
    this.#cancelHandshake()
    if (frame.version !== PROTOCOL_VERSION) return this.refuse(violation('wrong-version'))
    const clientVm = vmName(frame.vm)
    const facts: HandshakeFacts = { serverNonce: this.#nonce, clientNonce: frame.nonce, clientVm }
    const secret = matchingSecret(this.#context.secrets, facts, frame.proof)
    if (secret === undefined) return this.refuse(new CornelgaugeError('stranger-refused'))
    this.#vm = clientVm
    this.#link.authenticate(this.#openHandlers())
    const { vm } = this.#context.identity
    this.#link.send({ type: 'welcome', vm, proof: welcomeProof(secret, facts, vm) })
    this.#report({ type: 'connection-opened' })
  }

  #openHandlers (): FrameHandlers {
    return {
      call: frame => this.#call(frame),
      part: frame => this.#part(frame),
      abandon: frame => this.#assembler.abandon(frame.id),
      goodbye: () => this.#goodbye()
    }
  }

  #part (frame: FrameOf<'part'>): void {
    if (frame.message !== 'call') throw violation('unexpected-frame')
    this.#assembler.part(frame.id, frame.index, frame.body)
  }

  #goodbye (): void {
    this.#hasPeerSaidGoodbye = true
    this.#endIfDone()
  }

  #call (frame: FrameOf<'call'>): void {
    const bytes = this.#assembler.complete(frame.id, frame.parts, frame.body)
    const refusal = this.#refusalOf(frame.id, bytes)
    if (refusal !== undefined || bytes === undefined) return this.#refuseCall(frame.id, refusal)
    this.#inFlight.add(frame.id)
    this.#handle(bytes, frame.timeoutMilliseconds)
      .then(body => this.#reply(frame.id, body))
  }

  /** Why a call is not handled, decided before its handler could have any effect. */
  #refusalOf (id: number, bytes: Buffer | undefined): CornelgaugeError | undefined {
    const { limits } = this.#context
    if (this.#inFlight.has(id)) throw violation('unexpected-frame', 'The id of the call is in use')
    if (this.#isDraining) return new CornelgaugeError('not-ready')
    const isOverloaded = bytes === undefined ||
      this.#inFlight.size >= limits.maximumInFlightCalls ||
      this.#link.bufferedBytes > limits.maximumBufferedBytes
    return isOverloaded ? new CornelgaugeError('overloaded') : undefined
  }

  #refuseCall (id: number, failure = new CornelgaugeError('overloaded')): void {
    this.#report({ type: 'call-refused', failure })
    this.#send(id, encodeReply(problemReply(failure)))
  }

  async #handle (bytes: Buffer, remainingMilliseconds: number): Promise<ReplyBody> {
    try {
      const peer = { vm: this.#vm! }
      return await this.#context.handle(peer, decodeCall(bytes), remainingMilliseconds)
    } catch (thrown) {
      const failure = asFailure(thrown)
      this.#report({ type: 'handler-failed', failure })
      return problemReply(failure)
    }
  }

  #reply (id: number, body: ReplyBody): void {
    this.#inFlight.delete(id)
    this.#send(id, this.#encode(body))
    this.#endIfDone()
  }

  #encode (body: ReplyBody): Buffer {
    try {
      return encodeReply(body)
    } catch (thrown) {
      return encodeReply(problemReply(thrown))
    }
  }

  #send (id: number, bytes: Buffer): void {
    const last = (parts: number, body: Buffer): FrameBodyOf<'reply'> => ({ type: 'reply', id, parts, body })
    this.#link.transmit({ type: 'reply', id, bytes, last })
  }

  #endIfDone (): void {
    if (this.#hasPeerSaidGoodbye && this.#inFlight.size === 0) this.#link.end()
  }
}
