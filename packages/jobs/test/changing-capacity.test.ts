import { expect } from 'chai'
import { jobId, type Job, type StepSpecification } from '../src/index.js'
import { CapacityRecord } from './capacity-record.js'
import { CONFIGURATION, job, step, World, type FakeServer } from './world.js'

/** Backend servers that have answered a poll, with a record of what exceeds their capacity, which they don't guard by default; workspace `brno` has these accelerators guaranteed. */
const recordedWorld = (servers: number, guaranteedAccelerators = 0, perRack = 8, enforcesCapacity = false): { world: World, record: CapacityRecord } => {
  const world = new World(servers, { perRack })
  const pools = CONFIGURATION.pools.map(pool => ({ ...pool, enforcesCapacity }))
  world.planner.configure({ ...CONFIGURATION, pools, workspaces: CONFIGURATION.workspaces.map(workspace => workspace.name === 'brno' ? { ...workspace, guaranteedAccelerators } : workspace) })
  world.pollServers()
  return { world, record: new CapacityRecord(world) }
}

/** Jobs of one task with one accelerator. */
const singles = (prefix: string, count: number, overrides: Partial<StepSpecification> = {}): readonly Job[] =>
  Array.from({ length: count }, (_, index) => job(`${prefix}${index}`, { steps: [step(overrides)] }))

const gang = (id: string, tasks: number, accelerators: number, overrides: Parameters<typeof job>[1] = {}): Job =>
  job(id, { steps: [step({ count: tasks, isGang: true, accelerators })], ...overrides })

const claim = (id: string, tasks: number, accelerators: number): Job => gang(id, tasks, accelerators, { queue: 'urgent', workspace: 'brno' })

const phase = (world: World, id: string): string | undefined => world.planner.phaseOf(jobId(id))

const runningOn = (servers: readonly FakeServer[]): readonly number[] => servers.map(server => server.running.size)

describe('planner on backend servers whose capacity changes', () => {
  describe('when one shrinks below what it runs', () => {
    /** One of two backend servers runs eight tasks and shrinks to four accelerators. */
    const shrunkWorld = (): { world: World, record: CapacityRecord, shrunk: FakeServer, other: FakeServer } => {
      const { world, record } = recordedWorld(2)
      record.submit(...singles('a', 8))
      world.settle()
      const shrunk = world.servers.find(server => server.running.size === 8)!
      record.resize(shrunk, { accelerators: 4 })
      world.listServers()
      return { world, record, shrunk, other: world.servers.find(server => server !== shrunk)! }
    }

    it('stops nothing for it', () => {
      const { world, shrunk } = shrunkWorld()
      world.settle()
      expect(shrunk.running).to.have.length(8)
      expect(world.stops).to.have.length(0)
    })

    it('starts nothing there, and no more than fits elsewhere', () => {
      const { world, record, shrunk, other } = shrunkWorld()
      record.submit(...singles('b', 12))
      world.settle(6)
      expect(runningOn([shrunk, other])).to.deep.equal([8, 8])
      expect(record.violations).to.deep.equal([])
    })

    it('starts no task there that needs nothing of the exceeded resource', () => {
      const { world, record, other } = shrunkWorld()
      record.resize(other, { memory: 0 })
      world.listServers()
      record.submit(job('b', { steps: [step({ accelerators: 0 })] }))
      world.settle()
      expect(phase(world, 'b')).to.equal('queued')
    })

    it('starts there again only once enough runs have ended', () => {
      const { world, record, shrunk, other } = shrunkWorld()
      record.submit(...singles('b', 9))
      world.settle(4)
      for (const task of [...shrunk.running.keys()].slice(0, 4)) shrunk.end(task, 'done')
      world.settle()
      expect(runningOn([shrunk, other])).to.deep.equal([4, 8])
      shrunk.end([...shrunk.running.keys()][0]!, 'done')
      world.settle()
      expect(runningOn([shrunk, other])).to.deep.equal([4, 8])
      expect(record.violations).to.deep.equal([])
    })

    it('starts there again once it has grown back', () => {
      const { world, record, shrunk, other } = shrunkWorld()
      record.submit(...singles('b', 12))
      world.settle(4)
      record.resize(shrunk, { accelerators: 10 })
      world.listServers()
      world.settle(4)
      expect(runningOn([shrunk, other])).to.deep.equal([10, 8])
      expect(record.violations).to.deep.equal([])
    })

    it('counts runs that are being stopped', () => {
      const { world, record, shrunk, other } = shrunkWorld()
      shrunk.stopsSlowly = true
      record.submit(...singles('b', 9))
      world.settle(4)
      for (let index = 0; index < 5; index += 1) world.planner.cancel(jobId(`a${index}`), world.wallTime)
      world.settle()
      expect(runningOn([shrunk, other])).to.deep.equal([8, 8])
      shrunk.finishStops()
      world.settle()
      expect(runningOn([shrunk, other])).to.deep.equal([4, 8])
      expect(record.violations).to.deep.equal([])
    })
  })

  describe('when one shrinks to nothing', () => {
    it('starts nothing there until it has grown', () => {
      const { world, record } = recordedWorld(1, 8)
      const [server] = world.servers as [FakeServer]
      record.resize(server, { processor: 0, memory: 0, accelerators: 0 })
      world.listServers()
      record.submit(...singles('a', 2), gang('b', 2, 1), claim('c', 1, 1))
      world.settle(8)
      expect(world.starts).to.have.length(0)
      record.resize(server, { processor: 32_000, memory: 64_000, accelerators: 8 })
      world.listServers()
      world.settle(8)
      expect(server.running).to.have.length(5)
      expect(record.violations).to.deep.equal([])
    })
  })

  describe('when one shrinks after a gang was placed on it', () => {
    it('keeps the gang that was started, and starts nothing beside it', () => {
      const { world, record } = recordedWorld(2)
      record.submit(gang('a', 2, 8))
      world.round()
      for (const server of world.servers) record.resize(server, { accelerators: 4 })
      world.listServers()
      record.submit(gang('b', 2, 4))
      world.settle(6)
      expect(runningOn(world.servers)).to.deep.equal([1, 1])
      expect(world.stops).to.have.length(0)
      for (const server of world.servers) server.end([...server.running.keys()][0]!, 'done')
      world.settle()
      expect(phase(world, 'b')).to.equal('running')
      expect(record.violations).to.deep.equal([])
    })
  })

  describe('when one shrinks between the stops and the starts of a claim', () => {
    it('starts the claim where it fits', () => {
      const { world, record } = recordedWorld(2, 8)
      record.submit(...singles('a', 16, { savesCheckpoints: true }))
      world.settle(4)
      for (const server of world.servers) server.stopsSlowly = true
      record.submit(claim('b', 1, 8))
      world.settle(2)
      const stopping = world.servers.find(server => server.entry.id === world.stops[0]!.server)!
      record.resize(stopping, { accelerators: 4 })
      world.listServers()
      for (let time = 0; time < 4; time += 1) {
        for (const server of world.servers) server.finishStops()
        world.settle(2)
      }
      expect(world.serverRunning('b.0.0.0')).to.not.equal(stopping)
      expect(phase(world, 'b')).to.equal('running')
      expect(record.violations).to.deep.equal([])
    })
  })

  describe('when one shrinks that is reserved for a gang', () => {
    it('reserves another one, and lends what is left to work that fits', () => {
      const { world, record } = recordedWorld(2)
      record.submit(...singles('a', 8), ...singles('b', 4))
      world.settle(4)
      record.submit(gang('c', 1, 8, { queue: 'long' }))
      world.settle(2)
      const reserved = world.servers.find(server => server.running.size === 4)!
      const other = world.servers.find(server => server !== reserved)!
      record.resize(reserved, { accelerators: 6 })
      world.listServers()
      record.submit(...singles('d', 4))
      world.settle(4)
      expect(runningOn([reserved, other])).to.deep.equal([6, 8])
      for (const task of [...other.running.keys()]) other.end(task, 'done')
      world.settle(4)
      expect(world.serverRunning('c.0.0.0')).to.equal(other)
      expect(record.violations).to.deep.equal([])
    })
  })

  describe('when one runs what an owner doesn\'t know', () => {
    it('starts nothing there until that has ended, whatever the registry shows', () => {
      const { world, record } = recordedWorld(1)
      const [server] = world.servers as [FakeServer]
      record.submit(job('lost', { steps: [step({ accelerators: 6, savesCheckpoints: true })] }))
      world.settle()
      server.stopsSlowly = true
      world.takeOver(2, [])
      record.submit(...singles('a', 3, { savesCheckpoints: true }))
      world.settle(4)
      expect(server.running.has('lost.0.0.0')).to.equal(true)
      expect(world.stops.map(stop => stop.reason)).to.include('unknown-job')
      expect(world.starts).to.have.length(1)
      record.resize(server, { accelerators: 7 })
      world.listServers()
      world.settle()
      expect(record.violations).to.deep.equal([])
      server.finishStops()
      world.settle()
      expect(server.running).to.have.length(3)
      expect(record.violations).to.deep.equal([])
    })
  })

  describe('when one restarts with another capacity', () => {
    /** A backend server that has restarted with four accelerators, of which only its answers show the restart. */
    const restartedWorld = (enforcesCapacity = false): { world: World, record: CapacityRecord, server: FakeServer } => {
      const { world, record } = recordedWorld(1, 0, 8, enforcesCapacity)
      const [server] = world.servers as [FakeServer]
      world.settle()
      server.restart()
      record.resize(server, { accelerators: 4 })
      world.pollServers()
      return { world, record, server }
    }

    it('starts nothing there before the registry shows the new incarnation', () => {
      const { world, record, server } = restartedWorld()
      record.submit(...singles('a', 8))
      world.settle()
      world.listServers([{ ...server.entry, incarnation: 1 }])
      world.settle()
      expect(world.starts).to.have.length(0)
    })

    it('starts work there that a pool of guarded capacities may refuse, but none that requires a label', () => {
      const { world, record, server } = restartedWorld(true)
      record.submit(job('a'), job('b', { steps: [step({ requiredLabel: server.entry.labels[0]! })] }))
      world.settle()
      expect([...server.running.keys()]).to.deep.equal(['a.0.0.0'])
      world.listServers()
      world.settle()
      expect([...server.running.keys()]).to.deep.equal(['a.0.0.0', 'b.0.0.0'])
    })

    it('starts what fits once the registry shows it', () => {
      const { world, record, server } = restartedWorld()
      record.submit(...singles('a', 8))
      world.settle()
      world.listServers()
      world.settle()
      expect(server.running).to.have.length(4)
      expect(record.violations).to.deep.equal([])
    })

    it('starts nothing there before it has answered a poll, if the registry shows it first', () => {
      const { world, record, server } = restartedWorld()
      server.restart()
      world.listServers()
      record.submit(...singles('a', 8))
      world.round()
      expect(world.starts).to.have.length(0)
      world.settle()
      expect(server.running).to.have.length(4)
    })
  })

  describe('when one shrinks that runs work with checkpoints', () => {
    it('lends no more than stopping that work would make available again', () => {
      const { world, record } = recordedWorld(2, 8)
      record.submit(...singles('a', 5))
      world.settle()
      record.submit(...singles('b', 11, { savesCheckpoints: true }))
      world.settle()
      const shrunk = world.servers.find(server => !server.running.has('a0.0.0.0'))!
      record.resize(shrunk, { accelerators: 0 })
      world.listServers()
      const other = world.servers.find(server => server !== shrunk)!
      for (const task of [...other.running.keys()].filter(name => name.startsWith('b'))) other.end(task, 'done')
      record.submit(...singles('c', 3))
      world.settle()
      expect(runningOn([shrunk, other])).to.deep.equal([8, 5])
      record.submit(claim('d', 1, 3))
      world.settle()
      expect(world.serverRunning('d.0.0.0')).to.equal(other)
      expect(world.stops).to.have.length(0)
    })
  })

  describe('when one shrinks far below what it runs', () => {
    /** Two racks of two backend servers each; the first one runs 24 tasks and has shrunk to nothing, the third one runs as many as given. */
    const overloadedWorld = (tasksOnThird: number): { world: World, record: CapacityRecord, servers: readonly FakeServer[] } => {
      const { world, record } = recordedWorld(4, 0, 2)
      const { servers } = world
      const fill = (server: FakeServer, jobs: readonly Job[]): void => {
        for (const other of servers) record.resize(other, { accelerators: 0 })
        record.resize(server, { accelerators: 24 })
        world.listServers()
        record.submit(...jobs)
        world.settle(2)
      }
      fill(servers[2]!, singles('a', tasksOnThird))
      fill(servers[0]!, singles('b', 24))
      for (const server of servers) record.resize(server, { accelerators: server === servers[0] ? 0 : 8 })
      world.listServers()
      return { world, record, servers }
    }

    it('still counts the free accelerators of the others, so that work that fits does not wait for a better place', () => {
      const { world, record, servers } = overloadedWorld(1)
      record.submit(job('c', { steps: [step({ count: 2, accelerators: 8, isGang: true, wantsOneRack: true })] }))
      world.settle()
      expect(phase(world, 'c')).to.equal('queued')
      world.now += 2500
      world.listServers()
      world.round()
      expect(runningOn(servers)).to.deep.equal([24, 1, 1, 1])
    })

    it('still counts the free accelerators of the others for the metrics', () => {
      expect(overloadedWorld(1).world.planner.load.acceleratorsFree).to.equal(23)
    })

    it('still finds the fullest rack that holds a gang', () => {
      const { world, record, servers } = overloadedWorld(6)
      record.resize(servers[3]!, { accelerators: 4 })
      world.listServers()
      record.submit(job('c', { steps: [step({ count: 2, accelerators: 2, isGang: true, wantsOneRack: true })] }))
      world.settle()
      expect(runningOn(servers)).to.deep.equal([24, 0, 7, 1])
    })
  })
})
