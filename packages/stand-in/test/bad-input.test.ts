import { expect } from 'chai'
import { vmName } from '@cornelgauge/model'
import { failureCode } from '@cornelgauge/ports/contract'
import { WireClient } from '@cornelgauge/wire'
import { BadInputBench, DOCUMENT_TEXT, swapBody, type Call, type Reply } from './bad-input-bench.js'

const bench = new BadInputBench()
const REQUESTS = '/v1/workspaces/ustredi/requests'
const DOCUMENT = '/v1/environment/document'
const PROMOTION = '/v1/environment/promotion'
const MAXIMUM_BODY_BYTES = 64 * 1024
const MAXIMUM_PAYLOAD_LEVELS = 100

/** What is sent, and what must come back. A row's key is its place in the table, unless it names one. */
type Row = readonly [title: string, call: () => Call, status: number, code: string, state: string | undefined]

const withKey = (key: string, call: Call = {}): Call => ({ ...call, headers: { 'idempotency-key': key, ...call.headers } })
const body = (rest: object): Call => ({ body: swapBody(rest) })
const asOperator = (call: Call): Call => ({ ...call, headers: { ...bench.operator, ...call.headers } })
const nestedBody = (levels: number): string =>
  `{"kind":"shift-swap","deadlineMilliseconds":20000,"payload":${'['.repeat(levels)}${']'.repeat(levels)}}`

const SUBMISSIONS: readonly Row[] = [
  ['malformed JSON', () => ({ body: '{"kind":' }), 400, 'malformed-json', 'not-run'],
  ['no body', () => ({ body: '' }), 400, 'malformed-json', 'not-run'],
  ['JSON that is no object', () => ({ body: '[]' }), 400, 'invalid-request', 'not-run'],
  ['a member that nobody knows', () => body({ priority: 1 }), 400, 'invalid-request', 'not-run'],
  ['a deadline that is no number', () => body({ deadlineMilliseconds: 'soon' }), 400, 'invalid-request', 'not-run'],
  ['a body over the limit', () => body({ payload: 'x'.repeat(MAXIMUM_BODY_BYTES) }), 413, 'body-too-large', 'not-run'],
  ['a body far over the limit', () => body({ payload: 'x'.repeat(8 * 1024 * 1024) }), 413, 'body-too-large', 'not-run'],
  ['a payload of one level too many', () => ({ body: nestedBody(MAXIMUM_PAYLOAD_LEVELS + 1) }), 400, 'invalid-request', 'not-run'],
  ['a payload of 30 000 levels', () => ({ body: nestedBody(30_000) }), 400, 'invalid-request', 'not-run'],
  ['an unknown kind', () => body({ kind: 'horoscope' }), 422, 'unknown-kind', 'not-run'],
  ['a kind that names a prototype', () => body({ kind: '__proto__' }), 422, 'unknown-kind', 'not-run'],
  ['a shape larger than any failure domain', () => body({ shape: { accelerators: 33 } }), 422, 'impossible-shape', 'not-run'],
  ['a deadline in the past', () => body({ deadlineMilliseconds: 1.6e12 }), 422, 'deadline-past', 'not-run'],
  ['a deadline of no time at all', () => body({ deadlineMilliseconds: 0 }), 422, 'deadline-past', 'not-run'],
  ['a deadline that is years away', () => body({ deadlineMilliseconds: 9e11 }), 400, 'invalid-request', 'not-run']
]

const CALLS: readonly Row[] = [
  ['no key', () => ({ body: swapBody() }), 400, 'missing-key', 'not-run'],
  ['a key of other letters', () => withKey('a/b', { body: swapBody() }), 400, 'missing-key', 'not-run'],
  ['a key of 129 letters', () => withKey('k'.repeat(129), { body: swapBody() }), 400, 'missing-key', 'not-run'],
  ['a used key with another body', () => withKey('good', body({ payload: 2 })), 409, 'key-reused', 'finished'],
  ['a used key with malformed JSON', () => withKey('good', { body: '{' }), 409, 'key-reused', 'finished'],
  ['a used key with a body over the limit', () => withKey('good', { body: 'x'.repeat(MAXIMUM_BODY_BYTES + 1) }), 409, 'key-reused', 'finished'],
  ['a wait that is no number, of a submission', () => withKey('wait', { path: `${REQUESTS}?waitMilliseconds=long`, body: swapBody() }), 400, 'invalid-request', 'unknown'],
  ['a wait that is no number, of a read', () => ({ method: 'GET', path: `${REQUESTS}/good?waitMilliseconds=-1` }), 400, 'invalid-request', undefined],
  ['a key that nobody used', () => ({ method: 'GET', path: `${REQUESTS}/none` }), 404, 'unknown-request', undefined],
  ['a cancellation of it', () => ({ method: 'DELETE', path: `${REQUESTS}/none` }), 404, 'unknown-request', undefined],
  ['another workspace\'s key', () => ({ method: 'GET', path: '/v1/workspaces/pobocky/requests/good', headers: bench.caller('pobocky') }), 404, 'unknown-request', undefined],
  ['no token', () => withKey('t1', { headers: { authorization: undefined }, body: swapBody() }), 401, 'unauthorized', undefined],
  ['a wrong token', () => withKey('t2', { headers: { authorization: 'Bearer guess-guess' }, body: swapBody() }), 401, 'unauthorized', undefined],
  ['another scheme', () => withKey('t3', { headers: { authorization: 'Basic dXNlcjpwYXNz' }, body: swapBody() }), 401, 'unauthorized', undefined],
  ['another workspace\'s token', () => withKey('t4', { headers: bench.caller('pobocky'), body: swapBody() }), 403, 'forbidden', undefined],
  ['an operator\'s token', () => withKey('t5', { headers: bench.operator, body: swapBody() }), 403, 'forbidden', undefined],
  ['an unknown workspace', () => withKey('t6', { path: '/v1/workspaces/nobody/requests', body: swapBody() }), 403, 'forbidden', undefined],
  ['a workspace that the document left out', () => withKey('t7', { path: '/v1/workspaces/left-out/requests', headers: bench.caller('left-out'), body: swapBody() }), 404, 'not-found', 'unknown'],
  ['a wrong method', () => ({ method: 'PUT', path: `${REQUESTS}/good` }), 405, 'method-not-allowed', undefined],
  ['an unknown path', () => ({ method: 'GET', path: '/v2' }), 404, 'not-found', undefined],
  ['a path that is not well-formed', () => ({ method: 'GET', path: `${REQUESTS}/%ff` }), 400, 'invalid-request', undefined],
  ['a path that is no URL', () => ({ method: 'GET', path: '//' }), 400, 'invalid-request', undefined]
]

const DOCUMENTS: readonly Row[] = [
  ['a caller\'s token', () => ({ method: 'GET', path: DOCUMENT }), 403, 'forbidden', undefined],
  ['an unknown environment', () => asOperator({ method: 'GET', path: `${DOCUMENT}?environment=moon` }), 400, 'invalid-request', undefined],
  ['a change without If-Match', () => asOperator({ method: 'PUT', path: DOCUMENT, body: DOCUMENT_TEXT }), 428, 'precondition-required', undefined],
  ['a change of an older version', () => asOperator({ method: 'PUT', path: DOCUMENT, headers: { 'if-match': '"7-abc"' }, body: DOCUMENT_TEXT }), 412, 'version-conflict', undefined],
  ['a first document where there is one', () => asOperator({ method: 'PUT', path: DOCUMENT, headers: { 'if-none-match': '*' }, body: `${DOCUMENT_TEXT}#` }), 412, 'version-conflict', undefined],
  ['production changed without promotion', () => asOperator({ method: 'PUT', path: `${DOCUMENT}?environment=production`, headers: { 'if-match': '*' }, body: DOCUMENT_TEXT }), 403, 'forbidden', undefined],
  ['a promotion of another digest', () => asOperator({ path: PROMOTION, body: JSON.stringify({ digest: 'a'.repeat(64) }) }), 409, 'promotion-refused', undefined],
  ['a promotion without digest', () => asOperator({ path: PROMOTION, body: '{}' }), 400, 'invalid-request', undefined],
  ['a promotion in malformed JSON', () => asOperator({ path: PROMOTION, body: '{' }), 400, 'malformed-json', undefined],
  ['a document over the limit', () => asOperator({ method: 'PUT', path: DOCUMENT, headers: { 'if-match': '*' }, body: '#'.repeat(1024 * 1024 + 1) }), 413, 'body-too-large', undefined],
  ['events after no number', () => asOperator({ method: 'GET', path: '/v1/events?after=x' }), 400, 'invalid-request', undefined]
]

const frameOf = (content: Buffer, lengthBytes = content.length): Buffer => {
  const length = Buffer.alloc(4)
  length.writeUInt32BE(lengthBytes)
  return Buffer.concat([length, content])
}

/** What is sent to the inner port; each must end the connection with a reported violation. */
const FRAMES: readonly (readonly [title: string, bytes: Buffer, end: boolean])[] = [
  ['an oversize frame', frameOf(Buffer.alloc(0), 0xffffffff), false],
  ['a frame of no bytes', frameOf(Buffer.alloc(0)), false],
  ['garbage', frameOf(Buffer.from('not cbor at all')), false],
  ['a request over HTTP', Buffer.from('GET / HTTP/1.1\r\n\r\n'), false],
  ['a truncated frame', frameOf(Buffer.from([0xa1]), 100), true],
  ['a connection that says nothing, left open', Buffer.alloc(0), false],
  ['half a frame, left open', frameOf(Buffer.from([0xa1]), 100), false]
]

function checkProblem ({ status, headers, body: problem }: Reply, row: Row): void {
  const [, , wantedStatus, code, state] = row
  expect({ status, code: problem.code, state: problem.state }).to.deep.equal({ status: wantedStatus, code, state })
  expect(headers['content-type']).to.equal('application/problem+json')
  expect(problem).to.include({ type: `urn:cornelgauge:problem:${code}`, status: wantedStatus })
  expect(problem.title).to.be.a('string')
}

describe('bad input to a real daemon', function () {
  this.timeout(60_000)
  before(async () => {
    await bench.start()
    expect((await bench.send(withKey('good', { body: swapBody() }))).body.state).to.equal('finished')
  })
  after(() => bench.stop())

  describe('submissions', () => {
    SUBMISSIONS.forEach((row, index) => {
      it(`refuses ${row[0]}, and says the same of the key when asked again`, async () => {
        const call = withKey(`bad-${index}`, row[1]())
        checkProblem(await bench.send(call), row)
        checkProblem(await bench.send(call), row)
        const read = await bench.send({ method: 'GET', path: `${REQUESTS}/bad-${index}` })
        expect([read.status, read.body.state]).to.deep.equal([200, 'not-run'])
      })
    })

    it('takes a payload of as many levels as are allowed', async () => {
      expect((await bench.send(withKey('nested', { body: nestedBody(MAXIMUM_PAYLOAD_LEVELS) }))).body.state).to.equal('finished')
    })
  })

  describe('calls', () => {
    for (const row of CALLS) it(`refuses ${row[0]}`, async () => { checkProblem(await bench.send(row[1]()), row) })
  })

  describe('documents', () => {
    for (const row of DOCUMENTS) it(`refuses ${row[0]}`, async () => { checkProblem(await bench.send(row[1]()), row) })

    it('refuses a bad document with each fault at its path', async () => {
      const head = await bench.send(asOperator({ method: 'GET', path: DOCUMENT }))
      const headers = { 'if-match': String(head.headers.etag) }
      const text = DOCUMENT_TEXT.replace('minimumShare: 0.2', 'minimumShare: 2').replace('generation: 1', 'generation: x')
      const reply = await bench.send(asOperator({ method: 'PUT', path: DOCUMENT, headers, body: text }))
      checkProblem(reply, ['', () => ({}), 422, 'invalid-document', undefined])
      expect(JSON.stringify(reply.body.faults)).to.include('generation').and.include('minimumShare')
    })
  })

  describe('the inner port', () => {
    for (const [title, bytes, end] of FRAMES) {
      it(`closes the connection after ${title}`, async () => {
        const before = await bench.reported('protocol-violation')
        await bench.sendRaw(bench.wireAddress, bytes, { end })
        expect(await bench.reportedAbove('protocol-violation', before)).to.be.above(before)
      })
    }

    it('refuses a stranger at the hello', async () => {
      const clock = { tick: () => 1, witness: () => {} }
      const stranger = new WireClient({ identity: { vm: vmName('stranger') }, secrets: ['not-the-secret'], clock })
      expect(await failureCode(stranger.call(bench.wireAddress, { type: 'vm-status' }, 5000))).to.equal('stranger-refused')
      await stranger.close()
    })
  })

  describe('half-open connections to the HTTP port', () => {
    it('answers a caller that has closed its sending side', async () => {
      const text = `GET /health/live HTTP/1.1\r\nhost: ${bench.address}\r\n\r\n`
      expect((await bench.sendRaw(bench.address, Buffer.from(text), { end: true })).toString()).to.include('200 OK')
    })

    it('starts nothing of a body that ends early', async () => {
      const { authorization } = bench.caller()
      const text = `POST ${REQUESTS} HTTP/1.1\r\nhost: a\r\nauthorization: ${authorization}\r\nidempotency-key: cut\r\ncontent-length: 999\r\n\r\n${swapBody()}`
      await bench.sendRaw(bench.address, Buffer.from(text), { end: true })
      expect((await bench.send({ method: 'GET', path: `${REQUESTS}/cut` })).body.state).to.not.equal('finished')
    })
  })

  describe('afterwards', () => {
    it('has started nothing but what was accepted, lost nothing, and serves on in the same process', async () => {
      expect(process.kill(bench.pid, 0)).to.equal(true)
      const swap = await bench.send(withKey('afterwards', { body: swapBody() }))
      expect([swap.status, swap.body.state, swap.body.answer]).to.deep.include.members([200, 'finished'])
      const earlier = await bench.send({ method: 'GET', path: `${REQUESTS}/good` })
      expect(earlier.body.answer).to.include({ echo: 'own' })
      expect([...await bench.startedKeys()].sort()).to.deep.equal(['afterwards', 'good', 'nested'])
    })
  })
})
