import { CornelgaugeError, vmName } from '@cornelgauge/model'
import { jobId, type Job } from '@cornelgauge/jobs'
import { MemoryRowStore, type MemoryRowStoreView } from '@cornelgauge/ports'
import { expect } from 'chai'
import { JobStore } from '../src/job-store.js'
import { STORE_AWAY_FAILURES, UNSETTLED_WRITE_MILLISECONDS, UNSETTLED_WRITES } from '../src/limits.js'
import { MonitoredStore } from '../src/monitored-store.js'
import { claimOwnership, NO_OWNER, type OwnerRecord } from '../src/owner-record.js'
import type { WriteRelay } from '../src/settled-write.js'
import { TableFollower } from '../src/table-follower.js'
import { UnsettledWrites } from '../src/unsettled-writes.js'
import { Deployment } from './deployment.js'
import { JOB } from './sample-job.js'

const { acceptedUnder: _, ...DRAFT } = JOB
const DEADLINE_MILLISECONDS = 2850

const reset = (): CornelgaugeError => new CornelgaugeError('unavailable', { members: { sent: true } })
const unreached = (): CornelgaugeError => new CornelgaugeError('unavailable', { members: { sent: false } })

// Guards against callers who can't hand a job in since a write was given up though its outcome could still be settled.
describe('a write while the store is away', () => {
  let store: MemoryRowStore
  let view: MemoryRowStoreView
  let owner: OwnerRecord
  let isAway: boolean
  let jobs: JobStore
  let relayed: number
  let prolonged: object[]

  const accept = async (relay?: WriteRelay<Job>, milliseconds = DEADLINE_MILLISECONDS): Promise<string> => {
    try {
      await jobs.accept(DRAFT, () => owner, () => {}, performance.now() + milliseconds, relay)
      return 'accepted'
    } catch (thrown) {
      return (thrown as CornelgaugeError).code
    }
  }
  const cancel = async (): Promise<string> => await jobs.cancel(DRAFT.id, performance.now() + DEADLINE_MILLISECONDS).then(() => 'stored', (failure: CornelgaugeError) => failure.code)
  /** Fails the writes of the view: `isCarriedOut` says whether the store has them nevertheless. */
  const failWrites = (failure: () => CornelgaugeError, isCarriedOut = false): void => {
    view.write = async transaction => {
      view.calls.write += 1
      if (isCarriedOut) store.apply(transaction)
      throw failure()
    }
  }
  const neighbour = (answer: () => Promise<void> = async () => {}): WriteRelay<Job> => ({
    isAvailable: () => true,
    call: async () => {
      relayed += 1
      await answer()
      return await new JobStore(store.view()).accept(DRAFT, () => owner, () => {}, performance.now() + DEADLINE_MILLISECONDS)
    }
  })

  beforeEach(async () => {
    store = new MemoryRowStore()
    view = store.view()
    owner = await claimOwnership(view, NO_OWNER, { vm: vmName('vm-b'), address: '10.0.0.2:7000' })
    view.calls.write = 0
    isAway = false
    relayed = 0
    prolonged = []
    jobs = new JobStore(view, () => isAway, (_event, facts) => {
      const { milliseconds: _time, ...details } = (facts?.details ?? {}) as Record<string, unknown>
      prolonged.push(details)
    })
  })

  it('isn\'t reported to the log if its first attempt settles it', async () => {
    expect(await accept()).to.equal('accepted')
    expect(prolonged).to.deep.equal([])
  })

  describe('of which nothing was carried out', () => {
    it('isn\'t begun, and is refused at once', async () => {
      isAway = true
      expect(await accept()).to.equal('overloaded')
      expect(await cancel()).to.equal('overloaded')
      expect(view.calls.write).to.equal(0)
      const refusal = { job: JOB.id, attempts: 0, relays: 0, end: 'overloaded' }
      expect(prolonged).to.deep.equal([{ ...refusal, table: 'jobs' }, { ...refusal, table: 'cancels' }])
    })

    it('is refused, and not left unknown, if its connections were never opened', async () => {
      failWrites(unreached)
      expect(await accept()).to.equal('overloaded')
    })

    it('is carried out by another VM that reaches the store', async () => {
      isAway = true
      expect(await accept(neighbour())).to.equal('accepted')
      expect(view.calls.write).to.equal(0)
      expect(prolonged).to.deep.equal([{ job: JOB.id, table: 'jobs', attempts: 0, relays: 1, end: 'settled' }])
    })

    it('is refused if that VM can\'t carry it out either', async () => {
      isAway = true
      expect(await accept(neighbour(async () => { throw unreached() }))).to.equal('overloaded')
      expect(await accept(neighbour(async () => { throw new CornelgaugeError('overloaded') }))).to.equal('overloaded')
      expect(relayed).to.equal(2)
    })

    it('is left unknown if that VM was called and didn\'t answer', async () => {
      isAway = true
      view.fault = 'down'
      expect(await accept(neighbour(async () => { throw new CornelgaugeError('timeout') }), 300)).to.equal('outcome-unknown')
    })
  })

  describe('that may have been carried out', () => {
    it('is settled once the store is back, if that is before the deadline', async () => {
      const { read, write } = view
      failWrites(() => { isAway = true; return reset() })
      view.read = async () => { throw reset() }
      setTimeout(() => {
        isAway = false
        Object.assign(view, { read, write })
      }, 400)
      expect(await accept()).to.equal('accepted')
      expect(store.rows('jobs')).to.have.length(1)
    })

    it('is reported by the deadline, also during an attempt that gets no answer', async () => {
      view.write = () => new Promise(() => {})
      const started = performance.now()
      expect(await accept(undefined, 200)).to.equal('outcome-unknown')
      expect(performance.now() - started).to.be.at.least(199)
    })

    it('is confirmed by a read if it was', async () => {
      failWrites(reset, true)
      expect(await accept()).to.equal('accepted')
      expect(view.calls.write).to.equal(1)
    })

    it('is settled by another VM without waiting for the store', async () => {
      failWrites(() => { isAway = true; return reset() }, true)
      view.read = async () => { throw reset() }
      expect(await accept(neighbour())).to.equal('accepted')
      expect(relayed).to.equal(1)
      expect(store.rows('jobs')).to.have.length(1)
    })

    it('is never refused afterwards, as it may still be carried out', async () => {
      failWrites(reset)
      view.read = async () => { throw reset() }
      expect(await accept(undefined, 300)).to.equal('outcome-unknown')
      isAway = true
      expect(await accept(undefined, 300)).to.equal('outcome-unknown')
    })
  })

  describe('whose outcome was left unknown', () => {
    it('is remembered as long as it may still be carried out', () => {
      let now = 0
      const unsettled = new UnsettledWrites(() => now)
      unsettled.add('jobs', JOB.id)
      now = UNSETTLED_WRITE_MILLISECONDS
      expect(unsettled.has('jobs', JOB.id)).to.equal(true)
      expect(unsettled.has('cancels', JOB.id)).to.equal(false)
      now += 1
      expect(unsettled.has('jobs', JOB.id)).to.equal(false)
    })

    it('takes a bounded number of entries', () => {
      const unsettled = new UnsettledWrites(() => 0)
      for (let index = 0; index <= UNSETTLED_WRITES; index += 1) unsettled.add('jobs', jobId(`${index}`))
      expect(unsettled.has('jobs', jobId('0'))).to.equal(false)
      expect(unsettled.has('jobs', jobId(`${UNSETTLED_WRITES}`))).to.equal(true)
    })
  })
})

describe('what a VM knows of the store', () => {
  it('is that it is away after some failures without an answer in between, and back with the first answer', async () => {
    const view = new MemoryRowStore().view()
    const monitored = new MonitoredStore(view)
    await monitored.read('jobs', 'a')
    view.fault = 'down'
    for (let count = 0; count < STORE_AWAY_FAILURES; count += 1) await monitored.read('jobs', 'a').catch(() => {})
    expect(monitored.isAway).to.equal(false)
    await new Promise(resolve => setTimeout(resolve, 350))
    expect(monitored.isAway).to.equal(true)
    expect(monitored.isSilent).to.equal(false)
    view.fault = 'none'
    await monitored.read('jobs', 'a')
    expect(monitored.isAway).to.equal(false)
  })

  it('is renewed by an answer that isn\'t held open after a failure', async () => {
    const view = new MemoryRowStore().view()
    const waits: number[] = []
    const stopping = new AbortController()
    view.changes = async (_table, _after, wait) => {
      waits.push(wait)
      if (waits.length === 1) throw reset()
      if (waits.length === 3) stopping.abort()
      return { changes: [], version: 0 }
    }
    await new TableFollower(view, { table: 'jobs', initialSnapshot: { rows: [], version: 0 }, onRows: () => {}, onFailure: () => {} }).run(stopping.signal)
    expect(waits[0]).to.be.above(0)
    expect(waits[1]).to.equal(0)
    expect(waits[2]).to.equal(waits[0])
  })

  it('is passed on by the owner, so that no VM relays a job to one that can\'t store it', async () => {
    const deployment = new Deployment([4, 1, 1])
    await deployment.start()
    await deployment.clock.advance(2000)
    const ownerVm = deployment.vms.find(vm => vm.leadership.isOwner)!
    const follower = deployment.vms.find(vm => vm !== ownerVm)!
    expect(follower.leadership.relayPeer?.vm).to.equal(ownerVm.member.vm)
    for (const vm of deployment.vms) vm.storeAge = 5000
    await deployment.clock.advance(500)
    expect(deployment.vms.map(vm => vm.leadership.relayPeer)).to.deep.equal([undefined, undefined, undefined])
    await deployment.stop()
  })
})
