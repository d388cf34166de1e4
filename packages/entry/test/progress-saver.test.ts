import { pause, systemClock } from '@cornelgauge/coordination'
import { epoch, vmName, workspaceName } from '@cornelgauge/model'
import { jobId, Planner, poolName, queueName, type JobId } from '@cornelgauge/jobs'
import { MemoryRowStore, type RowTransaction, type WriteOutcome } from '@cornelgauge/ports'
import { expect } from 'chai'
import { CONCURRENT_PROGRESS_WRITES } from '../src/limits.js'
import { claimOwnership, NO_OWNER } from '../src/owner-record.js'
import { ProgressSaver } from '../src/progress-saver.js'
import { ProgressWriter } from '../src/progress-writer.js'

/** A write that the test lets the store answer. */
interface PendingWrite {
  readonly jobs: readonly string[]
  readonly answer: () => void
  readonly fail: () => void
}

describe('the saver of progress', () => {
  let planner: Planner
  let rows: MemoryRowStore
  let pending: PendingWrite[]
  let saver: ProgressSaver
  let stored: number
  let stopping: AbortController

  /** Cancels a job, so that its progress changes. */
  const change = (name: string): void => {
    const id = jobId(name)
    planner.submit({ id, queue: queueName('bulk'), pool: poolName('pool'), workspace: workspaceName('brno'), specification: 'work', acceptedAt: 0, acceptedUnder: epoch(1), steps: [{ count: 1, need: { processor: 1, memory: 1, accelerators: 1 }, estimateMilliseconds: 0, after: [], savesCheckpoints: false, isGang: false, wantsOneRack: false, allowsCopies: false, isLasting: false, fillsIdleProcessor: false }] })
    planner.cancel(id, 1)
  }
  const settle = async (): Promise<void> => await pause(systemClock, 5)
  const unstored = (): readonly JobId[] => [...planner.unstoredJobs.keys()]

  beforeEach(async () => {
    rows = new MemoryRowStore()
    pending = []
    stored = 0
    stopping = new AbortController()
    const view = rows.view()
    const owner = await claimOwnership(view, NO_OWNER, { vm: vmName('vm-a'), address: '10.0.0.1:7000' })
    const write = async (transaction: RowTransaction): Promise<WriteOutcome> => {
      await new Promise<void>((resolve, reject) => pending.push({ jobs: transaction.puts.map(({ key }) => key), answer: resolve, fail: () => reject(new Error('No answer')) }))
      return rows.apply(transaction)
    }
    planner = new Planner(owner.epoch, [], { now: 0, wallTime: 0 })
    saver = new ProgressSaver({
      planner,
      writer: new ProgressWriter(Object.assign(view, { write }), owner, new Map()),
      tryStoreCall: async call => await call().then(() => true, () => false),
      onStored: () => { stored += 1 },
      onCrash: thrown => { throw thrown },
      signal: stopping.signal
    })
  })

  afterEach(() => stopping.abort())

  // Guards against starts that wait for writes of other jobs.
  it('writes a change while another job\'s write is under way', async () => {
    change('a')
    saver.save()
    change('b')
    saver.save()
    expect(pending.map(({ jobs }) => jobs)).to.deep.equal([['a'], ['b']])
    pending[1]!.answer()
    await settle()
    expect(unstored()).to.deep.equal(['a'])
    expect(stored).to.equal(1)
  })

  it('writes a job again only after its write has ended', async () => {
    change('a')
    saver.save()
    planner.markStored(new Map())
    saver.save()
    expect(pending).to.have.length(1)
    pending[0]!.answer()
    await saver.underWay
    expect(unstored()).to.deep.equal([])
    saver.save()
    expect(pending).to.have.length(1)
  })

  it('makes a limited number of writes at a time, and one of all that waits then', async () => {
    const names = Array.from({ length: CONCURRENT_PROGRESS_WRITES + 2 }, (_, index) => `job-${index}`)
    for (const name of names) {
      change(name)
      saver.save()
    }
    expect(pending).to.have.length(CONCURRENT_PROGRESS_WRITES)
    pending[0]!.answer()
    await settle()
    saver.save()
    expect(pending.at(-1)!.jobs).to.deep.equal(names.slice(CONCURRENT_PROGRESS_WRITES))
  })

  it('makes no further write for a while after a failure', async () => {
    change('a')
    saver.save()
    pending[0]!.fail()
    await settle()
    saver.save()
    expect(pending).to.have.length(1)
    await saver.underWay
    saver.save()
    expect(pending.map(({ jobs }) => jobs)).to.deep.equal([['a'], ['a']])
  })
})
