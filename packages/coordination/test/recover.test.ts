import { sequenceNumber } from '@cornelgauge/model'
import type { Transaction } from '@cornelgauge/ports'
import { expect } from 'chai'
import {
  CELLS_TABLE, decodeSnapshot, encodeSnapshot, JOURNAL_TABLE, journalKey, readOwnerRow, recover, RECOVERY_PAGE_ROWS,
  takeSnapshot, TRIM_BATCH_ROWS, type CellClaim
} from '../src/index.js'
import { PRAHA, VM_TWO, World } from './builders.js'
import { outcomesOfWrites, type CallOutcome, type OutcomeDecider } from './faulty-services.js'

describe('recovery', () => {
  let world: World
  let claim: CellClaim
  beforeEach(async () => {
    world = new World()
    claim = await world.claim()
  })

  const commitUpTo = async (last: number, first = 1) => {
    for (let sequence = first; sequence <= last; sequence++) await world.commit(claim, sequence)
  }
  const snapshotAt = (sequence: number, by = claim) =>
    world.run(takeSnapshot(world.stores, by, { sequence: sequenceNumber(sequence), content: { upTo: sequence } }, world.options))
  const recovered = async (by = claim) => {
    const { snapshot, rows, nextSequence } = await world.run(recover<{ upTo: number }, string>(world.stores, by, world.options))
    return { upTo: snapshot?.content.upTo, rows: rows.map(({ sequence }) => sequence as number), nextSequence: nextSequence as number }
  }
  const failureOf = (promise: Promise<unknown>) => promise.then(() => undefined, failure => failure.code)
  const journalRows = async () => (await world.backingTable.range({ table: JOURNAL_TABLE })).length

  it('of a new cell starts at sequence 1', async () => {
    expect(await recovered()).to.deep.equal({ upTo: undefined, rows: [], nextSequence: 1 })
  })

  it('reads the snapshot and the rows after it', async () => {
    await commitUpTo(5)
    await snapshotAt(3)
    expect(await recovered()).to.deep.equal({ upTo: 3, rows: [4, 5], nextSequence: 6 })
    expect(await journalRows()).to.equal(2)
  })

  it('reads several pages', async () => {
    const last = 2 * RECOVERY_PAGE_ROWS
    await commitUpTo(last)
    expect(await recovered()).to.deep.include({ nextSequence: last + 1 })
  })

  it('continues after an outage', async () => {
    await commitUpTo(2)
    let refusals = 4
    world.injectFaults(() => refusals-- > 0 ? 'refused' : 'answered')
    expect(await recovered()).to.deep.include({ rows: [1, 2] })
  })

  describe('fails', () => {
    it('on a gap in the sequences', async () => {
      await commitUpTo(3)
      await world.backingTable.write({ conditions: [], operations: [{ type: 'delete', table: JOURNAL_TABLE, key: journalKey(PRAHA, sequenceNumber(2)) }] })
      expect(await failureOf(recovered())).to.equal('record-damaged')
    })

    it('on a snapshot that is missing or damaged', async () => {
      await commitUpTo(1)
      await snapshotAt(1)
      const name = (await readOwnerRow(world.backingTable, PRAHA))!.row.snapshot!
      await world.objects.put(name, Buffer.from('{}\n{}'))
      expect(await failureOf(recovered())).to.equal('record-damaged')
      await world.objects.delete(name)
      expect(await failureOf(recovered())).to.equal('record-damaged')
    })

    it('with stale-epoch if a newer owner trims rows during the read', async () => {
      await commitUpTo(4)
      world.injectFaults(async (call): Promise<CallOutcome> => {
        if (call !== 'range') return 'answered'
        world.injectFaults(() => 'answered')
        const next = await world.claim(VM_TWO)
        await snapshotAt(2, next)
        return 'answered'
      })
      expect(await failureOf(recovered())).to.equal('stale-epoch')
    })
  })

  describe('a snapshot', () => {
    const failAt = (at: string): OutcomeDecider => (call, detail) => {
      const table = call === 'write' ? (detail as Transaction).operations[0]!.table : ''
      return `${call} ${table}`.trim() === at ? 'refused' : 'answered'
    }
    for (const step of [`write ${JOURNAL_TABLE}`, 'list', 'delete']) {
      it(`that fails at "${step}" is cleaned up by the next one`, async () => {
        await commitUpTo(3)
        await snapshotAt(1)
        world.injectFaults(failAt(step))
        expect((await snapshotAt(2)).type).to.equal('made')
        world.injectFaults(() => 'answered')
        expect(await recovered()).to.deep.equal({ upTo: 2, rows: [3], nextSequence: 4 })
        await snapshotAt(3)
        expect(await journalRows()).to.equal(0)
        expect((await world.objects.list('snapshots/')).length).to.equal(1)
      })
    }

    it('that fails before the owner row points to it changes nothing', async () => {
      await commitUpTo(3)
      world.injectFaults(failAt(`write ${CELLS_TABLE}`))
      const outcome = snapshotAt(2)
      await world.clock.advance(500)
      world.abort.abort()
      expect((await outcome).type).to.equal('unsettled')
      world = Object.assign(new World(), { backingTable: world.backingTable, objects: world.objects, services: world.services })
      world.injectFaults(() => 'answered')
      expect(await recovered()).to.deep.equal({ upTo: undefined, rows: [1, 2, 3], nextSequence: 4 })
    })

    it('succeeds if only answers are lost', async () => {
      await commitUpTo(3)
      world.injectFaults(outcomesOfWrites(CELLS_TABLE, ['answer-lost', 'late']))
      expect((await snapshotAt(3)).type).to.equal('made')
      expect(await recovered()).to.deep.equal({ upTo: 3, rows: [], nextSequence: 4 })
    })
  })

  it('trims in batches', async () => {
    await commitUpTo(2 * TRIM_BATCH_ROWS + 1)
    await snapshotAt(2 * TRIM_BATCH_ROWS + 1)
    expect(await journalRows()).to.equal(0)
  })

  it('keeps all rows when a fenced owner takes a snapshot', async () => {
    await commitUpTo(2)
    await world.claim(VM_TWO)
    expect((await snapshotAt(2)).type).to.equal('lost')
    expect(await journalRows()).to.equal(2)
  })

  it('decodes a snapshot as it was encoded', () => {
    const snapshot = { cell: PRAHA, epoch: claim.epoch, sequence: sequenceNumber(7), content: { text: 'řádek\n' } }
    expect(decodeSnapshot(encodeSnapshot(snapshot).bytes)).to.deep.equal(snapshot)
  })
})
