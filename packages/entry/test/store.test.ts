import { CornelgaugeError, epoch, vmName } from '@cornelgauge/model'
import { jobId, Planner, RETENTION_MILLISECONDS } from '@cornelgauge/jobs'
import { MemoryRowStore, type MemoryRowStoreView } from '@cornelgauge/ports'
import { expect } from 'chai'
import { CancellationLimit } from '../src/cancellation-limit.js'
import { UNKNOWN_CANCELLATIONS } from '../src/limits.js'
import { MonitoredStore } from '../src/monitored-store.js'
import { JobStore } from '../src/job-store.js'
import { claimOwnership, NO_OWNER, type OwnerRecord } from '../src/owner-record.js'
import { ProgressWriter } from '../src/progress-writer.js'
import { RetiredJobs } from '../src/retired-jobs.js'
import { JOB } from './sample-job.js'

const { acceptedUnder: _acceptedUnder, ...DRAFT } = JOB
const { id: ID } = DRAFT
const SELF = { vm: vmName('vm-a'), address: '10.0.0.1:7000' }
const OTHER = { vm: vmName('vm-b'), address: '10.0.0.2:7000' }

const codeOf = async (work: Promise<unknown>): Promise<string> => await work.then(() => 'none', (failure: CornelgaugeError) => failure.code)
const soon = (): number => performance.now() + 300

describe('rows of the entry VMs in the store', () => {
  let store: MemoryRowStore
  let view: MemoryRowStoreView
  let owner: OwnerRecord

  beforeEach(async () => {
    store = new MemoryRowStore()
    view = store.view()
    owner = await claimOwnership(view, NO_OWNER, SELF)
  })

  describe('ownership', () => {
    it('is won by exactly one of two VMs that claim at the same time', async () => {
      const claims = await Promise.all([claimOwnership(view, owner, SELF), claimOwnership(store.view(), owner, OTHER)])
      expect(new Set(claims.map(claim => claim.claim))).to.have.length(1)
      expect(claims[0]!.epoch).to.equal(2)
    })

    it('is determined by reading the row back if the answer to a claim was lost', async () => {
      view.fault = 'losing-answers'
      const claimed = await claimOwnership(view, owner, OTHER)
      expect(claimed).to.include({ vm: OTHER.vm, epoch: 2 })
    })
  })

  describe('the age of the store\'s last answer', () => {
    it('stays low while the only calls are requests for changes that return none', async () => {
      const monitored = new MonitoredStore(view)
      const { version } = store.snapshot('jobs')
      let highest = 0
      const watch = setInterval(() => { highest = Math.max(highest, Number.isFinite(monitored.lastAnswerAge) ? monitored.lastAnswerAge : 0) }, 10)
      for (let time = 0; time < 3; time += 1) await monitored.changes('jobs', version, 300)
      clearInterval(watch)
      expect(highest).to.be.below(450)
    })
  })

  describe('an accepted job', () => {
    const accept = (known: OwnerRecord, onOwner: (owner: OwnerRecord) => void = () => {}): ReturnType<JobStore['accept']> =>
      new JobStore(view).accept(DRAFT, () => known, onOwner, soon())

    it('carries the epoch of its owner', async () => {
      expect((await accept(owner)).acceptedUnder).to.equal(1)
      expect(store.rows('jobs')[0]!.value.acceptedUnder).to.equal(1)
    })

    it('keeps the terms of its queue', async () => {
      const terms = { priority: 1, attempts: 4, stretch: 3, latencyMilliseconds: 250, advice: { decisionMilliseconds: 20, perServerMilliseconds: 5, validMilliseconds: 3000 } }
      await new JobStore(view).accept({ ...DRAFT, terms }, () => owner, () => {}, soon())
      expect((await new JobStore(view).load()).jobs[0]!.job.terms).to.deep.equal(terms)
    })

    it('is stored under the newer owner if the known one has been replaced', async () => {
      const newer = await claimOwnership(view, owner, OTHER)
      let known = owner
      const job = await new JobStore(view).accept(DRAFT, () => known, learned => { known = learned }, soon())
      expect(job.acceptedUnder).to.equal(newer.epoch)
    })

    it('stays unchanged if it is submitted again', async () => {
      await accept(owner)
      await new JobStore(view).accept({ ...DRAFT, specification: 'other' }, () => owner, () => {}, soon())
      expect(store.rows('jobs')[0]!.value.specification).to.equal('work')
    })

    it('is returned as it is stored if it is submitted again, so that the owner isn\'t notified of another one', async () => {
      const first = await accept(owner)
      const newer = await claimOwnership(view, owner, OTHER)
      const again = { ...DRAFT, specification: 'other', acceptedAt: DRAFT.acceptedAt + 1000 }
      expect(await new JobStore(view).accept(again, () => newer, () => {}, soon())).to.deep.equal(first)
    })

    it('is returned as it is stored if only a read shows that it exists', async () => {
      const first = await accept(owner)
      const write = view.write.bind(view)
      let attempts = 0
      view.write = async transaction => {
        attempts += 1
        if (attempts === 1) throw new CornelgaugeError('timeout')
        return await write(transaction)
      }
      const again = { ...DRAFT, acceptedAt: DRAFT.acceptedAt + 1000 }
      expect(await new JobStore(view).accept(again, () => owner, () => {}, performance.now() + 5000)).to.deep.equal(first)
    })

    it('is reported as not stored only if every attempt was refused', async () => {
      view.fault = 'refusing'
      expect(await codeOf(accept(owner))).to.equal('overloaded')
      view.fault = 'down'
      expect(await codeOf(accept(owner))).to.equal('outcome-unknown')
    })
  })

  // Guards against starting a job after the cancellation of its id was answered with 410.
  describe('the cancellation of an id without a job', () => {
    const accept = (): ReturnType<JobStore['accept']> => new JobStore(view).accept(DRAFT, () => owner, () => {}, soon())
    const cancelUnknown = (): Promise<boolean> => new JobStore(view).cancelUnknown(ID, soon())

    it('keeps a hand-in without an answer from being carried out later', async () => {
      const write = view.write.bind(view)
      let carryOut = async (): Promise<unknown> => undefined
      view.write = async transaction => {
        carryOut = () => write(transaction)
        throw new CornelgaugeError('timeout')
      }
      expect(await codeOf(accept())).to.equal('outcome-unknown')
      view.write = write
      expect(await cancelUnknown()).to.equal(false)
      await carryOut()
      expect(store.rows('jobs')).to.deep.equal([])
    })

    it('keeps the id from being accepted, also by attempts of a hand-in that is under way', async () => {
      expect(await cancelUnknown()).to.equal(false)
      expect(await codeOf(accept())).to.equal('id-cancelled')
      expect(store.rows('jobs')).to.deep.equal([])
    })

    it('is stored once, however often it is repeated', async () => {
      await cancelUnknown()
      expect(await cancelUnknown()).to.equal(false)
      expect(store.rows('cancels')).to.have.length(1)
    })

    it('cancels the job if one has been accepted meanwhile', async () => {
      await accept()
      expect(await cancelUnknown()).to.equal(true)
      expect(await new JobStore(view).phaseOf(ID)).to.equal('canceled')
    })

    it('doesn\'t keep a job from being handed in again that was accepted before it', async () => {
      const first = await accept()
      await cancelUnknown()
      expect(await accept()).to.deep.equal(first)
    })

    it('has no effect on a job accepted since if it is carried out late itself', async () => {
      const write = view.write.bind(view)
      let carryOut = async (): Promise<unknown> => undefined
      view.write = async transaction => {
        carryOut = () => write(transaction)
        throw new CornelgaugeError('timeout')
      }
      expect(await codeOf(cancelUnknown())).to.equal('outcome-unknown')
      view.write = write
      await accept()
      await carryOut()
      expect(await new JobStore(view).phaseOf(ID)).to.equal('queued')
    })

    it('is loaded by the next owner', async () => {
      await cancelUnknown()
      expect((await new JobStore(view).load()).earlyCancellations).to.deep.equal([ID])
    })
  })

  describe('cancellations of ids without jobs', () => {
    const ids = Array.from({ length: 100 }, (_, index) => jobId(index.toString(16).padStart(16, '0')))
    let planner: Planner
    let retired: RetiredJobs

    beforeEach(async () => {
      for (const id of ids) await new JobStore(view).cancelUnknown(id, soon())
      planner = new Planner(epoch(1), [], { now: 0, wallTime: 0 })
      for (const id of ids) planner.cancel(id, 0)
      retired = new RetiredJobs(planner, new ProgressWriter(view, owner, new Map()))
      await retired.deleteCancellations(0)
    })

    it('stay while the retention time lasts', async () => {
      await retired.deleteCancellations(RETENTION_MILLISECONDS)
      expect(store.rows('cancels')).to.have.length(ids.length)
    })

    it('are deleted after it, so that the ids can be used again', async () => {
      await retired.deleteCancellations(RETENTION_MILLISECONDS + 1)
      expect(store.rows('cancels')).to.deep.equal([])
    })

    it('are deleted after it though a job has been accepted under one of the ids', async () => {
      await view.write({ conditions: [], puts: [{ table: 'jobs', key: ids[0]!, value: {} }] })
      await retired.deleteCancellations(RETENTION_MILLISECONDS + 1)
      expect(store.rows('cancels').map(row => row.key)).to.deep.equal([ids[0]])
    })

    it('are deleted by a later call after the store has failed', async () => {
      view.fault = 'down'
      expect(await codeOf(retired.deleteCancellations(RETENTION_MILLISECONDS + 1))).to.equal('unavailable')
      view.fault = 'none'
      await retired.deleteCancellations(RETENTION_MILLISECONDS + 2)
      expect(store.rows('cancels')).to.deep.equal([])
    })

    it('are refused at a VM that has stored too many', () => {
      const limit = new CancellationLimit()
      for (let count = 0; count < UNKNOWN_CANCELLATIONS; count += 1) limit.admit(jobId(`id-${count}`), count)
      expect(() => limit.admit(ID, 1000)).to.throw(CornelgaugeError).with.property('code', 'overloaded')
      limit.admit(ID, RETENTION_MILLISECONDS)
    })

    it('count once, however often the same one is repeated', () => {
      const limit = new CancellationLimit()
      for (let count = 0; count <= UNKNOWN_CANCELLATIONS; count += 1) limit.admit(ID, count)
      limit.admit(jobId('another'), 1000)
    })
  })

  describe('progress', () => {
    const planner = (): Planner => {
      const planner = new Planner(epoch(1), [{ job: { ...DRAFT, acceptedUnder: epoch(1) }, isCancelled: false }], { now: 0, wallTime: 0 })
      planner.cancel(ID, 1000)
      return planner
    }

    it('is loaded by the next owner', async () => {
      await new JobStore(view).accept(DRAFT, () => owner, () => {}, soon())
      const current = planner()
      await new ProgressWriter(view, owner, new Map()).write(current)
      expect(current.unstoredJobs.size).to.equal(0)
      const loaded = await new JobStore(view).load()
      expect(loaded.jobs[0]!.progress?.phase).to.equal('canceled')
      expect(await new JobStore(view).phaseOf(ID)).to.equal('canceled')
    })

    it('is not written by an owner that has been replaced', async () => {
      await claimOwnership(view, owner, OTHER)
      expect(await codeOf(new ProgressWriter(view, owner, new Map()).write(planner()))).to.equal('stale-epoch')
      expect(store.rows('progress')).to.have.length(0)
    })

    it('is written after a write whose answer was lost', async () => {
      const writer = new ProgressWriter(view, owner, new Map())
      const current = planner()
      view.fault = 'losing-answers'
      expect(await codeOf(writer.write(current))).to.equal('unavailable')
      view.fault = 'none'
      await writer.write(current)
      expect(current.unstoredJobs.size).to.equal(0)
    })
  })
})
