/** The server's end of a connection: performs the handshake, receives calls and sends replies. */
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
import { matchingSecret, NONCE_BYTES, welcomeProof, type HandshakeParameters } from './proof.js'
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
  readonly #callIdsInFlight = new Set<number>()
  #vm: VmName | undefined
  #isDraining = false
  #isPeerDraining = false
  #isRefused = false

  constructor (socket: Socket, context: ServerContext, onClosed: (connection: ServerConnection) => void) {
    const { clock, timers, limits, traffic } = context
    this.#context = context
    this.#address = formatAddress({ host: String(socket.remoteAddress), port: Number(socket.remotePort) })
    this.#assembler = new Assembler(limits.maximumAssemblyBytes)
    this.#nonce = context.randomBytes(NONCE_BYTES)
    const handlers: FrameHandlers = { hello: frame => this.#handleHello(frame) }
    this.#link = new Link({ socket, clock, timers, limits, traffic, handlers, onClosed: failure => this.#handleClosed(failure, onClosed) })
    this.#cancelHandshake = timers.after(limits.handshakeMilliseconds, () => this.#link.destroy(violation('handshake-timeout')))
    this.#link.send({ type: 'challenge', version: PROTOCOL_VERSION, nonce: this.#nonce })
  }

  /** Number of calls whose reply is not yet queued for sending. */
  get callsInFlight (): number {
    return this.#callIdsInFlight.size
  }

  /**
   * Stops accepting new calls. The connection closes when the calls in flight are complete
   * and the client has sent its goodbye; one still in its handshake closes immediately.
   */
  drain (): void {
    if (this.#vm === undefined) return this.destroy()
    this.#isDraining = true
    this.#link.send({ type: 'goodbye' })
    this.#endIfDone()
  }

  /** Closes the connection immediately. */
  destroy (): void {
    this.#link.destroy(connectionLost('stopped', false))
  }

  /** True while the peer has not proved that it knows the secret, and was not refused either. */
  get isInHandshake (): boolean {
    return this.#vm === undefined && !this.#isRefused
  }

  /** Sends the peer the reason for the refusal and closes the connection. */
  refuse (failure: CornelgaugeError): void {
    this.#isRefused = true
    this.#report({ type: 'peer-refused', failure })
    this.#link.refuse({ type: 'refused', code: failure.code, detail: failure.message }, failure)
  }

  #report (report: WireReport): void {
    this.#context.onEvent({ role: 'server', address: this.#address, vm: this.#vm, ...report } as WireEvent)
  }

  #handleClosed (failure: CornelgaugeError | undefined, onClosed: (connection: ServerConnection) => void): void {
    this.#cancelHandshake()
    if (failure?.code === 'protocol-violation') this.#report({ type: 'protocol-violation', failure })
    if (failure?.members.reason === 'silence') this.#report({ type: 'connection-silent' })
    this.#report({ type: 'connection-closed', failure })
    onClosed(this)
  }

  #handleHello (frame: FrameOf<'hello'>): void {
    this.#cancelHandshake()
    if (frame.version !== PROTOCOL_VERSION) return this.refuse(violation('wrong-version'))
    const clientVm = vmName(frame.vm)
    const parameters: HandshakeParameters = { serverNonce: this.#nonce, clientNonce: frame.nonce, clientVm }
    const secret = matchingSecret(this.#context.secrets, parameters, frame.proof)
    if (secret === undefined) return this.refuse(new CornelgaugeError('stranger-refused'))
    this.#vm = clientVm
    this.#link.authenticate(this.#authenticatedHandlers())
    const { vm } = this.#context.identity
    this.#link.send({ type: 'welcome', vm, proof: welcomeProof(secret, parameters, vm) })
    this.#report({ type: 'connection-opened' })
  }

  #authenticatedHandlers (): FrameHandlers {
    return {
      call: frame => this.#handleCall(frame),
      part: frame => this.#handlePart(frame),
      abandon: frame => this.#assembler.abandon(frame.id),
      goodbye: () => this.#handleGoodbye()
    }
  }

  #handlePart (frame: FrameOf<'part'>): void {
    if (frame.message !== 'call') throw violation('unexpected-frame')
    this.#assembler.addPart(frame.id, frame.index, frame.body)
  }

  #handleGoodbye (): void {
    this.#isPeerDraining = true
    this.#endIfDone()
  }

  #handleCall (frame: FrameOf<'call'>): void {
    const bytes = this.#assembler.complete(frame.id, frame.parts, frame.body)
    const refusal = this.#refusalOf(frame.id, bytes)
    if (refusal !== undefined || bytes === undefined) return this.#refuseCall(frame.id, refusal)
    this.#callIdsInFlight.add(frame.id)
    this.#runHandler(bytes, frame.timeoutMilliseconds)
      .then(body => this.#reply(frame.id, body))
  }

  /** The reason to refuse a call, if any; checked before its handler runs, so that a refused call has no effect. */
  #refusalOf (id: number, bytes: Buffer | undefined): CornelgaugeError | undefined {
    const { limits } = this.#context
    if (this.#callIdsInFlight.has(id)) throw violation('unexpected-frame', 'The id of the call is in use')
    if (this.#isDraining) return new CornelgaugeError('not-ready')
    const isOverloaded = bytes === undefined ||
      this.#callIdsInFlight.size >= limits.maximumInFlightCalls ||
      this.#link.bufferedBytes > limits.maximumBufferedBytes
    return isOverloaded ? new CornelgaugeError('overloaded') : undefined
  }

  #refuseCall (id: number, failure = new CornelgaugeError('overloaded')): void {
    this.#report({ type: 'call-refused', failure })
    this.#send(id, encodeReply(problemReply(failure)))
  }

  async #runHandler (bytes: Buffer, remainingMilliseconds: number): Promise<ReplyBody> {
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
    this.#callIdsInFlight.delete(id)
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
    const makeLastFrame = (parts: number, body: Buffer): FrameBodyOf<'reply'> => ({ type: 'reply', id, parts, body })
    this.#link.transmit({ type: 'reply', id, bytes, makeLastFrame })
  }

  #endIfDone (): void {
    if (this.#isPeerDraining && this.#callIdsInFlight.size === 0) this.#link.end()
  }
}
