import { digestOf, type CornelgaugeError, vmName } from '@cornelgauge/model'
import { expect } from 'chai'
import { MAXIMUM_MESSAGE_BYTES, type CallBody, type CallHandler, type ReplyBody } from '../src/index.js'
import { ConnectionFixture, CountingClock, SECRET, runEventLoop, until, VirtualTimers } from './support.js'

const CALL: CallBody = { type: 'vm-status' }
const documentHint = (version: number): CallBody => ({ type: 'document-hint', environment: 'trial', version } as CallBody)
const status = (value: unknown): ReplyBody => ({ type: 'status', status: value })
const failureOf = (promise: Promise<unknown>): Promise<CornelgaugeError> =>
  promise.then(() => { throw new Error('the call did not fail') }, failure => failure)

/** A handler that holds each reply until the test provides it. */
class HeldReplies {
  readonly calls: Array<{ body: CallBody, reply: (body: ReplyBody) => void }> = []
  readonly handle: CallHandler = (_peer, body) => new Promise(resolve => this.calls.push({ body, reply: resolve }))
}

describe('calls', () => {
  let fixture: ConnectionFixture
  beforeEach(() => { fixture = new ConnectionFixture() })
  afterEach(() => fixture.close())

  describe('a call and its reply', () => {
    it('passes the call to the handler with the peer and the timeout', async () => {
      const server = await fixture.startServer(async (peer, body, remaining) => status({ peer, body, remaining }), { timers: new VirtualTimers() })
      const reply = await fixture.createClient({ timers: new VirtualTimers() }).call(server.address, CALL, 5000)
      expect(reply).to.deep.equal(status({ peer: { vm: vmName('vm-client') }, body: CALL, remaining: 5000 }))
    })

    it('matches each reply to its call if replies arrive out of order', async () => {
      const held = new HeldReplies()
      const server = await fixture.startServer(held.handle)
      const client = fixture.createClient()
      const replies = [1, 2, 3, 4].map(version => client.call(server.address, documentHint(version), 5000))
      await until(() => held.calls.length === 4)
      for (const call of held.calls.reverse()) call.reply(status(call.body))
      expect(await Promise.all(replies)).to.deep.equal([1, 2, 3, 4].map(version => status(documentHint(version))))
      expect(client.statistics.connections).to.equal(1)
    })

    it('discards a reply that arrives after the timeout', async () => {
      const held = new HeldReplies()
      const timers = new VirtualTimers()
      const server = await fixture.startServer(held.handle)
      const client = fixture.createClient({ timers })
      const first = failureOf(client.call(server.address, documentHint(1), 500))
      await until(() => held.calls.length === 1)
      timers.advance(500)
      expect(await first).to.deep.include({ code: 'timeout', members: { sent: true } })
      const second = client.call(server.address, documentHint(2), 500)
      await until(() => held.calls.length === 2)
      held.calls[0]!.reply(status('late'))
      held.calls[1]!.reply(status('own'))
      expect(await second).to.deep.equal(status('own'))
      expect(fixture.clientEvents.filter(event => event.type === 'late-reply')).to.have.length(1)
    })

    it('transfers logical times in both directions', async () => {
      const clocks = [new CountingClock(), new CountingClock()]
      clocks[0]!.time = 1000
      const server = await fixture.startServer(async () => status(clocks[1]!.time), { clock: clocks[1]! })
      const reply = await fixture.createClient({ clock: clocks[0]! }).call(server.address, CALL, 5000)
      expect((reply as { status: number }).status).to.be.greaterThan(1000)
      expect(clocks[0]!.time).to.be.greaterThan((reply as { status: number }).status)
    })
  })

  describe('a handler that fails', () => {
    it('yields a problem reply and leaves the connection open', async () => {
      const server = await fixture.startServer(async (_peer, body) => {
        if (body.type === 'vm-status') throw new TypeError('x is undefined')
        return status('fine')
      })
      const client = fixture.createClient()
      const reply = await client.call(server.address, CALL, 5000)
      expect(reply).to.have.nested.property('problem.code', 'internal')
      expect(await client.call(server.address, documentHint(1), 5000)).to.deep.equal(status('fine'))
      expect(client.statistics.connections).to.equal(1)
      expect(fixture.serverEvents.map(event => event.type)).to.include('handler-failed')
    })

    it('yields a problem reply to a call of an unknown type', async () => {
      const server = await fixture.startServer(async () => status('fine'))
      const reply = await fixture.createClient().call(server.address, { type: 'elect' } as unknown as CallBody, 5000)
      expect(reply).to.have.nested.property('problem.code', 'protocol-violation')
    })
  })

  describe('large messages', () => {
    const text = 'á0123456789'.repeat(700_000)

    it('arrive complete in both directions, while small calls overtake them', async () => {
      const server = await fixture.startServer(async (_peer, body) => {
        if (body.type === 'document') return { type: 'answer', text: body.environment }
        return status('small')
      })
      const client = fixture.createClient()
      const order: string[] = []
      const large = client.call(server.address, { type: 'document', environment: text }, 60_000)
        .then(reply => { order.push('large'); return reply })
      const small = client.call(server.address, CALL, 60_000).then(() => order.push('small'))
      const [reply] = await Promise.all([large, small])
      expect(digestOf((reply as { text: string }).text)).to.equal(digestOf(text))
      expect(order).to.deep.equal(['small', 'large'])
    })

    it('fail with a typed error before anything is sent if the call is over the limit', async () => {
      const held = new HeldReplies()
      const server = await fixture.startServer(held.handle)
      const environment = 'x'.repeat(MAXIMUM_MESSAGE_BYTES)
      const failure = await failureOf(fixture.createClient().call(server.address, { type: 'document', environment }, 5000))
      expect(failure.code).to.equal('body-too-large')
      expect(failure.members.sent).to.equal(false)
      expect(held.calls).to.have.length(0)
    })

    it('yield a problem reply if the reply is over the limit', async () => {
      const server = await fixture.startServer(async () => ({ type: 'answer', text: 'x'.repeat(MAXIMUM_MESSAGE_BYTES) }))
      const reply = await fixture.createClient().call(server.address, CALL, 5000)
      expect(reply).to.have.nested.property('problem.code', 'answer-too-large')
    })

    it('are refused as overloaded if the server buffers too many parts, and the connection stays open', async () => {
      const server = await fixture.startServer(async () => status('fine'), { limits: { maximumAssemblyBytes: 100_000 } })
      const client = fixture.createClient()
      const reply = await client.call(server.address, { type: 'document', environment: text }, 60_000)
      expect(reply).to.have.nested.property('problem.code', 'overloaded')
      expect(await client.call(server.address, CALL, 5000)).to.deep.equal(status('fine'))
      expect(client.statistics.connections).to.equal(1)
    })
  })

  describe('backpressure', () => {
    it('fails a call over the client\'s bound on calls in flight', async () => {
      const held = new HeldReplies()
      const server = await fixture.startServer(held.handle)
      const client = fixture.createClient({ limits: { maximumInFlightCalls: 2 } })
      const replies = [1, 2].map(version => client.call(server.address, documentHint(version), 5000))
      const failure = await failureOf(client.call(server.address, documentHint(3), 5000))
      expect(failure).to.deep.include({ code: 'overloaded', members: { sent: false } })
      await until(() => held.calls.length === 2)
      held.calls.forEach(call => call.reply(status(call.body)))
      await Promise.all(replies)
    })

    it('fails a call over the client\'s bound on buffered bytes', async () => {
      const server = await fixture.startServer(async () => status('fine'))
      const client = fixture.createClient({ limits: { maximumBufferedBytes: 1000 } })
      const failure = await failureOf(client.call(server.address, { type: 'document', environment: 'x'.repeat(1000) }, 5000))
      expect(failure.code).to.equal('overloaded')
    })

    it('refuses a call over the server\'s bound without running it', async () => {
      const held = new HeldReplies()
      const server = await fixture.startServer(held.handle, { limits: { maximumInFlightCalls: 1 } })
      const client = fixture.createClient()
      const first = client.call(server.address, documentHint(1), 5000)
      const second = await client.call(server.address, documentHint(2), 5000)
      expect(second).to.have.nested.property('problem.code', 'overloaded')
      expect(held.calls).to.have.length(1)
      held.calls[0]!.reply(status('fine'))
      expect(await first).to.deep.equal(status('fine'))
    })
  })

  describe('a graceful stop', () => {
    it('completes the calls in flight and accepts no new ones', async () => {
      const held = new HeldReplies()
      const server = await fixture.startServer(held.handle)
      const { address } = server
      const client = fixture.createClient()
      const inFlight = client.call(address, documentHint(1), 5000)
      await until(() => held.calls.length === 1)
      const closed = server.close(60_000)
      await runEventLoop()
      const failure = await failureOf(client.call(address, documentHint(2), 5000))
      expect(failure).to.deep.include({ code: 'connection-lost', members: { reason: 'not-connected', sent: false } })
      held.calls[0]!.reply(status('in time'))
      expect(await inFlight).to.deep.equal(status('in time'))
      await closed
      expect(held.calls).to.have.length(1)
    })

    it('ends after the grace period even if a call is unanswered', async () => {
      const held = new HeldReplies()
      const timers = new VirtualTimers()
      const server = await fixture.startServer(held.handle, { timers })
      const inFlight = failureOf(fixture.createClient().call(server.address, CALL, 5000))
      await until(() => held.calls.length === 1)
      const closed = server.close(1000)
      await runEventLoop()
      timers.advance(1000)
      await closed
      expect(await inFlight).to.deep.include({ code: 'connection-lost', members: { reason: 'closed', sent: true } })
    })

    it('closes a connection without calls immediately', async () => {
      const server = await fixture.startServer(async () => status('fine'))
      await fixture.createClient().call(server.address, CALL, 5000)
      await Promise.all([server.close(60_000), server.close(60_000)])
      expect(server.statistics.connections).to.equal(0)
    })
  })

  describe('a client that closes', () => {
    it('fails its calls in flight, and accepts no new ones', async () => {
      const held = new HeldReplies()
      const server = await fixture.startServer(held.handle)
      const client = fixture.createClient()
      const inFlight = failureOf(client.call(server.address, documentHint(1), 5000))
      await until(() => held.calls.length === 1)
      const connecting = failureOf(client.call('127.0.0.1:1', documentHint(2), 5000))
      await client.close()
      expect(await inFlight).to.deep.include({ code: 'connection-lost', members: { reason: 'stopped', sent: true } })
      expect((await connecting).members.sent).to.equal(false)
      expect(await failureOf(client.call(server.address, CALL, 5000))).to.deep.include({ members: { reason: 'stopped', sent: false } })
    })
  })

  describe('an idle connection', () => {
    it('is closed by the client, and the next call opens another', async () => {
      const timers = new VirtualTimers()
      const server = await fixture.startServer(async () => status('fine'))
      const client = fixture.createClient({ timers, limits: { deadAfterMilliseconds: 1e9 } })
      await client.call(server.address, CALL, 5000)
      timers.advance(60_000)
      await until(() => client.statistics.connections === 0 && server.statistics.connections === 0)
      expect(await client.call(server.address, CALL, 5000)).to.deep.equal(status('fine'))
    })
  })

  describe('secrets', () => {
    const handle: CallHandler = async () => status('fine')
    const cases: ReadonlyArray<readonly [string, string[], string[], boolean]> = [
      ['before the rotation', ['old'], ['old'], true],
      ['the server accepts both, the client has only the old one', ['new', 'old'], ['old'], true],
      ['the server accepts both, the client tries the new one first', ['new', 'old'], ['new', 'old'], true],
      ['the client has the new one before the server', ['old'], ['new', 'old'], true],
      ['after the rotation', ['new'], ['new'], true],
      ['the client still has only the old one', ['new'], ['old'], false],
      ['the client has wrong ones', ['new', 'old'], ['guess', 'other guess'], false]
    ]
    for (const [name, serverSecrets, clientSecrets, isAccepted] of cases) {
      it(`${isAccepted ? 'are accepted' : 'are refused'}: ${name}`, async () => {
        const server = await fixture.startServer(handle, { secrets: serverSecrets })
        const call = fixture.createClient({ secrets: clientSecrets }).call(server.address, CALL, 5000)
        if (isAccepted) {
          expect(await call).to.deep.equal(status('fine'))
        } else {
          expect((await failureOf(call)).code).to.equal('stranger-refused')
          expect(fixture.serverEvents.map(event => event.type)).to.include('peer-refused')
        }
      })
    }

    for (const secrets of [[], ['']]) {
      it(`${JSON.stringify(secrets)} are rejected as settings`, () => {
        expect(() => fixture.createClient({ secrets })).to.throw().with.property('code', 'invalid-settings')
      })
    }

    it('never appear in events', async () => {
      const server = await fixture.startServer(handle, { secrets: ['other-secret'] })
      await failureOf(fixture.createClient().call(server.address, CALL, 5000))
      const reported = JSON.stringify([fixture.serverEvents, fixture.clientEvents])
      expect(reported).not.to.include(SECRET).and.not.to.include('other-secret')
    })
  })

  describe('a caller\'s payload', () => {
    const payloads = ['{"__proto__":{"a":1},"b":[]}', '"\\ud800x"', '{"constructor":1,"":"\\u0000"}', '1e+300', 'null', `${'['.repeat(300)}${']'.repeat(300)}`]
    for (const text of payloads) {
      it(`is transferred unchanged in both directions: ${text.slice(0, 30)}`, async () => {
        const server = await fixture.startServer(async (_peer, body) => ({ type: 'record', record: body } as unknown as ReplyBody))
        const submit = { type: 'submit', cell: 'praha', submission: { payload: JSON.parse(text) }, waitMilliseconds: 0 } as unknown as CallBody
        const reply = await fixture.createClient().call(server.address, submit, 5000)
        expect(JSON.stringify((reply as unknown as { record: { submission: { payload: unknown } } }).record.submission.payload)).to.equal(text)
      })
    }

    it('that is not plain data fails its own call, with nothing sent', async () => {
      const server = await fixture.startServer(async () => status('fine'))
      const client = fixture.createClient()
      const failure = await failureOf(client.call(server.address, { type: 'document', environment: () => 1 } as unknown as CallBody, 5000))
      expect(failure).to.deep.include({ code: 'internal', members: { sent: false } })
      expect(await client.call(server.address, CALL, 5000)).to.deep.equal(status('fine'))
    })
  })

  describe('timeouts', () => {
    for (const milliseconds of [NaN, -1, 0]) {
      it(`of ${milliseconds} ms fail the call before anything is sent`, async () => {
        const held = new HeldReplies()
        const server = await fixture.startServer(held.handle)
        const client = fixture.createClient()
        const failure = await failureOf(client.call(server.address, CALL, milliseconds))
        expect(failure).to.deep.include({ code: 'timeout', members: { sent: false } })
        expect({ calls: held.calls.length, frames: client.statistics.framesSent }).to.deep.equal({ calls: 0, frames: 0 })
      })
    }

    it('that are infinite are reduced to a day', async () => {
      const server = await fixture.startServer(async (_peer, _body, remaining) => status(remaining))
      const client = fixture.createClient({ timers: new VirtualTimers() })
      expect(await client.call(server.address, CALL, Infinity)).to.deep.equal(status(86_400_000))
    })
  })

  describe('addresses', () => {
    for (const address of ['', 'localhost', '127.0.0.1:', '127.0.0.1:0', '127.0.0.1:65536', ':80', '1:2:3']) {
      it(`of the form ${JSON.stringify(address)} are rejected`, async () => {
        expect((await failureOf(fixture.createClient().call(address, CALL, 100))).code).to.equal('invalid-settings')
      })
    }

    it('of unreachable peers fail the call as not sent', async () => {
      const server = await fixture.startServer(async () => status('fine'))
      const { address } = server
      await server.close(0)
      const failure = await failureOf(fixture.createClient().call(address, CALL, 5000))
      expect(failure).to.deep.include({ code: 'connection-lost' })
      expect(failure.members.sent).to.equal(false)
    })

    it('of clients are the configured local address', async () => {
      const server = await fixture.startServer(async () => status('fine'))
      await fixture.createClient({ localAddress: '127.0.0.9' }).call(server.address, CALL, 5000)
      expect(fixture.serverEvents[0]!.address).to.match(/^127\.0\.0\.9:/)
    })
  })
})
