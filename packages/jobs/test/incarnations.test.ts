import { expect } from 'chai'
import { jobId, type Command, type ServerEntry, type StartCommand, type StopCommand } from '../src/index.js'
import { job, step, World } from './world.js'

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

  describe('when the registry shows a restart of a backend server that answers', () => {
    it('names the backend server once, and keeps its runs', () => {
      const world = new World(1)
      world.planner.submit(job('a'))
      world.settle()
      const entries = world.entries.map(entry => ({ ...entry, incarnation: 2 }))
      expect(world.planner.updateServers(entries, world.now)).to.deep.equal([world.servers[0]!.entry.id])
      expect(world.planner.updateServers(entries, world.now)).to.deep.equal([])
      expect(world.planner.load.runs).to.equal(1)
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

    // Guards against a job that fails for crashes under starts that were never carried out.
    it('counts no loss for a start that neither incarnation has carried out', () => {
      const [start] = startsOf(decide())
      restart()
      world.planner.applyStartOutcome(start!.server, start!.task, start!.run, 'other-life', world.now)
      expect(world.planner.progressOf(jobId('a'))!.steps).to.deep.equal({})
    })
  })

  describe('when a start finds another incarnation', () => {
    it('starts nothing there until that has answered a poll', () => {
      const world = new World(1)
      world.pollServers()
      world.servers[0]!.restart()
      world.planner.submit(job('a', { steps: [step({ count: 4 })] }))
      for (let round = 0; round < 10; round += 1) world.round(4)
      expect(world.starts).to.have.length(4)
      world.pollServers()
      world.round()
      expect(world.starts).to.have.length(8)
      expect(world.servers[0]!.running.size).to.equal(4)
    })
  })

  describe('when a start is not sent since a new connection was left unanswered', () => {
    it('starts the task elsewhere, at once', () => {
      const world = new World(2)
      world.pollServers()
      world.planner.submit(job('a'))
      const decide = (): StartCommand | undefined => {
        world.now += 10
        return world.planner.decide({ now: world.now, wallTime: world.wallTime }).find((command): command is StartCommand => command.type === 'start')
      }
      const first = decide()!
      world.planner.applyStartOutcome(first.server, first.task, first.run, 'unreached', world.now)
      const second = decide()!
      expect(second.task).to.equal(first.task)
      expect(second.server).to.not.equal(first.server)
    })
  })

  // Guards against what an earlier incarnation has shown that keeps work from the next.
  describe('when a backend server has refused a start for want of room, and restarts', () => {
    it('uses the new incarnation as soon as it has answered', () => {
      const world = new World(1)
      world.pollServers()
      world.planner.submit(job('a'))
      world.now += 10
      const [start] = world.planner.decide({ now: world.now, wallTime: world.wallTime }) as [StartCommand]
      world.planner.applyStartOutcome(start.server, start.task, start.run, 'unreached', world.now)
      world.servers[0]!.restart()
      world.pollServers()
      world.round()
      expect(world.servers[0]!.running.size).to.equal(1)
    })
  })

  describe('when the clock of a backend server was set back before its restart, and its entry is the earlier one', () => {
    let world: World
    let earlier: ServerEntry[]
    const restartAll = (): void => {
      for (const server of world.servers) {
        server.restart()
        server.incarnation = 50
      }
      world.now += 10
    }
    const expectRunsKept = (): void => {
      world.now += 10
      world.pollServers()
      world.planner.submit(job('a'))
      world.round()
      world.now += 10
      world.pollServers()
      const holder = world.servers.find(server => server.running.size > 0)!
      holder.connectivity = 'silent'
      world.now += 10
      world.pollServers()
      world.listServers(earlier)
      world.settle()
      expect(world.starts).to.have.length(1)
    }

    beforeEach(() => {
      world = new World(2)
      for (const server of world.servers) server.incarnation = 100
      world.listServers()
      world.pollServers()
      earlier = world.entries
    })

    it('keeps its runs when a poll is missed', () => {
      restartAll()
      expectRunsKept()
    })

    // Guards against a write of the earlier incarnation that is carried out after the first one of the new incarnation.
    it('keeps its runs when a poll is missed if its new entry was listed in between', () => {
      restartAll()
      world.listServers()
      expectRunsKept()
    })

    it('keeps its runs when a poll is missed if an incarnation is listed that ended before it answered', () => {
      earlier = earlier.map(entry => ({ ...entry, incarnation: 120 }))
      restartAll()
      expectRunsKept()
    })

    it('keeps its runs when a poll is missed if it has restarted twice', () => {
      restartAll()
      world.listServers()
      world.pollServers()
      for (const server of world.servers) {
        server.restart()
        server.incarnation = 70
      }
      world.now += 10
      world.listServers()
      expectRunsKept()
    })
  })
})
