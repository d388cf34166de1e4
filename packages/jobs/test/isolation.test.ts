import { expect } from 'chai'
import { decodeProgress, jobId, type Job, type StoredJob } from '../src/index.js'
import { play, runsOf } from './crash-play.js'
import { job, step, World } from './world.js'

const phase = (world: World, id: string): string | undefined => world.planner.phaseOf(jobId(id))

/** The users' limits for waiting work that has room, and for claims of a guarantee. */
const STANDSTILL_MILLISECONDS = 3000
const RECLAIM_MILLISECONDS = 2700

/** A job under whose first task two backend servers have crashed. */
const suspect = (work: Job, lost = [1, 2]): StoredJob =>
  ({ job: work, isCancelled: false, progress: decodeProgress(JSON.stringify({ hasBegun: true, steps: { '0.0': { done: [], failed: {}, lost: { 0: lost } } } })) })

/** A world whose owner has loaded these jobs, after it has started the others where the test wants them. */
const worldWith = (servers: number, others: readonly Job[], stored: readonly StoredJob[]): World => {
  const world = new World(servers)
  for (const each of others) world.planner.submit(each)
  world.settle()
  world.takeOver(2, [...others.map(each => ({ job: each, isCancelled: false })), ...stored])
  world.pollServers()
  return world
}

const serverOf = (world: World, task: string): string | undefined => world.serverRunning(task)?.entry.id

describe('a task under which backend servers have crashed', () => {
  const four = job('a', { steps: [step({ accelerators: 4 })] })

  describe('once', () => {
    it('is started beside other tasks', () => {
      const world = worldWith(2, [job('b')], [suspect(four, [1])])
      play(world, 1000)
      expect(serverOf(world, 'a.0.0.0')).to.equal(serverOf(world, 'b.0.0.0'))
    })
  })

  describe('twice', () => {
    it('is started where nothing else runs', () => {
      const world = worldWith(2, [job('b')], [suspect(four)])
      play(world, 1000)
      expect(serverOf(world, 'a.0.0.0')).not.to.be.oneOf([undefined, serverOf(world, 'b.0.0.0')])
    })

    it('has nothing started beside it', () => {
      const world = worldWith(2, [job('b')], [suspect(four)])
      play(world, 500)
      world.planner.submit(job('c'))
      play(world, 500)
      expect(serverOf(world, 'c.0.0.0')).to.equal(serverOf(world, 'b.0.0.0'))
    })

    it('has nothing started beside it in the round that starts it', () => {
      const world = worldWith(2, [], [suspect(four)])
      world.planner.submit(job('c'))
      play(world, 500)
      expect(serverOf(world, 'c.0.0.0')).not.to.be.oneOf([undefined, serverOf(world, 'a.0.0.0')])
    })

    it('is started beside the fewest others if none is empty for long', () => {
      const others = [
        job('b', { steps: [step({ count: 3, requiredLabel: 'r1-0' })] }),
        job('c', { steps: [step({ requiredLabel: 'r1-1' })] })
      ]
      const world = new World(2, { perRack: 1 })
      for (const each of others) world.planner.submit(each)
      world.settle()
      world.takeOver(2, [...others.map(each => ({ job: each, isCancelled: false })), suspect(four)])
      play(world, 1000)
      expect(serverOf(world, 'a.0.0.0')).to.equal(undefined)
      play(world, STANDSTILL_MILLISECONDS - 1000)
      expect(serverOf(world, 'a.0.0.0')).to.equal('server-1')
    })

    it('keeps no other task waiting for long while the pool is idle', () => {
      const world = worldWith(1, [], [suspect(job('a'))])
      play(world, 500)
      world.planner.submit(job('c'))
      play(world, 1000)
      expect(runsOf(world, 'c.0.0.0')).to.equal(0)
      play(world, STANDSTILL_MILLISECONDS - 1000)
      expect(phase(world, 'c')).to.equal('running')
    })

    it('keeps no claim waiting for longer than a reclaim may take', () => {
      const world = worldWith(1, [], [suspect(job('a'))])
      play(world, 500)
      world.planner.submit(job('c', { queue: 'urgent', workspace: 'brno', steps: [step({ accelerators: 4 })] }))
      play(world, RECLAIM_MILLISECONDS)
      expect(phase(world, 'c')).to.equal('running')
    })

    it('is not stopped for a claim where other work can be', () => {
      const eight = [step({ accelerators: 8 })]
      const world = worldWith(2, [job('b', { steps: eight })], [suspect(job('a', { steps: eight }))])
      play(world, 1000)
      world.planner.submit(job('c', { queue: 'urgent', workspace: 'brno', steps: eight }))
      play(world, RECLAIM_MILLISECONDS)
      expect(world.stops.map(stop => stop.task)).to.deep.equal(['b.0.0.0'])
    })

    it('keeps no task of its step waiting that has crashed nothing', () => {
      const world = worldWith(2, [job('b')], [suspect(job('a', { steps: [step({ count: 3 })] }))])
      world.servers[1]!.connectivity = 'silent'
      play(world, 1000)
      expect([0, 1, 2].map(index => serverOf(world, `a.0.0.${index}`))).to.deep.equal([undefined, 'server-0', 'server-0'])
    })

    it('has its gang share backend servers on which nothing else runs', () => {
      const world = worldWith(3, [job('b')], [suspect(job('a', { steps: [step({ count: 4, accelerators: 4, isGang: true })] }))])
      play(world, 1000)
      const members = [0, 1, 2, 3].map(index => serverOf(world, `a.0.0.${index}`))
      expect(new Set(members).size).to.equal(2)
      expect(members).not.to.include(serverOf(world, 'b.0.0.0'))
    })
  })
})

describe('tasks that are suspects until many backend servers are seen to have crashed', () => {
  it('are no longer isolated then', () => {
    const tasks = Array.from({ length: 8 }, (_, index) => index)
    const lost = Object.fromEntries(tasks.map(index => [index, [1]]))
    const work = job('a', { steps: [step({ count: tasks.length, accelerators: 3 })] })
    const world = worldWith(4, [], [{ job: work, isCancelled: false, progress: { hasBegun: true, steps: { '0.0': { done: [], failed: {}, lost, crashes: {} } } } }])
    play(world, 3000)
    for (const server of world.servers) server.crash(world.now + 500)
    play(world, 3000)
    expect(tasks.map(index => serverOf(world, `a.0.0.${index}`))).not.to.include(undefined)
    world.planner.submit(job('c'))
    play(world, 500)
    expect(phase(world, 'c')).to.equal('running')
  })
})

describe('a run that is not lost with its backend server', () => {
  const world = (): World => {
    const started = new World(1)
    started.planner.submit(job('a'))
    started.settle()
    return started
  }
  const stepsOf = ({ planner }: World): unknown => planner.progressOf(jobId('a'))?.steps

  it('counts nothing if the next incarnation lists it', () => {
    const restarted = world()
    restarted.servers[0]!.incarnation += 1
    restarted.listServers()
    restarted.settle()
    expect(stepsOf(restarted)).to.deep.equal({ '0.0': { done: [], failed: {}, placements: { 'server-0': { address: '10.0.0.0:80', tasks: [0] } } } })
  })

  it('counts nothing if it was stopped before', () => {
    const restarted = world()
    restarted.planner.cancel(jobId('a'), restarted.wallTime)
    restarted.round()
    restarted.servers[0]!.restart()
    restarted.settle()
    expect(stepsOf(restarted)).to.deep.equal({})
  })

  it('counts nothing if its backend server was to shut down', () => {
    const restarted = world()
    const [server] = restarted.servers
    restarted.listServers([{ ...server!.entry, isDraining: true }])
    restarted.settle()
    server!.restart()
    restarted.settle()
    expect(stepsOf(restarted)).to.deep.equal({})
  })
})
