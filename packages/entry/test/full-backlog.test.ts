import { LogicalClock } from '@cornelgauge/wire'
import { vmName } from '@cornelgauge/model'
import { MemoryRowStore, type MemoryRowStoreView } from '@cornelgauge/ports'
import { expect } from 'chai'
import { EntryVm } from '../src/entry-vm.js'
import { JobStore } from '../src/job-store.js'
import { MAXIMUM_WAITING_JOBS, WAITING_COUNT_AGE_MILLISECONDS } from '../src/limits.js'
import { claimOwnership, NO_OWNER } from '../src/owner-record.js'
import type { PlatformView } from '../src/platform-view.js'
import { ReportedBacklog } from '../src/reported-backlog.js'
import { JOB } from './sample-job.js'

const { acceptedUnder: _, ...DRAFT } = JOB
const DEADLINE_MILLISECONDS = 3000

// Guards against accepted jobs that grow in number without end while the pool can't keep up.
describe('an entry VM while too many accepted jobs wait in the store', () => {
  let now: number
  let backlog: ReportedBacklog
  let store: MemoryRowStoreView
  let vm: EntryVm
  let events: string[]

  const submit = async (): Promise<string> => {
    try {
      await vm.submit(DRAFT, performance.now() + DEADLINE_MILLISECONDS)
      return 'accepted'
    } catch (thrown) {
      return (thrown as { code: string }).code
    }
  }
  const isStored = async (): Promise<boolean> => await new JobStore(store).read(JOB.id) !== undefined

  beforeEach(async () => {
    now = 0
    events = []
    backlog = new ReportedBacklog(() => now)
    store = new MemoryRowStore().view()
    await claimOwnership(store, NO_OWNER, { vm: vmName('vm-b'), address: '127.0.0.1:1' })
    vm = new EntryVm({
      vm: vmName('vm-a'),
      address: '127.0.0.1:0',
      seeds: [],
      secret: 'secret',
      clock: { now: () => 0, next: () => 0, observe: () => {} } as unknown as LogicalClock,
      emit: event => { events.push(event) },
      backlog,
      platform: { store, servers: { retainConnections: () => {}, close: async () => {} } } as unknown as PlatformView
    })
    // A VM that the store hasn't answered yet accepts nothing.
    await vm.phaseOf(JOB.id)
  })

  it('refuses a further one before it is stored', async () => {
    backlog.report(MAXIMUM_WAITING_JOBS)
    expect(await submit()).to.equal('backlog-full')
    expect(await isStored()).to.equal(false)
    expect(events).to.include('job-refused')
  })

  it('confirms one that was accepted before', async () => {
    expect(await submit()).to.equal('accepted')
    backlog.report(MAXIMUM_WAITING_JOBS)
    expect(await submit()).to.equal('accepted')
    expect(events).not.to.include('job-refused')
  })

  it('says that the outcome is unknown if it can\'t read whether it was accepted before', async () => {
    backlog.report(MAXIMUM_WAITING_JOBS)
    store.read = async () => { throw new Error('away') }
    expect(await submit()).to.equal('outcome-unknown')
  })

  it('accepts again once fewer wait, or the owner hasn\'t said for a while', async () => {
    backlog.report(MAXIMUM_WAITING_JOBS - 1)
    expect(await submit()).to.equal('accepted')
    backlog.report(MAXIMUM_WAITING_JOBS)
    now += WAITING_COUNT_AGE_MILLISECONDS + 1
    expect(backlog.isFull()).to.equal(false)
  })

  it('knows better as the owner itself', () => {
    backlog.report(MAXIMUM_WAITING_JOBS)
    expect(backlog.isFull(0)).to.equal(false)
  })
})
