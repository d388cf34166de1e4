import { CornelgaugeError, epoch, vmName } from '@cornelgauge/model'
import { jobId, Planner, type JobId } from '@cornelgauge/jobs'
import { MemoryRowStore, type MemoryRowStoreView, type RowTransaction, type WriteOutcome } from '@cornelgauge/ports'
import { expect } from 'chai'
import { JobStore } from '../src/job-store.js'
import { PROGRESS_BATCH, REFUSED_PROGRESS_MILLISECONDS } from '../src/limits.js'
import { MonitoredStore } from '../src/monitored-store.js'
import { claimOwnership, NO_OWNER, type OwnerRecord } from '../src/owner-record.js'
import { ProgressWriter } from '../src/progress-writer.js'
import { JOB, STEP } from './sample-job.js'

const { acceptedUnder: _, ...DRAFT } = JOB
const idOf = (number: number): JobId => jobId(String(number).padStart(16, '0'))

// Guards against one row that the store refuses, and with which nothing of any job is stored any more.
describe('a row that the store refuses for good', () => {
  let store: MemoryRowStore
  let view: MemoryRowStoreView
  let owner: OwnerRecord
  let refused: Set<string>
  let writes: number

  beforeEach(async () => {
    store = new MemoryRowStore()
    view = store.view()
    owner = await claimOwnership(view, NO_OWNER, { vm: vmName('vm-a'), address: '10.0.0.1:7000' })
    refused = new Set()
    writes = 0
    const write = async (transaction: RowTransaction): Promise<WriteOutcome> => {
      writes += 1
      if (transaction.puts.some(({ key }) => refused.has(key))) throw new CornelgaugeError('write-refused')
      return store.apply(transaction)
    }
    Object.assign(view, { write })
  })

  describe('of the progress of a job', () => {
    let planner: Planner
    let writer: ProgressWriter
    let now: number

    beforeEach(() => {
      now = 0
      planner = new Planner(epoch(1), Array.from({ length: PROGRESS_BATCH }, (_, number) => ({ job: { ...JOB, id: idOf(number) }, isCancelled: false })), { now: 0, wallTime: 0 })
      for (let number = 0; number < PROGRESS_BATCH; number += 1) planner.cancel(idOf(number), 1000)
      writer = new ProgressWriter(view, owner, new Map(), () => now)
    })

    it('is left out, and the others are stored', async () => {
      refused.add(idOf(7)).add(idOf(30))
      expect(await writer.write(planner)).to.equal(PROGRESS_BATCH - 2)
      expect([...planner.unstoredJobs.keys()]).to.deep.equal([idOf(7), idOf(30)])
      expect(writer.hasNext(planner)).to.equal(false)
      expect(writes).to.be.below(25)
      expect(planner.drainEvents().filter(({ type }) => type === 'progress-refused')).to.deep.equal([idOf(7), idOf(30)].map(job => ({ type: 'progress-refused', job })))
    })

    it('is written again later', async () => {
      refused.add(idOf(7))
      await writer.write(planner)
      refused.clear()
      expect(await writer.write(planner)).to.equal(0)
      now += REFUSED_PROGRESS_MILLISECONDS
      expect(writer.hasNext(planner)).to.equal(true)
      expect(await writer.write(planner)).to.equal(1)
      expect(planner.unstoredCount).to.equal(0)
    })

    it('doesn\'t hide that another VM owns the planner', async () => {
      refused.add(idOf(7))
      await claimOwnership(store.view(), owner, { vm: vmName('vm-b'), address: '10.0.0.2:7000' })
      expect(await writer.write(planner).then(() => 'written', (failure: CornelgaugeError) => failure.code)).to.equal('stale-epoch')
    })
  })

  it('of a job is answered at once, after one attempt', async () => {
    refused.add(DRAFT.id)
    const startedAt = performance.now()
    const code = await new JobStore(view).accept(DRAFT, () => owner, () => {}, startedAt + 60_000).then(() => 'accepted', (failure: CornelgaugeError) => failure.code)
    expect([code, writes]).to.deep.equal(['write-refused', 1])
  })

  // Guards against rows of many times the length of a request, which are encoded and sent again until the deadline.
  it('is known before it is written if a job is longer than a row', async () => {
    const steps = Array.from({ length: 400 }, () => STEP)
    const long = { ...DRAFT, steps }
    const codeOf = async (jobs: JobStore): Promise<string> => await jobs.accept(long, () => owner, () => {}, performance.now() + 60_000).then(() => 'accepted', (failure: CornelgaugeError) => failure.code)
    expect([await codeOf(new JobStore(view)), writes]).to.deep.equal(['write-refused', 0])
    expect([await codeOf(new JobStore(view, () => false, () => {}, 1_000_000)), writes]).to.deep.equal(['accepted', 1])
  })

  it('doesn\'t make the store count as away', async () => {
    refused.add(DRAFT.id)
    const monitored = new MonitoredStore(view)
    for (let attempt = 0; attempt < 10; attempt += 1) await monitored.write({ conditions: [], puts: [{ table: 'jobs', key: DRAFT.id, value: {} }] }).catch(() => {})
    expect(monitored.lastAnswerAge).to.be.below(60_000)
    expect(monitored.isSilent).to.equal(false)
  })
})
