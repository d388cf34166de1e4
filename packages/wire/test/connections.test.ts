import { connect, createServer, type Server, type Socket } from 'node:net'
import { once } from 'node:events'
import { vmName, type CornelgaugeError } from '@cornelgauge/model'
import { expect } from 'chai'
import { encodeCbor } from '../src/cbor.js'
import { encodeFrame, type FrameBody } from '../src/frame.js'
import { decodeReply, encodeCall } from '../src/message-codec.js'
import { helloProof, welcomeProof } from '../src/proof.js'
import type { CallBody, CallHandler, ReplyBody, WireServer } from '../src/index.js'
import { ConnectionFixture, CountingClock, RawPeer, SECRET, runEventLoop, until, VirtualTimers } from './support.js'

const CALL: CallBody = { type: 'vm-status' }
const CALL_BYTES = encodeCall(CALL)
const STATUS_REPLY: ReplyBody = { type: 'status', status: 'fine' }
const replyWithStatus: CallHandler = async () => STATUS_REPLY
const failureOf = (promise: Promise<unknown>): Promise<CornelgaugeError> =>
  promise.then(() => { throw new Error('the call did not fail') }, failure => failure)

const withLengthPrefix = (content: Buffer): Buffer => {
  const length = Buffer.alloc(4)
  length.writeUInt32BE(content.length)
  return Buffer.concat([length, content])
}

const call = (id: number, fields: object = {}): FrameBody =>
  ({ type: 'call', id, timeoutMilliseconds: 1000, parts: 0, body: CALL_BYTES, ...fields }) as FrameBody
const part = (id: number, index: number, fields: object = {}): FrameBody =>
  ({ type: 'part', id, message: 'call', index, body: Buffer.alloc(10), ...fields }) as FrameBody

describe('connections', () => {
  let fixture: ConnectionFixture
  beforeEach(() => { fixture = new ConnectionFixture() })
  afterEach(() => fixture.close())

  const violations = (): unknown[] => fixture.serverEvents
    .flatMap(event => event.type === 'protocol-violation' ? [event.failure.members.reason] : [])

  describe('a peer that violates the protocol', () => {
    const frames = (...bodies: FrameBody[]): Buffer => Buffer.concat(bodies.map(body => encodeFrame({ ...body, logicalTime: 1 })))
    const beforeHello: ReadonlyArray<readonly [string, Buffer, string]> = [
      ['an HTTP request', Buffer.from('GET / HTTP/1.1\r\nhost: a\r\n\r\n'), 'frame-too-large'],
      ['a large frame', withLengthPrefix(Buffer.alloc(1025)), 'frame-too-large'],
      ['an empty frame', Buffer.alloc(4), 'empty-frame'],
      ['garbage', withLengthPrefix(Buffer.from('not cbor at all')), 'malformed-frame'],
      ['an unknown type', withLengthPrefix(encodeCbor({ type: 'elect', logicalTime: 1 })), 'unknown-frame-type'],
      ['a call', frames(call(1)), 'unexpected-frame'],
      ['a ping', frames({ type: 'ping' }), 'unexpected-frame'],
      ['a welcome', frames({ type: 'welcome', vm: 'a', proof: Buffer.alloc(32) }), 'unexpected-frame']
    ]
    const afterHello: ReadonlyArray<readonly [string, Buffer, string]> = [
      ['a frame over the limit', withLengthPrefix(Buffer.alloc(70_000)), 'frame-too-large'],
      ['garbage', withLengthPrefix(Buffer.from('not cbor at all')), 'malformed-frame'],
      ['an unknown type', withLengthPrefix(encodeCbor({ type: 'elect', logicalTime: 1 })), 'unknown-frame-type'],
      ['a second hello', frames({ type: 'hello', version: 1, vm: 'a', nonce: Buffer.alloc(32), proof: Buffer.alloc(32) }), 'unexpected-frame'],
      ['a reply', frames({ type: 'reply', id: 1, parts: 0, body: CALL_BYTES }), 'unexpected-frame'],
      ['a part of a reply', frames(part(1, 0, { message: 'reply' })), 'unexpected-frame'],
      ['an id in use', frames(call(1), call(1)), 'unexpected-frame'],
      ['a part out of order', frames(part(1, 1)), 'part-out-of-order'],
      ['a repeated part', frames(part(1, 0), part(1, 0)), 'part-out-of-order'],
      ['a call whose parts are missing', frames(part(1, 0), call(1, { parts: 2 })), 'part-out-of-order'],
      ['a message over the limit', frames(...Array.from({ length: 257 }, (_, index) => part(1, index, { body: Buffer.alloc(65536) }))), 'message-too-large']
    ]

    const expectOneClosed = async (server: WireServer, send: (peer: RawPeer) => Promise<void>, reason: string): Promise<void> => {
      const client = fixture.createClient()
      await client.call(server.address, CALL, 5000)
      const peer = await fixture.connectRawPeer(server.address)
      await send(peer)
      await until(() => peer.isClosed)
      await until(() => violations().length > 0)
      expect(violations()).to.deep.equal([reason])
      expect(await client.call(server.address, CALL, 5000)).to.deep.equal(STATUS_REPLY)
      expect(client.statistics.connections).to.equal(1)
    }

    for (const [name, bytes, reason] of beforeHello) {
      it(`loses its connection and no other: ${name} before the hello`, async () => {
        const server = await fixture.startServer(replyWithStatus)
        await expectOneClosed(server, async peer => { peer.socket.write(bytes) }, reason)
      })
    }

    for (const [name, bytes, reason] of afterHello) {
      it(`loses its connection and no other: ${name} after the hello`, async () => {
        const server = await fixture.startServer(replyWithStatus)
        await expectOneClosed(server, async peer => {
          await peer.authenticate()
          peer.socket.write(bytes)
        }, reason)
      })
    }

    it('loses its connection and no other: a frame truncated by the end of the connection', async () => {
      const server = await fixture.startServer(replyWithStatus)
      await expectOneClosed(server, async peer => {
        await peer.authenticate()
        peer.socket.end(encodeFrame({ ...call(1), logicalTime: 1 }).subarray(0, 20))
      }, 'truncated-frame')
    })

    it('does not cause a call to run if the call\'s last frame is truncated', async () => {
      let runs = 0
      const server = await fixture.startServer(async () => { runs += 1; return STATUS_REPLY })
      const peer = await fixture.connectRawPeer(server.address)
      await peer.authenticate()
      peer.socket.end(encodeFrame({ ...call(1), logicalTime: 1 }).subarray(0, -1))
      await until(() => peer.isClosed && violations().length > 0)
      expect(runs).to.equal(0)
    })

    it('does not advance the logical clock until it is authenticated', async () => {
      const clock = new CountingClock()
      const server = await fixture.startServer(replyWithStatus, { clock })
      const peer = await fixture.connectRawPeer(server.address)
      await peer.receive('challenge')
      peer.send({ type: 'hello', version: 1, vm: 'a', nonce: Buffer.alloc(32), proof: Buffer.alloc(32) }, 1_000_000)
      await until(() => peer.isClosed)
      expect(clock.time).to.be.below(1000)
    })
  })

  describe('a peer that fails to authenticate', () => {
    const parameters = (serverNonce: Uint8Array) => ({ serverNonce, clientNonce: Buffer.alloc(32, 1), clientVm: vmName('vm-raw') })
    const cases: ReadonlyArray<readonly [string, (nonce: Uint8Array) => object, string]> = [
      ['a proof with another secret', nonce => ({ proof: helloProof('guess', parameters(nonce)) }), 'stranger-refused'],
      ['a proof for another nonce', () => ({ proof: helloProof(SECRET, parameters(Buffer.alloc(32, 9))) }), 'stranger-refused'],
      ['a proof for another VM', nonce => ({ vm: 'vm-other', proof: helloProof(SECRET, parameters(nonce)) }), 'stranger-refused'],
      ['a proof in the server\'s role', nonce => ({ proof: welcomeProof(SECRET, parameters(nonce), vmName('')) }), 'stranger-refused'],
      ['a short proof', () => ({ proof: Buffer.alloc(5) }), 'stranger-refused'],
      ['another protocol version', nonce => ({ version: 2, proof: helloProof(SECRET, parameters(nonce)) }), 'protocol-violation']
    ]
    for (const [name, fields, code] of cases) {
      it(`is refused: ${name}`, async () => {
        const server = await fixture.startServer(replyWithStatus)
        const peer = await fixture.connectRawPeer(server.address)
        const { nonce } = await peer.receive('challenge')
        peer.send({ type: 'hello', version: 1, vm: 'vm-raw', nonce: Buffer.alloc(32, 1), proof: Buffer.alloc(32), ...fields(nonce) })
        expect(await peer.receive('refused')).to.include({ code })
        await until(() => peer.isClosed)
        expect(fixture.serverEvents.map(event => event.type)).to.include('peer-refused').and.not.to.include('connection-opened')
      })
    }

    it('cannot impersonate the server', async () => {
      const address = await listen(fixture, socket => {
        const peer = new RawPeer(socket)
        peer.send({ type: 'challenge', version: 1, nonce: Buffer.alloc(32) })
        peer.receive('hello').then(() => peer.send({ type: 'welcome', vm: 'vm-server', proof: Buffer.alloc(32) }))
      })
      const failure = await failureOf(fixture.createClient().call(address, CALL, 5000))
      expect(failure.members.reason).to.equal('wrong-proof')
    })
  })

  describe('a half-open connection', () => {
    it('is closed if no hello arrives in time', async () => {
      const timers = new VirtualTimers()
      const server = await fixture.startServer(replyWithStatus, { timers })
      const peer = await fixture.connectRawPeer(server.address)
      await peer.receive('challenge')
      timers.advance(1999)
      await runEventLoop()
      expect(peer.isClosed).to.equal(false)
      timers.advance(1)
      await until(() => peer.isClosed)
      expect(violations()).to.deep.equal(['handshake-timeout'])
    })

    it('fails its calls as not sent if the server never sends a challenge', async () => {
      const timers = new VirtualTimers()
      const sockets: Socket[] = []
      const address = await listen(fixture, socket => sockets.push(socket))
      const reply = failureOf(fixture.createClient({ timers }).call(address, CALL, 5000))
      await until(() => sockets.length === 1)
      timers.advance(2000)
      expect(await reply).to.deep.include({ code: 'connection-lost', members: { reason: 'not-connected', sent: false } })
    })
  })

  describe('the connection limit', () => {
    it('refuses connections over the limit and serves the others', async () => {
      const server = await fixture.startServer(replyWithStatus, { limits: { maximumConnections: 1 } })
      const client = fixture.createClient()
      await client.call(server.address, CALL, 5000)
      expect((await failureOf(fixture.createClient().call(server.address, CALL, 5000))).code).to.equal('overloaded')
      expect(await client.call(server.address, CALL, 5000)).to.deep.equal(STATUS_REPLY)
    })
  })

  describe('the connection limit, used up by connections that never finish their handshake', () => {
    it('refuses the oldest of them and serves a peer that comes later', async () => {
      const server = await fixture.startServer(replyWithStatus, { limits: { maximumConnections: 2, handshakeMilliseconds: 60_000 } })
      const [host, port] = server.address.split(':')
      const strangers = [1, 2].map(() => connect({ host, port: Number(port) }).on('error', () => {}))
      const closed = Promise.race(strangers.map(stranger => new Promise(resolve => stranger.resume().once('close', resolve))))
      await until(() => server.statistics.connections === 2)
      expect(await fixture.createClient().call(server.address, CALL, 5000)).to.deep.equal(STATUS_REPLY)
      await closed
      strangers.forEach(stranger => stranger.destroy())
    })
  })

  describe('silence', () => {
    it('does not end the connection while the peer answers pings', async () => {
      const timers = new VirtualTimers()
      const server = await fixture.startServer(replyWithStatus)
      const client = fixture.createClient({ timers })
      await client.call(server.address, CALL, 5000)
      for (let second = 0; second < 10; second += 1) {
        const { framesReceived } = client.statistics
        timers.advance(1000)
        await until(() => client.statistics.framesReceived > framesReceived)
      }
      expect(client.statistics.connections).to.equal(1)
    })

    it('ends the connection and fails every call in flight; a later call opens a new one', async () => {
      const timers = new VirtualTimers()
      const held: CallBody[] = []
      const server = await fixture.startServer((_peer, body) => {
        held.push(body)
        return held.length > 2 ? replyWithStatus({ vm: vmName('a') }, body, 0) : new Promise(() => {})
      })
      const relay = await silentRelay(fixture, server)
      const client = fixture.createClient({ timers })
      const failures = [1, 2].map(() => failureOf(client.call(relay.address, CALL, 60_000)))
      await until(() => held.length === 2)
      relay.isSilent = true
      timers.advance(1000)
      await runEventLoop()
      timers.advance(1999)
      await runEventLoop()
      expect(client.statistics.callsInFlight).to.equal(2)
      timers.advance(1)
      for (const failure of await Promise.all(failures)) {
        expect(failure).to.deep.include({ code: 'connection-lost', members: { reason: 'silence', sent: true } })
      }
      expect(fixture.clientEvents.map(event => event.type)).to.include('connection-silent')
      relay.isSilent = false
      expect(await client.call(relay.address, CALL, 5000)).to.deep.equal(STATUS_REPLY)
      expect(held).to.have.length(3)
    })

    it('distinguishes a call that was not sent from one that may have arrived', async () => {
      const timers = new VirtualTimers()
      const server = await fixture.startServer(() => new Promise(() => {}))
      const relay = await silentRelay(fixture, server)
      const client = fixture.createClient({ timers })
      const small = failureOf(client.call(relay.address, CALL, 60_000))
      await until(() => server.statistics.callsInFlight === 1)
      relay.isSilent = true
      relay.pause()
      const large = failureOf(client.call(relay.address, { type: 'document', environment: 'x'.repeat(16_000_000) }, 60_000))
      await runEventLoop()
      timers.advance(1000)
      timers.advance(2000)
      expect((await small).members.sent).to.equal(true)
      expect((await large).members.sent).to.equal(false)
    })

    it('ends the connection at the server too', async () => {
      const timers = new VirtualTimers()
      const server = await fixture.startServer(replyWithStatus, { timers })
      const peer = await fixture.connectRawPeer(server.address)
      await peer.authenticate()
      timers.advance(1000)
      await peer.receive('ping')
      timers.advance(2000)
      await until(() => peer.isClosed)
      expect(fixture.serverEvents.map(event => event.type)).to.include('connection-silent')
    })
  })

  describe('a peer that does not read its replies', () => {
    it('has further calls refused while the buffered replies exceed the bound', async () => {
      let runs = 0
      const large: CallHandler = async () => { runs += 1; return { type: 'answer', text: 'x'.repeat(12_000_000) } }
      const server = await fixture.startServer(large, { limits: { maximumBufferedBytes: 100_000 } })
      const peer = await fixture.connectRawPeer(server.address)
      await peer.authenticate()
      peer.socket.pause()
      peer.send(call(1))
      await until(() => runs === 1)
      await runEventLoop()
      peer.send(call(2))
      await until(() => fixture.serverEvents.some(event => event.type === 'call-refused'))
      expect(runs).to.equal(1)
    })
  })

  describe('a call that arrives after the server has sent its goodbye', () => {
    it('is refused as not ready, and does not run', async () => {
      let runs = 0
      const server = await fixture.startServer(async () => { runs += 1; return STATUS_REPLY })
      const peer = await fixture.connectRawPeer(server.address)
      await peer.authenticate()
      const closed = server.close(60_000)
      await peer.receive('goodbye')
      peer.send(call(1))
      const reply = await peer.receive('reply')
      expect(decodeReply(Buffer.from(reply.body))).to.have.nested.property('problem.code', 'not-ready')
      peer.send({ type: 'goodbye' })
      await closed
      expect(runs).to.equal(0)
    })
  })

  describe('a call withdrawn at its timeout', () => {
    it('is followed by an abandon frame if a part of it was sent', async () => {
      const timers = new VirtualTimers()
      const { address, peers } = await rawServer(fixture, peer => peer.socket.pause())
      const client = fixture.createClient({ timers, limits: { pingAfterMilliseconds: 1e8, deadAfterMilliseconds: 1e9 } })
      const reply = failureOf(client.call(address, { type: 'document', environment: 'x'.repeat(16_000_000) }, 1000))
      await until(() => client.statistics.bytesSent > 1_000_000)
      await runEventLoop()
      timers.advance(1000)
      expect(await reply).to.deep.include({ code: 'timeout', members: { sent: false } })
      peers[0]!.socket.resume()
      expect(await peers[0]!.receive('abandon')).to.include({ id: 1 })
      expect(peers[0]!.frames.map(frame => frame.type)).not.to.include('call')
    })

    it('is abandoned by the client, and the server discards its parts', async () => {
      const server = await fixture.startServer(replyWithStatus)
      const peer = await fixture.connectRawPeer(server.address)
      await peer.authenticate()
      peer.send(part(1, 0))
      peer.send({ type: 'abandon', id: 1 })
      peer.send(part(1, 0))
      peer.send(call(1, { parts: 1, body: Buffer.alloc(0) }))
      const reply = await peer.receive('reply')
      expect(decodeReply(Buffer.from(reply.body))).to.have.nested.property('problem.code', 'protocol-violation')
    })
  })

  describe('a reply without a call', () => {
    it('ends the connection', async () => {
      const { address } = await rawServer(fixture, peer => peer.send({ type: 'reply', id: 99, parts: 0, body: CALL_BYTES }))
      const failure = await failureOf(fixture.createClient().call(address, CALL, 5000))
      expect(failure.code).to.equal('connection-lost')
      expect(fixture.clientEvents.map(event => event.type)).to.include('protocol-violation')
    })
  })
})

/** Starts a plain TCP server and returns its address. */
async function listen (fixture: ConnectionFixture, accept: (socket: Socket) => void): Promise<string> {
  const sockets: Socket[] = []
  const server: Server = createServer(socket => {
    socket.on('error', () => {})
    sockets.push(socket)
    accept(socket)
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  fixture.onClose(() => {
    sockets.forEach(socket => socket.destroy())
    server.close()
  })
  return `127.0.0.1:${(server.address() as { port: number }).port}`
}

/** A server that completes the handshake with each client and then passes the peer to the test. */
async function rawServer (fixture: ConnectionFixture, onAuthenticated: (peer: RawPeer) => void = () => {}): Promise<{ address: string, peers: RawPeer[] }> {
  const peers: RawPeer[] = []
  const address = await listen(fixture, async socket => {
    const peer = new RawPeer(socket)
    const serverNonce = Buffer.alloc(32)
    peer.send({ type: 'challenge', version: 1, nonce: serverNonce })
    const hello = await peer.receive('hello')
    const parameters = { serverNonce, clientNonce: hello.nonce, clientVm: vmName(hello.vm) }
    peer.send({ type: 'welcome', vm: 'vm-raw', proof: welcomeProof(SECRET, parameters, vmName('vm-raw')) })
    peers.push(peer)
    onAuthenticated(peer)
  })
  return { address, peers }
}

interface SilentRelay {
  readonly address: string
  /** While true, bytes from either side are dropped and both connections stay open; a connection that lost bytes stays silent. */
  isSilent: boolean
  /** Stops reading from the clients' current connections. */
  pause (): void
}

/** A relay between clients and the server that can go silent without closing connections. */
async function silentRelay (fixture: ConnectionFixture, server: WireServer): Promise<SilentRelay> {
  const [host, port] = server.address.split(':')
  const { connect } = await import('node:net')
  const incoming: Socket[] = []
  const address = await listen(fixture, socket => {
    const outgoing = connect(Number(port), host)
    outgoing.on('error', () => {})
    fixture.onClose(() => outgoing.destroy())
    const state = { isCut: false }
    const forward = (to: Socket) => (bytes: Buffer): void => {
      state.isCut ||= relay.isSilent
      if (!state.isCut) to.write(bytes)
    }
    socket.on('data', forward(outgoing))
    outgoing.on('data', forward(socket))
    incoming.push(socket)
  })
  const relay: SilentRelay = { address, isSilent: false, pause: () => incoming.forEach(socket => socket.pause()) }
  return relay
}
