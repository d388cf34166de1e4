import { expect } from 'chai'
import { jobId, type Command, type StartCommand, type StopCommand } from '../src/index.js'
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

  // Guards against an answer or a silence of an earlier incarnation that counts for the next.
  describe('when an answer of the earlier incarnation arrives after the restart is known', () => {
    let world: World
    const startsOf = (commands: readonly Command[]): readonly StartCommand[] => commands.filter((command): command is StartCommand => command.type === 'start')
    const stopsOf = (commands: readonly Command[]): readonly StopCommand[] => commands.filter((command): command is StopCommand => command.type === 'stop')
    const decide = (): readonly Command[] => {
      world.now += 10
      return world.planner.decide({ now: world.now, wallTime: world.wallTime })
    }
    /** The only backend server restarts, and answers a poll. */
    const restart = (): void => {
      world.servers[0]!.restart()
      world.now += 10
      world.pollServers()
    }

    beforeEach(() => {
      world = new World(1)
      world.pollServers()
      world.planner.submit(job('a'))
    })

    it('starts the task again if its start was confirmed', () => {
      const [start] = startsOf(decide())
      restart()
      world.planner.applyStartOutcome(start!.server, start!.task, start!.run, 'started', world.now)
      expect(world.planner.load.runs).to.equal(0)
      expect(startsOf(decide())).to.have.length(1)
    })

    it('starts the task again if its start was refused for want of room', () => {
      const [start] = startsOf(decide())
      restart()
      world.planner.applyStartOutcome(start!.server, start!.task, start!.run, 'no-room', world.now)
      expect(startsOf(decide())).to.have.length(1)
    })

    it('stops a start without an answer in the new incarnation, whatever stop was confirmed', () => {
      const [start] = startsOf(decide())
      world.planner.applyStartOutcome(start!.server, start!.task, start!.run, 'unanswered', world.now)
      world.planner.cancel(jobId('a'), world.wallTime)
      const [first] = stopsOf(decide())
      restart()
      const [second] = stopsOf(decide())
      expect(second!.incarnation).to.equal(2)
      world.planner.applyStopOutcome(first!, 'stopped', world.now)
      world.now += 10
      world.pollServers()
      expect(world.planner.load.runs).to.equal(1)
      world.planner.applyStopOutcome(second!, 'stopped', world.now)
      world.now += 10
      world.pollServers()
      expect(world.planner.load.runs).to.equal(0)
    })

    it('goes on to use the backend server if a poll of the earlier incarnation fails', () => {
      const { incarnation } = world.planner.pollRequest(world.servers[0]!.entry.id, world.now)!
      restart()
      world.planner.recordMissedPoll(world.servers[0]!.entry.id, incarnation)
      expect(world.planner.load.serversUsable).to.equal(1)
    })

    it('sends neither a position nor a lease to a new incarnation that has not answered', () => {
      world.settle()
      world.servers[0]!.connectivity = 'silent'
      world.pollServers()
      world.servers[0]!.restart()
      world.listServers()
      expect(world.planner.pollRequest(world.servers[0]!.entry.id, world.now)).to.deep.include({ incarnation: undefined, acknowledgedPosition: 0, leaseUntil: undefined })
    })
  })
})
