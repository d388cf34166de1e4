import { expect } from 'chai'
import { jobId, LEASE_MILLISECONDS, type StartCommand } from '../src/index.js'
import { job, step, World, type Connectivity } from './world.js'

const phase = (world: World, id: string): string | undefined => world.planner.phaseOf(jobId(id))

describe('planner', () => {
  describe('when a start is not answered', () => {
    /** Starts a job on backend servers that have answered a poll and respond to starts in this way. */
    const worldAfterStart = (connectivity: Connectivity): World => {
      const world = new World(2)
      world.pollServers()
      for (const server of world.servers) server.connectivity = connectivity
      world.planner.submit(job('a'))
      world.round()
      return world
    }

    it('keeps the run if the next poll lists it', () => {
      const world = worldAfterStart('loses-start-answers')
      world.now += 5
      world.pollServers()
      world.round(2000)
      expect(world.starts).to.have.length(1)
      expect(world.stops).to.have.length(0)
      expect(phase(world, 'a')).to.equal('running')
    })

    it('keeps the run if a poll has listed it before the call failed', () => {
      const world = new World(1)
      world.planner.submit(job('a'))
      world.settle()
      const [{ task, run, server }] = world.starts as [StartCommand]
      world.planner.applyStartOutcome(server, task, run, 'unanswered', world.now)
      world.settle()
      expect(world.stops).to.have.length(0)
      expect(phase(world, 'a')).to.equal('running')
    })

    it('keeps a gang together if the answers of some members are lost', () => {
      const world = new World(4, { accelerators: 1 })
      world.pollServers()
      for (const server of world.servers.slice(0, 2)) server.connectivity = 'loses-start-answers'
      world.planner.submit(job('a', { steps: [step({ count: 4, isGang: true, savesCheckpoints: true })] }))
      world.settle()
      world.round(2000)
      expect(world.starts).to.have.length(4)
      expect(world.stops).to.have.length(0)
    })

    it('starts the task elsewhere only after a poll that does not list the run, and a stop that is confirmed', () => {
      const world = worldAfterStart('delays-starts')
      expect(world.starts).to.have.length(1)
      expect(world.round()).to.have.length(0)
      world.pollServers()
      const [stop] = world.round().filter(command => command.type === 'stop')
      expect(stop).to.include({ task: 'a.0.0.0', reason: 'unanswered' })
      for (const server of world.servers) server.connectivity = 'answers'
      expect(world.starts).to.have.length(1)
      world.now += 5
      world.pollServers()
      world.round()
      expect(world.starts).to.have.length(2)
      for (const server of world.servers) server.delayed.forEach(command => server.start(command))
      expect(world.servers.filter(server => server.running.size > 0)).to.have.length(1)
    })

    describe('and the backend server restarts before the start arrives', () => {
      /** The start of a job on the only backend server isn't answered, and its stop is confirmed. */
      const worldAfterStop = (): World => {
        const world = new World(1)
        world.pollServers()
        world.servers[0]!.connectivity = 'delays-starts'
        world.planner.submit(job('a'))
        world.round()
        world.servers[0]!.connectivity = 'answers'
        world.now += 5
        world.pollServers()
        world.round()
        expect(world.stops).to.have.length(1)
        return world
      }

      const arrive = (world: World): void => world.servers[0]!.delayed.forEach(command => world.servers[0]!.start(command))

      it('has the new incarnation confirm the stop before the task is started again', () => {
        const world = worldAfterStop()
        world.servers[0]!.restart()
        world.now += 5
        world.pollServers()
        world.round()
        expect(world.stops).to.have.length(2)
        expect(world.starts).to.have.length(1)
        world.settle()
        expect(world.starts).to.have.length(2)
        arrive(world)
        expect(world.servers[0]!.running.get('a.0.0.0')?.run).to.equal(world.starts[1]!.run)
      })

      it('stops it in the new incarnation too if the earlier one had confirmed the stop long before', () => {
        const world = worldAfterStop()
        world.settle()
        expect(world.starts).to.have.length(2)
        world.planner.cancel(jobId('a'), world.wallTime)
        world.settle()
        expect(world.planner.load.runs).to.equal(0)
        world.servers[0]!.restart()
        world.settle()
        arrive(world)
        expect(world.servers[0]!.running.size).to.equal(0)
        expect(world.planner.load.runs).to.equal(0)
      })
    })

    it('stops the run, and the rest of its gang, if no poll is answered in time', () => {
      const world = new World(2, { accelerators: 1 })
      world.pollServers()
      world.servers[0]!.connectivity = 'delays-starts'
      world.planner.submit(job('a', { steps: [step({ count: 2, isGang: true, savesCheckpoints: true })] }))
      world.round()
      world.servers[0]!.connectivity = 'silent'
      world.pollServers()
      world.round(1100)
      expect(world.stops.map(stop => stop.reason)).to.have.members(['unanswered', 'gang-incomplete'])
      expect(world.starts).to.have.length(2)
    })

    // Guards against work that is started again and again on the same backend server, which answers polls but no starts.
    for (const [name, overrides] of [['a task', {}], ['a gang', { count: 2, isGang: true }]] as const) {
      it(`starts ${name} elsewhere, if there is room`, () => {
        const world = new World(4)
        world.pollServers()
        world.planner.submit(job('a', { steps: [step({ accelerators: 8, ...overrides })] }))
        world.servers[0]!.connectivity = 'delays-starts'
        world.settle(20)
        expect(phase(world, 'a')).to.equal('running')
        expect(world.serverRunning('a.0.0.0')).not.to.be.oneOf([undefined, world.servers[0]])
        expect(new Set(world.starts.map(start => start.run)).size).to.equal(2)
      })
    }

    it('starts a task there again if another start has been answered since', () => {
      const world = new World(2)
      world.pollServers()
      const [first] = world.servers
      first!.connectivity = 'delays-starts'
      world.planner.submit(job('a'))
      world.round()
      first!.connectivity = 'answers'
      world.planner.submit(job('b'))
      world.round()
      expect(world.serverRunning('b.0.0.0')).to.equal(first)
      world.settle(20)
      expect(world.serverRunning('a.0.0.0')).to.equal(first)
    })

    it('starts a claim elsewhere, though others have to be stopped for it', () => {
      const world = new World(4)
      world.planner.submit(job('a', { steps: [step({ count: 24, savesCheckpoints: true })] }))
      world.settle()
      const empty = world.servers.find(({ running }) => running.size === 0)!
      empty.connectivity = 'delays-starts'
      world.planner.submit(job('b', { queue: 'urgent', workspace: 'brno', steps: [step({ accelerators: 8 })] }))
      world.settle(120)
      expect(world.serverRunning('b.0.0.0')).not.to.be.oneOf([undefined, empty])
    })

    // Guards against work that begins late: after a start that came to nothing, the wait for a better placement began anew.
    it('doesn\'t wait anew for a better placement', () => {
      const world = new World(4, { perRack: 2 })
      for (const rack of ['r1-0', 'r1-1']) world.planner.submit(job(rack, { steps: [step({ requiredLabel: rack })] }))
      world.settle()
      const [empty] = world.servers.filter(({ running }) => running.size === 0)
      empty!.connectivity = 'delays-starts'
      world.planner.submit(job('a', { steps: [step({ count: 2, accelerators: 8, isGang: true, wantsOneRack: true })] }))
      const { length } = world.starts
      while (world.starts.length === length) world.settle(1)
      empty!.connectivity = 'answers'
      world.settle(20)
      expect(phase(world, 'a')).to.equal('running')
      expect([0, 1].map(index => world.serverRunning(`a.0.0.${index}`))).not.to.include(undefined)
    })

    it('waits for the lease to expire if the backend server is unreachable', () => {
      const world = new World(1)
      world.pollServers()
      world.planner.submit(job('a'))
      world.round()
      world.servers[0]!.connectivity = 'silent'
      world.pollServers()
      world.round(LEASE_MILLISECONDS - 500)
      expect(world.planner.load.runs).to.equal(1)
      world.pollServers()
      world.round(1000)
      expect(world.planner.load.runs).to.equal(0)
    })
  })
})
