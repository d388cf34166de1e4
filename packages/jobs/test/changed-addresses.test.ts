import { expect } from 'chai'
import { storedJob } from './crash-play.js'
import { job, step, World, type FakeServer } from './world.js'

// Guards against runs that are taken for ended since another backend server answers at an address that isn't that of their own.
describe('a backend server whose entry names the address of another one', () => {
  const work = job('a', { steps: [step({ count: 2, accelerators: 8 })] })
  let world: World
  let moved: FakeServer
  let other: FakeServer

  const listMoved = (): void => world.listServers(world.entries.map(entry => entry.id === moved.entry.id ? { ...entry, address: other.entry.address } : entry))
  /** The other one answers a poll that is meant for it. */
  const reject = (): void => {
    world.now += 10
    world.planner.recordReplacement(moved.entry.id, other.entry.address, world.now)
    world.planner.recordMissedPoll(moved.entry.id, moved.incarnation)
  }

  beforeEach(() => {
    world = new World(3)
    world.planner.submit(work)
    world.settle()
    moved = world.serverRunning('a.0.0.0')!
    other = world.serverRunning('a.0.0.1')!
  })

  describe('and that answers a poll which was sent to its own address before', () => {
    const answerLate = (): void => {
      const sentAt = world.now + 10
      const { address } = world.planner.pollRequest(moved.entry.id, sentAt)!
      world.now += 20
      listMoved()
      world.planner.applyReport(moved.entry.id, { incarnation: 1, address, clock: 100_000 + world.now, running: [...moved.running.values()], ended: [], hasMoreEnds: false, sentAt, receivedAt: world.now }, world.wallTime)
    }

    it('keeps its runs when the other one answers its next poll', () => {
      answerLate()
      reject()
      world.round()
      expect(world.starts).to.have.length(2)
    })

    it('leaves the other one its runs', () => {
      answerLate()
      world.round()
      expect(world.starts).to.have.length(2)
    })

    it('has its runs recorded by the next owner at its own address', () => {
      world.takeOver(2, [storedJob(world, work)])
      answerLate()
      expect(world.planner.progressOf(work.id)!.steps['0.0']!.placements![moved.entry.id]).to.include({ address: moved.entry.address })
    })
  })

  // A new connection is identified before the poll is sent on it.
  describe('and that answers a poll which was prepared before the change and sent after it', () => {
    it('keeps its runs, and leaves the other one its own', () => {
      const { address } = world.planner.pollRequest(moved.entry.id, world.now)!
      world.now += 10
      listMoved()
      const sentAt = world.now + 10
      world.now += 20
      world.planner.applyReport(moved.entry.id, { incarnation: 1, address, clock: 100_000 + world.now, running: [...moved.running.values()], ended: [], hasMoreEnds: false, sentAt, receivedAt: world.now }, world.wallTime)
      reject()
      world.round()
      expect(world.starts).to.have.length(2)
    })
  })

  describe('when the next owner, which has recorded runs there, first reads the registry', () => {
    it('keeps its runs while the other one answers its polls', () => {
      const { planner, entries } = world
      const stored = storedJob(world, work)
      world.takeOver(2, [stored])
      world.planner.inheritServers(planner.serversToRecover(world.now), new Map(), true)
      world.listServers(entries.map(entry => entry.id === moved.entry.id ? { ...entry, address: other.entry.address } : entry))
      world.pollServers(world.servers.filter(server => server !== moved))
      reject()
      world.round()
      expect(world.starts).to.have.length(2)
    })
  })
})
