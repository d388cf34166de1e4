import { expect } from 'chai'
import { jobId, LEASE_MILLISECONDS, runNumber, type ListedRun, type PlannerEvent, type StopCommand } from '../src/index.js'
import { job, step, World, type FakeServer } from './world.js'

const TASK = 'a.0.0.0'

/** A backend server runs a task under this number, without a start of this owner. */
function plant (server: FakeServer, task: string, run: number, percent = 0): void {
  server.running.set(task, { task: task as ListedRun['task'], run: runNumber(run), checkpoint: '', percent })
}

function setPercent (server: FakeServer, task: string, percent: number): void {
  server.running.set(task, { ...server.running.get(task)!, percent })
}

/** Ids of the backend servers that run a task. */
const runningOn = (world: World): string[] => world.servers.filter(({ running }) => running.has(TASK)).map(({ entry }) => entry.id)

/** Stops of runs that were stopped for another run of their task, each once. */
const duplicateStops = (world: World): StopCommand[] => {
  const stops = world.stops.filter(({ reason }) => reason === 'duplicate')
  return [...new Map(stops.map(stop => [`${stop.server} ${stop.task} ${stop.run}`, stop])).values()]
}

const duplicateEvents = (world: World): PlannerEvent[] => world.planner.drainEvents().filter(({ type }) => type === 'duplicate-run')

// Guards against two runs of one task that the owner knows of, and lets go on until one of them is done.
describe('planner that learns of a second run of a task', () => {
  let world: World
  /** The backend server on which this owner has started the task, and another one. */
  let holder: FakeServer
  let other: FakeServer
  let ownRun: number

  const startTask = (overrides: Parameters<typeof step>[0] = {}): void => {
    world = new World(2, { epoch: 2 })
    world.planner.submit(job('a', { steps: [step(overrides)] }))
    world.settle()
    holder = world.serverRunning(TASK)!
    other = world.servers.find(server => server !== holder)!
    ownRun = world.starts[0]!.run
  }

  beforeEach(() => startTask())

  describe('of an earlier owner', () => {
    it('stops the second one at once if it is no further', () => {
      plant(other, TASK, ownRun + 1)
      world.pollServers([other])
      world.round()
      expect(runningOn(world)).to.deep.equal([holder.entry.id])
      expect(duplicateStops(world).map(({ run }) => run)).to.deep.equal([ownRun + 1])
    })

    it('keeps the lower run number of two that are as far', () => {
      plant(other, TASK, 7)
      world.settle()
      expect(runningOn(world)).to.deep.equal([other.entry.id])
    })

    it('keeps the one with further progress', () => {
      setPercent(holder, TASK, 20)
      world.settle(1)
      plant(other, TASK, ownRun + 1, 60)
      world.settle()
      expect(runningOn(world)).to.deep.equal([other.entry.id])
      expect(world.starts).to.have.length(1)
    })

    it('reports both runs, where they are, and how they became known', () => {
      world.planner.drainEvents()
      plant(other, TASK, ownRun + 1)
      world.settle(5)
      expect(duplicateEvents(world)).to.deep.equal([{
        type: 'duplicate-run',
        task: TASK,
        run: ownRun + 1,
        server: other.entry.id,
        known: 'adopted',
        keptRun: ownRun,
        keptServer: holder.entry.id,
        keptKnown: 'answer',
        members: 1
      }])
    })

    it('counts an end of the stopped run as done', () => {
      other.stopsSlowly = true
      plant(other, TASK, ownRun + 1)
      world.settle()
      other.end(TASK, 'done')
      world.settle()
      expect(world.planner.phaseOf(jobId('a'))).to.equal('completed')
      expect(runningOn(world)).to.deep.equal([])
    })

    it('starts the task a third time only once both have ended, if the kept one is lost', () => {
      other.stopsSlowly = true
      plant(other, TASK, ownRun + 1)
      world.settle()
      holder.restart()
      world.settle()
      expect(runningOn(world)).to.deep.equal([other.entry.id])
      expect(world.starts).to.have.length(1)
      other.finishStops()
      world.settle()
      expect(runningOn(world)).to.have.length(1)
      expect(world.starts).to.have.length(2)
    })
  })

  describe('of a task that lasts', () => {
    it('lets one of them go on', () => {
      startTask({ isLasting: true })
      plant(other, TASK, ownRun + 1)
      world.settle()
      expect(runningOn(world)).to.deep.equal([holder.entry.id])
    })
  })

  describe('of a task of which copies may run', () => {
    it('stops none', () => {
      startTask({ allowsCopies: true })
      plant(other, TASK, ownRun + 1)
      world.settle()
      expect(runningOn(world)).to.have.length(2)
    })
  })

  describe('that has outlived the lease which the owner counted', () => {
    it('lets one of them go on', () => {
      setPercent(holder, TASK, 50)
      world.settle(1)
      holder.connectivity = 'silent'
      world.pollServers()
      world.round(LEASE_MILLISECONDS + 500)
      expect(world.starts).to.have.length(2)
      holder.connectivity = 'answers'
      world.settle()
      expect(runningOn(world)).to.deep.equal([holder.entry.id])
      expect(duplicateStops(world).map(({ run }) => run)).to.deep.equal([world.starts[1]!.run])
    })
  })

  describe('while the first is on a backend server that misses polls', () => {
    beforeEach(() => {
      setPercent(holder, TASK, 90)
      world.settle(1)
      holder.connectivity = 'silent'
      world.pollServers()
      plant(other, TASK, ownRun + 1)
      world.settle()
    })

    it('keeps the second, and stops the first once it is reachable', () => {
      expect(runningOn(world)).to.have.length(2)
      holder.connectivity = 'answers'
      world.settle(40)
      expect(runningOn(world)).to.deep.equal([other.entry.id])
      expect(world.starts).to.have.length(1)
    })
  })

  describe('that is further, on a backend server that can\'t keep it', () => {
    it('stops it there if its lease isn\'t renewed', () => {
      world.planner.holdServers(new Set([other.entry.id]))
      plant(other, TASK, 7, 30)
      world.settle()
      expect(runningOn(world)).to.deep.equal([holder.entry.id])
    })

    it('stops it there if that drains', () => {
      world.listServers(world.entries.map(entry => entry.id === other.entry.id ? { ...entry, isDraining: true, remainingMilliseconds: 2000 } : entry))
      plant(other, TASK, 7, 30)
      world.settle()
      expect(runningOn(world)).to.deep.equal([holder.entry.id])
    })
  })

  describe('while the start of another isn\'t answered', () => {
    const worldBeforeOutcome = (): void => {
      world = new World(2, { epoch: 2 })
      world.settle()
      world.planner.submit(job('a'))
      for (const server of world.servers) server.connectivity = 'delays-starts'
    }

    it('keeps the one that is listed', () => {
      worldBeforeOutcome()
      world.round()
      const [start] = world.starts
      const second = world.servers.find(server => server.entry.id !== start!.server)!
      for (const server of world.servers) server.connectivity = 'answers'
      plant(second, TASK, 7)
      world.pollServers([second])
      world.round()
      expect(duplicateStops(world).map(({ run }) => run)).to.deep.equal([start!.run])
      world.settle()
      expect(runningOn(world)).to.deep.equal([second.entry.id])
    })

    it('doesn\'t send the start if it waits to be sent', () => {
      worldBeforeOutcome()
      world.now += 10
      const [start] = world.planner.decide({ now: world.now, wallTime: world.wallTime })
      if (start?.type !== 'start') throw new Error('nothing was started')
      const second = world.servers.find(server => server.entry.id !== start.server)!
      plant(second, TASK, 7)
      world.pollServers([second])
      expect(world.planner.isStartDue(start)).to.equal(false)
    })
  })

  describe('while the first is being stopped', () => {
    it('lets the second go on', () => {
      holder.stopsSlowly = true
      world.listServers(world.entries.map(entry => entry.id === holder.entry.id ? { ...entry, isDraining: true, remainingMilliseconds: 0 } : entry))
      world.round()
      plant(other, TASK, ownRun + 1)
      world.settle()
      holder.finishStops()
      world.settle()
      expect(duplicateStops(world)).to.deep.equal([])
      expect(runningOn(world)).to.deep.equal([other.entry.id])
    })
  })

  describe('in the report that lists the end of the first', () => {
    it('stops none', () => {
      holder.end(TASK, 'failed')
      plant(holder, TASK, ownRun + 1)
      world.settle()
      expect(duplicateStops(world)).to.deep.equal([])
      expect(runningOn(world)).to.deep.equal([holder.entry.id])
    })
  })
})

describe('planner that learns of a second start of a gang', () => {
  const MEMBERS = ['a.0.0.0', 'a.0.0.1'] as const
  let world: World
  let ownRun: number
  /** Backend servers without a member that this owner has started. */
  let others: FakeServer[]

  const numbersRunning = (): Set<number> => new Set(world.servers.flatMap(({ running }) => [...running.values()].map(({ run }) => run)))

  beforeEach(() => {
    world = new World(4, { accelerators: 1, epoch: 2 })
    world.planner.submit(job('a', { steps: [step({ count: 2, isGang: true, savesCheckpoints: true })] }))
    world.settle()
    others = world.servers.filter(({ running }) => running.size === 0)
    ownRun = world.starts[0]!.run
    expect(others).to.have.length(2)
  })

  it('stops all of its members, and reports it once', () => {
    world.planner.drainEvents()
    MEMBERS.forEach((name, index) => plant(others[index]!, name, ownRun + 1))
    world.pollServers()
    world.round()
    expect([...numbersRunning()]).to.deep.equal([ownRun])
    expect(duplicateStops(world).map(({ task }) => task)).to.have.members([...MEMBERS])
    expect(duplicateEvents(world)).to.have.length(1)
  })

  it('stops all members of the first if the second is further', () => {
    MEMBERS.forEach((name, index) => plant(others[index]!, name, ownRun + 1, 50))
    world.pollServers()
    world.round()
    expect([...numbersRunning()]).to.deep.equal([ownRun + 1])
  })

  it('stops a member that is found later', () => {
    for (const server of others) server.stopsSlowly = true
    plant(others[0]!, MEMBERS[0], ownRun + 1)
    world.settle()
    plant(others[1]!, MEMBERS[1], ownRun + 1)
    world.pollServers()
    world.round()
    expect(duplicateStops(world).map(({ task }) => task)).to.have.members([...MEMBERS])
  })

  it('stops the kept start if the other one ends as done', () => {
    for (const server of others) server.stopsSlowly = true
    MEMBERS.forEach((name, index) => plant(others[index]!, name, ownRun + 1))
    world.settle()
    MEMBERS.forEach((name, index) => others[index]!.end(name, 'done'))
    world.settle()
    expect(world.planner.phaseOf(jobId('a'))).to.equal('completed')
    expect(numbersRunning().size).to.equal(0)
  })
})
