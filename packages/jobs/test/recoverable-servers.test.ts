import { epoch } from '@cornelgauge/model'
import { expect } from 'chai'
import { Planner, serverId, type ServerId } from '../src/index.js'
import { CONFIGURATION, job, World, type FakeServer } from './world.js'

/** Longer than the leases of an earlier owner may last after a takeover. */
const LEASES_OVER_MILLISECONDS = 10_000
const GONE = serverId('gone')

describe('planner', () => {
  let world: World
  let server: FakeServer

  const idsToRecover = (): readonly ServerId[] => [...world.planner.serversToRecover(world.now)]
  const list = (overrides: Partial<FakeServer['entry']>): void => world.listServers(world.servers.map(each => ({ ...each.entry, ...each === server ? overrides : {} })))
  const listOthers = (): void => world.listServers(world.servers.filter(each => each !== server).map(each => each.entry))

  const startJob = (): void => {
    world.planner.submit(job('a', { queue: 'urgent' }))
    world.settle()
    server = world.serverRunning('a.0.0.0')!
  }

  beforeEach(() => {
    world = new World(2)
    server = world.servers[0]!
    world.settle()
  })

  describe('servers that a later owner has to know', () => {
    it('include all that are registered and get new work', () => {
      expect(idsToRecover()).to.have.members(world.servers.map(each => each.entry.id))
    })

    it('include one that is not registered while it has runs', () => {
      startJob()
      listOthers()
      world.settle()
      expect(idsToRecover()).to.include(server.entry.id)
      server.end('a.0.0.0', 'done')
      world.settle()
      expect(idsToRecover()).not.to.include(server.entry.id)
    })

    it('include one that drains until its last run has ended', () => {
      startJob()
      list({ isDraining: true, remainingMilliseconds: 5000 })
      world.settle()
      expect(idsToRecover()).to.include(server.entry.id)
      list({ isDraining: true, remainingMilliseconds: 1000 })
      world.settle()
      expect(world.stops).to.have.length(1)
      expect(idsToRecover()).not.to.include(server.entry.id)
    })

    it('include one that does not answer until its leases have expired', () => {
      startJob()
      server.connectivity = 'silent'
      listOthers()
      world.settle()
      expect(idsToRecover()).to.include(server.entry.id)
      world.now += LEASES_OVER_MILLISECONDS
      world.settle()
      expect(idsToRecover()).not.to.include(server.entry.id)
    })

    it('include one with a start that was not answered and may still arrive', () => {
      server = world.servers[0]!
      for (const each of world.servers) each.connectivity = 'delays-starts'
      world.planner.submit(job('a', { queue: 'urgent' }))
      world.round()
      server = world.servers.find(each => each.delayed.length > 0)!
      listOthers()
      world.settle(5)
      expect(idsToRecover()).to.include(server.entry.id)
    })
  })

  describe('servers of earlier owners that the registry lacks', () => {
    const stored = [{ job: job('a', { queue: 'urgent' }), isCancelled: false }]

    beforeEach(() => {
      world.planner = new Planner(epoch(2), stored, { now: world.now, wallTime: world.wallTime })
      world.planner.inheritServers([GONE, ...world.servers.map(each => each.entry.id)])
      world.planner.configure(CONFIGURATION)
      world.listServers()
      world.settle()
    })

    it('delay jobs of earlier owners until the leases there have expired', () => {
      expect(world.starts).to.have.length(0)
      expect(world.planner.load.jobsRecovering).to.equal(1)
      expect(world.planner.load.serversUnanswered).to.equal(1)
      world.now += LEASES_OVER_MILLISECONDS
      world.settle()
      expect(world.starts).to.have.length(1)
      expect(world.planner.load.jobsRecovering).to.equal(0)
      expect(world.planner.load.serversUnanswered).to.equal(0)
    })

    it('don\'t delay jobs that this owner has accepted', () => {
      world.planner.submit(job('b', { queue: 'urgent', acceptedUnder: epoch(2) }))
      world.settle()
      expect(world.starts.map(start => start.task)).to.deep.equal(['b.0.0.0'])
    })

    it('are passed on to the next owner until the leases there have expired', () => {
      expect(idsToRecover()).to.include(GONE)
      world.now += LEASES_OVER_MILLISECONDS
      expect(idsToRecover()).not.to.include(GONE)
    })

    it('delay no job once they are registered and have answered', () => {
      const returned = { ...server.entry, id: GONE, address: '10.0.0.99:80' }
      world.listServers([...world.servers.map(each => each.entry), returned])
      world.settle()
      expect(world.starts).to.have.length(0)
      world.planner.applyReport(GONE, { incarnation: 1, clock: 100_000 + world.now, running: [], ended: [], hasMoreEnds: false, sentAt: world.now, receivedAt: world.now + 1 }, world.wallTime)
      world.settle()
      expect(world.starts).to.have.length(1)
    })
  })
})
