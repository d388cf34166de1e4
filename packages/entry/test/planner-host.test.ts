import { pause, systemClock } from '@cornelgauge/coordination'
import { CornelgaugeError, vmName, workspaceName } from '@cornelgauge/model'
import { configurationVersion, jobId, MAXIMUM_PLANNED_LOAD, planningLoad, poolName, queueName, runNumber, serverId, taskName, type Configuration, type Job, type ListedEnd, type ServerEntry, type ServerReport, type StartOutcome } from '@cornelgauge/jobs'
import { MemoryRowStore, type MemoryRowStoreView } from '@cornelgauge/ports'
import { expect } from 'chai'
import type { BackendServerCalls } from '../src/backend-server-calls.js'
import { encodeJob } from '../src/job-record.js'
import { JobStore } from '../src/job-store.js'
import { OWNER_CONFIRMATION_LIMIT_MILLISECONDS, RECORDED_PERIOD_MILLISECONDS, START_RECORD_MILLISECONDS } from '../src/limits.js'
import { claimOwnership, NO_OWNER, readOwner } from '../src/owner-record.js'
import { PlannerHost } from '../src/planner-host.js'

const CONFIGURATION: Configuration = {
  version: configurationVersion(1),
  queues: [{ name: queueName('check'), host: 'jobs.example', prefix: '/check/', pool: poolName('pool'), priority: 0, attempts: 2, stretch: 2, latencyMilliseconds: 250, timeoutMilliseconds: 3000, isPublic: true }],
  pools: [{ name: poolName('pool'), maximumConnections: 64, enforcesCapacity: true, isStandby: false }],
  workspaces: [],
  limits: { headerBytes: 16_384, bodyBytes: 262_144, headerMilliseconds: 3000, idleMilliseconds: 15_000 }
}

const SERVER: ServerEntry = {
  id: serverId('server-0'),
  pool: poolName('pool'),
  address: '10.0.0.9:80',
  failureDomain: 'north',
  capacity: { processor: 32_000, memory: 64_000, accelerators: 8 },
  labels: ['r1-0'],
  rack: 'r1-0',
  isDraining: false,
  incarnation: 1
}

const jobAccepted = (epoch: Job['acceptedUnder'], id = '00000000000000a1'): Job => ({
  id: jobId(id),
  queue: queueName('check'),
  pool: poolName('pool'),
  workspace: workspaceName('brno'),
  specification: 'work',
  acceptedAt: Date.now(),
  acceptedUnder: epoch,
  steps: [{ count: 1, need: { processor: 1000, memory: 1000, accelerators: 1 }, estimateMilliseconds: 0, after: [], savesCheckpoints: true, isGang: false, wantsOneRack: false, allowsCopies: false, isLasting: false, fillsIdleProcessor: false }]
})

/** A backend server whose starts a test answers, and which records the leases that polls renew. */
class FakeCalls implements BackendServerCalls {
  /** Times at which a poll was sent, with true if it renewed leases. */
  readonly polls: { readonly at: number, readonly renews: boolean, readonly incarnation: number | undefined }[] = []
  answerStart: (outcome: StartOutcome) => void = () => {}
  hasStarted = false
  onStart: () => void = () => {}
  isSilent = false
  /** Ends that it lists. */
  ended: readonly ListedEnd[] = []
  /** Another backend server answers the polls. */
  isReplaced = false

  async poll (_target: unknown, poll: { readonly incarnation: number | undefined, readonly leaseUntil?: number, readonly waitMilliseconds: number }): Promise<ServerReport> {
    const sentAt = performance.now()
    this.polls.push({ at: sentAt, renews: poll.leaseUntil !== undefined, incarnation: poll.incarnation })
    if (this.isReplaced) throw new CornelgaugeError('server-replaced')
    if (this.isSilent) throw new CornelgaugeError('unavailable')
    await pause(systemClock, Math.max(5, poll.waitMilliseconds))
    return { incarnation: 1, clock: Math.round(sentAt) + 1, running: [], ended: this.ended, hasMoreEnds: false, sentAt, receivedAt: performance.now() }
  }

  start (): Promise<StartOutcome> {
    this.hasStarted = true
    this.onStart()
    return new Promise(resolve => { this.answerStart = resolve })
  }

  async stop (): Promise<'unanswered'> {
    return 'unanswered'
  }

  retainConnections (): void {}

  async close (): Promise<void> {}
}

describe('the host of a planner', () => {
  let calls: FakeCalls
  let host: PlannerHost
  let confirmedAge: number
  let rows: MemoryRowStore
  let events: string[]
  let store: MemoryRowStoreView
  let fenced: Promise<void>

  beforeEach(async () => {
    events = []
    rows = new MemoryRowStore()
    store = rows.view()
    let handleFenced = (): void => {}
    fenced = new Promise(resolve => { handleFenced = resolve })
    const owner = await claimOwnership(store, NO_OWNER, { vm: vmName('vm-a'), address: '10.0.0.1:7000' })
    calls = new FakeCalls()
    confirmedAge = 0
    host = new PlannerHost({ owner, stored: await new JobStore(store).load(), store, readJob: id => new JobStore(store).read(id), servers: calls, advise: undefined, emit: event => { events.push(event) }, confirmedAge: () => confirmedAge, onFenced: () => handleFenced() })
    host.configure(CONFIGURATION)
    host.updateRegistry({ entries: [SERVER], unreadable: 0 })
    host.submit(jobAccepted(owner.epoch))
    while (!calls.hasStarted) await pause(systemClock, 5)
  })

  afterEach(() => host.abandon())

  // Guards against an end that is acknowledged, and lost, since its job waits in the store.
  describe('when a report lists an end of a job that waits in the store', () => {
    const WAITING = '00000000000ffff0'

    it('reads the job before it applies the report', async () => {
      host.abandon()
      const owner = (await readOwner(store))!
      const load = planningLoad(jobAccepted(owner.epoch))
      const ids = Array.from({ length: Math.floor(MAXIMUM_PLANNED_LOAD / load) }, (_, index) => String(index).padStart(16, '0'))
      for (const id of [...ids, WAITING]) await store.write({ conditions: [], puts: [{ table: 'jobs', key: id, value: encodeJob({ ...jobAccepted(owner.epoch, id), acceptedAt: id === WAITING ? 2 : 1 }) }] })
      calls = new FakeCalls()
      calls.ended = [{ position: 1, task: taskName({ job: jobId(WAITING), occurrence: 0, step: 0, index: 0 }), run: runNumber(1_000_001), how: 'done', checkpoint: '' }]
      host = new PlannerHost({ owner, stored: await new JobStore(store).load(), store, readJob: id => new JobStore(store).read(id), servers: calls, advise: undefined, emit: () => {}, confirmedAge: () => 0, onFenced: () => {} })
      expect(host.waitingJobs).to.equal(1)
      host.configure(CONFIGURATION)
      host.updateRegistry({ entries: [SERVER], unreadable: 0 })
      while (host.phaseOf(jobId(WAITING)) !== 'completed') await pause(systemClock, 5)
      expect(host.waitingJobs).to.equal(0)
    })
  })

  describe('when the registry changes', () => {
    const recorded = (): readonly unknown[] => rows.rows('run-servers').flatMap(row => row.value.ids as readonly unknown[])
    const newestVersion = (): number => Math.max(...rows.rows('run-servers').map(row => row.version))

    it('records the backend servers that may have runs', async () => {
      expect(recorded()).to.deep.equal([SERVER.id])
      host.updateRegistry({ entries: [SERVER, { ...SERVER, id: serverId('server-1') }], unreadable: 0 })
      await pause(systemClock, 50)
      expect(recorded()).to.have.members([SERVER.id, 'server-1'])
    })

    it('records nothing if they stay the same', async () => {
      const before = newestVersion()
      for (const processor of [31_000, 30_000]) {
        host.updateRegistry({ entries: [{ ...SERVER, capacity: { ...SERVER.capacity, processor } }], unreadable: 0 })
        await pause(systemClock, 20)
      }
      expect(newestVersion()).to.equal(before)
    })
  })

  describe('when a start is not answered', () => {
    it('polls the backend server at once', async () => {
      const before = calls.polls.length
      calls.answerStart('unanswered')
      await pause(systemClock, 50)
      expect(calls.polls.length).to.equal(before + 1)
    })

    it('neither polls nor renews leases if its ownership is no longer confirmed', async () => {
      const before = calls.polls.length
      confirmedAge = OWNER_CONFIRMATION_LIMIT_MILLISECONDS
      calls.answerStart('unanswered')
      await pause(systemClock, 100)
      expect(calls.polls.slice(before)).to.deep.equal([])
    })
  })

  // Guards against starts that go to an incarnation that has ended, until the poll that waits there reaches its time limit.
  describe('when the registry shows a restart that the backend server has not reported', () => {
    it('polls it at once, whichever incarnation answers', async () => {
      calls.answerStart('started')
      await pause(systemClock, 50)
      const before = calls.polls.length
      for (let reading = 0; reading < 3; reading += 1) host.updateRegistry({ entries: [{ ...SERVER, incarnation: 2 }], unreadable: 0 })
      await pause(systemClock, 100)
      expect(calls.polls.slice(before).map(({ incarnation }) => incarnation)).to.deep.equal([undefined])
    })
  })

  // Guards against tasks that wait for the leases on a backend server whose address another one has.
  describe('when another backend server answers the polls of one with a run', () => {
    it('logs the run as lost, and starts its task on a third one', async () => {
      calls.answerStart('started')
      calls.hasStarted = false
      await pause(systemClock, 50)
      calls.isReplaced = true
      for (const end = performance.now() + 3000; performance.now() < end && !events.includes('run-lost-with-server');) await pause(systemClock, 5)
      expect(events).to.include('run-lost-with-server')
      calls.isReplaced = false
      host.updateRegistry({ entries: [{ ...SERVER, id: serverId('server-1'), address: '10.0.0.9:80' }], unreadable: 0 })
      for (const end = performance.now() + 3000; performance.now() < end && !calls.hasStarted;) await pause(systemClock, 5)
      expect(calls.hasStarted).to.equal(true)
    })
  })

  it('stores the progress of all jobs before it stops', async () => {
    const ids = Array.from({ length: 100 }, (_, index) => `00000000000001${String(index).padStart(2, '0')}`)
    store.fault = 'refusing'
    for (const id of ids) {
      host.submit(jobAccepted(host.epoch, id))
      host.cancel(jobId(id))
    }
    await pause(systemClock, 50)
    store.fault = 'none'
    await host.stop()
    expect(rows.rows('progress').filter(({ key }) => ids.includes(key))).to.have.length(ids.length)
  })

  describe('when a start is decided', () => {
    const submitAnother = (): void => {
      calls.hasStarted = false
      host.submit(jobAccepted(host.epoch, '00000000000000a2'))
    }

    it('sends it once the progress is stored that records where the run may be', async () => {
      let progress: unknown
      calls.onStart = () => { progress = rows.rows('progress').find(({ key }) => key === '00000000000000a2')?.value.text }
      submitAnother()
      while (!calls.hasStarted) await pause(systemClock, 5)
      expect(JSON.parse(progress as string).steps['0.0'].placements).to.deep.equal({ [SERVER.id]: { address: SERVER.address, tasks: [0] } })
    })

    // Guards against starts by an owner that was replaced, beside runs that the next one has found.
    it('sends nothing after another VM has become the owner', async () => {
      const view = rows.view()
      await claimOwnership(view, (await readOwner(view))!, { vm: vmName('vm-b'), address: '10.0.0.2:7000' })
      submitAnother()
      await fenced
      await pause(systemClock, 50)
      expect(calls.hasStarted).to.equal(false)
    })

    it('holds it while the store is away, but not for ever', async () => {
      store.fault = 'refusing'
      submitAnother()
      await pause(systemClock, START_RECORD_MILLISECONDS + 300)
      expect(calls.hasStarted).to.equal(false)
      while (!calls.hasStarted) await pause(systemClock, 50)
    }).timeout(4 * RECORDED_PERIOD_MILLISECONDS)

    // Guards against starts that wait for ever for a store that answers reads and refuses writes.
    it('holds it not for ever while the store refuses only writes', async () => {
      store.write = async () => { throw new CornelgaugeError('overloaded') }
      submitAnother()
      while (!calls.hasStarted) {
        await host.confirmOwnership()
        await pause(systemClock, 200)
      }
    }).timeout(4 * RECORDED_PERIOD_MILLISECONDS)
  })

  // Guards against starts in an evacuated failure domain by an owner that hasn't read the orders.
  it('starts nothing while it isn\'t known which failure domains are evacuated, and nothing in one that is', async () => {
    host.abandon()
    const view = rows.view()
    const owner = await claimOwnership(view, (await readOwner(view))!, { vm: vmName('vm-b'), address: '10.0.0.2:7000' })
    calls = new FakeCalls()
    let areDomainsKnown = false
    host = new PlannerHost({ owner, stored: await new JobStore(view).load(), store: view, readJob: id => new JobStore(view).read(id), servers: calls, advise: undefined, emit: () => {}, confirmedAge: () => 0, areDomainsKnown: () => areDomainsKnown, onFenced: () => {} })
    host.configure(CONFIGURATION)
    host.updateRegistry({ entries: [SERVER], unreadable: 0 })
    host.submit(jobAccepted(owner.epoch, '00000000000000a3'))
    await pause(systemClock, 400)
    expect(calls.hasStarted).to.equal(false)
    host.evacuate(new Set([SERVER.failureDomain]))
    areDomainsKnown = true
    await pause(systemClock, 400)
    expect(calls.hasStarted).to.equal(false)
    host.evacuate(new Set())
    for (const end = performance.now() + 3000; performance.now() < end && !calls.hasStarted;) await pause(systemClock, 5)
    expect(calls.hasStarted).to.equal(true)
  })

  it('writes its first record again until it is stored, also if no backend server answers', async () => {
    host.abandon()
    const view = rows.view()
    const owner = await claimOwnership(view, (await readOwner(view))!, { vm: vmName('vm-b'), address: '10.0.0.2:7000' })
    calls = new FakeCalls()
    calls.isSilent = true
    host = new PlannerHost({ owner, stored: await new JobStore(view).load(), store: view, readJob: id => new JobStore(view).read(id), servers: calls, advise: undefined, emit: () => {}, confirmedAge: () => confirmedAge, onFenced: () => {} })
    host.configure(CONFIGURATION)
    view.fault = 'refusing'
    host.updateRegistry({ entries: [SERVER], unreadable: 0 })
    await pause(systemClock, 200)
    const isWritten = (): boolean => rows.rows('run-servers').every(({ value }) => value.by === owner.epoch)
    expect(isWritten()).to.equal(false)
    view.fault = 'none'
    await pause(systemClock, 400)
    expect(isWritten()).to.equal(true)
  })

  // Guards against starts on a backend server of which the next owner would think that this one hasn't used it.
  describe('when a backend server answers that it has recorded as unreached', () => {
    let view: MemoryRowStoreView
    const unreachedRows = (): number => rows.rows('run-servers').filter(({ value }) => value.unreached !== undefined).length

    beforeEach(async () => {
      host.abandon()
      view = rows.view()
      const owner = await claimOwnership(view, (await readOwner(view))!, { vm: vmName('vm-b'), address: '10.0.0.2:7000' })
      calls = new FakeCalls()
      calls.isSilent = true
      host = new PlannerHost({ owner, stored: await new JobStore(view).load(), store: view, readJob: id => new JobStore(view).read(id), servers: calls, advise: undefined, emit: () => {}, confirmedAge: () => confirmedAge, onFenced: () => {} })
      host.configure(CONFIGURATION)
      host.updateRegistry({ entries: [SERVER], unreadable: 0 })
      host.submit(jobAccepted(owner.epoch))
      expect(unreachedRows()).to.equal(0)
      await pause(systemClock, 100)
      expect(unreachedRows()).to.equal(1)
    })

    it('starts a task there as soon as the record is stored without it', async () => {
      calls.isSilent = false
      await pause(systemClock, 600)
      expect(unreachedRows()).to.equal(0)
      expect(calls.hasStarted).to.equal(true)
    })

    it('polls it no more often than others while the store refuses writes', async () => {
      view.fault = 'refusing'
      calls.isSilent = false
      await pause(systemClock, 500)
      const before = calls.polls.length
      await pause(systemClock, 1500)
      expect(calls.polls.length - before).to.be.within(1, 2)
      expect(calls.hasStarted).to.equal(false)
      view.fault = 'none'
      await pause(systemClock, 400)
      expect(calls.hasStarted).to.equal(true)
    })

    it('starts nothing there while the store doesn\'t answer', async () => {
      view.fault = 'losing-answers'
      calls.isSilent = false
      await pause(systemClock, 1000)
      expect(calls.polls.length).to.be.greaterThan(1)
      expect(calls.hasStarted).to.equal(false)
      view.fault = 'none'
      await pause(systemClock, 800)
      expect(calls.hasStarted).to.equal(true)
    })
  })
})
