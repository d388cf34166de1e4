import { expect } from 'chai'
import { jobId, LEASE_MILLISECONDS, type Command, type StopCommand } from '../src/index.js'
import { storedJob } from './crash-play.js'
import { job, World } from './world.js'

const TASK = 'a.0.0.0'
/** Longest lease that backend servers grant, in milliseconds; a new incarnation grants it to a start whose lease was meant for the earlier one's clock, which had run for longer. */
const LONGEST_LEASE_MILLISECONDS = 10_000

const startsOf = (commands: readonly Command[]): readonly Command[] => commands.filter(command => command.type === 'start')

describe('planner', () => {
  // A start without an answer may be carried out seconds later, also by the next incarnation of its backend server.
  describe('when a start was not answered, its stop was confirmed, and the task was started again', () => {
    let world: World

    /** The first start of the job's only task arrives now. */
    const arrive = (): void => world.servers[0]!.delayed.forEach(command => world.servers[0]!.start(command))

    /** The backend server restarts: it ends the task's second run, and has forgotten that the first was stopped. */
    const restart = (): void => {
      world.servers[0]!.restart()
      world.now += 5
    }

    beforeEach(() => {
      world = new World(1)
      world.pollServers()
      world.servers[0]!.connectivity = 'delays-starts'
      world.planner.submit(job('a'))
      world.round()
      world.servers[0]!.connectivity = 'answers'
      world.now += 5
      world.pollServers()
      world.settle()
      expect(world.starts).to.have.length(2)
      expect(world.servers[0]!.running.get(TASK)?.run).to.equal(world.starts[1]!.run)
    })

    describe('and arrives after a restart of the backend server, before its next poll', () => {
      it('starts the task no third time while the poll lists that run', () => {
        restart()
        arrive()
        world.pollServers()
        expect(startsOf(world.round())).to.have.length(0)
      })

      it('runs the task once in the end', () => {
        restart()
        arrive()
        world.pollServers()
        world.settle()
        expect(world.servers[0]!.running.size).to.equal(1)
        expect(world.planner.load.runs).to.equal(1)
      })
    })

    describe('and the backend server restarts before it arrives', () => {
      it('starts the task again only after the new incarnation has confirmed the stop', () => {
        restart()
        world.pollServers()
        const commands = world.round()
        expect(commands.filter(command => command.type === 'stop')).to.have.length(1)
        expect(startsOf(commands)).to.have.length(0)
      })
    })

    describe('and the backend server leaves the registry before it restarts', () => {
      it('stops it in the new incarnation', () => {
        const [first] = world.starts
        const [server] = world.servers
        world.planner.cancel(jobId('a'), world.wallTime)
        world.settle()
        server!.connectivity = 'silent'
        world.pollServers()
        world.round(LEASE_MILLISECONDS + 500)
        world.listServers([])
        server!.connectivity = 'answers'
        restart()
        world.listServers()
        world.settle()
        arrive()
        expect(world.stops.filter(({ run }) => run === first!.run)).to.have.length(2)
        expect(server!.running.size).to.equal(0)
      })
    })
  })

  describe('when the answer to a stop arrives after a restart of the backend server', () => {
    it('stops the start that was not answered in the new incarnation too', () => {
      const world = new World(1)
      const [server] = world.servers
      world.pollServers()
      server!.connectivity = 'delays-starts'
      world.planner.submit(job('a'))
      world.round()
      server!.connectivity = 'answers'
      world.now += 5
      world.pollServers()
      world.now += 5
      const [stop] = world.planner.decide({ now: world.now, wallTime: world.wallTime }) as [StopCommand]
      expect(stop.type).to.equal('stop')
      server!.stop(stop)
      server!.restart()
      world.now += 5
      world.pollServers()
      world.planner.applyStopOutcome(stop, 'stopped', world.now)
      world.now += 5
      world.pollServers()
      const commands = world.round()
      expect(commands.map(command => command.type)).to.deep.equal(['stop'])
    })
  })

  describe('when a backend server restarts and lists a start that was not answered by the earlier incarnation', () => {
    // The next owner doesn't know of the start, or for which incarnation it was meant.
    for (const [title, hasNextOwner] of [['', false], [' under the next owner', true]] as const) {
      it(`doesn't start the task elsewhere before the longest lease has expired if the backend server is unreachable from then on${title}`, () => {
        const world = new World(2)
        world.pollServers()
        for (const server of world.servers) server.connectivity = 'delays-starts'
        world.planner.submit(job('a'))
        world.round()
        const holder = world.servers.find(server => server.delayed.length > 0)!
        for (const server of world.servers) server.connectivity = 'answers'
        const stored = storedJob(world, job('a'))
        holder.restart()
        holder.start(holder.delayed[0]!)
        if (hasNextOwner) world.takeOver(2, [stored])
        world.now += 5
        world.pollServers()
        expect(world.planner.load.runs).to.equal(1)
        holder.connectivity = 'silent'
        world.pollServers()
        world.round(LONGEST_LEASE_MILLISECONDS - 1000)
        world.pollServers()
        world.round()
        expect(world.starts).to.have.length(1)
      })
    }
  })
})
