import { expect } from 'chai'
import { job, World } from './world.js'

describe('planner', () => {
  // The registry and each poll report the incarnation of a backend server, in no certain order.
  describe('when a backend server restarts', () => {
    it('keeps the runs of the new incarnation if an answer of the earlier one arrives later', () => {
      const world = new World(1)
      world.settle()
      const [server] = world.servers
      const sentAt = world.now
      server!.restart()
      world.now += 5
      world.pollServers()
      world.planner.submit(job('a'))
      world.settle()
      expect(world.starts).to.have.length(1)
      world.planner.applyReport(server!.entry.id, { incarnation: 1, clock: 100_000 + sentAt, running: [], ended: [], hasMoreEnds: false, sentAt, receivedAt: world.now }, world.wallTime)
      world.settle()
      expect(world.starts).to.have.length(1)
    })
  })
})
