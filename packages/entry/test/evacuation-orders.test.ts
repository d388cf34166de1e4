import { CornelgaugeError } from '@cornelgauge/model'
import { MemoryRowStore, type MemoryRowStoreView, type PageRange } from '@cornelgauge/ports'
import { expect } from 'chai'
import type { Moment } from '../src/elapsed.js'
import { EvacuationOrders } from '../src/evacuation-orders.js'
import { TableFollower } from '../src/table-follower.js'
import { Deployment } from './deployment.js'

const BOUND_MILLISECONDS = 5000
const at = (milliseconds: number): Moment => ({ steady: milliseconds, wall: milliseconds })

describe('the evacuation orders of a VM', () => {
  let now: Moment
  let storeAge: number
  let changes: string[]
  let outdated: number[]
  let orders: EvacuationOrders
  const ordersWithin = (boundMilliseconds: number | undefined): EvacuationOrders => new EvacuationOrders({
    boundMilliseconds,
    storeAge: () => storeAge,
    onChange: names => changes.push([...names].sort().join()),
    onOutdated: milliseconds => outdated.push(milliseconds),
    now: () => now
  })

  beforeEach(() => {
    now = at(10_000)
    storeAge = 0
    changes = []
    outdated = []
    orders = ordersWithin(BOUND_MILLISECONDS)
  })

  it('allow no start before the first reading', () => {
    expect(orders.mayStart).to.equal(false)
    orders.update(new Set(), now)
    expect(orders.mayStart).to.equal(true)
  })

  it('allow any start where there are no evacuations', () => {
    expect(ordersWithin(undefined).mayStart).to.equal(true)
  })

  it('are passed on as they change, the first reading included', () => {
    for (const names of [[], [], ['north'], ['north'], ['north', 'south'], ['south'], ['west'], []]) orders.update(new Set(names), now)
    expect(changes).to.deep.equal(['', 'north', 'north,south', 'south', 'west', ''])
  })

  describe('some time after a reading', () => {
    const cases: readonly (readonly [string, Moment, number, boolean])[] = [
      ['a recent one', at(13_000), 0, true],
      ['an older one, while the store answers', at(13_100), 0, false],
      ['an older one, while the store answers others', at(20_000), 500, false],
      ['an older one, in an outage that began soon after it', at(20_000), 7000, true],
      ['an older one, in an outage that began longer after it', at(20_000), 6000, false],
      ['an older one, by the time of day alone, after the process was frozen', { steady: 10_100, wall: 19_000 }, 0, false],
      ['an older one, since the time of day was set back', { steady: 16_000, wall: 4000 }, 0, false]
    ]

    for (const [name, later, age, mayStart] of cases) {
      it(`${mayStart ? 'allow' : 'hold'} starts after ${name}`, () => {
        orders.update(new Set(['north']), now)
        now = later
        storeAge = age
        expect(orders.mayStart).to.equal(mayStart)
      })
    }

    it('report once that starts are held, until the next reading', () => {
      orders.update(new Set(), now)
      now = at(14_000)
      expect([orders.mayStart, orders.mayStart]).to.deep.equal([false, false])
      expect(outdated).to.deep.equal([4000])
      orders.update(new Set(), now)
      expect(orders.mayStart).to.equal(true)
      now = at(18_000)
      expect(orders.mayStart).to.equal(false)
      expect(outdated).to.deep.equal([4000, 4000])
    })
  })

  it('rest on when the store last answered the members that send heartbeats to the owner', async () => {
    const deployment = new Deployment([1, 1, 1])
    for (const [index, vm] of deployment.vms.entries()) vm.storeAge = 100 * index
    await deployment.start()
    await deployment.clock.advance(3000)
    expect(deployment.owners).to.deep.equal(['vm-00'])
    const [owner, second, third] = deployment.vms as [Deployment['vms'][0], Deployment['vms'][0], Deployment['vms'][0]]
    expect(owner.leadership.memberStoreAge).to.equal(100)
    second.isDown = true
    await deployment.clock.advance(700)
    expect(owner.leadership.memberStoreAge).to.equal(200)
    third.isDown = true
    await deployment.clock.advance(700)
    expect(owner.leadership.memberStoreAge).to.equal(Infinity)
    for (const vm of deployment.vms) vm.stopping.abort()
  })

  // Guards against an order that seems to be withdrawn while the table is read anew, page by page.
  describe('when the store has lost its history, and the table is read anew', () => {
    let store: MemoryRowStore
    let view: MemoryRowStoreView
    const stopping = new AbortController()
    const put = (key: string): void => { store.apply({ conditions: [], puts: [{ table: 'op', key, value: {} }] }) }

    it('show neither an order as withdrawn that holds, nor one as given that was withdrawn', async () => {
      store = new MemoryRowStore()
      view = store.view()
      for (const name of ['north', 'west']) put(`evacuate/${name}`)
      let pages = 0
      const paged = Object.assign(Object.create(view) as MemoryRowStoreView, {
        changes: (table: string, after: number, wait: number) => view.changes(table, after, wait),
        readPage: async (table: string, range: PageRange) => {
          pages += 1
          if (pages % 3 === 0) throw new CornelgaugeError('timeout')
          return await view.readPage(table, { ...range, limit: 1 })
        }
      })
      const follower = new TableFollower(paged, { table: 'op', onFailure: () => {}, onRows: (rows, readAt) => orders.update(new Set([...rows.keys()].map(key => key.slice('evacuate/'.length))), readAt) })
      const running = follower.run(stopping.signal)
      const until = async (last: string): Promise<void> => { while (changes.at(-1) !== last) await new Promise(resolve => setTimeout(resolve, 5)) }
      await until('north,west')
      store.apply({ conditions: [], puts: [{ table: 'op', key: 'evacuate/south', value: {} }], deletions: [{ table: 'op', key: 'evacuate/west' }] })
      store.discardHistory()
      await until('north,south')
      expect(changes).to.deep.equal(['north,west', 'north,south'])
      stopping.abort()
      await running
    })
  })
})
