import { sequenceNumber } from '@cornelgauge/model'
import { expect } from 'chai'
import { GROUP_COMMIT_LIMITS, GroupCommitter, JOURNAL_TABLE, type CommitterEnd, type GroupCommitLimits } from '../src/index.js'
import { nextTurn, VM_TWO, World } from './builders.js'
import { fatesOfWrites } from './faulty-services.js'

describe('group committer', () => {
  let world: World
  let ends: CommitterEnd[]
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

  const journal = async () => (await world.truth.range({ table: JOURNAL_TABLE })).map(({ value }) => value.entries)
  const codeOf = (promise: Promise<unknown>) => promise.then(() => 'resolved', failure => failure.code)

  it('commits what is appended in one turn at once, as one row', async () => {
    const committer = await open()
    const sequences = Promise.all([committer.append('a'), committer.append('b')])
    await nextTurn()
    expect(await sequences).to.deep.equal([1, 1])
    expect(await journal()).to.deep.equal([['a', 'b']])
    expect(committer.committedSequence).to.equal(1)
  })

  it('keeps its interval and gathers meanwhile', async () => {
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

  it('has one row in flight, and keeps the order when answers are lost', async () => {
    const committer = await open()
    world.faults(fatesOfWrites(JOURNAL_TABLE, ['late', 'answer-lost', 'refused']))
    for (const entry of ['a', 'b', 'c']) {
      committer.append(entry)
      await world.clock.advance(60)
    }
    await world.run(committer.drain())
    await world.services.landLate()
    expect((await journal()).flat()).to.deep.equal(['a', 'b', 'c'])
  })

  it('splits a big batch', async () => {
    const committer = await open({ maximumRowBytes: 10 })
    const appended = Promise.all(['aaaa', 'bbb', 'c'].map(entry => committer.append(entry)))
    expect(await world.run(appended)).to.deep.equal([1, 2, 2])
  })

  it('refuses what fits no row, and what the queue cannot hold', async () => {
    const committer = await open({ maximumRowBytes: 10, maximumQueuedBytes: 12 })
    expect(await codeOf(committer.append('a'.repeat(20)))).to.equal('body-too-large')
    committer.append('aaaaaa')
    expect(await codeOf(committer.append('bbbbbb'))).to.equal('overloaded')
  })

  it('drains before it ends', async () => {
    const committer = await open()
    const appended = committer.append('a')
    const end = committer.drain()
    expect(await codeOf(committer.append('b'))).to.equal('not-owner')
    expect([await appended, await end, ends]).to.deep.equal([1, 'drained', ['drained']])
  })

  it('refuses all that waits once it is fenced', async () => {
    const committer = await open()
    await world.claim(VM_TWO)
    const codes = Promise.all([codeOf(committer.append('a')), nextTurn().then(() => codeOf(committer.append('b')))])
    expect(await codes).to.deep.equal(['not-owner', 'not-owner'])
    expect(ends).to.deep.equal(['fenced'])
    expect(await journal()).to.deep.equal([])
  })

  it('tells what was in flight from what never left when it is stopped', async () => {
    const committer = await open()
    world.faults(() => 'refused')
    const inFlight = codeOf(committer.append('a'))
    await nextTurn()
    const waiting = codeOf(committer.append('b'))
    expect(await committer.stop()).to.equal('unsettled')
    expect([await inFlight, await waiting]).to.deep.equal(['outcome-unknown', 'not-owner'])
  })

  it('sends nothing after a stop', async () => {
    const committer = await open()
    const waiting = codeOf(committer.append('a'))
    expect([await committer.stop(), await waiting]).to.deep.equal(['stopped', 'not-owner'])
    await world.clock.advance(100)
    expect(await journal()).to.deep.equal([])
  })
})
