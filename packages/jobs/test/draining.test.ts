import { expect } from 'chai'
import type { ServerEntry, StartCommand } from '../src/index.js'
import { job, step, World } from './world.js'

/** Entries of all backend servers, which drain. */
const drainingEntries = (world: World, overrides: Partial<ServerEntry> = {}): ServerEntry[] =>
  world.entries.map(entry => ({ ...entry, isDraining: true, remainingMilliseconds: 5000, ...overrides }))

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

  describe('when one has restarted, and then an entry of its earlier incarnation shows that it drains', () => {
    let world: World

    beforeEach(() => {
      world = new World(1)
      world.settle()
      world.servers[0]!.restart()
      world.settle()
      world.planner.submit(job('a'))
      world.settle()
      expect(world.servers[0]!.running).to.have.length(1)
      world.listServers(drainingEntries(world, { incarnation: 1, remainingMilliseconds: 500 }))
    })

    it('stops no run of the new one', () => {
      world.settle()
      expect(world.stops).to.have.length(0)
    })

    it('starts nothing there before an entry of the new one', () => {
      world.planner.submit(job('b'))
      world.settle()
      expect(world.starts).to.have.length(1)
      world.listServers()
      world.settle()
      expect(world.starts).to.have.length(2)
    })

    it('stops its runs if the new one drains too', () => {
      world.listServers(drainingEntries(world, { remainingMilliseconds: 500 }))
      world.settle()
      expect(world.stops.map(({ reason }) => reason)).to.deep.equal(['leaving'])
    })
  })

  // Guards against gangs that work on for nothing until their backend server shuts down.
  describe('when one drains under a gang', () => {
    const RUN_MILLISECONDS = 2000

    /** Stops of a gang that has got so far in two seconds, when 3 s are left. */
    const stopsAt = (percent: number, savesCheckpoints: boolean): number => {
      const world = new World(2)
      world.planner.submit(job('gang', { steps: [step({ count: 4, isGang: true, savesCheckpoints })] }))
      world.settle()
      world.now += RUN_MILLISECONDS
      for (const { running } of world.servers) for (const [task, run] of running) running.set(task, { ...run, percent })
      world.pollServers()
      world.listServers(world.entries.map((entry, index) => index === 0 ? { ...entry, isDraining: true, remainingMilliseconds: 3000 } : entry))
      world.settle(2)
      return world.stops.length
    }

    for (const { percent, savesCheckpoints, stops, title } of [
      { percent: 20, savesCheckpoints: false, stops: 4, title: 'stops it at once if it won\'t end there' },
      { percent: 70, savesCheckpoints: false, stops: 0, title: 'lets it go on if it may end there' },
      { percent: 0, savesCheckpoints: false, stops: 0, title: 'lets it go on if its progress isn\'t known' },
      { percent: 20, savesCheckpoints: true, stops: 0, title: 'lets it go on if it saves checkpoints' }
    ]) it(title, () => expect(stopsAt(percent, savesCheckpoints)).to.equal(stops))
  })
})
