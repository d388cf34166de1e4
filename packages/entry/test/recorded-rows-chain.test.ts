import { jobId, Planner, poolName, queueName, serverId, type Job, type ListedRun, type ServerEntry, type ServerId, type StoredJob } from '@cornelgauge/jobs'
import { epoch, vmName, workspaceName } from '@cornelgauge/model'
import { MemoryRowStore, type MemoryRowStoreView } from '@cornelgauge/ports'
import { expect } from 'chai'
import { claimOwnership, NO_OWNER, readOwner } from '../src/owner-record.js'
import { earlierRunsOf, readServers, ServerRecord } from '../src/server-record.js'
import { ServerRecorder } from '../src/server-recorder.js'
import { claimOfEarlierRelease } from './earlier-release.js'
import { PLAYED_CONFIGURATION } from './played-owner.js'

const SELF = { vm: vmName('vm-a'), address: '10.0.0.1:7000' }
const STEP_MILLISECONDS = 50
const START_TIME = 1_700_000_000_000
const STORE_TIME = 5_000_000
/** Upper limit of the time from the claim of an owner until no lease of an earlier one is left. */
const LEASES_OVER_MILLISECONDS = 9200

const entryOf = (index: number): ServerEntry => ({ id: serverId(`server-${index}`), pool: poolName('pool'), address: `10.0.0.${index}:80`, failureDomain: 'north', capacity: { processor: 4000, memory: 64_000, accelerators: 4 }, labels: [`r1-${index}`], rack: `r1-${index}`, isDraining: false, incarnation: 1 })

const jobUnder = (number: number): Job => ({
  id: jobId(`under-${number}`),
  queue: queueName('bulk'),
  pool: poolName('pool'),
  workspace: workspaceName('brno'),
  specification: 'work',
  acceptedAt: START_TIME,
  acceptedUnder: epoch(number),
  steps: [{ count: 1, need: { processor: 1000, memory: 1000, accelerators: 1 }, estimateMilliseconds: 0, after: [], savesCheckpoints: true, isGang: false, wantsOneRack: false, allowsCopies: false, isLasting: false, fillsIdleProcessor: false }]
})

/** Owners that follow each other, each with a planner and its recorder, on a clock of its own. */
class OwnerChain {
  now = 0
  readonly #rows = new MemoryRowStore(() => STORE_TIME + this.now)
  view: MemoryRowStoreView = this.#rows.view()
  planner!: Planner
  recorder!: ServerRecorder
  entries: readonly ServerEntry[] = [entryOf(0), entryOf(1)]
  /** Backend servers that answer no polls. */
  readonly silent = new Set<ServerId>()
  readonly started: string[] = []
  readonly #running = new Map<ServerId, ListedRun[]>()

  async takeOver (stored: readonly Job[]): Promise<void> {
    this.view = this.#rows.view()
    const owner = await claimOwnership(this.view, await readOwner(this.view) ?? NO_OWNER, SELF)
    const servers = { ...await readServers(this.view), clock: { milliseconds: STORE_TIME + this.now, sentAt: this.now, receivedAt: this.now } }
    this.planner = new Planner(owner.epoch, stored.map((job): StoredJob => ({ job, isCancelled: false })), { now: this.now, wallTime: START_TIME + this.now })
    this.planner.inheritServers(servers.ids, earlierRunsOf(servers, owner))
    this.planner.configure(PLAYED_CONFIGURATION)
    this.recorder = new ServerRecorder({
      planner: this.planner,
      record: new ServerRecord(this.view, owner, servers),
      tryStoreCall: async call => await call().then(() => true, () => false),
      onReleased: () => {},
      signal: new AbortController().signal,
      now: () => this.now
    })
    this.planner.updateServers(this.entries, this.now)
  }

  /** Lets the owner work; it writes its record before each poll. */
  async work (milliseconds: number): Promise<void> {
    for (const end = this.now + milliseconds; this.now < end; this.now += STEP_MILLISECONDS) {
      await this.recorder.update()
      this.poll()
      this.decide()
    }
  }

  decide (): void {
    for (const command of this.planner.decide({ now: this.now, wallTime: START_TIME + this.now })) {
      if (command.type !== 'start') continue
      this.started.push(command.task)
      const { task, run } = command
      this.#running.set(command.server, [...this.#running.get(command.server) ?? [], { task, run, checkpoint: '', percent: 0 }])
      this.planner.applyStartOutcome(command.server, command.task, command.run, 'started', this.now)
    }
  }

  #pollServer (id: ServerId): void {
    if (this.silent.has(id)) this.planner.recordMissedPoll(id, 1)
    else this.planner.applyReport(id, { incarnation: 1, clock: 100_000 + this.now, running: this.#running.get(id) ?? [], ended: [], hasMoreEnds: false, sentAt: this.now, receivedAt: this.now + 2 }, START_TIME + this.now)
  }

  /** Polls each backend server once. */
  poll (): void {
    for (const id of this.planner.servers) this.#pollServer(id)
  }

  /** Stored ends of the waits for a backend server that isn't reached, on the store's clock. */
  get storedEnds (): readonly number[] {
    return this.#rows.rows('run-servers').flatMap(({ value }) => ((value.unreached ?? { bounds: [] }) as { readonly bounds: readonly (readonly [number])[] }).bounds.map(([until]) => until))
  }
}

// Guards against waits that each owner begins anew because the one before didn't live long enough to store what it knew.
describe('owners that follow each other soon', () => {
  const LOST = serverId('server-1')
  let chain: OwnerChain
  let lostAt: number

  beforeEach(async () => {
    chain = new OwnerChain()
    await chain.takeOver([])
    await chain.work(1000)
    chain.silent.add(LOST)
    lostAt = chain.now
  })

  it('keep the end of the wait for a backend server that none of them reaches, if each is replaced after 500 ms', async () => {
    await chain.takeOver([jobUnder(1)])
    await chain.work(500)
    const [until] = chain.storedEnds
    expect(until).to.be.within(STORE_TIME + lostAt + 9000, STORE_TIME + lostAt + LEASES_OVER_MILLISECONDS)
    for (let number = 3; number <= 11; number += 1) {
      await chain.takeOver([jobUnder(1)])
      await chain.work(500)
      expect(chain.storedEnds).to.deep.equal([until])
    }
    await chain.takeOver([jobUnder(1)])
    await chain.work(until! - STORE_TIME - chain.now)
    expect(chain.started).to.deep.equal([])
    await chain.work(LEASES_OVER_MILLISECONDS + lostAt - chain.now)
    expect(chain.started).to.deep.equal(['under-1.0.0.0'])
  })

  it('start jobs at once that were accepted after the last owner that may have used it, also beside owners that ended before their first write', async () => {
    await chain.takeOver([])
    await chain.takeOver([])
    await chain.takeOver([jobUnder(1), jobUnder(2), jobUnder(3)])
    await chain.work(300)
    expect(chain.started).to.have.members(['under-2.0.0.0', 'under-3.0.0.0'])
  })

  it('wait with all jobs of earlier owners after an owner of an earlier release', async () => {
    await claimOfEarlierRelease(chain.view)
    await chain.takeOver([jobUnder(1), jobUnder(2)])
    await chain.work(300)
    expect(chain.started).to.deep.equal([])
    chain.now += 500
    await chain.takeOver([jobUnder(1), jobUnder(2), jobUnder(3)])
    await chain.work(300)
    expect(chain.started).to.deep.equal(['under-3.0.0.0'])
  })
})

// Guards against a start on a backend server of which the next owner thinks that only earlier owners have used it.
describe('an owner whose first record isn\'t stored', () => {
  let chain: OwnerChain

  beforeEach(async () => {
    chain = new OwnerChain()
    await chain.takeOver([])
    await chain.work(500)
    await chain.takeOver([])
    chain.planner.submit(jobUnder(2))
  })

  const held = (): readonly ServerId[] => chain.planner.servers.filter(id => chain.planner.isWaitingForRecord(id))

  it('holds all backend servers, also those that are registered meanwhile', async () => {
    chain.poll()
    expect(held()).to.have.members(['server-0', 'server-1'])
    chain.view.fault = 'down'
    await chain.work(500)
    expect(held()).to.have.members(['server-0', 'server-1'])
    chain.planner.updateServers([...chain.entries, entryOf(2)], chain.now)
    chain.poll()
    chain.decide()
    expect(held()).to.have.members(['server-0', 'server-1', 'server-2'])
    await chain.work(500)
    expect(held()).to.have.members(['server-0', 'server-1', 'server-2'])
    expect(chain.started).to.deep.equal([])
  })

  it('uses those that have answered before it was sent once it is stored', async () => {
    chain.poll()
    await chain.recorder.update()
    expect(held()).to.deep.equal([])
    await chain.work(100)
    expect(chain.started).to.deep.equal(['under-2.0.0.0'])
  })

  it('uses none that has answered only after the write was sent', async () => {
    await chain.recorder.update()
    chain.poll()
    chain.decide()
    expect(held()).to.have.members(['server-0', 'server-1'])
    expect(chain.started).to.deep.equal([])
    await chain.recorder.update()
    expect(held()).to.deep.equal([])
    chain.decide()
    expect(chain.started).to.deep.equal(['under-2.0.0.0'])
  })

  for (const fault of ['losing-answers', 'refusing'] as const) {
    it(`holds all while the store is ${fault}, and uses them soon afterwards`, async () => {
      chain.view.fault = fault
      await chain.work(500)
      expect(held()).to.have.members(['server-0', 'server-1'])
      chain.view.fault = 'none'
      await chain.work(200)
      expect(held()).to.deep.equal([])
      expect(chain.started).to.deep.equal(['under-2.0.0.0'])
    })
  }

  it('uses a new backend server that has answered after its first record without another write', async () => {
    await chain.work(200)
    chain.planner.updateServers([...chain.entries, entryOf(2)], chain.now)
    chain.poll()
    expect(held()).to.deep.equal([])
  })
})
