import { expect } from 'chai'
import type { ServerEntry, StartCommand } from '../src/index.js'
import { job, World } from './world.js'

/** Entries of all backend servers, which drain. */
const drainingEntries = (world: World): ServerEntry[] => world.entries.map(entry => ({ ...entry, isDraining: true, remainingMilliseconds: 5000 }))

describe('planner whose backend servers drain', () => {
  // Guards against a start later than a draining backend server has to carry out any: it may wait for its record and a connection.
  describe('when one begins to drain while a start waits to be sent', () => {
    it('doesn\'t send it', () => {
      const world = new World(1)
      world.pollServers()
      world.planner.submit(job('a'))
      world.now += 10
      const [start] = world.planner.decide({ now: world.now, wallTime: world.wallTime }) as [StartCommand]
      expect(world.planner.isStartDue(start)).to.equal(true)
      world.listServers(drainingEntries(world))
      expect(world.planner.isStartDue(start)).to.equal(false)
    })
  })
})
