import { CornelgaugeError, epoch, vmName } from '@cornelgauge/model'
import { encodeProgress, jobId, Planner, type JobId } from '@cornelgauge/jobs'
import { MemoryRowStore, type MemoryRowStoreView, type PageRange, type RowStore } from '@cornelgauge/ports'
import { expect } from 'chai'
import { encodeJob } from '../src/job-record.js'
import { JobStore } from '../src/job-store.js'
import { OwnedPlanner } from '../src/owned-planner.js'
import { DELETION_BATCH, LOADED_PROGRESS_CHARACTERS } from '../src/limits.js'
import { claimOwnership, NO_OWNER, type OwnerRecord } from '../src/owner-record.js'
import type { PlatformView } from '../src/platform-view.js'
import { ProgressWriter } from '../src/progress-writer.js'
import { RetiredJobs } from '../src/retired-jobs.js'
import { readTable } from '../src/table-reader.js'
import { JOB, STEP } from './sample-job.js'

const { id: ID } = JOB
const SELF = { vm: vmName('vm-a'), address: '10.0.0.1:7000' }
const RETENTION_MILLISECONDS = 180_000
/** Time for the owner to delete what is due; it does so several times within it. */
const DELETION_MILLISECONDS = 5000

const readsOf = (view: MemoryRowStoreView): number =>
  Object.entries(view.calls).reduce((sum, [name, count]) => name === 'write' ? sum : sum + count, 0)

describe('the stored state of the planner', () => {
  let store: MemoryRowStore
  let view: MemoryRowStoreView
  let owner: OwnerRecord

  const ownedPlanner = (isCurrent: () => boolean, onFenced = (): void => {}): OwnedPlanner => new OwnedPlanner({
    store: view,
    jobs: new JobStore(view),
    platform: { store: view, servers: { retainConnections: () => {}, close: async () => {} }, configurationTable: 'op', readConfiguration: () => undefined, registryTable: 'servers', readRegistry: () => [] } as unknown as PlatformView,
    emit: () => {},
    configuration: () => undefined,
    isCurrent,
    peerConfirmationAge: () => 0,
    onFenced,
    runInBackground: work => { work.catch(() => {}) }
  })

  beforeEach(async () => {
    store = new MemoryRowStore()
    view = store.view()
    owner = await claimOwnership(view, NO_OWNER, SELF)
    await view.write({ conditions: [], puts: [{ table: 'jobs', key: ID, value: encodeJob(JOB) }] })
  })

  // Guards against owners that end with their heaps full of the progress of jobs that wait.
  describe('with more progress than a new owner keeps while it loads', () => {
    const done = Array.from({ length: 5000 }, (_, index) => index)
    const COUNT = Math.ceil(LOADED_PROGRESS_CHARACTERS / JSON.stringify(done).length) + 10
    const idOf = (number: number): JobId => jobId(String(number).padStart(16, '0'))
    const work = { ...JOB, steps: [{ ...STEP, count: 6000 }] }
    const placements = { 'server-1': { address: '10.0.0.1:80', tasks: [5500] } }

    beforeEach(async () => {
      for (let number = 0; number < COUNT; number += 1) {
        const steps = { '0.0': { done, failed: {}, ...(number === COUNT - 1 ? { placements } : {}) } }
        const puts = [{ table: 'jobs', key: idOf(number), value: encodeJob({ ...work, id: idOf(number) }) }, { table: 'progress', key: idOf(number), value: { text: encodeProgress({ hasBegun: true, steps }) } }]
        await view.write({ conditions: [], puts: number === COUNT - 2 ? [...puts, { table: 'cancels', key: idOf(number), value: {} }] : puts })
      }
    })

    it('leaves the others waiting, and reads that of jobs with runs and of cancelled ones again', async () => {
      const { jobs, waiting, progressVersions } = await new JobStore(view).load()
      const loaded = new Map(jobs.map(stored => [stored.job.id, stored]))
      expect(loaded.get(idOf(COUNT - 1))!.progress!.steps['0.0']).to.deep.equal({ done, failed: {}, placements })
      expect(loaded.get(idOf(COUNT - 2))).to.deep.include({ isCancelled: true, progress: { hasBegun: true, steps: { '0.0': { done, failed: {} } } } })
      // Beside them is the job that each of these tests has.
      expect(jobs.length + waiting.length).to.equal(COUNT + 1)
      expect(waiting.length).to.be.at.least(1)
      expect(waiting.every(({ hasProgress, hasBegun }) => hasProgress && hasBegun)).to.equal(true)
      expect(progressVersions.size).to.equal(COUNT)
    })
  })

  describe('a read of a table', () => {
    it('continues behind the last page received after a page has failed', async () => {
      const puts = Array.from({ length: 100 }, (_, index) => ({ table: 'progress', key: String(index).padStart(3, '0'), value: {} }))
      await view.write({ conditions: [], puts })
      const asked: (string | undefined)[] = []
      const failing = {
        ...view,
        readPage: async (table: string, range: PageRange) => {
          asked.push(range.after)
          if (asked.length % 2 === 0) throw new CornelgaugeError('timeout')
          return await view.readPage(table, { ...range, limit: 40 })
        }
      } as unknown as RowStore
      const { rows } = await readTable(failing, 'progress', { onPageFailure: () => true })
      expect(rows.map(row => row.key)).to.deep.equal(puts.map(put => put.key))
      expect(asked).to.deep.equal([undefined, '039', '039', '079', '079'])
    })

    it('asks for pages that rows of the length seen so far fill', async () => {
      const puts = Array.from({ length: 200 }, (_, index) => ({ table: 'progress', key: String(index).padStart(3, '0'), value: { text: 'x'.repeat(3000) } }))
      await view.write({ conditions: [], puts })
      const limits: number[] = []
      const counting = {
        readPage: async (table: string, range: PageRange) => {
          limits.push(range.limit)
          return await view.readPage(table, range)
        }
      } as unknown as RowStore
      await readTable(counting, 'progress')
      expect(limits.slice(1).every(limit => limit === 10)).to.equal(true)
    })
  })

  describe('a load', () => {
    it('ends with the page under way when another VM has become the owner', async () => {
      const before = readsOf(view)
      const owned = ownedPlanner(() => readsOf(view) <= before)
      await owned.takeOver(owner)
      expect(owned.host).to.equal(undefined)
      expect(readsOf(view) - before).to.equal(1)
    })

    // Guards against an owner that was suspended while it loaded and plans beside the next one.
    it('starts no planner if another VM has become the owner and this one has not learned it', async () => {
      const readPage = view.readPage.bind(view)
      view.readPage = async (table: string, range: PageRange) => {
        if (table === 'servers') await claimOwnership(store.view(), owner, { ...SELF, vm: vmName('vm-b') })
        return await readPage(table, range)
      }
      let fenced = 0
      const owned = ownedPlanner(() => true, () => { fenced += 1 })
      await owned.takeOver(owner)
      expect(owned.host).to.equal(undefined)
      expect(fenced).to.equal(1)
    })
  })

  describe('a job that ended longer ago than the retention time', () => {
    it('is deleted by the owner, with its progress and its cancellation', async function () {
      this.timeout(2 * DELETION_MILLISECONDS)
      const progress = encodeProgress({ phase: 'canceled', finishedAt: Date.now() - 2 * RETENTION_MILLISECONDS, hasBegun: false, steps: {} })
      await view.write({ conditions: [], puts: [{ table: 'progress', key: ID, value: { text: progress } }, { table: 'cancels', key: ID, value: {} }] })
      const owned = ownedPlanner(() => true)
      await owned.takeOver(owner)
      await new Promise(resolve => setTimeout(resolve, DELETION_MILLISECONDS / 2))
      const systemNow = performance.now.bind(performance)
      performance.now = () => systemNow() + 2 * RETENTION_MILLISECONDS
      const deadline = performance.now() + DELETION_MILLISECONDS
      const rowsLeft = (): number => ['jobs', 'cancels', 'progress'].reduce((sum, table) => sum + store.rows(table).length, 0)
      while (rowsLeft() > 0 && performance.now() < deadline) await new Promise(resolve => setTimeout(resolve, 20))
      owned.abandon()
      performance.now = systemNow
      expect(rowsLeft()).to.equal(0)
    })
  })

  describe('many jobs that ended longer ago than the retention time', () => {
    const JOBS = 50
    const BATCHES = Math.ceil(JOBS / DELETION_BATCH)
    const DUE = { now: RETENTION_MILLISECONDS + 1, wallTime: RETENTION_MILLISECONDS + 1 }
    let planner: Planner
    let retired: RetiredJobs
    const ids = Array.from({ length: JOBS }, (_, index) => jobId(index.toString(16).padStart(16, '0')))

    beforeEach(async () => {
      await view.write({ conditions: [], puts: ids.map(id => ({ table: 'progress', key: id, value: {} })) })
      planner = new Planner(epoch(1), ids.map(id => ({ job: { ...JOB, id }, isCancelled: false, progress: { phase: 'completed' as const, finishedAt: 0, hasBegun: true, steps: {} } })), { now: 0, wallTime: 0 })
      retired = new RetiredJobs(planner, new ProgressWriter(view, owner, new Map(store.rows('progress').map(row => [jobId(row.key), row.version]))))
      await retired.deleteBatch({ now: 0, wallTime: 0 })
    })

    it('stay while the retention time lasts', async () => {
      await retired.deleteBatch({ now: RETENTION_MILLISECONDS, wallTime: RETENTION_MILLISECONDS })
      expect(store.rows('progress')).to.have.length(JOBS)
    })

    it('stay if only the time of day was set forward', async () => {
      await retired.deleteBatch({ now: 1000, wallTime: 10 * RETENTION_MILLISECONDS })
      expect(store.rows('progress')).to.have.length(JOBS)
    })

    it('are deleted by transactions of at most 100 entries, again after a failure', async () => {
      const entries: number[] = []
      const write = view.write.bind(view)
      view.write = async transaction => {
        entries.push(transaction.conditions.length + transaction.puts.length + (transaction.deletions ?? []).length)
        return await write(transaction)
      }
      view.fault = 'down'
      await retired.deleteBatch(DUE).catch(() => { /* The store is down. */ })
      view.fault = 'none'
      for (let time = 0; time < BATCHES; time += 1) await retired.deleteBatch(DUE)
      expect(store.rows('progress')).to.have.length(0)
      expect(Math.max(...entries)).to.be.at.most(100)
    })

    it('are not planned anew by an earlier read of their rows', async () => {
      await retired.deleteBatch(DUE)
      expect(ids.every(id => planner.phaseOf(id) === undefined && retired.has({ ...JOB, id }))).to.equal(true)
    })

    it('don\'t keep a job from being planned that was accepted later under the same id', async () => {
      for (let time = 0; time < BATCHES; time += 1) await retired.deleteBatch(DUE)
      expect(retired.has({ ...JOB, id: ids[0]!, acceptedAt: JOB.acceptedAt + 1 })).to.equal(false)
    })

    it('don\'t take a later job of the same id with them if the answer to the deletion was lost', async () => {
      view.fault = 'losing-answers'
      await retired.deleteBatch(DUE).catch(() => { /* The answer is lost. */ })
      view.fault = 'none'
      await view.write({ conditions: [], puts: [{ table: 'jobs', key: ids[0]!, value: encodeJob({ ...JOB, id: ids[0]!, acceptedAt: JOB.acceptedAt + 1 }) }] })
      for (let time = 0; time < BATCHES; time += 1) await retired.deleteBatch(DUE)
      expect(store.rows('jobs').map(row => row.key)).to.include(ids[0])
      expect(store.rows('progress')).to.have.length(0)
    })

    it('stay if another VM has become the owner', async () => {
      await claimOwnership(view, owner, { ...SELF, vm: vmName('vm-b') })
      expect(await retired.deleteBatch(DUE).then(() => undefined, thrown => (thrown as CornelgaugeError).code)).to.equal('stale-epoch')
      expect(store.rows('progress')).to.have.length(JOBS)
    })
  })

  describe('a write of progress whose answer was lost', () => {
    it('is repeated without reading a table', async () => {
      const planner = new Planner(epoch(1), [{ job: JOB, isCancelled: false }], { now: 0, wallTime: 0 })
      planner.cancel(ID, 1000)
      const writer = new ProgressWriter(view, owner, new Map())
      view.fault = 'losing-answers'
      await writer.write(planner).catch(() => { /* The answer is lost. */ })
      view.fault = 'none'
      const before = readsOf(view)
      while (planner.unstoredJobs.size > 0) await writer.write(planner)
      expect(readsOf(view) - before).to.equal(0)
    })
  })

  // Guards against progress that is never stored: a call to the store holds 1 MB, and the same batch is written again.
  describe('progress of many large jobs', () => {
    it('is written by calls of at most 1 MB', async () => {
      const TASKS = 4000
      const jobs = Array.from({ length: 45 }, (_, index) => ({ ...JOB, id: jobId(`00000000000${index + 10000}`), steps: [{ ...JOB.steps[0]!, count: TASKS }] }))
      const done = Array.from({ length: TASKS - 1 }, (_, index) => index)
      const progress = { hasBegun: true, steps: { '0.0': { done, failed: {} } } }
      const planner = new Planner(epoch(1), jobs.map(job => ({ job, isCancelled: false, progress })), { now: 0, wallTime: 0 })
      for (const { id } of jobs) planner.cancel(id, 1000)
      const sizes: number[] = []
      const write = view.write.bind(view)
      view.write = async transaction => {
        sizes.push(transaction.puts.reduce((sum, { value }) => sum + 4 / 3 * JSON.stringify(value).length, 0))
        return await write(transaction)
      }
      const writer = new ProgressWriter(view, owner, new Map())
      while (planner.unstoredCount > 0) expect(await writer.write(planner)).to.be.above(0)
      expect(Math.max(...sizes)).to.be.below(1_000_000)
      expect(store.rows('progress')).to.have.length(jobs.length)
    })
  })
})
