import { serverId, type EarlierRuns, type ServerId } from '@cornelgauge/jobs'
import { epoch, vmName, type CornelgaugeError } from '@cornelgauge/model'
import { MemoryRowStore, type MemoryRowStoreView } from '@cornelgauge/ports'
import { expect } from 'chai'
import { JobStore } from '../src/job-store.js'
import { claimOwnership, NO_OWNER, type OwnerRecord } from '../src/owner-record.js'
import { earlierRunsOf, readServers, ServerRecord, settledServersIn } from '../src/server-record.js'

const SELF = { vm: vmName('vm-a'), address: '10.0.0.1:7000' }
const idsOf = (...names: readonly string[]): ReadonlySet<ServerId> => new Set(names.map(serverId))
const codeOf = (call: Promise<unknown>): Promise<string | undefined> => call.then(() => undefined, thrown => (thrown as CornelgaugeError).code)

describe('the record of backend servers that may have runs', () => {
  let store: MemoryRowStore
  let view: MemoryRowStoreView
  let owner: OwnerRecord
  let record: ServerRecord

  const storedIds = async (): Promise<readonly ServerId[]> => [...(await new JobStore(view).load()).servers.ids]

  beforeEach(async () => {
    store = new MemoryRowStore()
    view = store.view()
    owner = await claimOwnership(view, NO_OWNER, SELF)
    record = new ServerRecord(view, owner, await readServers(view))
  })

  describe('with backend servers that are settled', () => {
    const settled = { upTo: epoch(3), settledServers: idsOf('b') }

    it('tells the next owner which, unless starts of later owners are missing', async () => {
      await record.write(idsOf('a', 'b'), new Map(), settled)
      const stored = await readServers(view)
      expect([...settledServersIn(stored, epoch(2))]).to.deep.equal(['b'])
      expect([...settledServersIn(stored, epoch(3))]).to.deep.equal(['b'])
      expect([...settledServersIn(stored, epoch(4))]).to.deep.equal([])
    })

    it('is written again if others are', async () => {
      await record.write(idsOf('a', 'b'), new Map(), settled)
      await record.write(idsOf('a', 'b'), new Map(), { ...settled, settledServers: idsOf('a', 'b') })
      expect([...settledServersIn(await readServers(view), epoch(3))]).to.have.members(['a', 'b'])
    })

    it('lists none that may not have runs', async () => {
      await record.write(idsOf('a'), new Map(), settled)
      expect([...settledServersIn(await readServers(view), epoch(3))]).to.deep.equal([])
    })

    const odd: readonly unknown[] = [3, [], [3], [3, 0], [-1, [0]], ['3', [0]], [3, [0.5]], [3, ['a']]]
    for (const value of odd) {
      it(`counts them as not settled if they are ${JSON.stringify(value)}`, async () => {
        await view.write({ conditions: [], puts: [{ table: 'run-servers', key: '0', value: { ids: ['a'], by: 1, settled: value as never } }] })
        const stored = await readServers(view)
        expect([...stored.ids]).to.deep.equal(['a'])
        expect([...settledServersIn(stored, epoch(0))]).to.deep.equal([])
      })
    }
  })

  it('is empty if no owner has written it', async () => {
    expect(await storedIds()).to.deep.equal([])
  })

  describe('of an owner', () => {
    it('is loaded by the next one, as last written', async () => {
      await record.write(idsOf('a', 'b', 'c'))
      await record.write(idsOf('a', 'c', 'd'))
      expect(await storedIds()).to.have.members(['a', 'c', 'd'])
    })

    it('is written in full by its first write, and then only if it has changed', async () => {
      await record.write(idsOf('a', 'b'))
      const before = view.calls.write
      await record.write(idsOf('b', 'a'))
      expect(view.calls.write).to.equal(before)
      owner = await claimOwnership(view, owner, SELF)
      const next = new ServerRecord(view, owner, await readServers(view))
      const { version } = store.snapshot('run-servers')
      expect(next.hasStored).to.equal(false)
      await next.write(idsOf('a', 'b'))
      expect(next.hasStored).to.equal(true)
      const rows = store.rows('run-servers')
      expect(rows).to.have.length(32)
      expect(rows.every(row => row.version > version && row.value.by === owner.epoch)).to.equal(true)
      const written = view.calls.write
      await next.write(idsOf('b', 'a'))
      expect(view.calls.write).to.equal(written)
      await next.write(idsOf('a'))
      expect(view.calls.write).to.equal(written + 1)
      expect(store.rows('run-servers').filter(row => row.version > rows[0]!.version)).to.have.length(1)
    })

    it('is written in one transaction of 65 entries, whose rows hold 65,536 bytes at most, for 19,000 backend servers, by each owner', async () => {
      const transactions: { readonly entries: number, readonly bytes: readonly number[] }[] = []
      const write = view.write.bind(view)
      view.write = async transaction => {
        if (transaction.puts.some(({ table }) => table === 'run-servers')) {
          const bytes = transaction.puts.map(put => JSON.stringify(put.value).length)
          transactions.push({ entries: transaction.conditions.length + transaction.puts.length, bytes })
        }
        return await write(transaction)
      }
      const ids = Array.from({ length: 19_000 }, (_, index) => `server-${String(index).padStart(32, '0')}`)
      await record.write(idsOf(...ids))
      owner = await claimOwnership(view, owner, SELF)
      await new ServerRecord(view, owner, await readServers(view)).write(idsOf(...ids))
      expect(transactions.map(({ entries }) => entries)).to.deep.equal([65, 65])
      expect(Math.max(...transactions.flatMap(({ bytes }) => bytes))).to.be.at.most(65_536)
      expect((await readServers(view)).ids.size).to.equal(19_000)
    })

    it('stays as it is if another VM has become the owner', async () => {
      await record.write(idsOf('a'))
      await claimOwnership(view, owner, { ...SELF, vm: vmName('vm-b') })
      expect(await codeOf(record.write(idsOf('b')))).to.equal('stale-epoch')
      expect(await storedIds()).to.deep.equal(['a'])
    })
  })

  describe('with backend servers that the owner hasn\'t reached', () => {
    const unreached = (until: number, ...names: readonly string[]): ReadonlyMap<ServerId, EarlierRuns> => new Map(names.map(name => [serverId(name), { until, lastEpoch: epoch(7) }]))
    const nextOwner = async (): Promise<OwnerRecord> => await claimOwnership(view, owner, { ...SELF, vm: vmName('vm-b') })
    const boundsFor = async (next: OwnerRecord): Promise<ReadonlyMap<ServerId, EarlierRuns>> => earlierRunsOf(await readServers(view), next)
    /** What is known of the backend server `a` if an owner may have used it. */
    const usedUnder = (number: number): readonly unknown[] => [['a', { until: Infinity, lastEpoch: number }]]

    it('gives the next owner their bounds, which come no earlier and at most as much later as calls take', async () => {
      const until = performance.now() + 5000
      const readBefore = performance.now()
      record = new ServerRecord(view, owner, await readServers(view))
      await record.write(idsOf('a', 'b'), unreached(until, 'a'))
      const bounds = await boundsFor(await nextOwner())
      expect([...bounds.keys()]).to.have.members(['a', 'b'])
      expect(bounds.get(serverId('b'))).to.deep.equal({ until: Infinity, lastEpoch: owner.epoch })
      expect(bounds.get(serverId('a'))!.lastEpoch).to.equal(7)
      expect(bounds.get(serverId('a'))!.until).to.be.within(until, until + performance.now() - readBefore + 3)
    })

    it('passes them on as they are under each further owner', async () => {
      await record.write(idsOf('a'), unreached(performance.now() + 5000, 'a'))
      const row = (): unknown => store.rows('run-servers').find(({ value }) => value.unreached !== undefined)!.value.unreached
      const [[until]] = (row() as { readonly bounds: readonly [readonly [number]] }).bounds
      for (let number = 0; number < 3; number += 1) {
        owner = await nextOwner()
        const stored = await readServers(view)
        await new ServerRecord(view, owner, stored).write(stored.ids, earlierRunsOf(stored, owner))
      }
      expect(row()).to.deep.equal({ under: owner.epoch, bounds: [[until, 7, [0]]] })
    })

    it('gives no stored ends to an owner after an owner that has stored none', async () => {
      await record.write(idsOf('a'), unreached(performance.now() + 5000, 'a'))
      owner = await nextOwner()
      const stored = await readServers(view)
      await new ServerRecord(view, owner, stored).write(stored.ids)
      expect([...await boundsFor(await nextOwner())]).to.deep.equal(usedUnder(2))
    })

    it('gives no stored ends if the store didn\'t say what time it is', async () => {
      const { clock, ...stored } = await readServers(view)
      record = new ServerRecord(view, owner, stored)
      await record.write(idsOf('a'), unreached(performance.now() + 5000, 'a'))
      expect([...await boundsFor(await nextOwner())]).to.deep.equal(usedUnder(1))
    })

    it('gives no ends to an owner that doesn\'t learn what time it is, but who may have used them last', async () => {
      await record.write(idsOf('a'), unreached(performance.now() + 5000, 'a'))
      const { clock, ...stored } = await readServers(view)
      expect([...earlierRunsOf(stored, await nextOwner())]).to.deep.equal(usedUnder(7))
    })

    it('is written again only if they have changed', async () => {
      const until = performance.now() + 5000
      await record.write(idsOf('a', 'b'), unreached(until, 'a'))
      const before = view.calls.write
      await record.write(idsOf('a', 'b'), unreached(until, 'a'))
      expect(view.calls.write).to.equal(before)
      await record.write(idsOf('a', 'b'))
      expect(view.calls.write).to.equal(before + 1)
    })

    it('lists them until a record without them is stored', async () => {
      await record.write(idsOf('a'), unreached(performance.now() + 5000, 'a'))
      view.fault = 'losing-answers'
      await codeOf(record.write(idsOf('a')))
      expect([...record.unreachedServers]).to.deep.equal(['a'])
      view.fault = 'none'
      await record.write(idsOf('a'))
      expect([...record.unreachedServers]).to.deep.equal(['a'])
      await record.write(idsOf('a'))
      expect([...record.unreachedServers]).to.deep.equal([])
      expect([...await boundsFor(await nextOwner())]).to.deep.equal(usedUnder(1))
    })

    it('lists them from the call on that stores them, also if it isn\'t answered', async () => {
      view.fault = 'losing-answers'
      const write = codeOf(record.write(idsOf('a'), unreached(performance.now() + 5000, 'a')))
      expect([...record.unreachedServers]).to.deep.equal(['a'])
      await write
      expect([...record.unreachedServers]).to.deep.equal(['a'])
    })

    it('lists none of them that a refused call would have stored', async () => {
      view.fault = 'refusing'
      expect(await codeOf(record.write(idsOf('a'), unreached(performance.now() + 5000, 'a')))).to.equal('overloaded')
      expect([...record.unreachedServers]).to.deep.equal([])
      view.fault = 'none'
      await record.write(idsOf('a'), unreached(performance.now() + 5000, 'a'))
      expect((await boundsFor(await nextOwner())).size).to.equal(1)
    })

    it('lists what an earlier record of the same owner has stored', async () => {
      await record.write(idsOf('a'), unreached(performance.now() + 5000, 'a'))
      record = new ServerRecord(view, owner, await readServers(view))
      expect([...record.unreachedServers]).to.deep.equal(['a'])
      await record.write(idsOf('a'))
      expect([...record.unreachedServers]).to.deep.equal([])
    })

    it('fits its rows and one transaction for 19,000 backend servers, also with long ids', async () => {
      const ids = Array.from({ length: 19_000 }, (_, index) => `server-${String(index).padStart(60, '0')}`)
      const write = view.write.bind(view)
      let entries = 0
      view.write = async transaction => {
        entries = transaction.conditions.length + transaction.puts.length
        return await write(transaction)
      }
      await record.write(idsOf(...ids), unreached(performance.now() + 5000, ...ids))
      expect(entries).to.equal(65)
      expect(Math.max(...store.rows('run-servers').map(({ value }) => JSON.stringify(value).length))).to.be.at.most(65_536)
      expect([...(await boundsFor(await nextOwner())).values()].filter(({ until }) => until < Infinity)).to.have.length(19_000)
    })

    it('is readable for earlier releases, and theirs without bounds', async () => {
      await record.write(idsOf('a', 'b'), unreached(performance.now() + 5000, 'a'))
      const ids = store.rows('run-servers').flatMap(({ value }) => value.ids as readonly string[])
      expect(ids).to.have.members(['a', 'b'])
      const [row] = store.rows('run-servers').filter(({ value }) => value.unreached !== undefined)
      expect(row!.value.unreached).to.have.keys('under', 'bounds')
      await view.write({ conditions: [], puts: [{ table: 'run-servers', key: row!.key, value: { ids: [...row!.value.ids as readonly string[]] } }] })
      const next = await nextOwner()
      const stored = await readServers(view)
      expect(stored.damaged).to.deep.equal([])
      expect([...earlierRunsOf(stored, next).keys()]).to.not.include('a')
    })

    it('counts bounds that can\'t be read as none', async () => {
      await view.write({
        conditions: [],
        puts: [
          { table: 'run-servers', key: '0', value: { ids: ['a'], unreached: 7 } },
          { table: 'run-servers', key: '1', value: { ids: ['b'], unreached: { under: owner.epoch, bounds: [['soon', 1, [0]]] } } },
          { table: 'run-servers', key: '2', value: { ids: ['c'], unreached: { under: owner.epoch, bounds: [[1, 1, [5]]] } } },
          { table: 'run-servers', key: '3', value: { ids: ['d'], unreached: { under: owner.epoch, bounds: [[-1, 1, [0]]] } } },
          { table: 'run-servers', key: '4', value: { ids: ['e'], unreached: { under: owner.epoch, bounds: [[1, -1, [0]]] } } }
        ]
      })
      const { ids, damaged } = await readServers(view)
      expect([...ids]).to.have.members(['a', 'b', 'c', 'd', 'e'])
      expect(damaged).to.deep.equal([])
      expect((await boundsFor(await nextOwner())).size).to.equal(0)
    })
  })

  describe('after a write without an answer', () => {
    it('is complete after the next ones', async () => {
      view.fault = 'losing-answers'
      expect(await codeOf(record.write(idsOf('a', 'b')))).to.equal('unavailable')
      view.fault = 'none'
      await record.write(idsOf('c'))
      await record.write(idsOf('c'))
      expect(await storedIds()).to.deep.equal(['c'])
    })

    it('is written again though the backend servers are those of the write before', async () => {
      await record.write(idsOf('a'))
      view.fault = 'losing-answers'
      await codeOf(record.write(idsOf('a', 'b')))
      view.fault = 'none'
      await record.write(idsOf('a'))
      await record.write(idsOf('a'))
      expect(await storedIds()).to.deep.equal(['a'])
    })

    it('is not changed by that write once a later one is stored', async () => {
      const write = view.write.bind(view)
      let late = async (): Promise<unknown> => undefined
      view.write = async transaction => {
        late = () => write(transaction)
        throw new Error('No answer')
      }
      await record.write(idsOf('a')).catch(() => { /* It is carried out later. */ })
      view.write = write
      await record.write(idsOf('a', 'b'))
      await late()
      expect(await storedIds()).to.have.members(['a', 'b'])
    })
  })

  describe('with a damaged row', () => {
    it('is reported, and the others are loaded', async () => {
      await record.write(idsOf('a', 'b', 'c', 'd'))
      const [row] = store.rows('run-servers').filter(({ value }) => (value.ids as readonly string[]).includes('a'))
      await view.write({ conditions: [], puts: [{ table: 'run-servers', key: row!.key, value: { ids: 7 } }] })
      const { servers, damaged } = await new JobStore(view).load()
      expect(damaged).to.have.length(1)
      expect(servers.ids.size).to.be.within(1, 3)
    })

    it('is written anew by the next owner', async () => {
      await view.write({ conditions: [], puts: [{ table: 'run-servers', key: '0', value: {} }, { table: 'run-servers', key: 'odd', value: { ids: ['x'] } }] })
      const next = new ServerRecord(view, owner, await readServers(view))
      await next.write(idsOf('a'))
      const { ids, damaged } = await readServers(view)
      expect([...ids]).to.deep.equal(['a'])
      expect(damaged).to.deep.equal([])
    })
  })
})
