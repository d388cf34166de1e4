import { expect } from 'chai'
import { jobId, type StartCommand, type StoredJob } from '../src/index.js'
import { job, step, World, type FakeServer } from './world.js'

const TASKS = 6
const LISTED = 3
const TASK_NAMES = Array.from({ length: TASKS }, (_, index) => `a.0.0.${index}`)

// Guards against starting tasks again whose ends a backend server keeps behind a list that is cut.
describe('a list of ends that is cut', () => {
  let world: World
  let server: FakeServer

  const endAll = (): void => { for (const task of TASK_NAMES) server.end(task, 'done') }

  beforeEach(() => {
    world = new World(1)
    server = world.servers[0]!
    server.mostListedEnds = LISTED
    world.planner.submit(job('a', { steps: [step({ count: TASKS, accelerators: 0 })] }))
    world.settle()
    expect(server.running.size).to.equal(TASKS)
  })

  describe('while the store accepts no writes', () => {
    beforeEach(() => {
      world.isStoreAvailable = false
      endAll()
      world.settle()
    })

    it('doesn\'t make the planner start a task again whose end it lacks', () => {
      expect(world.starts).to.have.length(TASKS)
    })

    it('doesn\'t make runs seem stuck that have ended', () => {
      for (let time = 0; time < 10; time += 1) {
        world.now += 1000
        world.settle()
      }
      expect(world.stops).to.deep.equal([])
    })

    it('lets the job complete once the ends are stored', () => {
      world.isStoreAvailable = true
      world.settle()
      expect(world.planner.phaseOf(jobId('a'))).to.equal('completed')
      expect(world.starts).to.have.length(TASKS)
      expect(server.ended).to.deep.equal([])
    })

    it('doesn\'t make the planner give up a start without an answer, which may have ended', () => {
      world.planner.submit(job('b', { steps: [step({ accelerators: 0 })] }))
      server.connectivity = 'loses-start-answers'
      world.round()
      server.connectivity = 'answers'
      server.end('b.0.0.0', 'done')
      world.now += 5
      world.pollServers()
      expect(world.round().filter(command => command.type === 'stop')).to.deep.equal([])
    })
  })

  describe('when the owner changes', () => {
    const stored: StoredJob = { job: job('a', { steps: [step({ count: TASKS, accelerators: 0 })] }), isCancelled: false, progress: { hasBegun: true, steps: {} } }

    beforeEach(() => {
      endAll()
      world.isStoreAvailable = false
      world.takeOver(2, [stored])
      world.settle()
    })

    it('doesn\'t make the new owner start tasks again whose ends it lacks', () => {
      expect(world.starts).to.have.length(TASKS)
    })

    it('doesn\'t make it do so once the leases of the earlier owner have expired', () => {
      for (let time = 0; time < 12; time += 1) {
        world.now += 1000
        world.settle()
      }
      expect(world.starts).to.have.length(TASKS)
    })

    it('doesn\'t make it do so for a missed poll while it renews leases there', () => {
      server.start({ task: 'b.0.0.0', run: 1_000_099 } as unknown as StartCommand)
      world.takeOver(2, [stored, { job: job('b'), isCancelled: false, progress: { hasBegun: true, steps: {} } }])
      world.servers.push(new World(2).servers[1]!)
      for (let time = 0; time < 12; time += 1) {
        world.now += 1000
        world.listServers()
        world.settle()
      }
      server.connectivity = 'silent'
      world.settle()
      expect(world.starts).to.have.length(TASKS)
    })

    it('keeps the backend server recorded for the next owner while it drains', () => {
      world.listServers(world.entries.map(entry => ({ ...entry, isDraining: true })))
      for (let time = 0; time < 12; time += 1) {
        world.now += 1000
        world.settle()
      }
      expect([...world.planner.serversToRecover(world.now)]).to.deep.equal([server.entry.id])
    })

    it('lets the job complete once the ends are stored', () => {
      world.isStoreAvailable = true
      world.settle()
      expect(world.planner.phaseOf(jobId('a'))).to.equal('completed')
      expect(world.starts).to.have.length(TASKS)
    })

    it('lets tasks without an end start once the list is complete', () => {
      server.ended.splice(LISTED)
      world.isStoreAvailable = true
      world.settle()
      expect(world.starts).to.have.length(TASKS + (TASKS - LISTED))
    })

    it('lets the tasks start elsewhere once the backend server is unreachable and its leases have expired', () => {
      server.connectivity = 'silent'
      const other = new World(2).servers[1]!
      world.servers.push(other)
      for (let time = 0; time < 8; time += 1) {
        world.now += 1000
        world.listServers()
        world.settle()
      }
      expect(world.starts.slice(TASKS).map(start => start.server)).to.deep.equal(Array(TASKS - LISTED).fill(other.entry.id))
    })
  })
})
