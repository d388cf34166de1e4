import { expect } from 'chai'
import { jobId, type Command, type ServerEntry, type ServerReport, type StartCommand, type StartOutcome, type StopCommand } from '../src/index.js'
import { job, step, World, type FakeServer } from './world.js'

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

  // Several polls may be under way, and their answers overtake each other.
  describe('when an answer to a poll arrives after one that was made later', () => {
    /** A run of the only task is listed in an answer that arrives after its end. */
    const lateReport = (world: World): ServerReport => {
      const holder = world.serverRunning('a.0.0.0')!
      const [run] = holder.running.values()
      const report = { incarnation: 1, clock: 100_000 + world.now, running: [run!], ended: [], hasMoreEnds: false, sentAt: world.now, receivedAt: world.now + 20 }
      holder.end('a.0.0.0', 'failed')
      world.now += 10
      world.pollServers()
      return report
    }

    it('starts the task again at once', () => {
      const world = new World(2)
      world.planner.submit(job('a'))
      world.settle()
      world.planner.applyReport(world.serverRunning('a.0.0.0')!.entry.id, lateReport(world), world.wallTime)
      world.round()
      expect(world.starts).to.have.length(2)
    })

    it('keeps the next run of the task', () => {
      const world = new World(2)
      world.planner.submit(job('a'))
      world.settle()
      const { id } = world.serverRunning('a.0.0.0')!.entry
      const report = lateReport(world)
      world.round()
      world.planner.applyReport(id, report, world.wallTime)
      world.settle()
      expect(world.stops).to.have.length(0)
      expect(world.starts).to.have.length(2)
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

    it('goes on to use the backend server if a poll fails that was sent before one that it has answered', () => {
      const [server] = world.servers
      const { id } = server!.entry
      const sentAt = world.now
      restart()
      world.planner.recordMissedPoll(id, undefined, sentAt)
      expect(world.planner.load.serversUsable).to.equal(1)
      world.planner.recordMissedPoll(id, undefined, world.now + 1)
      expect(world.planner.load.serversUsable).to.equal(0)
    })

    it('sends neither a position nor a lease to a new incarnation that has not answered', () => {
      world.settle()
      world.servers[0]!.connectivity = 'silent'
      world.pollServers()
      world.servers[0]!.restart()
      world.listServers()
      expect(world.planner.pollRequest(world.servers[0]!.entry.id, world.now)).to.deep.include({ incarnation: undefined, acknowledgedPosition: 0, leaseUntil: undefined })
    })

    // Guards against a backend server that is avoided for a start which its earlier incarnation has left unanswered.
    it('uses the new incarnation though the start was not answered', () => {
      world = new World(2, { perRack: 1 })
      world.pollServers()
      const [server] = world.servers
      world.planner.submit(job('a', { steps: [step({ dataRack: server!.entry.rack })] }))
      const [start] = startsOf(decide())
      restart()
      world.planner.applyStartOutcome(start!.server, start!.task, start!.run, 'unanswered', world.now)
      world.now += 10
      world.pollServers()
      world.planner.submit(job('b', { steps: [step({ dataRack: server!.entry.rack })] }))
      world.settle(1)
      expect(world.serverRunning('b.0.0.0')?.entry.id).to.equal(server!.entry.id)
    })

    // Guards against work that begins late: its wait for a better placement began anew.
    it('lets a gang start without a new wait if a start of it was not carried out', () => {
      world = new World(4, { perRack: 2 })
      for (const rack of ['r1-0', 'r1-1']) world.planner.submit(job(rack, { steps: [step({ requiredLabel: rack })] }))
      world.settle()
      const [empty] = world.servers.filter(({ running }) => running.size === 0)
      world.planner.submit(job('b', { steps: [step({ count: 2, accelerators: 8, isGang: true, wantsOneRack: true })] }))
      let starts: readonly StartCommand[] = []
      while (starts.length === 0) starts = startsOf(decide())
      expect(starts).to.have.length(2)
      empty!.restart()
      world.now += 10
      world.pollServers([empty!])
      for (const { server, task, run } of starts) world.planner.applyStartOutcome(server, task, run, server === empty!.entry.id ? 'other-life' : 'started', world.now)
      world.settle()
      expect(world.starts.filter(({ job: id }) => id === 'b')).to.have.length(2)
    })

    // Guards against a job that fails for crashes under starts that were never carried out.
    it('counts no loss for a start that neither incarnation has carried out', () => {
      const [start] = startsOf(decide())
      restart()
      world.planner.applyStartOutcome(start!.server, start!.task, start!.run, 'other-life', world.now)
      expect(world.planner.progressOf(jobId('a'))!.steps).to.deep.equal({})
    })
  })

  // Guards against a start that is refused since its ticket was given for the earlier incarnation.
  describe('when a backend server restarts between a request for advice and the answer', () => {
    it('requests advice again before it starts a task there', () => {
      const world = new World(1)
      world.planner.submit(job('a', { queue: 'advised' }))
      world.settle()
      const [request] = world.adviceRequests
      const [server] = world.servers
      server!.restart()
      world.settle(1)
      world.planner.applyAdvice(request!, { allowed: [{ server: server!.entry.id, ticket: 'ticket-1' }], validMilliseconds: 3000 }, world.now)
      world.settle()
      expect(world.starts).to.have.length(0)
      expect(world.adviceRequests).to.have.length(2)
      world.planner.applyAdvice(world.adviceRequests[1]!, { allowed: [{ server: server!.entry.id, ticket: 'ticket-2' }], validMilliseconds: 3000 }, world.now)
      world.settle()
      expect(world.starts.map(({ ticket }) => ticket)).to.deep.equal(['ticket-2'])
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

  describe('when a backend server has shown failures, and restarts', () => {
    let world: World

    /** Lets a start of the next task end with this outcome, without a run; returns the command. */
    const failStart = (outcome: StartOutcome): StartCommand => {
      world.now += 10
      const [start] = world.planner.decide({ now: world.now, wallTime: world.wallTime }).filter((command): command is StartCommand => command.type === 'start')
      world.planner.applyStartOutcome(start!.server, start!.task, start!.run, outcome, world.now)
      return start!
    }
    const restart = (server: FakeServer): void => {
      server.restart()
      world.now += 10
      world.pollServers()
    }

    it('starts work on the new incarnation at once, and after one failure of that again', () => {
      world = new World(1)
      world.pollServers()
      world.planner.submit(job('a'))
      failStart('unhealthy')
      failStart('unhealthy')
      world.round()
      expect(world.starts).to.deep.equal([])
      restart(world.servers[0]!)
      failStart('unhealthy')
      world.round()
      expect(world.starts).to.have.length(1)
    })

    it('does not prefer others for starts that the earlier incarnation has left unanswered', () => {
      for (const isGivenUpBefore of [true, false]) {
        world = new World(2)
        world.pollServers()
        world.planner.submit(job('a'))
        const first = failStart('unanswered')
        const server = world.servers.find(({ entry }) => entry.id === first.server)!
        if (isGivenUpBefore) {
          world.now += 10
          world.pollServers()
        }
        restart(server)
        world.settle()
        expect(world.starts.map(start => start.server)).to.deep.equal([first.server])
      }
    })

    it('counts the leases there from the clock of the new incarnation', () => {
      world = new World(2)
      const report = (server: FakeServer, incarnation: number, clock: number): void => world.planner.applyReport(server.entry.id, { incarnation, clock, running: [...server.running.values()], ended: [], hasMoreEnds: false, sentAt: world.now, receivedAt: world.now }, world.wallTime)
      for (const server of world.servers) report(server, 1, 5_000_000)
      world.planner.submit(job('a'))
      world.round()
      world.now += 10
      for (const server of world.servers) {
        report(server, 1, 5_000_020)
        world.planner.pollRequest(server.entry.id, world.now)
        server.restart()
        world.now += 10
        report(server, 2, 1000)
      }
      world.round()
      const holder = world.serverRunning('a.0.0.0')!
      world.planner.pollRequest(holder.entry.id, world.now)
      holder.connectivity = 'silent'
      for (let time = 0; time < 70; time += 1) {
        world.now += 100
        for (const server of world.servers) {
          if (server === holder) world.planner.recordMissedPoll(server.entry.id, 2)
          else report(server, 2, 1000 + world.now)
        }
        world.round(0)
      }
      expect(world.serverRunning('a.0.0.0')).to.not.equal(undefined)
      expect(world.servers.find(server => server !== holder)!.running.size).to.equal(1)
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
