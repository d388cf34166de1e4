import { asFailure } from '@cornelgauge/model'
import { expect } from 'chai'
import fastCheck from 'fast-check'
import { encodeCbor } from '../src/cbor.js'
import { decodeStep, INITIAL_DECODER_STATE, type DecoderInput, type DecoderState } from '../src/frame-decoder.js'
import { decodeFrame, encodeFrame, type Frame } from '../src/frame.js'

const LIMIT_BYTES = 2048
const SEED = 41

const FRAMES: Frame[] = [
  { type: 'challenge', version: 1, nonce: Buffer.alloc(32, 7), logicalTime: 1 },
  { type: 'call', id: 1, timeoutMilliseconds: 1500.5, parts: 0, body: Buffer.from('a body'), logicalTime: 2 },
  { type: 'part', id: 2, message: 'reply', index: 0, body: Buffer.alloc(300, 3), logicalTime: 5_000_000_000 },
  { type: 'ping', logicalTime: 9 }
]

const toPlainJson = (frame: Frame): unknown => JSON.parse(JSON.stringify(frame))

interface DecodedStream {
  frames: Frame[]
  reason: unknown
}

const decodeAll = (inputs: DecoderInput[]): DecodedStream => {
  let state: DecoderState = INITIAL_DECODER_STATE
  const result: DecodedStream = { frames: [], reason: undefined }
  for (const input of inputs) {
    const step = decodeStep(state, input)
    state = step.state
    result.frames.push(...step.output.frames)
    result.reason ??= step.output.failure?.members.reason
  }
  return result
}

const chunk = (bytes: Buffer, limitBytes = LIMIT_BYTES): DecoderInput => ({ type: 'bytes', bytes, limitBytes })
const withLengthPrefix = (content: Buffer): Buffer => {
  const length = Buffer.alloc(4)
  length.writeUInt32BE(content.length)
  return Buffer.concat([length, content])
}

describe('frame decoder', () => {
  const bytes = Buffer.concat(FRAMES.map(encodeFrame))

  describe('valid streams', () => {
    it('decodes frames split in two at every byte', () => {
      for (let split = 0; split <= bytes.length; split += 1) {
        const { frames, reason } = decodeAll([chunk(bytes.subarray(0, split)), chunk(bytes.subarray(split)), { type: 'end' }])
        expect(reason, `split at ${split}`).to.equal(undefined)
        expect(frames.map(toPlainJson), `split at ${split}`).to.deep.equal(FRAMES.map(toPlainJson))
      }
    })

    it('decodes frames that arrive byte by byte', () => {
      const { frames } = decodeAll([...bytes].map(byte => chunk(Buffer.from([byte]))))
      expect(frames.map(toPlainJson)).to.deep.equal(FRAMES.map(toPlainJson))
    })

    it('keeps an incomplete frame in few chunks, however small they arrive', () => {
      let state = INITIAL_DECODER_STATE
      const frame = encodeFrame({ type: 'part', id: 2, message: 'reply', index: 0, body: Buffer.alloc(1500), logicalTime: 5 })
      for (const byte of frame.subarray(0, 1500)) state = decodeStep(state, chunk(Buffer.from([byte]))).state
      let count = 0
      for (let next = state.chunks; next !== undefined; next = next.earlier) count += 1
      expect(state.lengthBytes).to.equal(1500)
      expect(count).to.be.at.most(Math.ceil(Math.log2(1500)))
    })

    it('decodes frames in chunks of arbitrary sizes', () => {
      fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.integer({ min: 1, max: 99 })), sizes => {
        const inputs: DecoderInput[] = []
        let position = 0
        for (const size of sizes) {
          inputs.push(chunk(bytes.subarray(position, position + size)))
          position += size
        }
        const { frames } = decodeAll([...inputs, chunk(bytes.subarray(position))])
        expect(frames.map(toPlainJson)).to.deep.equal(FRAMES.map(toPlainJson))
      }), { seed: SEED, numRuns: 200 })
    })

    it('reports a stream truncated at any byte inside a frame', () => {
      const frame = encodeFrame(FRAMES[1]!)
      for (let length = 1; length < frame.length; length += 1) {
        const { frames, reason } = decodeAll([chunk(frame.subarray(0, length)), { type: 'end' }])
        expect({ frames, reason }).to.deep.equal({ frames: [], reason: 'truncated-frame' })
      }
    })
  })

  describe('invalid bytes', () => {
    const ping = { type: 'ping', logicalTime: 1 }
    const call = { type: 'call', id: 1, timeoutMilliseconds: 1, parts: 0, body: Buffer.alloc(1), logicalTime: 1 }
    const cases: ReadonlyArray<readonly [string, Buffer, string]> = [
      ['an empty frame', Buffer.alloc(4), 'empty-frame'],
      ['a frame over the limit', withLengthPrefix(Buffer.alloc(LIMIT_BYTES + 1)), 'frame-too-large'],
      ['a length of 4 GiB', Buffer.from('ffffffff', 'hex'), 'frame-too-large'],
      ['an HTTP request', Buffer.from('GET / HTTP/1.1\r\n\r\n'), 'frame-too-large'],
      ['zero bytes as content', withLengthPrefix(Buffer.alloc(9)), 'malformed-frame'],
      ['an array of 4 billion items', withLengthPrefix(Buffer.from('9affffffff', 'hex')), 'malformed-frame'],
      ['a map of 2^63 entries', withLengthPrefix(Buffer.from('bb7fffffffffffffff', 'hex')), 'malformed-frame'],
      ['text longer than the frame', withLengthPrefix(Buffer.from('7a7fffffff61', 'hex')), 'malformed-frame'],
      ['text of indefinite length', withLengthPrefix(Buffer.from('7f6161ff', 'hex')), 'malformed-frame'],
      ['a tag', withLengthPrefix(Buffer.from('c11a514b67b0', 'hex')), 'malformed-frame'],
      ['a reserved length', withLengthPrefix(Buffer.from('1c', 'hex')), 'malformed-frame'],
      ['arrays nested too deeply', withLengthPrefix(Buffer.alloc(500, 0x81)), 'malformed-frame'],
      ['an item with trailing bytes', withLengthPrefix(Buffer.concat([encodeCbor(ping), Buffer.alloc(1)])), 'malformed-frame'],
      ['a number', withLengthPrefix(encodeCbor(7)), 'malformed-frame'],
      ['null', withLengthPrefix(encodeCbor(null)), 'malformed-frame'],
      ['an array', withLengthPrefix(encodeCbor([ping])), 'malformed-frame'],
      ['a frame without type', withLengthPrefix(encodeCbor({ logicalTime: 1 })), 'malformed-frame'],
      ['an unknown type', withLengthPrefix(encodeCbor({ ...ping, type: 'elect' })), 'unknown-frame-type'],
      ['a type that is a property of every object', withLengthPrefix(encodeCbor({ ...ping, type: 'constructor' })), 'unknown-frame-type'],
      ['no logical time', withLengthPrefix(encodeCbor({ type: 'ping' })), 'malformed-frame'],
      ['a logical time beyond the limit', withLengthPrefix(encodeCbor({ ...ping, logicalTime: 2 ** 53 })), 'malformed-frame'],
      ['a negative logical time', withLengthPrefix(encodeCbor({ ...ping, logicalTime: -1 })), 'malformed-frame'],
      ['a fraction as id', withLengthPrefix(encodeCbor({ ...call, id: 1.5 })), 'malformed-frame'],
      ['an infinite timeout', withLengthPrefix(encodeCbor({ ...call, timeoutMilliseconds: Infinity })), 'malformed-frame'],
      ['text as body', withLengthPrefix(encodeCbor({ ...call, body: 'text' })), 'malformed-frame'],
      ['no body', withLengthPrefix(encodeCbor({ ...call, body: undefined })), 'malformed-frame']
    ]
    for (const [name, bad, reason] of cases) {
      it(`rejects ${name} as ${reason}, and delivers the frames before it`, () => {
        const good = encodeFrame({ type: 'pong', logicalTime: 3 })
        const result = decodeAll([chunk(good), chunk(bad), chunk(good)])
        expect(result.reason).to.equal(reason)
        expect(result.frames.map(frame => frame.type)).to.deep.equal(['pong'])
      })
    }
  })

  describe('arbitrary bytes', () => {
    it('never make the decoder throw, and fail only with a protocol violation', () => {
      fastCheck.assert(fastCheck.property(fastCheck.uint8Array({ maxLength: 300 }), content => {
        decodeAll([chunk(Buffer.from(content)), chunk(withLengthPrefix(Buffer.from(content))), { type: 'end' }])
        try {
          decodeFrame(Buffer.from(content))
        } catch (thrown) {
          expect(asFailure(thrown).code).to.equal('protocol-violation')
        }
      }), { seed: SEED, numRuns: 3000 })
    })

    it('from a valid frame with one changed byte yield a frame or a failure', () => {
      const good = encodeFrame(FRAMES[1]!)
      for (let position = 0; position < good.length; position += 1) {
        for (const value of [0, 0x1b, 0x5f, 0x7f, 0x9f, 0xbf, 0xc1, 0xff]) {
          const bad = Buffer.from(good)
          bad[position] = value
          const result = decodeAll([chunk(bad), { type: 'end' }])
          expect(result.frames.length + (result.reason === undefined ? 0 : 1)).to.be.at.least(1)
        }
      }
    })
  })
})
