import { expect } from 'chai'
import { JOURNAL_TABLE, journalKey, readOwnerRow, releaseCell, takeSnapshot, type StoreUnreachable } from '../src/index.js'
import { PRAHA, VM_TWO, World } from './builders.js'
import { outcomesOfWrites, type CallOutcome } from './faulty-services.js'
import type { SequenceNumber } from '@cornelgauge/model'

const first = 1 as SequenceNumber

describe('journal', () => {
  let world: World
  beforeEach(() => { world = new World() })

  const storedEntries = async (sequence: number) =>
    (await world.backingTable.read(JOURNAL_TABLE, journalKey(PRAHA, sequence as SequenceNumber)))?.value.entries

  describe('a commit whose answers are lost', () => {
    const cases: readonly (readonly CallOutcome[])[] = [
      ['answer-lost'], ['refused'], ['late'], ['refused', 'answer-lost'], ['late', 'late'], ['answer-lost', 'answer-lost'], ['late', 'refused', 'answer-lost']
    ]
    for (const outcomes of cases) {
      it(`is committed once after ${outcomes.join(', ')}`, async () => {
        const claim = await world.claim()
        world.injectFaults(outcomesOfWrites(JOURNAL_TABLE, outcomes))
        expect(await world.commit(claim, 1)).to.equal('committed')
        await world.services.applyLateEffects()
        expect(await storedEntries(1)).to.deep.equal(['entry 1'])
        expect((await world.backingTable.range({ table: JOURNAL_TABLE })).length).to.equal(1)
      })
    }

    it('reports each failed attempt while the table service does not answer', async () => {
      const reports: StoreUnreachable[] = []
      const claim = await world.claim()
      world.injectFaults(outcomesOfWrites(JOURNAL_TABLE, ['refused', 'refused']))
      Object.assign(world.options, { onUnreachable: (report: StoreUnreachable) => reports.push(report) })
      await world.commit(claim, 1)
      expect(reports.map(({ failedTries }) => failedTries)).to.deep.equal([1, 2])
    })

    it('is unsettled if the caller gives up, and may take effect after that', async () => {
      const claim = await world.claim()
      world.injectFaults(call => call === 'write' ? 'late' : 'refused')
      const outcome = world.commit(claim, 1)
      world.abort.abort()
      expect(await outcome).to.equal('unsettled')
      await world.services.applyLateEffects()
      expect(await storedEntries(1)).to.deep.equal(['entry 1'])
    })
  })

  describe('a commit after the cell was claimed by another VM', () => {
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

    it('is fenced if its late write attempt did not take effect before the claim', async () => {
      const claim = await world.claim()
      world.injectFaults(outcomesOfWrites(JOURNAL_TABLE, ['late']))
      const outcome = world.commit(claim, 1)
      await world.claim(VM_TWO)
      expect(await outcome).to.equal('fenced')
      await world.services.applyLateEffects()
      expect(await storedEntries(1)).to.equal(undefined)
    })

    it('is committed if its late write attempt took effect between the reads of the read-back', async () => {
      const claim = await world.claim()
      let reads = 0
      world.injectFaults(async call => {
        if (call === 'write') return 'late'
        if (++reads !== 2) return 'answered'
        world.injectFaults(() => 'answered')
        await world.services.applyLateEffects()
        await world.claim(VM_TWO)
        return 'answered'
      })
      expect(await world.commit(claim, 1)).to.equal('committed')
    })

    it('is unsettled if the new owner may have trimmed its row', async () => {
      const claim = await world.claim()
      world.injectFaults(async call => {
        if (call !== 'write') return 'answered'
        world.injectFaults(() => 'answered')
        await world.backingTable.write({ conditions: [], operations: [{ type: 'put', table: JOURNAL_TABLE, key: journalKey(PRAHA, first), value: { cell: PRAHA, epoch: 1, sequence: 1, nonce: 'x', entries: [] } }] })
        const next = await world.claim(VM_TWO)
        await takeSnapshot(world.stores, next, { sequence: first, content: {} }, world.options)
        return 'refused'
      })
      expect(await world.commit(claim, 1)).to.equal('unsettled')
      expect((await readOwnerRow(world.backingTable, PRAHA))?.row.tail).to.equal(2)
    })
  })

  it('does not overwrite a row if its sequence is used again', async () => {
    const claim = await world.claim()
    await world.commit(claim, 1, ['kept'])
    expect(await world.commit(claim, 1, ['other'])).to.equal('fenced')
    expect(await storedEntries(1)).to.deep.equal(['kept'])
  })

  it('sorts keys in the order of sequences', () => {
    expect(journalKey(PRAHA, 9 as SequenceNumber) < journalKey(PRAHA, 10 as SequenceNumber)).to.equal(true)
  })
})
