import { expect } from 'chai'
import { storedJob } from './crash-play.js'
import { job, World, type FakeServer } from './world.js'

/** Start times of the incarnations of a backend server in their order; the clock of its VM is set back before the last one. */
const [FIRST, SECOND, THIRD] = [10, 50, 40]

// Guards against runs that are taken for ended by an entry of an incarnation which ended before them.
describe('an entry of the registry that is read late, after a clock was set back', () => {
  let world: World
  let holder: FakeServer

  const restartAll = (incarnation: number): void => {
    for (const server of world.servers) {
      server.restart()
      server.incarnation = incarnation
    }
    world.now += 10
  }
  const listAll = (incarnation: number): void => world.listServers(world.servers.map(({ entry }) => ({ ...entry, incarnation })))
  const runTask = (): void => {
    world.planner.submit(job('a'))
    world.settle()
    expect(world.starts).to.have.length(1)
    holder = world.serverRunning('a.0.0.0')!
  }
  const missPoll = (): void => {
    holder.connectivity = 'silent'
    world.now += 10
    world.pollServers()
  }

  beforeEach(() => {
    world = new World(2)
    for (const server of world.servers) server.incarnation = FIRST
    world.takeOver(2, [])
    world.pollServers()
  })

  it('ends no run of the third incarnation if it is of the second one, which had answered', () => {
    restartAll(SECOND)
    world.pollServers()
    restartAll(THIRD)
    world.pollServers()
    runTask()
    missPoll()
    listAll(SECOND)
    world.settle()
    expect(world.starts).to.have.length(1)
  })

  it('ends no run of the third incarnation if it is of the second one, which had not answered', () => {
    restartAll(THIRD)
    world.pollServers()
    runTask()
    missPoll()
    listAll(SECOND)
    world.settle()
    expect(world.starts).to.have.length(1)
  })

  it('ends no run of the third incarnation if that was listed before it', () => {
    restartAll(SECOND)
    world.pollServers()
    restartAll(THIRD)
    world.pollServers()
    listAll(THIRD)
    runTask()
    missPoll()
    listAll(SECOND)
    world.settle()
    expect(world.starts).to.have.length(1)
  })

  it('ends no run that an earlier owner has started and this one has found', () => {
    restartAll(THIRD)
    world.pollServers()
    runTask()
    const stored = storedJob(world, job('a'))
    for (const server of world.servers) server.incarnation = FIRST
    world.takeOver(3, [stored])
    for (const server of world.servers) server.incarnation = THIRD
    world.pollServers()
    missPoll()
    listAll(SECOND)
    world.settle()
    expect(world.starts).to.have.length(1)
  })

  it('ends the runs at once if it is of a later incarnation than the one that was listed', () => {
    restartAll(THIRD)
    world.pollServers()
    listAll(THIRD)
    runTask()
    missPoll()
    listAll(SECOND)
    world.settle()
    expect(world.starts).to.have.length(2)
  })
})
