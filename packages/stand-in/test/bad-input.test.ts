import { expect } from 'chai'
import { vmName } from '@cornelgauge/model'
import { failureCode } from '@cornelgauge/ports/contract'
import { WireClient } from '@cornelgauge/wire'
import { DaemonFixture, DOCUMENT_TEXT, swapBody, type Call, type Reply } from './daemon-fixture.js'

const daemon = new DaemonFixture()
const REQUESTS = '/v1/workspaces/ustredi/requests'
const DOCUMENT = '/v1/environment/document'
const PROMOTION = '/v1/environment/promotion'
const MAXIMUM_BODY_BYTES = 64 * 1024
const MAXIMUM_PAYLOAD_DEPTH = 100

/** A refused call, and the status, code and state of its response. A submission's key is derived from its index. */
type RefusalCase = readonly [title: string, call: () => Call, status: number, code: string, state: string | undefined]

const withKey = (key: string, call: Call = {}): Call => ({ ...call, headers: { 'idempotency-key': key, ...call.headers } })
const body = (members: object): Call => ({ body: swapBody(members) })
const asOperator = (call: Call): Call => ({ ...call, headers: { ...daemon.operator, ...call.headers } })
const nestedBody = (levels: number): string =>
  `{"kind":"shift-swap","deadlineMilliseconds":20000,"payload":${'['.repeat(levels)}${']'.repeat(levels)}}`

const REFUSED_SUBMISSIONS: readonly RefusalCase[] = [
  ['malformed JSON', () => ({ body: '{"kind":' }), 400, 'malformed-json', 'not-run'],
  ['no body', () => ({ body: '' }), 400, 'malformed-json', 'not-run'],
  ['JSON that is not an object', () => ({ body: '[]' }), 400, 'invalid-request', 'not-run'],
  ['an unknown member', () => body({ priority: 1 }), 400, 'invalid-request', 'not-run'],
  ['a deadline that is not a number', () => body({ deadlineMilliseconds: 'soon' }), 400, 'invalid-request', 'not-run'],
  ['a body over the limit', () => body({ payload: 'x'.repeat(MAXIMUM_BODY_BYTES) }), 413, 'body-too-large', 'not-run'],
  ['a body far over the limit', () => body({ payload: 'x'.repeat(8 * 1024 * 1024) }), 413, 'body-too-large', 'not-run'],
  ['a payload nested one level too deep', () => ({ body: nestedBody(MAXIMUM_PAYLOAD_DEPTH + 1) }), 400, 'invalid-request', 'not-run'],
  ['a payload nested 30 000 levels deep', () => ({ body: nestedBody(30_000) }), 400, 'invalid-request', 'not-run'],
  ['an unknown kind', () => body({ kind: 'horoscope' }), 422, 'unknown-kind', 'not-run'],
  ['a kind that names a prototype', () => body({ kind: '__proto__' }), 422, 'unknown-kind', 'not-run'],
  ['a shape larger than any failure domain', () => body({ shape: { accelerators: 33 } }), 422, 'impossible-shape', 'not-run'],
  ['a deadline in the past', () => body({ deadlineMilliseconds: 1.6e12 }), 422, 'deadline-past', 'not-run'],
  ['a deadline of 0 ms', () => body({ deadlineMilliseconds: 0 }), 422, 'deadline-past', 'not-run'],
  ['a deadline years ahead', () => body({ deadlineMilliseconds: 9e11 }), 400, 'invalid-request', 'not-run']
]

const REFUSED_CALLS: readonly RefusalCase[] = [
  ['no key', () => ({ body: swapBody() }), 400, 'missing-key', 'not-run'],
  ['a key with a character that is not allowed', () => withKey('a/b', { body: swapBody() }), 400, 'missing-key', 'not-run'],
  ['a key of 129 characters', () => withKey('k'.repeat(129), { body: swapBody() }), 400, 'missing-key', 'not-run'],
  ['a used key with another body', () => withKey('good', body({ payload: 2 })), 409, 'key-reused', 'finished'],
  ['a used key with malformed JSON', () => withKey('good', { body: '{' }), 409, 'key-reused', 'finished'],
  ['a used key with a body over the limit', () => withKey('good', { body: 'x'.repeat(MAXIMUM_BODY_BYTES + 1) }), 409, 'key-reused', 'finished'],
  ['a submission with a wait that is not a number', () => withKey('wait', { path: `${REQUESTS}?waitMilliseconds=long`, body: swapBody() }), 400, 'invalid-request', 'unknown'],
  ['a read with a negative wait', () => ({ method: 'GET', path: `${REQUESTS}/good?waitMilliseconds=-1` }), 400, 'invalid-request', undefined],
  ['a read of an unused key', () => ({ method: 'GET', path: `${REQUESTS}/none` }), 404, 'unknown-request', undefined],
  ['a cancellation of an unused key', () => ({ method: 'DELETE', path: `${REQUESTS}/none` }), 404, 'unknown-request', undefined],
  ['a read of another workspace\'s key', () => ({ method: 'GET', path: '/v1/workspaces/pobocky/requests/good', headers: daemon.caller('pobocky') }), 404, 'unknown-request', undefined],
  ['no token', () => withKey('t1', { headers: { authorization: undefined }, body: swapBody() }), 401, 'unauthorized', undefined],
  ['a wrong token', () => withKey('t2', { headers: { authorization: 'Bearer guess-guess' }, body: swapBody() }), 401, 'unauthorized', undefined],
  ['another authorization scheme', () => withKey('t3', { headers: { authorization: 'Basic dXNlcjpwYXNz' }, body: swapBody() }), 401, 'unauthorized', undefined],
  ['another workspace\'s token', () => withKey('t4', { headers: daemon.caller('pobocky'), body: swapBody() }), 403, 'forbidden', undefined],
  ['an operator\'s token', () => withKey('t5', { headers: daemon.operator, body: swapBody() }), 403, 'forbidden', undefined],
  ['an unknown workspace', () => withKey('t6', { path: '/v1/workspaces/nobody/requests', body: swapBody() }), 403, 'forbidden', undefined],
  ['a workspace that is not in the document', () => withKey('t7', { path: '/v1/workspaces/left-out/requests', headers: daemon.caller('left-out'), body: swapBody() }), 404, 'not-found', 'unknown'],
  ['a wrong method', () => ({ method: 'PUT', path: `${REQUESTS}/good` }), 405, 'method-not-allowed', undefined],
  ['an unknown path', () => ({ method: 'GET', path: '/v2' }), 404, 'not-found', undefined],
  ['a path that is not well-formed', () => ({ method: 'GET', path: `${REQUESTS}/%ff` }), 400, 'invalid-request', undefined],
  ['a path that is not a URL', () => ({ method: 'GET', path: '//' }), 400, 'invalid-request', undefined]
]

const REFUSED_DOCUMENT_CALLS: readonly RefusalCase[] = [
  ['a caller\'s token', () => ({ method: 'GET', path: DOCUMENT }), 403, 'forbidden', undefined],
  ['an unknown environment', () => asOperator({ method: 'GET', path: `${DOCUMENT}?environment=moon` }), 400, 'invalid-request', undefined],
  ['a change without If-Match', () => asOperator({ method: 'PUT', path: DOCUMENT, body: DOCUMENT_TEXT }), 428, 'precondition-required', undefined],
  ['a change based on an older version', () => asOperator({ method: 'PUT', path: DOCUMENT, headers: { 'if-match': '"7-abc"' }, body: DOCUMENT_TEXT }), 412, 'version-conflict', undefined],
  ['an initial document when there already is one', () => asOperator({ method: 'PUT', path: DOCUMENT, headers: { 'if-none-match': '*' }, body: `${DOCUMENT_TEXT}#` }), 412, 'version-conflict', undefined],
  ['a change of production without promotion', () => asOperator({ method: 'PUT', path: `${DOCUMENT}?environment=production`, headers: { 'if-match': '*' }, body: DOCUMENT_TEXT }), 403, 'forbidden', undefined],
  ['a promotion of another digest', () => asOperator({ path: PROMOTION, body: JSON.stringify({ digest: 'a'.repeat(64) }) }), 409, 'promotion-refused', undefined],
  ['a promotion without a digest', () => asOperator({ path: PROMOTION, body: '{}' }), 400, 'invalid-request', undefined],
  ['a promotion in malformed JSON', () => asOperator({ path: PROMOTION, body: '{' }), 400, 'malformed-json', undefined],
  ['a document over the limit', () => asOperator({ method: 'PUT', path: DOCUMENT, headers: { 'if-match': '*' }, body: '#'.repeat(1024 * 1024 + 1) }), 413, 'body-too-large', undefined],
  ['events after a position that is not a number', () => asOperator({ method: 'GET', path: '/v1/events?after=x' }), 400, 'invalid-request', undefined]
]

const frameOf = (content: Buffer, lengthBytes = content.length): Buffer => {
  const length = Buffer.alloc(4)
  length.writeUInt32BE(lengthBytes)
  return Buffer.concat([length, content])
}

/** Bytes sent to the peer port; the daemon must close the connection and report a protocol violation. */
const INVALID_FRAMES: readonly (readonly [title: string, bytes: Buffer, end: boolean])[] = [
  ['an oversized frame', frameOf(Buffer.alloc(0), 0xffffffff), false],
  ['an empty frame', frameOf(Buffer.alloc(0)), false],
  ['a frame that is not CBOR', frameOf(Buffer.from('not cbor at all')), false],
  ['an HTTP request', Buffer.from('GET / HTTP/1.1\r\n\r\n'), false],
  ['a truncated frame', frameOf(Buffer.from([0xa1]), 100), true],
  ['no bytes on a connection left open', Buffer.alloc(0), false],
  ['part of a frame on a connection left open', frameOf(Buffer.from([0xa1]), 100), false]
]

function checkProblem ({ status, headers, body: problem }: Reply, row: RefusalCase): void {
  const [, , expectedStatus, code, state] = row
  expect({ status, code: problem.code, state: problem.state }).to.deep.equal({ status: expectedStatus, code, state })
  expect(headers['content-type']).to.equal('application/problem+json')
  expect(problem).to.include({ type: `urn:cornelgauge:problem:${code}`, status: expectedStatus })
  expect(problem.title).to.be.a('string')
}

describe('bad input to a real daemon', function () {
  this.timeout(60_000)
  before(async () => {
    await daemon.start()
    expect((await daemon.send(withKey('good', { body: swapBody() }))).body.state).to.equal('finished')
  })
  after(() => daemon.stop())

  describe('submissions', () => {
    REFUSED_SUBMISSIONS.forEach((row, index) => {
      it(`refuses ${row[0]}, and refuses a repeat in the same way`, async () => {
        const call = withKey(`bad-${index}`, row[1]())
        checkProblem(await daemon.send(call), row)
        checkProblem(await daemon.send(call), row)
        const read = await daemon.send({ method: 'GET', path: `${REQUESTS}/bad-${index}` })
        expect([read.status, read.body.state]).to.deep.equal([200, 'not-run'])
      })
    })

    it('accepts a payload of the maximum depth', async () => {
      expect((await daemon.send(withKey('nested', { body: nestedBody(MAXIMUM_PAYLOAD_DEPTH) }))).body.state).to.equal('finished')
    })
  })

  describe('calls', () => {
    for (const row of REFUSED_CALLS) it(`refuses ${row[0]}`, async () => { checkProblem(await daemon.send(row[1]()), row) })
  })

  describe('documents', () => {
    for (const row of REFUSED_DOCUMENT_CALLS) it(`refuses ${row[0]}`, async () => { checkProblem(await daemon.send(row[1]()), row) })

    it('refuses an invalid document and lists each fault with its path', async () => {
      const head = await daemon.send(asOperator({ method: 'GET', path: DOCUMENT }))
      const headers = { 'if-match': String(head.headers.etag) }
      const text = DOCUMENT_TEXT.replace('minimumShare: 0.2', 'minimumShare: 2').replace('generation: 1', 'generation: x')
      const reply = await daemon.send(asOperator({ method: 'PUT', path: DOCUMENT, headers, body: text }))
      checkProblem(reply, ['', () => ({}), 422, 'invalid-document', undefined])
      expect(JSON.stringify(reply.body.faults)).to.include('generation').and.include('minimumShare')
    })
  })

  describe('peer port', () => {
    for (const [title, bytes, end] of INVALID_FRAMES) {
      it(`closes the connection after ${title}`, async () => {
        const before = await daemon.countFailureEvents('protocol-violation')
        await daemon.sendRaw(daemon.wireAddress, bytes, { end })
        expect(await daemon.waitForFailureEventsAbove('protocol-violation', before)).to.be.above(before)
      })
    }

    it('refuses a peer with a wrong secret in the handshake', async () => {
      const clock = { tick: () => 1, witness: () => {} }
      const stranger = new WireClient({ identity: { vm: vmName('stranger') }, secrets: ['not-the-secret'], clock })
      expect(await failureCode(stranger.call(daemon.wireAddress, { type: 'vm-status' }, 5000))).to.equal('stranger-refused')
      await stranger.close()
    })
  })

  describe('half-open connections to the HTTP port', () => {
    it('answers a caller that has closed its sending side', async () => {
      const text = `GET /health/live HTTP/1.1\r\nhost: ${daemon.address}\r\n\r\n`
      expect((await daemon.sendRaw(daemon.address, Buffer.from(text), { end: true })).toString()).to.include('200 OK')
    })

    it('does not run a request whose body ends early', async () => {
      const { authorization } = daemon.caller()
      const text = `POST ${REQUESTS} HTTP/1.1\r\nhost: a\r\nauthorization: ${authorization}\r\nidempotency-key: cut\r\ncontent-length: 999\r\n\r\n${swapBody()}`
      await daemon.sendRaw(daemon.address, Buffer.from(text), { end: true })
      expect((await daemon.send({ method: 'GET', path: `${REQUESTS}/cut` })).body.state).to.not.equal('finished')
    })
  })

  describe('afterwards', () => {
    it('has started only accepted requests, lost none, and still serves in the same process', async () => {
      expect(process.kill(daemon.pid, 0)).to.equal(true)
      const swap = await daemon.send(withKey('afterwards', { body: swapBody() }))
      expect([swap.status, swap.body.state, swap.body.answer]).to.deep.include.members([200, 'finished'])
      const earlier = await daemon.send({ method: 'GET', path: `${REQUESTS}/good` })
      expect(earlier.body.answer).to.include({ echo: 'own' })
      expect([...await daemon.startedKeys()].sort()).to.deep.equal(['afterwards', 'good', 'nested'])
    })
  })
})
