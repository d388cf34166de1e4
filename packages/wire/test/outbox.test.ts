import { expect } from 'chai'
import type { FrameBody } from '../src/frame.js'
import { PART_BYTES } from '../src/index.js'
import { Outbox, type OutgoingMessage } from '../src/outbox.js'

const call = (id: number, lengthBytes: number): OutgoingMessage => ({
  type: 'call',
  id,
  bytes: Buffer.alloc(lengthBytes),
  makeLastFrame: (parts, body) => ({ type: 'call', id, timeoutMilliseconds: 1, parts, body })
})

/** An outbox whose connection accepts frames up to a capacity. */
const outboxWithCapacity = (capacity: number): { outbox: Outbox, written: string[] } => {
  const written: string[] = []
  const write = (frame: FrameBody): boolean => {
    written.push('id' in frame ? `${frame.type} ${frame.id}` : frame.type)
    return written.length < capacity
  }
  return { outbox: new Outbox(write), written }
}

describe('outbox', () => {
  it('interleaves messages, and writes control frames first', () => {
    const { outbox, written } = outboxWithCapacity(99)
    outbox.add(call(1, 2 * PART_BYTES + 1))
    outbox.add(call(2, 1))
    outbox.addControl({ type: 'ping' })
    expect(outbox.flush()).to.equal(true)
    expect(written).to.deep.equal(['ping', 'part 1', 'call 2', 'part 1', 'call 1'])
    expect(outbox.bufferedBytes).to.equal(0)
  })

  it('sends a message of exactly one part as a single frame', () => {
    const { outbox, written } = outboxWithCapacity(99)
    outbox.add(call(1, PART_BYTES))
    outbox.flush()
    expect(written).to.deep.equal(['call 1'])
  })

  it('stops when the connection accepts no more frames', () => {
    const { outbox, written } = outboxWithCapacity(1)
    outbox.add(call(1, 2 * PART_BYTES))
    expect(outbox.flush()).to.equal(false)
    expect(written).to.deep.equal(['part 1'])
    expect(outbox.bufferedBytes).to.equal(PART_BYTES)
  })

  const cases: ReadonlyArray<readonly [string, number, number, boolean]> = [
    ['before its first part', 0, 1, false],
    ['after a part', 1, 1, true],
    ['of an unknown id', 0, 7, false]
  ]
  for (const [name, capacity, id, hasSentPart] of cases) {
    it(`abandons a call ${name}`, () => {
      const { outbox, written } = outboxWithCapacity(capacity)
      outbox.add(call(1, 3 * PART_BYTES))
      if (capacity > 0) outbox.flush()
      expect(outbox.abandon(id)).to.equal(hasSentPart)
      expect(outbox.bufferedBytes).to.equal(id === 1 ? 0 : 3 * PART_BYTES)
      outbox.flush()
      expect(written).not.to.include('call 1')
    })
  }
})
