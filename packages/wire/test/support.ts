import { connect, type Socket } from 'node:net'
import { once } from 'node:events'
import { vmName } from '@cornelgauge/model'
import {
  WireClient, WireServer, type CallHandler, type CancelTimer, type LogicalClock, type Timers, type WireClientOptions,
  type WireEvent, type WireServerOptions
} from '../src/index.js'
import { decodeStep, INITIAL_DECODER_STATE, type DecoderState } from '../src/frame-decoder.js'
import { encodeFrame, type Frame, type FrameBody, type FrameOf } from '../src/frame.js'
import { helloProof } from '../src/proof.js'

export const SECRET = 'peer-secret'

export class CountingClock implements LogicalClock {
  time = 0

  tick (): number {
    this.time += 1
    return this.time
  }

  witness (logicalTime: number): void {
    this.time = Math.max(this.time, logicalTime)
  }
}

interface ScheduledTimer {
  readonly dueAt: number
  readonly callback: () => void
}

/** Timers whose time advances only by calls of `advance`. */
export class VirtualTimers implements Timers {
  #now = 0
  #scheduled: ScheduledTimer[] = []

  now (): number {
    return this.#now
  }

  after (milliseconds: number, callback: () => void): CancelTimer {
    const timer = { dueAt: this.#now + milliseconds, callback }
    this.#scheduled.push(timer)
    return () => { this.#scheduled = this.#scheduled.filter(other => other !== timer) }
  }

  advance (milliseconds: number): void {
    const target = this.#now + milliseconds
    for (let next = this.#nextDueTimer(target); next !== undefined; next = this.#nextDueTimer(target)) {
      this.#scheduled = this.#scheduled.filter(other => other !== next)
      this.#now = Math.max(this.#now, next.dueAt)
      next.callback()
    }
    this.#now = target
  }

  #nextDueTimer (target: number): ScheduledTimer | undefined {
    return this.#scheduled.filter(timer => timer.dueAt <= target).sort((first, second) => first.dueAt - second.dueAt)[0]
  }
}

/** Runs the event loop, so that sockets make progress, until the condition holds. */
export async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 1))
}

/** Runs 20 iterations of the event loop, so that sockets make progress. */
export async function runEventLoop (): Promise<void> {
  for (let turn = 0; turn < 20; turn += 1) await new Promise(resolve => setImmediate(resolve))
}

/** Creates the servers, clients and sockets of one test, and closes them after it. */
export class ConnectionFixture {
  readonly serverEvents: WireEvent[] = []
  readonly clientEvents: WireEvent[] = []
  readonly #closers: Array<() => unknown> = []

  async startServer (handle: CallHandler, options: Partial<WireServerOptions> = {}): Promise<WireServer> {
    const server = new WireServer({
      identity: { vm: vmName('vm-server') },
      secrets: [SECRET],
      clock: new CountingClock(),
      handle,
      onEvent: event => this.serverEvents.push(event),
      ...options
    })
    await server.listen('127.0.0.1', 0)
    this.#closers.push(() => server.close(0))
    return server
  }

  createClient (options: Partial<WireClientOptions> = {}): WireClient {
    const client = new WireClient({
      identity: { vm: vmName('vm-client') },
      secrets: [SECRET],
      clock: new CountingClock(),
      onEvent: event => this.clientEvents.push(event),
      ...options
    })
    this.#closers.push(() => client.close())
    return client
  }

  async connectRawPeer (address: string): Promise<RawPeer> {
    const [host, port] = address.split(':')
    const socket = connect(Number(port), host)
    this.#closers.push(() => socket.destroy())
    await once(socket, 'connect')
    return new RawPeer(socket)
  }

  onClose (closer: () => unknown): void {
    this.#closers.push(closer)
  }

  async close (): Promise<void> {
    for (const closer of this.#closers.reverse()) await closer()
  }
}

/** A peer that can send arbitrary bytes and frames. */
export class RawPeer {
  readonly socket: Socket
  readonly frames: Frame[] = []
  isClosed = false
  #state: DecoderState = INITIAL_DECODER_STATE

  constructor (socket: Socket) {
    this.socket = socket
    socket.on('error', () => {})
    socket.on('close', () => { this.isClosed = true })
    socket.on('data', bytes => this.#decode(bytes))
  }

  #decode (bytes: Buffer): void {
    const step = decodeStep(this.#state, { type: 'bytes', bytes, limitBytes: 2 ** 20 })
    this.#state = step.state
    this.frames.push(...step.output.frames)
  }

  send (frame: FrameBody, logicalTime = 1): void {
    this.socket.write(encodeFrame({ ...frame, logicalTime }))
  }

  async receive<Type extends Frame['type']> (type: Type): Promise<FrameOf<Type>> {
    const find = (): Frame | undefined => this.frames.find(frame => frame.type === type)
    await until(() => find() !== undefined)
    return find() as FrameOf<Type>
  }

  async authenticate (secret = SECRET): Promise<void> {
    const { nonce: serverNonce } = await this.receive('challenge')
    const clientVm = vmName('vm-raw')
    const nonce = Buffer.alloc(32, 1)
    const proof = helloProof(secret, { serverNonce, clientNonce: nonce, clientVm })
    this.send({ type: 'hello', version: 1, vm: clientVm, nonce, proof })
    await this.receive('welcome')
  }
}
