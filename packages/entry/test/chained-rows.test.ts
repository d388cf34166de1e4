import { serverId, type EarlierRuns, type ServerId } from '@cornelgauge/jobs'
import { epoch, vmName, type CornelgaugeError } from '@cornelgauge/model'
import { MemoryRowStore, type MemoryRowStoreView, type RowValue } from '@cornelgauge/ports'
import { expect } from 'chai'
import { claimOwnership, NO_OWNER, readOwner, type OwnerRecord } from '../src/owner-record.js'
import { earlierRunsOf, readServers, ServerRecord } from '../src/server-record.js'
import { claimOfEarlierRelease } from './earlier-release.js'

const SELF = { vm: vmName('vm-a'), address: '10.0.0.1:7000' }
const [LOST, USED] = [serverId('lost'), serverId('used')]
const IDS: ReadonlySet<ServerId> = new Set([LOST, USED])

const ODD_NUMBERS: readonly (readonly [string, unknown])[] = [
  ['a text', '1'],
  ['a fraction', 0.5],
  ['below 0', -1],
  ['null', null],
  ['beyond the whole numbers of a double', 2 ** 60],
  ['above its own epoch', 1000]
]

describe('the chain of owners that record backend servers before they use any', () => {
  let store: MemoryRowStore
  let view: MemoryRowStoreView

  const claim = async (): Promise<OwnerRecord> => await claimOwnership(view, await readOwner(view) ?? NO_OWNER, SELF)

  beforeEach(() => {
    store = new MemoryRowStore()
    view = store.view()
  })

  describe('in the row of the owner', () => {
    const changeRow = async (value: RowValue): Promise<void> => { await view.write({ conditions: [], puts: [{ table: 'owner', key: 'planner', value: { ...store.rows('owner')[0]!.value, ...value } }] }) }

    it('begins with the first owner, and is carried over by each claim', async () => {
      for (let number = 1; number <= 3; number += 1) {
        const owner = await claim()
        expect(owner).to.include({ epoch: number, recordedSince: 1 })
        expect(await readOwner(view)).to.deep.equal(owner)
      }
    })

    it('begins anew after an owner of an earlier release', async () => {
      await claim()
      await claimOfEarlierRelease(view)
      expect(await readOwner(view)).to.not.have.property('recordedSince')
      expect(await claim()).to.include({ epoch: 3, recordedSince: 3 })
      expect(await claim()).to.include({ epoch: 4, recordedSince: 3 })
    })

    it('is carried over by a claim whose answer was lost', async () => {
      await claim()
      const known = (await readOwner(view))!
      view.fault = 'losing-answers'
      expect(await claimOwnership(view, known, SELF)).to.include({ epoch: 2, recordedSince: 1 })
    })

    it('is not carried over from another row than the claim replaces', async () => {
      const known = await claim()
      await claimOfEarlierRelease(view)
      const outcome = await claimOwnership(view, known, SELF)
      expect(outcome.epoch).to.equal(2)
      expect(outcome).to.not.have.property('recordedSince')
    })

    for (const [name, odd] of ODD_NUMBERS) {
      it(`begins anew if the row says a number that is ${name}`, async () => {
        await claim()
        await changeRow({ recordedSince: odd } as RowValue)
        expect(await claim()).to.include({ epoch: 2, recordedSince: 2 })
      })
    }
  })

  describe('in the rows of backend servers', () => {
    let first: OwnerRecord

    const unreached = (): ReadonlyMap<ServerId, EarlierRuns> => new Map([[LOST, { until: performance.now() + 5000, lastEpoch: epoch(0) }]])
    const knownTo = async (owner: OwnerRecord): Promise<ReadonlyMap<ServerId, EarlierRuns>> => earlierRunsOf(await readServers(view), owner)
    const rowOf = (id: ServerId): { readonly key: string, readonly value: RowValue } => store.rows('run-servers').find(({ value }) => (value.ids as readonly string[]).includes(id))!
    const storedUntil = (): unknown => (rowOf(LOST).value.unreached as { readonly bounds: readonly [readonly [number]] }).bounds[0][0]
    const changeRow = async (id: ServerId, value: RowValue): Promise<void> => { await view.write({ conditions: [], puts: [{ table: 'run-servers', key: rowOf(id).key, value }] }) }

    beforeEach(async () => {
      first = await claim()
      await new ServerRecord(view, first, await readServers(view)).write(IDS, unreached())
    })

    it('tell the last owner that may have used each, and the end of the wait for one that it had not reached', async () => {
      const known = await knownTo(await claim())
      expect(known.get(USED)).to.deep.equal({ until: Infinity, lastEpoch: 1 })
      expect(known.get(LOST)!.lastEpoch).to.equal(0)
      expect(known.get(LOST)!.until).to.be.within(performance.now() + 3000, performance.now() + 5100)
    })

    it('hold if owners since have ended before their first write', async () => {
      await claim()
      await claim()
      const owner = await claim()
      const known = await knownTo(owner)
      expect(known.get(USED)).to.deep.equal({ until: Infinity, lastEpoch: 1 })
      expect(known.get(LOST)!.lastEpoch).to.equal(0)
      const until = storedUntil()
      await new ServerRecord(view, owner, await readServers(view)).write(IDS, known)
      expect(storedUntil()).to.equal(until)
    })

    it('stay as they are if the first write of a replaced owner comes late', async () => {
      const replaced = await claim()
      const late = new ServerRecord(view, replaced, await readServers(view))
      const owner = await claim()
      const { version } = store.snapshot('run-servers')
      expect(await late.write(IDS).then(() => undefined, thrown => (thrown as CornelgaugeError).code)).to.equal('stale-epoch')
      expect(late.hasStored).to.equal(false)
      expect(store.snapshot('run-servers').version).to.equal(version)
      expect((await knownTo(owner)).get(USED)).to.deep.equal({ until: Infinity, lastEpoch: 1 })
    })

    it('say nothing to an owner after one of an earlier release, which may have used any', async () => {
      await claimOfEarlierRelease(view)
      expect((await knownTo(await claim())).size).to.equal(0)
    })

    it('hold again from the first owner on that writes them after one of an earlier release', async () => {
      await claimOfEarlierRelease(view)
      const owner = await claim()
      await new ServerRecord(view, owner, await readServers(view)).write(IDS, unreached())
      await claim()
      expect((await knownTo(await claim())).get(USED)).to.deep.equal({ until: Infinity, lastEpoch: 3 })
    })

    it('hold only under the next owner if one of an earlier release has written them', async () => {
      await claimOfEarlierRelease(view)
      await changeRow(LOST, { ids: [LOST], unreached: { under: 2, bounds: [[5_000_000, 1, [0]]] } })
      expect([...await knownTo(await claim())].map(([id, { lastEpoch }]) => [id, lastEpoch])).to.deep.equal([[LOST, 1]])
      expect((await knownTo(await claim())).size).to.equal(0)
    })

    it('say nothing if they are of an earlier release', async () => {
      await changeRow(USED, { ids: [USED] })
      expect((await knownTo(await claim())).has(USED)).to.equal(false)
    })

    it('have bounds of their writer only', async () => {
      await changeRow(LOST, { ...rowOf(LOST).value, unreached: { under: 0, bounds: [[1, 0, [0]]] } })
      expect((await knownTo(await claim())).get(LOST)).to.deep.equal({ until: Infinity, lastEpoch: 1 })
    })

    for (const [name, odd] of ODD_NUMBERS) {
      it(`say nothing if their writer is a number that is ${name}`, async () => {
        await changeRow(USED, { ids: [USED], by: odd } as RowValue)
        await claim()
        expect((await knownTo(await claim())).has(USED)).to.equal(false)
      })
    }
  })
})
