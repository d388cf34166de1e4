import { epoch } from '@cornelgauge/model'
import { expect } from 'chai'
import { Planner, serverId, type EarlierRuns, type PlannerEvent, type ServerId, type StoredJob } from '../src/index.js'
import { CONFIGURATION, FakeServer, job, step, World } from './world.js'

/** Upper limit of the time from the claim of a new owner until no lease of an earlier one is left. */
const LEASES_OVER_MILLISECONDS = 9200
const GONE = serverId('gone')

const storedUnder = (...epochs: readonly number[]): readonly StoredJob[] => epochs.map(number => ({ job: job(`under-${number}`, { queue: 'urgent', acceptedUnder: epoch(number) }), isCancelled: false }))

// Guards against waits for backend servers that are gone which each owner begins anew.
describe('owners that follow each other', () => {
  let world: World
  let ids: ReadonlySet<ServerId>
  let bounds: ReadonlyMap<ServerId, EarlierRuns>
  let events: PlannerEvent[]

  /** Replaces the owner. The next one knows what the last has recorded, unless it is of an earlier release. */
  const takeOver = (number: number, stored: readonly StoredJob[], isOlderRelease = false): void => {
    world.planner = new Planner(epoch(number), stored, { now: world.now, wallTime: world.wallTime })
    world.planner.inheritServers(ids, isOlderRelease ? new Map() : bounds)
    world.planner.configure(CONFIGURATION)
    world.listServers()
  }

  /** Lets an owner work, and notes what it has recorded at the end. */
  const work = (milliseconds: number): void => {
    for (const end = world.now + milliseconds; world.now < end;) {
      world.now += 80
      world.settle(1)
      events.push(...world.planner.drainEvents())
    }
    ids = world.planner.serversToRecover(world.now)
    bounds = world.planner.unreachedServers(ids)
  }

  const started = (): readonly string[] => world.starts.map(({ task }) => task)

  beforeEach(() => {
    world = new World(2)
    world.settle()
    ids = new Set([GONE, ...world.planner.serversToRecover(world.now)])
    bounds = new Map()
    events = []
  })

  it('start jobs of earlier owners once the leases have expired since the first of them didn\'t find a backend server', () => {
    const stored = storedUnder(1)
    const firstClaimAt = world.now
    for (let number = 2; world.now < firstClaimAt + LEASES_OVER_MILLISECONDS; number += 1) {
      expect(started()).to.deep.equal([])
      takeOver(number, stored)
      work(Math.min(4000, firstClaimAt + LEASES_OVER_MILLISECONDS - world.now))
    }
    expect(started()).to.deep.equal(['under-1.0.0.0'])
  })

  it('start a job at once that was accepted after a backend server was last in use', () => {
    takeOver(2, storedUnder(1))
    work(4000)
    takeOver(3, storedUnder(1, 2))
    work(200)
    expect(started()).to.deep.equal(['under-2.0.0.0'])
  })

  it('wait for all leases if the last owner has stored nothing', () => {
    takeOver(2, storedUnder(1))
    work(4000)
    takeOver(3, storedUnder(1, 2), true)
    work(8900)
    expect(started()).to.deep.equal([])
    work(400)
    expect(started()).to.have.members(['under-1.0.0.0', 'under-2.0.0.0'])
  })

  it('don\'t pass on a backend server as unreached that has answered', () => {
    takeOver(2, storedUnder(1))
    work(2000)
    expect([...bounds.keys()]).to.deep.equal([GONE])
    world.planner.updateServers([...world.entries, { ...world.entries[0]!, id: GONE, address: '10.0.0.99:80' }], world.now)
    world.planner.applyReport(GONE, { incarnation: 1, clock: 100_000 + world.now, running: [], ended: [], hasMoreEnds: false, sentAt: world.now, receivedAt: world.now + 1 }, world.wallTime)
    work(200)
    expect([...bounds.keys()]).to.deep.equal([])
  })

  it('pass on each backend server as unreached from their start until it has answered', () => {
    takeOver(2, storedUnder(1))
    work(0)
    expect([...bounds.keys()]).to.have.members([GONE, ...world.entries.map(({ id }) => id)])
    work(100)
    expect([...bounds.keys()]).to.deep.equal([GONE])
  })

  it('log for how many backend servers a job waits, for which, and for how long', () => {
    const claimedAt = world.wallTime
    takeOver(2, storedUnder(1))
    work(7000)
    const lines = events.filter(event => event.type === 'job-idle')
    expect(lines).to.have.length.within(2, 3)
    for (const idle of lines) {
      expect(idle).to.include({ job: 'under-1', reason: 'recovery', server: GONE, servers: 1, epoch: epoch(2), milliseconds: idle.age })
      const loggedAt = job('under-1').acceptedAt + idle.age
      expect(loggedAt + idle.waitMilliseconds! - claimedAt).to.be.within(9000, LEASES_OVER_MILLISECONDS)
    }
  })

  // Guards against waits for the leases on backend servers that have crashed and are back under other ids.
  describe('when another backend server answers at the address of one that doesn\'t', () => {
    let holder: FakeServer
    let replacement: FakeServer

    beforeEach(() => {
      world.planner.submit(job('a', { queue: 'urgent' }))
      world.settle()
      holder = world.serverRunning('a.0.0.0')!
      ids = world.planner.serversToRecover(world.now)
      holder.crash(Infinity)
      takeOver(2, [{ job: job('a', { queue: 'urgent' }), isCancelled: false }])
      replacement = new FakeServer({ ...holder.entry, id: serverId('replacement') })
      work(1000)
      expect(world.starts).to.have.length(1)
    })

    it('start jobs at once that may have had runs there', () => {
      world.servers.push(replacement)
      world.listServers()
      work(300)
      expect(started()).to.deep.equal(['a.0.0.0', 'a.0.0.0'])
    })

    it('pass it on without runs while it is registered, and not at all afterwards', () => {
      world.servers.push(replacement)
      world.listServers()
      work(1000)
      expect(ids.has(holder.entry.id)).to.equal(true)
      expect(bounds.get(holder.entry.id)).to.include({ lastEpoch: epoch(0) })
      world.servers.splice(world.servers.indexOf(holder), 1)
      world.listServers()
      work(200)
      expect(ids.has(holder.entry.id)).to.equal(false)
    })

    it('pass on one without runs that they have used before', () => {
      world.servers.push(replacement)
      world.listServers()
      work(300)
      const user = world.serverRunning('a.0.0.0')!
      user.crash(Infinity)
      world.servers.push(new FakeServer({ ...user.entry, id: serverId('second') }))
      world.listServers()
      work(300)
      expect(bounds.get(user.entry.id)).to.include({ lastEpoch: epoch(0) })
    })

    it('wait on if the other one only is registered there', () => {
      replacement.connectivity = 'silent'
      world.servers.push(replacement)
      world.listServers()
      work(3000)
      expect(world.starts).to.have.length(1)
    })

    it('wait on for one that was registered after the other had answered', () => {
      const earlier = world.servers.find(server => server !== holder)!
      const later = new FakeServer({ ...earlier.entry, id: serverId('later') })
      for (const server of [earlier, later]) server.connectivity = 'silent'
      world.servers.splice(world.servers.indexOf(holder), 1, later)
      world.listServers()
      work(2000)
      expect(bounds.get(later.entry.id)).to.include({ lastEpoch: epoch(1) })
    })
  })

  describe('while the list of ends of a backend server is cut', () => {
    beforeEach(() => {
      takeOver(2, storedUnder(1))
      work(200)
    })

    it('start jobs that can\'t have an end there', () => {
      const [server] = world.servers
      server!.connectivity = 'silent'
      bounds = new Map()
      takeOver(3, storedUnder(1))
      work(4000)
      expect([...bounds.keys()]).to.have.members([GONE, server!.entry.id])
      server!.connectivity = 'answers'
      server!.mostListedEnds = 0
      takeOver(4, storedUnder(1, 3))
      work(15_000)
      expect(started().filter(task => task.startsWith('under-3'))).to.deep.equal(['under-3.0.0.0'])
      expect(world.planner.load.jobsRecovering).to.equal(1)
    })
  })

  describe('when a backend server answers that the record lists as unreached', () => {
    const task = 'a.0.0.0'

    beforeEach(() => {
      world.planner.submit(job('a', { steps: [step()] }))
      world.settle()
      const server = world.serverRunning(task)!
      server.connectivity = 'silent'
      ids = world.planner.serversToRecover(world.now)
      takeOver(2, [{ job: job('a'), isCancelled: false }])
      work(2000)
      world.planner.holdServers(new Set(bounds.keys()))
      server.connectivity = 'answers'
      work(200)
    })

    it('neither renew leases nor start runs there until it is removed', () => {
      const { id } = world.serverRunning(task)!.entry
      expect(world.planner.isWaitingForRecord(id)).to.equal(true)
      expect(world.planner.pollRequest(id, world.now)!.leaseUntil).to.equal(undefined)
      for (let index = 0; index < 20; index += 1) world.planner.submit(job(`b${index}`, { acceptedUnder: epoch(2) }))
      work(200)
      expect(world.starts.filter(({ server }) => server === id).map(start => start.task)).to.deep.equal([task])
      world.planner.holdServers(new Set())
      expect(world.planner.pollRequest(id, world.now)!.leaseUntil).to.be.greaterThan(0)
      work(200)
      expect(world.starts.filter(({ server }) => server === id).length).to.be.greaterThan(1)
    })
  })
})
