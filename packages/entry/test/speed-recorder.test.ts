import { serverId, type Planner, type StoredSpeed } from '@cornelgauge/jobs'
import { vmName, type CornelgaugeError } from '@cornelgauge/model'
import { MemoryRowStore, type MemoryRowStoreView } from '@cornelgauge/ports'
import { expect } from 'chai'
import { claimOwnership, NO_OWNER, type OwnerRecord } from '../src/owner-record.js'
import { SpeedRecorder } from '../src/speed-recorder.js'

const SELF = { vm: vmName('vm-a'), address: '10.0.0.1:7000' }
const SLOW: StoredSpeed = { id: serverId('a'), incarnation: 1_700_000_000_000, logSlowness: 0.45, deviation: 0.1 }

describe('the record of the speeds of backend servers', () => {
  let store: MemoryRowStore
  let view: MemoryRowStoreView
  let owner: OwnerRecord
  let speeds: readonly StoredSpeed[]
  let inherited: StoredSpeed[]

  const recorder = (): SpeedRecorder => new SpeedRecorder({
    planner: { speedsToStore: () => speeds, inheritSpeeds: (stored: Iterable<StoredSpeed>) => { inherited.push(...stored) } } as unknown as Planner,
    store: view,
    owner,
    tryStoreCall: async call => {
      await call()
      return true
    },
    onCrash: thrown => { throw thrown },
    signal: new AbortController().signal
  })
  const rows = (): readonly unknown[] => store.rows('server-speeds')

  beforeEach(async () => {
    store = new MemoryRowStore()
    view = store.view()
    owner = await claimOwnership(view, NO_OWNER, SELF)
    speeds = [SLOW]
    inherited = []
  })

  it('hands them to the next owner', async () => {
    await recorder().write()
    expect(await recorder().read()).to.equal(true)
    expect(inherited).to.deep.equal([SLOW])
  })

  it('is not written while they make no difference', async () => {
    speeds = []
    await recorder().write()
    expect(rows()).to.have.length(0)
  })

  it('is not written again for noise', async () => {
    const written = recorder()
    await written.write()
    const before = rows()
    speeds = [{ ...SLOW, logSlowness: 0.46 }]
    await written.write()
    expect(rows()).to.deep.equal(before)
  })

  it('is not written by an owner that has been replaced', async () => {
    const late = recorder()
    await claimOwnership(view, owner, { ...SELF, vm: vmName('vm-b') })
    const code = await late.write().then(() => undefined, thrown => (thrown as CornelgaugeError).code)
    expect(code).to.equal('stale-epoch')
    expect(rows()).to.have.length(0)
  })

  for (const odd of [undefined, 'a', [3], [['a']], [['a', 1, 2, 0]], [['a', 1, 'x', 2]], [['a', 0.5, 2, 2]]] as readonly unknown[]) {
    it(`leaves out ${JSON.stringify(odd)}`, async () => {
      await view.write({ conditions: [], puts: [{ table: 'server-speeds', key: 'all', value: { speeds: odd as never } }] })
      expect(await recorder().read()).to.equal(true)
      expect(inherited).to.deep.equal([])
    })
  }
})
