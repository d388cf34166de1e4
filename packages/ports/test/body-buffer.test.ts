import { expect } from 'chai'
import { BodyBuffer } from '../src/body-buffer.js'

const MAXIMUM_BYTES = 10_000

describe('the buffer of a body', () => {
  it('holds no read buffer of small parts: at most twice what has arrived', () => {
    const buffer = new BodyBuffer(MAXIMUM_BYTES)
    for (let index = 0; index < 3000; index += 1) buffer.append(Buffer.alloc(65_536, 'x').subarray(index, index + 1))
    expect(buffer.heldBytes).to.be.at.most(6000)
    expect(buffer.toText()).to.equal('x'.repeat(3000))
  }).timeout(20_000)

  it('keeps characters whole that are split between parts', () => {
    const buffer = new BodyBuffer(MAXIMUM_BYTES)
    const text = 'žluťoučký kůň '.repeat(200)
    for (const byte of Buffer.from(text)) buffer.append(Uint8Array.of(byte))
    expect(buffer.toText()).to.equal(text)
  })

  it('takes a body of exactly its maximum, and not a byte more', () => {
    const buffer = new BodyBuffer(MAXIMUM_BYTES)
    expect(buffer.append(Buffer.alloc(MAXIMUM_BYTES))).to.equal(true)
    expect(buffer.append(Buffer.alloc(1))).to.equal(false)
    expect(buffer.heldBytes).to.equal(MAXIMUM_BYTES)
  })
})
