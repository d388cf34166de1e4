import { MemoryRowStore, type MemoryRowStoreView } from '@cornelgauge/ports'
import { expect } from 'chai'
import { TableFollower } from '../src/table-follower.js'

const TIMEOUT_MILLISECONDS = 3000

async function until (condition: () => boolean): Promise<void> {
  const limit = performance.now() + TIMEOUT_MILLISECONDS
  while (!condition() && performance.now() < limit) await new Promise(resolve => setTimeout(resolve, 5))
  expect(condition()).to.equal(true)
}

describe('a follower of a table', () => {
  let store: MemoryRowStore
  let view: MemoryRowStoreView
  let stopping: AbortController
  const put = (key: string): void => { store.apply({ conditions: [], puts: [{ table: 'jobs', key, value: {} }] }) }

  beforeEach(() => {
    store = new MemoryRowStore()
    view = store.view()
    stopping = new AbortController()
  })
  afterEach(() => stopping.abort())

  describe('whose listener throws', () => {
    it('goes on, and passes the same changes again with the next read', async () => {
      const delivered: string[] = []
      const failures: string[] = []
      let throws = true
      const follower = new TableFollower(view, {
        table: 'jobs',
        initialSnapshot: { rows: [], version: 0 },
        onFailure: failure => failures.push(failure.code),
        onRows: (_rows, _readAt, changed) => {
          if (throws && changed.length > 0) throw new TypeError('an odd row')
          delivered.push(...changed)
        }
      })
      const running = follower.run(stopping.signal)
      put('a')
      await until(() => failures.length > 0)
      throws = false
      put('b')
      await until(() => delivered.includes('b'))
      expect(delivered).to.deep.equal(['a', 'b'])
      expect(new Set(failures)).to.deep.equal(new Set(['internal']))
      stopping.abort()
      await running
    })

    it('passes changes once after a listener that returned', async () => {
      const delivered: string[] = []
      const follower = new TableFollower(view, { table: 'jobs', onFailure: () => {}, onRows: (_rows, _readAt, changed) => { delivered.push(...changed) } })
      const running = follower.run(stopping.signal)
      put('a')
      await until(() => delivered.length > 0)
      put('b')
      await until(() => delivered.includes('b'))
      expect(delivered).to.deep.equal(['a', 'b'])
      stopping.abort()
      await running
    })
  })
})
