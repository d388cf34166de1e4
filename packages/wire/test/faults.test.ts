import { connect, createServer, type Socket } from 'node:net'
import { once } from 'node:events'
import type { CornelgaugeError } from '@cornelgauge/model'
import { expect } from 'chai'
import fastCheck from 'fast-check'
import type { FrameBody } from '../src/frame.js'
import { encodeCall } from '../src/message-codec.js'
import type { CallBody, WireServer } from '../src/index.js'
import { ConnectionFixture, until } from './support.js'

const SEED = 47
const CALL: CallBody = { type: 'vm-status' }
const CALL_BYTES = encodeCall(CALL)

const documentHint = (version: number, environment: string): CallBody => ({ type: 'document-hint', environment, version } as CallBody)

/** A relay that destroys each connection after it has forwarded `limitBytes` in one direction. */
async function cuttingRelay (fixture: ConnectionFixture, server: WireServer, direction: 'to-server' | 'to-client', limitBytes: number): Promise<string> {
  const [host, port] = server.address.split(':')
  const relay = createServer(incoming => {
    const outgoing = connect(Number(port), host)
    const ends = [incoming, outgoing]
    const cut = (): void => ends.forEach(socket => socket.destroy())
    ends.forEach(socket => socket.on('error', cut).on('close', cut))
    fixture.onClose(cut)
    forward(incoming, outgoing, direction === 'to-server' ? limitBytes : Infinity, cut)
    forward(outgoing, incoming, direction === 'to-client' ? limitBytes : Infinity, cut)
  })
  relay.listen(0, '127.0.0.1')
  await once(relay, 'listening')
  fixture.onClose(() => relay.close())
  return `127.0.0.1:${(relay.address() as { port: number }).port}`
}

function forward (from: Socket, to: Socket, limitBytes: number, cut: () => void): void {
  let passedBytes = 0
  from.on('data', (bytes: Buffer) => {
    const rest = Math.max(0, limitBytes - passedBytes)
    passedBytes += bytes.length
    to.write(bytes.subarray(0, rest), () => { if (passedBytes > limitBytes) cut() })
  })
}

describe('faults', () => {
  describe('a connection cut at any byte', () => {
    const sizes = fastCheck.array(fastCheck.constantFrom(1, 300, 70_000, 200_000), { minLength: 1, maxLength: 6 })
    const limits = fastCheck.oneof(fastCheck.integer({ min: 0, max: 1500 }), fastCheck.integer({ min: 0, max: 500_000 }))

    it('runs each call at most once, runs none that was reported as not sent, and settles all', async () => {
      const outcomes = { answered: 0, notSent: 0, sent: 0 }
      const direction = fastCheck.constantFrom('to-server' as const, 'to-client' as const)
      await fastCheck.assert(fastCheck.asyncProperty(sizes, limits, direction, async (sizeList, limitBytes, side) => {
        const fixture = new ConnectionFixture()
        try {
          const runs = new Map<number, number>()
          const server = await fixture.startServer(async (_peer, body) => {
            const { version, environment } = body as unknown as { version: number, environment: string }
            runs.set(version, (runs.get(version) ?? 0) + 1)
            return { type: 'answer', text: environment }
          })
          const client = fixture.createClient()
          const address = await cuttingRelay(fixture, server, side, limitBytes)
          await Promise.all(sizeList.map(async (size, version) => {
            const environment = String(version).repeat(size)
            try {
              const reply = await client.call(address, documentHint(version, environment), 30_000)
              expect(reply).to.deep.equal({ type: 'answer', text: environment })
              expect(runs.get(version)).to.equal(1)
              outcomes.answered += 1
            } catch (thrown) {
              const { code, members } = thrown as CornelgaugeError
              expect(code).to.equal('connection-lost')
              expect(runs.get(version) ?? 0).to.be.at.most(members.sent === true ? 1 : 0)
              outcomes[members.sent === true ? 'sent' : 'notSent'] += 1
            }
          }))
        } finally {
          await fixture.close()
        }
      }), { seed: SEED, numRuns: 60 })
      expect(Math.min(...Object.values(outcomes)), JSON.stringify(outcomes)).to.be.greaterThan(0)
    })
  })

  describe('an authenticated peer that sends valid frames in any order', () => {
    const id = fastCheck.integer({ min: 1, max: 3 })
    const count = fastCheck.integer({ min: 0, max: 2 })
    const body = fastCheck.constantFrom(CALL_BYTES, Buffer.alloc(0), Buffer.from('garbage'))
    const message = fastCheck.constantFrom('call' as const, 'reply' as const)
    const frame: fastCheck.Arbitrary<FrameBody> = fastCheck.oneof(
      fastCheck.record({ type: fastCheck.constant('call' as const), id, timeoutMilliseconds: count, parts: count, body }),
      fastCheck.record({ type: fastCheck.constant('part' as const), id, message, index: count, body }),
      fastCheck.record({ type: fastCheck.constant('reply' as const), id, parts: count, body }),
      fastCheck.record({ type: fastCheck.constant('abandon' as const), id }),
      fastCheck.constantFrom<FrameBody>({ type: 'ping' }, { type: 'pong' }, { type: 'goodbye' })
    )

    it('loses at most its own connection', async () => {
      const fixture = new ConnectionFixture()
      const server = await fixture.startServer(async () => ({ type: 'done' }))
      const client = fixture.createClient()
      await fastCheck.assert(fastCheck.asyncProperty(fastCheck.array(frame, { maxLength: 12 }), async frames => {
        const peer = await fixture.connectRawPeer(server.address)
        await peer.authenticate()
        frames.forEach(body => peer.send(body))
        expect(await client.call(server.address, CALL, 30_000)).to.deep.equal({ type: 'done' })
        peer.socket.end()
        await until(() => peer.isClosed)
      }), { seed: SEED, numRuns: 100 })
      expect(client.statistics.connections).to.equal(1)
      await until(() => server.statistics.connections === 1)
      await fixture.close()
    })
  })
})
