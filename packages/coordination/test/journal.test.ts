import { expect } from 'chai'
import { JOURNAL_TABLE, journalKey, readOwnerRow, releaseCell, takeSnapshot, type StoreUnreachable } from '../src/index.js'
import { PRAHA, VM_TWO, World } from './builders.js'
import { fatesOfWrites, type Fate } from './faulty-services.js'
import type { SequenceNumber } from '@cornelgauge/model'

const first = 1 as SequenceNumber

describe('journal', () => {
  let world: World
  beforeEach(() => { world = new World() })

  const storedEntries = async (sequence: number) =>
    (await world.truth.read(JOURNAL_TABLE, journalKey(PRAHA, sequence as SequenceNumber)))?.value.entries

  describe('a commit whose answers are lost', () => {
    const cases: readonly (readonly Fate[])[] = [
      ['answer-lost'], ['refused'], ['late'], ['refused', 'answer-lost'], ['late', 'late'], ['answer-lost', 'answer-lost'], ['late', 'refused', 'answer-lost']
    ]
    for (const fates of cases) {
      it(`is committed once after ${fates.join(', ')}`, async () => {
        const claim = await world.claim()
        world.faults(fatesOfWrites(JOURNAL_TABLE, fates))
        expect(await world.commit(claim, 1)).to.equal('committed')
        await world.services.landLate()
        expect(await storedEntries(1)).to.deep.equal(['entry 1'])
        expect((await world.truth.range({ table: JOURNAL_TABLE })).length).to.equal(1)
      })
    }

    it('reports progress while the table service is silent', async () => {
      const reports: StoreUnreachable[] = []
      const claim = await world.claim()
      world.faults(fatesOfWrites(JOURNAL_TABLE, ['refused', 'refused']))
      Object.assign(world.options, { onUnreachable: (report: StoreUnreachable) => reports.push(report) })
      await world.commit(claim, 1)
      expect(reports.map(({ failedTries }) => failedTries)).to.deep.equal([1, 2])
    })

    it('is unsettled when the caller gives up, and may land after that', async () => {
      const claim = await world.claim()
      world.faults(call => call === 'write' ? 'late' : 'refused')
      const outcome = world.commit(claim, 1)
      world.abort.abort()
      expect(await outcome).to.equal('unsettled')
      await world.services.landLate()
      expect(await storedEntries(1)).to.deep.equal(['entry 1'])
    })
  })

  describe('a commit after the cell has gone to another VM', () => {
    it('is fenced', async () => {
      const claim = await world.claim()
      await world.claim(VM_TWO)
      expect(await world.commit(claim, 1)).to.equal('fenced')
      expect(await storedEntries(1)).to.equal(undefined)
    })

    it('is fenced after a release', async () => {
      const claim = await world.claim()
      await releaseCell(world.services.table, claim, world.options)
      expect(await world.commit(claim, 1)).to.equal('fenced')
    })

    it('is fenced where its late try did not land before the claim', async () => {
      const claim = await world.claim()
      world.faults(fatesOfWrites(JOURNAL_TABLE, ['late']))
      const outcome = world.commit(claim, 1)
      await world.claim(VM_TWO)
      expect(await outcome).to.equal('fenced')
      await world.services.landLate()
      expect(await storedEntries(1)).to.equal(undefined)
    })

    it('is committed where its late try landed between two reads of the read-back', async () => {
      const claim = await world.claim()
      let reads = 0
      world.faults(async call => {
        if (call === 'write') return 'late'
        if (++reads !== 2) return 'answered'
        world.faults(() => 'answered')
        await world.services.landLate()
        await world.claim(VM_TWO)
        return 'answered'
      })
      expect(await world.commit(claim, 1)).to.equal('committed')
    })

    it('is unsettled where the new owner may have trimmed its row', async () => {
      const claim = await world.claim()
      world.faults(async call => {
        if (call !== 'write') return 'answered'
        world.faults(() => 'answered')
        await world.truth.write({ conditions: [], operations: [{ type: 'put', table: JOURNAL_TABLE, key: journalKey(PRAHA, first), value: { cell: PRAHA, epoch: 1, sequence: 1, nonce: 'x', entries: [] } }] })
        const next = await world.claim(VM_TWO)
        await takeSnapshot(world.stores, next, { sequence: first, content: {} }, world.options)
        return 'refused'
      })
      expect(await world.commit(claim, 1)).to.equal('unsettled')
      expect((await readOwnerRow(world.truth, PRAHA))?.row.tail).to.equal(2)
    })
  })

  it('keeps a row from a writer that uses its sequence again', async () => {
    const claim = await world.claim()
    await world.commit(claim, 1, ['kept'])
    expect(await world.commit(claim, 1, ['other'])).to.equal('fenced')
    expect(await storedEntries(1)).to.deep.equal(['kept'])
  })

  it('keeps keys in the order of sequences', () => {
    expect(journalKey(PRAHA, 9 as SequenceNumber) < journalKey(PRAHA, 10 as SequenceNumber)).to.equal(true)
  })
})
