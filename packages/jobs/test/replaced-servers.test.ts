import { expect } from 'chai'
import { jobId, LEASE_MILLISECONDS, serverId, type PlannerEvent } from '../src/index.js'
import { play, replaceServer } from './crash-play.js'
import { FakeServer, job, step, World } from './world.js'

const TASK = 'a.0.0.0'
/** How long a backend server is gone until another one is there. */
const GONE_MILLISECONDS = 3000
/** Longest time from an answer to the next start: a step of the play, and a round. */
const NEXT_START_MILLISECONDS = 120

// Guards against runs on a crashed backend server that hold their tasks until the leases have expired.
describe('runs on a backend server that has ended', () => {
  let world: World
  let holder: FakeServer
  let lostAt: number
  let events: PlannerEvent[]

  const playOn = (milliseconds: number): void => play(world, milliseconds, { afterStep: () => events.push(...world.planner.drainEvents()) })

  /** Plays until a run of the task has begun anew, and returns how long that took since the loss. */
  const idleMilliseconds = (): number => {
    const before = world.starts.length
    while (world.starts.length === before && world.now < lostAt + 3 * LEASE_MILLISECONDS) playOn(1)
    return world.now - lostAt
  }

  const expectFullWait = (): void => {
    expect(idleMilliseconds()).to.be.at.least(LEASE_MILLISECONDS)
  }

  const lose = (): void => {
    holder = world.serverRunning(TASK)!
    holder.crash(Infinity)
    lostAt = world.now
  }

  const listAllBut = (...gone: readonly FakeServer[]): void => world.listServers(world.entries.filter(({ id }) => !gone.some(({ entry }) => entry.id === id)))

  /** Lists another backend server at the address of the lost one. */
  const replace = (): FakeServer => {
    const replacement = replaceServer(world, holder)
    listAllBut(holder)
    return replacement
  }

  const lostRuns = (): number => events.filter(({ type }) => type === 'run-lost-with-server').length

  beforeEach(() => {
    world = new World(4)
    events = []
    world.planner.submit(job('a'))
    playOn(1000)
    lose()
  })

  describe('and another one answers at its address', () => {
    it('hold their task no longer', () => {
      playOn(GONE_MILLISECONDS)
      replace()
      expect(idleMilliseconds()).to.be.at.most(GONE_MILLISECONDS + NEXT_START_MILLISECONDS)
    })

    it('count once as lost', () => {
      playOn(GONE_MILLISECONDS)
      replace()
      playOn(2 * LEASE_MILLISECONDS)
      expect(lostRuns()).to.equal(1)
      expect(world.planner.load.runs).to.equal(1)
    })

    it('count as lost after the time that they had worked if no poll was missed before', () => {
      const replacement = replace()
      world.now += 10
      world.pollServers([replacement])
      world.round()
      expect(world.starts).to.have.length(2)
      expect(world.planner.progressOf(jobId('a'))!.steps['0.0']!.crashes!['0']![0]![1]).to.be.within(950, 1100)
      playOn(1000)
      expect(lostRuns()).to.equal(1)
    })

    it('count as crashed by a gang that all its backend servers were lost with', () => {
      world = new World(8)
      for (const task of [TASK, 'a.0.0.1', 'a.0.0.2']) world.deadlyTasks.set(task, 'after-answer')
      world.crashMilliseconds = Infinity
      playOn(500)
      world.planner.submit(job('a', { steps: [step({ count: 3, accelerators: 8, isGang: true })] }))
      playOn(1000)
      const crashed = world.servers.filter(({ connectivity }) => connectivity === 'silent')
      expect(crashed).to.have.length(3)
      world.deadlyTasks.clear()
      for (const server of crashed) replaceServer(world, server)
      listAllBut(...crashed)
      playOn(2000)
      expect(events.filter(({ type }) => type === 'crash-attributed')).to.have.length(3)
    })

    it('let their gang start anew', () => {
      world = new World(4)
      world.planner.submit(job('a', { steps: [step({ count: 3, accelerators: 8, isGang: true })] }))
      playOn(1000)
      lose()
      for (const task of ['a.0.0.1', 'a.0.0.2']) world.serverRunning(task)!.end(task, 'broken')
      playOn(GONE_MILLISECONDS)
      replace()
      expect(idleMilliseconds()).to.be.at.most(GONE_MILLISECONDS + NEXT_START_MILLISECONDS)
      expect(world.starts.slice(-3).map(({ task }) => task)).to.have.members([TASK, 'a.0.0.1', 'a.0.0.2'])
    })
  })

  describe('and another one answers polls meant for it, but isn\'t registered', () => {
    const answerUnlisted = (): FakeServer => {
      world.answersForOthers = true
      return replaceServer(world, holder)
    }

    it('hold their task no longer', () => {
      playOn(GONE_MILLISECONDS)
      answerUnlisted()
      expect(idleMilliseconds()).to.be.at.most(GONE_MILLISECONDS + NEXT_START_MILLISECONDS)
    })

    it('count once as lost, also when the other one is registered later', () => {
      playOn(GONE_MILLISECONDS)
      answerUnlisted()
      playOn(1000)
      expect(lostRuns()).to.equal(1)
      listAllBut(holder)
      playOn(2 * LEASE_MILLISECONDS)
      expect(lostRuns()).to.equal(1)
      expect(world.planner.load.runs).to.equal(1)
    })

    it('don\'t count as lost if it had been drained', () => {
      world.listServers(world.entries.map(entry => entry.id === holder.entry.id ? { ...entry, incarnation: 1, isDraining: true, remainingMilliseconds: 1000 } : entry))
      playOn(200)
      answerUnlisted()
      expect(idleMilliseconds()).to.be.at.most(500)
      playOn(1000)
      expect(lostRuns()).to.equal(0)
    })
  })

  describe('hold their task until the leases have expired', () => {
    it('if another one is registered at its address and doesn\'t answer', () => {
      playOn(GONE_MILLISECONDS)
      replace().connectivity = 'silent'
      expectFullWait()
    })

    it('if it has answered since the other one did', () => {
      world = new World(4)
      world.planner.submit(job('a'))
      playOn(1000)
      holder = world.serverRunning(TASK)!
      const earlier = new FakeServer({ ...holder.entry, id: serverId('earlier') })
      world.servers.push(earlier)
      world.listServers()
      world.pollServers([earlier])
      earlier.connectivity = 'silent'
      world.now += 10
      world.pollServers([holder])
      holder.connectivity = 'silent'
      lostAt = world.now
      expectFullWait()
    })

    for (const [name, address, offset] of [['before it last answered', undefined, -500], ['at another address', '10.9.9.9:80', 500]] as const) {
      it(`if the other one answered a poll meant for it ${name}`, () => {
        playOn(1000)
        world.planner.recordReplacement(holder.entry.id, address ?? holder.entry.address, lostAt + offset)
        expectFullWait()
      })
    }

    it('if its row names the address of the other one only since', () => {
      holder.connectivity = 'silent'
      const { address } = world.servers.find(server => server !== holder)!.entry
      world.listServers(world.entries.map(entry => entry.id === holder.entry.id ? { ...entry, address, incarnation: 1 } : entry))
      expectFullWait()
    })
  })

  describe('and a start that was sent there hasn\'t been answered', () => {
    for (const [time, milliseconds] of [['at once', 0], ['a while after its row', 500]] as const) {
      it(`is stopped if the id is back and answers ${time}`, () => {
        world = new World(4)
        world.settle()
        for (const server of world.servers) server.connectivity = 'delays-starts'
        world.planner.submit(job('a'))
        world.round()
        holder = world.servers.find(server => server.delayed.length > 0)!
        const [late] = holder.delayed
        for (const server of world.servers) server.connectivity = 'answers'
        holder.crash(Infinity)
        playOn(1000)
        const replacement = replace()
        playOn(300)
        expect(world.starts).to.have.length(2)
        replacement.connectivity = 'silent'
        holder.restart()
        listAllBut(replacement)
        playOn(milliseconds)
        holder.connectivity = 'answers'
        playOn(300)
        holder.start(late!)
        playOn(300)
        expect(world.stops.filter(({ server, run }) => server === holder.entry.id && run === late!.run)).not.to.have.length(0)
        expect(world.servers.filter(({ running }) => running.has(TASK))).to.have.length(1)
      })
    }
  })

  describe('and it is back under its id', () => {
    it('hold their task until its first answer at most', () => {
      playOn(GONE_MILLISECONDS)
      holder.connectivity = 'answers'
      expect(idleMilliseconds()).to.be.at.most(GONE_MILLISECONDS + NEXT_START_MILLISECONDS)
    })

    it('hold their task until its row in the registry shows it at most', () => {
      playOn(GONE_MILLISECONDS)
      world.listServers()
      expect(idleMilliseconds()).to.be.at.most(GONE_MILLISECONDS + NEXT_START_MILLISECONDS)
    })
  })
})
