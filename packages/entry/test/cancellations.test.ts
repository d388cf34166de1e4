import { vmName } from '@cornelgauge/model'
import { RETENTION_MILLISECONDS } from '@cornelgauge/jobs'
import { MemoryRowStore, type MemoryRowStoreView } from '@cornelgauge/ports'
import { expect } from 'chai'
import { encodeJob } from '../src/job-record.js'
import { DELETION_INTERVAL_MILLISECONDS } from '../src/limits.js'
import { JobStore } from '../src/job-store.js'
import { OwnedPlanner } from '../src/owned-planner.js'
import { claimOwnership, NO_OWNER, type OwnerRecord } from '../src/owner-record.js'
import type { PlatformView } from '../src/platform-view.js'
import { JOB } from './sample-job.js'

const { id: ID } = JOB
/** Time within which the owner has read a row that was written, with slack for a busy machine. */
const FOLLOWED_MILLISECONDS = 5000

describe('the owner of the planner', function () {
  this.timeout(2 * FOLLOWED_MILLISECONDS)
  let store: MemoryRowStore
  let view: MemoryRowStoreView
  let owner: OwnerRecord
  let owned: OwnedPlanner
  let background: Promise<void>[]

  const accept = async (): Promise<void> => { await view.write({ conditions: [], puts: [{ table: 'jobs', key: ID, value: encodeJob(JOB) }] }) }
  const cancel = async (): Promise<void> => { await view.write({ conditions: [], puts: [{ table: 'cancels', key: ID, value: {} }] }) }
  const pause = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds))

  const waitForPhase = async (phase: string): Promise<void> => {
    const deadline = performance.now() + FOLLOWED_MILLISECONDS
    while (owned.host?.phaseOf(ID) !== phase && performance.now() < deadline) await pause(20)
    expect(owned.host?.phaseOf(ID)).to.equal(phase)
  }

  beforeEach(async () => {
    store = new MemoryRowStore()
    view = store.view()
    owner = await claimOwnership(view, NO_OWNER, { vm: vmName('vm-a'), address: '10.0.0.1:7000' })
    background = []
    owned = new OwnedPlanner({
      store: view,
      jobs: new JobStore(view),
      platform: { store: view, servers: { retainConnections: () => {}, close: async () => {} }, configurationTable: 'op', readConfiguration: () => undefined, registryTable: 'servers', readRegistry: () => [] } as unknown as PlatformView,
      emit: () => {},
      configuration: () => undefined,
      isCurrent: () => true,
      peerConfirmationAge: () => 0,
      onFenced: () => {},
      runInBackground: work => { background.push(work) }
    })
  })

  afterEach(async () => {
    owned.abandon()
    await Promise.all(background)
  })

  describe('when a job is cancelled right after it was accepted', () => {
    for (const table of ['jobs', 'cancels', 'progress', 'servers']) {
      it(`cancels it if both happen just before a new owner reads the table of ${table}`, async () => {
        const readPage = view.readPage.bind(view)
        let hasWritten = false
        view.readPage = async (name, range) => {
          if (name === table && !hasWritten) {
            hasWritten = true
            await accept()
            await cancel()
          }
          return await readPage(name, range)
        }
        await owned.takeOver(owner)
        await waitForPhase('canceled')
      })
    }

    it('cancels it if the job is accepted before a new owner reads its table, and cancelled after it', async () => {
      const readPage = view.readPage.bind(view)
      view.readPage = async (name, range) => {
        const page = await readPage(name, range)
        if (name === 'jobs') await cancel()
        return page
      }
      await accept()
      await owned.takeOver(owner)
      await waitForPhase('canceled')
    })

    it('cancels it if only the cancellation was there when the owner loaded', async () => {
      await cancel()
      await owned.takeOver(owner)
      await accept()
      await waitForPhase('canceled')
    })

    it('cancels it if the owner reads the cancellation before the job', async () => {
      const changes = view.changes.bind(view)
      let releaseJobs = (): void => {}
      const areJobsReleased = new Promise<void>(resolve => { releaseJobs = resolve })
      view.changes = async (table, ...rest) => {
        if (table === 'jobs') await areJobsReleased
        return await changes(table, ...rest)
      }
      await owned.takeOver(owner)
      await accept()
      await cancel()
      await pause(100)
      releaseJobs()
      await waitForPhase('canceled')
    })

    it('cancels it if the owner is notified of the cancellation before it is of the job', async () => {
      await owned.takeOver(owner)
      owned.host!.cancel(ID)
      owned.host!.submit(JOB)
      await waitForPhase('canceled')
    })
  })

  describe('when the row of a cancellation is deleted', () => {
    it('doesn\'t cancel a job that was accepted later under the same id', async () => {
      await cancel()
      await owned.takeOver(owner)
      await pause(2 * DELETION_INTERVAL_MILLISECONDS)
      const systemNow = performance.now.bind(performance)
      performance.now = () => systemNow() + 2 * RETENTION_MILLISECONDS
      try {
        const deadline = performance.now() + FOLLOWED_MILLISECONDS
        while (store.rows('cancels').length > 0 && performance.now() < deadline) await pause(20)
      } finally {
        performance.now = systemNow
      }
      expect(store.rows('cancels')).to.deep.equal([])
      await accept()
      await waitForPhase('queued')
      await pause(200)
      expect(owned.host?.phaseOf(ID)).to.equal('queued')
    })
  })
})
