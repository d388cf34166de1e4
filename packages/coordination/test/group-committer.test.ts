import { sequenceNumber } from '@cornelgauge/model'
import { expect } from 'chai'
import { GROUP_COMMIT_LIMITS, GroupCommitter, JOURNAL_TABLE, type CommitterEndReason, type GroupCommitLimits } from '../src/index.js'
import { nextTurn, VM_TWO, World } from './builders.js'
import { outcomesOfWrites } from './faulty-services.js'

describe('group committer', () => {
  let world: World
  let ends: CommitterEndReason[]
  beforeEach(() => {
    world = new World()
    ends = []
  })

  async function open (limits: Partial<GroupCommitLimits> = {}): Promise<GroupCommitter<string>> {
    const { clock, random } = world.options
    return new GroupCommitter<string>({
      table: world.services.table,
      claim: await world.claim(),
      nextSequence: sequenceNumber(1),
      nonce: () => world.nonce(),
      clock,
      random,
      limits: { ...GROUP_COMMIT_LIMITS, ...limits },
      onEnd: end => ends.push(end)
    })
  }

  const journal = async () => (await world.backingTable.range({ table: JOURNAL_TABLE })).map(({ value }) => value.entries)
  const codeOf = (promise: Promise<unknown>) => promise.then(() => 'resolved', failure => failure.code)

  it('commits the entries of one event loop turn immediately, as one row', async () => {
    const committer = await open()
    const sequences = Promise.all([committer.append('a'), committer.append('b')])
    await nextTurn()
    expect(await sequences).to.deep.equal([1, 1])
    expect(await journal()).to.deep.equal([['a', 'b']])
    expect(committer.committedSequence).to.equal(1)
  })

  it('batches entries until the commit interval has passed', async () => {
    const committer = await open()
    const entries = ['a', 'b', 'c']
    for (const entry of entries) {
      committer.append(entry)
      await world.clock.advance(15)
    }
    expect(await journal()).to.deep.equal([['a']])
    await world.clock.advance(5)
    expect(await journal()).to.deep.equal([['a'], ['b', 'c']])
  })

  for (const entriesPerStep of [1, 100]) {
    it(`writes one row immediately and then one every 50 ms for ${entriesPerStep} entries every 10 ms`, async () => {
      const committer = await open()
      const writesBefore = world.backingTable.counters.writes
      for (let step = 0; step < 100; step++) {
        for (let entry = 0; entry < entriesPerStep; entry++) committer.append('a')
        await world.clock.advance(10)
      }
      expect(world.backingTable.counters.writes - writesBefore).to.equal(1 + 20)
    })
  }

  it('writes one row at a time, and keeps the order if answers are lost', async () => {
    const committer = await open()
    world.injectFaults(outcomesOfWrites(JOURNAL_TABLE, ['late', 'answer-lost', 'refused']))
    for (const entry of ['a', 'b', 'c']) {
      committer.append(entry)
      await world.clock.advance(60)
    }
    await world.run(committer.drain())
    await world.services.applyLateEffects()
    expect((await journal()).flat()).to.deep.equal(['a', 'b', 'c'])
  })

  it('splits a batch that exceeds the size of a row', async () => {
    const committer = await open({ maximumRowBytes: 10 })
    const appended = Promise.all(['aaaa', 'bbb', 'c'].map(entry => committer.append(entry)))
    expect(await world.run(appended)).to.deep.equal([1, 2, 2])
  })

  it('rejects an entry larger than a row, and one that exceeds the queue limit', async () => {
    const committer = await open({ maximumRowBytes: 10, maximumQueuedBytes: 12 })
    expect(await codeOf(committer.append('a'.repeat(20)))).to.equal('body-too-large')
    committer.append('aaaaaa')
    expect(await codeOf(committer.append('bbbbbb'))).to.equal('overloaded')
  })

  it('commits queued entries before a drain ends, and rejects new ones', async () => {
    const committer = await open()
    const appended = committer.append('a')
    const end = committer.drain()
    expect(await codeOf(committer.append('b'))).to.equal('not-owner')
    expect([await appended, await end, ends]).to.deep.equal([1, 'drained', ['drained']])
  })

  it('rejects all queued entries once it is fenced', async () => {
    const committer = await open()
    await world.claim(VM_TWO)
    const codes = Promise.all([codeOf(committer.append('a')), nextTurn().then(() => codeOf(committer.append('b')))])
    expect(await codes).to.deep.equal(['not-owner', 'not-owner'])
    expect(ends).to.deep.equal(['fenced'])
    expect(await journal()).to.deep.equal([])
  })

  it('on a stop, rejects entries in flight as unknown and queued ones as not committed', async () => {
    const committer = await open()
    world.injectFaults(() => 'refused')
    const inFlight = codeOf(committer.append('a'))
    await nextTurn()
    const waiting = codeOf(committer.append('b'))
    expect(await committer.stop()).to.equal('unsettled')
    expect([await inFlight, await waiting]).to.deep.equal(['outcome-unknown', 'not-owner'])
  })

  it('writes nothing after a stop', async () => {
    const committer = await open()
    const waiting = codeOf(committer.append('a'))
    expect([await committer.stop(), await waiting]).to.deep.equal(['stopped', 'not-owner'])
    await world.clock.advance(100)
    expect(await journal()).to.deep.equal([])
  })
})
