import { expect } from 'chai'
import { decodeProgress, encodeProgress, jobId, LEASE_MILLISECONDS, type Job } from '../src/index.js'
import { play, replaceServer, runsOf, storedJob } from './crash-play.js'
import { job, step, World, type CrashTime, type FakeServer } from './world.js'

const phase = (world: World, id: string): string | undefined => world.planner.phaseOf(jobId(id))

/** Three crashes show that a task crashes its backend servers; it is started once more at most. */
const MOST_RUNS = 4
const LONG_ENOUGH_MILLISECONDS = 60_000
/** The users' limit for waiting work that has room. */
const STANDSTILL_MILLISECONDS = 3000

const worldWith = (servers: number, work: Job, deadly: readonly string[], crash: CrashTime = 'after-answer'): World => {
  const world = new World(servers)
  for (const task of deadly) world.deadlyTasks.set(task, crash)
  world.planner.submit(work)
  return world
}

const gang = (count: number): Job => job('a', { steps: [step({ count, accelerators: 8, isGang: true })] })

describe('a task that crashes backend servers', () => {
  describe('alone', () => {
    for (const crash of ['before-answer', 'after-answer'] as const) {
      it(`is given up if it crashes them ${crash.replace('-', ' its start has an ')}`, () => {
        const world = worldWith(6, job('a'), ['a.0.0.0'], crash)
        play(world, LONG_ENOUGH_MILLISECONDS)
        expect(runsOf(world, 'a.0.0.0')).to.be.within(3, MOST_RUNS)
        expect(phase(world, 'a')).to.equal('failed')
      })
    }

    it('is given up if they are back only after their leases have expired', () => {
      const world = worldWith(6, job('a'), ['a.0.0.0'])
      world.crashMilliseconds = LEASE_MILLISECONDS + 3000
      play(world, LONG_ENOUGH_MILLISECONDS)
      expect(runsOf(world, 'a.0.0.0')).to.be.within(3, MOST_RUNS)
      expect(phase(world, 'a')).to.equal('failed')
    })

    for (const [time, milliseconds] of [['at once', 0], ['after their leases have expired', LEASE_MILLISECONDS + 3000]] as const) {
      it(`is given up if they are back ${time} under other ids at their addresses`, () => {
        const world = worldWith(6, job('a'), ['a.0.0.0'])
        const crashedAt = new Map<FakeServer, number>()
        const replaced = new Set<FakeServer>()
        play(world, LONG_ENOUGH_MILLISECONDS, {
          afterStep: () => {
            for (const server of world.servers.filter(({ backAt }) => backAt < Infinity)) {
              server.backAt = Infinity
              crashedAt.set(server, world.now)
            }
            for (const [server, at] of crashedAt) {
              if (replaced.has(server) || world.now < at + milliseconds) continue
              replaced.add(server)
              replaceServer(world, server)
            }
            world.listServers(world.servers.filter(server => !crashedAt.has(server)).map(server => ({ ...server.entry, incarnation: server.incarnation })))
          }
        })
        expect(replaced.size).to.be.at.least(3)
        expect(runsOf(world, 'a.0.0.0')).to.be.at.most(MOST_RUNS)
        expect(phase(world, 'a')).to.equal('failed')
      })
    }

    it('is given up if they leave the registry and are back under their ids', () => {
      const world = worldWith(6, job('a'), ['a.0.0.0'])
      world.crashMilliseconds = LEASE_MILLISECONDS + 3000
      play(world, LONG_ENOUGH_MILLISECONDS, {
        afterStep: () => world.listServers(world.servers.filter(server => server.backAt === Infinity).map(server => ({ ...server.entry, incarnation: server.incarnation })))
      })
      expect(runsOf(world, 'a.0.0.0')).to.be.within(3, MOST_RUNS)
      expect(phase(world, 'a')).to.equal('failed')
    })

    it('leaves the backend servers healthy that it has crashed', () => {
      const world = worldWith(1, job('a'), ['a.0.0.0'])
      play(world, LONG_ENOUGH_MILLISECONDS)
      world.planner.submit(job('b'))
      world.settle()
      expect(phase(world, 'a')).to.equal('failed')
      expect(phase(world, 'b')).to.equal('running')
    })

    it('is started however often if it is long-running', () => {
      const world = worldWith(6, job('a', { steps: [step({ isLasting: true })] }), ['a.0.0.0'])
      play(world, LONG_ENOUGH_MILLISECONDS)
      expect(phase(world, 'a')).to.equal('running')
      expect(runsOf(world, 'a.0.0.0')).to.be.above(MOST_RUNS)
    })
  })

  describe('as a member of a gang', () => {
    it('has the job given up', () => {
      const world = worldWith(6, gang(3), ['a.0.0.1'])
      play(world, LONG_ENOUGH_MILLISECONDS)
      expect(runsOf(world, 'a.0.0.1')).to.be.within(3, MOST_RUNS)
      expect(phase(world, 'a')).to.equal('failed')
    })

    it('counts once a run whose members crash their backend servers at the same moment', () => {
      const world = worldWith(6, gang(3), ['a.0.0.0', 'a.0.0.1', 'a.0.0.2'])
      play(world, 5000)
      expect(phase(world, 'a')).to.equal('running')
      play(world, LONG_ENOUGH_MILLISECONDS)
      expect(runsOf(world, 'a.0.0.0')).to.be.within(3, MOST_RUNS)
      expect(phase(world, 'a')).to.equal('failed')
    })
  })

  describe('beside other tasks', () => {
    const innocent = Array.from({ length: 12 }, (_, index) => job(`innocent-${index}`))

    it('takes none of them with it, and keeps none of them waiting', () => {
      const world = worldWith(4, job('a'), ['a.0.0.0'])
      for (const each of innocent) world.planner.submit(each)
      const lastRunAt = new Map<string, number>()
      let longestGap = 0
      play(world, LONG_ENOUGH_MILLISECONDS, {
        workMilliseconds: 2500,
        afterStep: () => {
          for (const { id } of innocent) {
            const isSettling = world.servers.some(server => server.backAt < Infinity && server.entry.id === world.starts.findLast(start => start.task === `${id}.0.0.0`)?.server)
            if (isSettling || world.serverRunning(`${id}.0.0.0`) !== undefined || phase(world, id) === 'completed') lastRunAt.set(id, world.now)
            longestGap = Math.max(longestGap, world.now - (lastRunAt.get(id) ?? 1000))
          }
        }
      })
      expect(innocent.map(({ id }) => phase(world, id))).to.deep.equal(innocent.map(() => 'completed'))
      expect(phase(world, 'a')).to.equal('failed')
      expect(runsOf(world, 'a.0.0.0')).to.be.at.most(MOST_RUNS)
      expect(longestGap).to.be.below(STANDSTILL_MILLISECONDS)
    })

    it('takes none of them with it where there are several of its kind', () => {
      const deadly = Array.from({ length: 5 }, (_, index) => job(`deadly-${index}`))
      const world = new World(8)
      for (const { id } of deadly) world.deadlyTasks.set(`${id}.0.0.0`, 'after-answer')
      for (const each of [...innocent.slice(0, 6), ...deadly, ...innocent.slice(6)]) world.planner.submit(each)
      play(world, LONG_ENOUGH_MILLISECONDS, { workMilliseconds: 2500 })
      expect(innocent.map(({ id }) => phase(world, id))).to.deep.equal(innocent.map(() => 'completed'))
      expect(deadly.map(({ id }) => phase(world, id))).to.deep.equal(deadly.map(() => 'failed'))
      for (const { id } of deadly) expect(runsOf(world, `${id}.0.0.0`)).to.be.at.most(MOST_RUNS)
    })
  })

  describe('while the store is away', () => {
    it('is not started again until its crashes are stored', () => {
      const world = worldWith(6, job('a'), ['a.0.0.0'])
      world.isStoreAvailable = false
      world.planner.submit(job('b'))
      play(world, LONG_ENOUGH_MILLISECONDS, { workMilliseconds: 2500 })
      expect(runsOf(world, 'a.0.0.0')).to.equal(2)
      world.isStoreAvailable = true
      play(world, LONG_ENOUGH_MILLISECONDS, { workMilliseconds: 2500 })
      expect(runsOf(world, 'a.0.0.0')).to.be.within(3, MOST_RUNS)
      expect([phase(world, 'a'), phase(world, 'b')]).to.deep.equal(['failed', 'completed'])
    })
  })

  describe('under changing owners', () => {
    const work = job('a')

    it('is given up if each owner is replaced between a crash and the next start', () => {
      const world = worldWith(6, work, ['a.0.0.0'])
      let known = 0
      let owner = 1
      play(world, LONG_ENOUGH_MILLISECONDS, {
        afterStep: () => {
          const crashed = world.servers.some(server => server.backAt < Infinity)
          if (crashed || world.crashes === known || phase(world, 'a') === 'failed') return
          known = world.crashes
          owner += 1
          world.takeOver(owner, [storedJob(world, work)])
        }
      })
      expect(world.crashes).to.be.at.least(3)
      expect(owner).to.equal(world.crashes)
      expect(runsOf(world, 'a.0.0.0')).to.be.within(3, MOST_RUNS)
      expect(phase(world, 'a')).to.equal('failed')
    })

    it('is given up after progress that an older release has stored', () => {
      const world = new World(6)
      world.deadlyTasks.set('a.0.0.0', 'after-answer')
      const progress = decodeProgress('{"hasBegun":true,"steps":{"0.0":{"done":[],"failed":{"0":[1000001]}}}}')
      world.takeOver(2, [{ job: work, isCancelled: false, progress }])
      play(world, LONG_ENOUGH_MILLISECONDS)
      expect(runsOf(world, 'a.0.0.0')).to.be.within(3, MOST_RUNS)
      expect(phase(world, 'a')).to.equal('failed')
    })

    it('keeps the losses at the starts for the next owner', () => {
      const world = worldWith(6, work, ['a.0.0.0'])
      play(world, 8000)
      const before = world.planner.progressOf(jobId('a'))!.steps['0.0']!
      expect(before.lostAtStart?.['0']).to.deep.equal(before.lost?.['0'])
      world.takeOver(2, [storedJob(world, work)])
      expect(world.planner.progressOf(jobId('a'))!.steps['0.0']!.lostAtStart).to.deep.equal(before.lostAtStart)
    })

    for (const lost of ['5', 'null', '{"0":5}', '{"0":null}']) {
      it(`refuses progress with ${lost} as its lost runs`, () => {
        expect(() => decodeProgress(`{"steps":{"0.0":{"done":[],"failed":{},"lost":${lost}}}}`)).to.throw().with.property('code', 'record-damaged')
      })
    }

    it('leaves progress that older releases can read', () => {
      const world = worldWith(6, work, ['a.0.0.0'])
      play(world, 8000)
      const { steps } = JSON.parse(encodeProgress(world.planner.progressOf(jobId('a'))!)) as { steps: Record<string, Record<string, unknown>> }
      expect(Object.keys(steps)).to.deep.equal(['0.0'])
      expect(steps['0.0']!.done).to.deep.equal([])
      expect(steps['0.0']!.failed).to.deep.equal({})
    })
  })
})

describe('a crash that no task has caused', () => {
  const works = Array.from({ length: 6 }, (_, index) => job(`work-${index}`))
  const phases = (world: World): readonly (string | undefined)[] => works.map(({ id }) => phase(world, id))

  const started = (servers: number): World => {
    const world = new World(servers)
    for (const work of works) world.planner.submit(work)
    play(world, 1000)
    return world
  }

  for (const times of [2, 3]) {
    it(`fails no job if a failure domain loses power ${times} times`, () => {
      const world = started(4)
      for (let time = 0; time < times; time += 1) {
        for (const server of world.servers) server.crash(world.now + world.crashMilliseconds)
        play(world, world.crashMilliseconds + 2 * STANDSTILL_MILLISECONDS)
      }
      expect(phases(world)).not.to.include('failed')
      play(world, LONG_ENOUGH_MILLISECONDS, { workMilliseconds: 2500 })
      expect(phases(world)).to.deep.equal(works.map(() => 'completed'))
    })
  }

  // Guards against jobs shown as failed whose tasks only ran on backend servers that crashed together.
  describe('in waves that each take a share of the backend servers', () => {
    const SERVERS = 12
    const WAVES = 6
    const WAVE_SERVERS = 4
    /** Picks the backend servers of a wave. */
    type Pick = (world: World, wave: number) => readonly FakeServer[]

    const playWaves = (work: readonly Job[], pick: Pick): World => {
      const world = new World(SERVERS)
      for (const each of work) world.planner.submit(each)
      play(world, 1000)
      for (let wave = 0; wave < WAVES; wave += 1) {
        for (const server of pick(world, wave)) server.crash(world.now + world.crashMilliseconds)
        play(world, world.crashMilliseconds + 1500)
      }
      play(world, LONG_ENOUGH_MILLISECONDS, { workMilliseconds: 2500 })
      return world
    }
    const inTurn: Pick = (world, wave) => world.servers.filter((_, index) => (index + wave * 5) % SERVERS < WAVE_SERVERS)
    const busiest: Pick = world => [...world.servers].sort((left, right) => right.running.size - left.running.size).slice(0, WAVE_SERVERS)

    for (const [name, pick] of [['in turn', inTurn], ['with the most tasks', busiest]] as const) {
      it(`fails no job if they take those ${name}`, () => {
        const tasks = Array.from({ length: 20 }, (_, index) => job(`task-${index}`, { steps: [step({ accelerators: 2 })] }))
        const world = playWaves(tasks, pick)
        expect(tasks.map(({ id }) => phase(world, id))).to.deep.equal(tasks.map(() => 'completed'))
      })

      it(`fails no gang if they take those ${name}`, () => {
        const gangs = Array.from({ length: 3 }, (_, index) => job(`gang-${index}`, { steps: [step({ count: 3, accelerators: 8, isGang: true })] }))
        const world = playWaves(gangs, pick)
        expect(gangs.map(({ id }) => phase(world, id))).not.to.include('failed')
      })
    }

    it('fails no job if each is replaced by one under another id at its address', () => {
      const tasks = Array.from({ length: 10 }, (_, index) => job(`task-${index}`, { steps: [step({ accelerators: 8 })] }))
      const world = new World(SERVERS)
      for (const each of tasks) world.planner.submit(each)
      play(world, 1000)
      for (let wave = 0; wave < WAVES; wave += 1) {
        const present = world.servers.filter(({ connectivity }) => connectivity === 'answers')
        const crashed = present.filter((_, index) => (index + wave * 5) % SERVERS < WAVE_SERVERS)
        for (const server of crashed) server.crash(Infinity)
        const listPresent = (): void => world.listServers(world.servers.filter(({ connectivity }) => connectivity === 'answers').map(server => ({ ...server.entry, incarnation: server.incarnation })))
        listPresent()
        play(world, 3000)
        for (const [index, server] of crashed.entries()) {
          replaceServer(world, server)
          listPresent()
          play(world, index === 0 ? 300 : 50)
        }
        play(world, 2000)
      }
      play(world, LONG_ENOUGH_MILLISECONDS, { workMilliseconds: 2500 })
      expect(tasks.map(({ id }) => phase(world, id))).to.deep.equal(tasks.map(() => 'completed'))
      expect(world.planner.drainEvents().filter(event => event.type === 'crash-attributed')).to.deep.equal([])
    })

    it('attributes no crash again when the same backend server is replaced twice, also if it had a run of a job that has ended', () => {
      const world = new World(6)
      play(world, 2 * LEASE_MILLISECONDS)
      world.planner.submit(job('b'))
      play(world, 1000)
      world.planner.submit(job('a'))
      play(world, 100)
      const holder = world.serverRunning('a.0.0.0')!
      expect(world.serverRunning('b.0.0.0')).to.equal(holder)
      world.planner.cancel(jobId('b'), world.wallTime)
      const others = world.servers.filter(server => server !== holder)
      for (const server of [holder, others[0]!]) server.crash(Infinity)
      const list = (...added: readonly FakeServer[]): void => world.listServers([...others.slice(1), ...added].map(server => ({ ...server.entry, incarnation: server.incarnation })))
      list()
      play(world, 2500)
      const replacement = replaceServer(world, holder)
      list(replacement)
      play(world, 1000)
      list(replaceServer(world, replacement))
      play(world, 2500)
      const attributed = world.planner.drainEvents().filter(event => event.type === 'crash-attributed')
      expect(attributed).to.deep.equal([])
    })

    it('doesn\'t keep a task that crashes its backend servers at other times from being given up', () => {
      const world = new World(SERVERS)
      const works = [job('a'), ...Array.from({ length: 6 }, (_, index) => job(`task-${index}`))]
      world.deadlyTasks.set('a.0.0.0', 'after-answer')
      for (const each of works) world.planner.submit(each)
      let wave = 0
      play(world, LONG_ENOUGH_MILLISECONDS, {
        afterStep: () => {
          if (world.now < 3000 + wave * 10_000) return
          wave += 1
          for (const server of inTurn(world, wave)) server.crash(world.now + world.crashMilliseconds)
        }
      })
      expect(phase(world, 'a')).to.equal('failed')
      expect(works.slice(1).map(({ id }) => phase(world, id))).not.to.include('failed')
    })
  })

  it('is met by a suspect on backend servers that haven\'t crashed, where there are any', () => {
    const world = new World(4)
    world.takeOver(2, [{ job: job('a'), isCancelled: false, progress: { hasBegun: true, steps: { '0.0': { done: [], failed: {}, lost: { 0: [1, 2] } } } } }])
    world.pollServers()
    for (const server of world.servers.slice(0, 3)) server.restart()
    world.pollServers()
    play(world, 1000)
    expect(world.serverRunning('a.0.0.0')).to.equal(world.servers[3])
  })

  it('keeps no task waiting for long that was lost in two outages of its failure domain', () => {
    const world = new World(4)
    const tasks = Array.from({ length: 24 }, (_, index) => `wide.0.0.${index}`)
    world.planner.submit(job('wide', { steps: [step({ count: tasks.length })] }))
    play(world, 1000)
    for (let time = 0; time < 2; time += 1) {
      for (const server of world.servers) server.crash(world.now + world.crashMilliseconds)
      play(world, world.crashMilliseconds)
      play(world, STANDSTILL_MILLISECONDS)
      expect(tasks.filter(task => world.serverRunning(task) === undefined)).to.deep.equal([])
    }
  })

  // Guards against hundreds of lost tasks that each wait for an empty backend server: while others started, each crash of an outage seemed to be due to them.
  for (const crashMilliseconds of [500, 3000]) {
    it(`keeps no task waiting for long in a full pool that was lost in two outages of ${crashMilliseconds} ms of its failure domain, the first while others started`, () => {
      const world = new World(12)
      world.crashMilliseconds = crashMilliseconds
      const failureDomain = world.servers.slice(0, 4)
      const occurrences = 12
      const count = 60
      // The backend servers have room for all tasks, and for no more.
      const need = { processor: 32_000 * world.servers.length / (occurrences * count), memory: 100, accelerators: 0 }
      const work = step({ count, need, estimateMilliseconds: LONG_ENOUGH_MILLISECONDS })
      world.planner.submit(job('wide', { steps: [work], schedule: { occurrences, startAt: world.wallTime, intervalMilliseconds: 500 } }))
      const playWithProgress = (milliseconds: number): void => play(world, milliseconds, {
        afterStep: () => {
          for (const server of world.servers) for (const run of server.running.values()) server.running.set(run.task, { ...run, percent: Math.floor(world.now / 1000) })
        }
      })
      playWithProgress(3000)
      for (let time = 0; time < 2; time += 1) {
        for (const server of failureDomain) server.crash(world.now + world.crashMilliseconds)
        playWithProgress(world.crashMilliseconds + STANDSTILL_MILLISECONDS)
      }
      expect(world.planner.load.runs).to.equal(occurrences * count)
    })
  }

  it('is attributed to no task whose loss is discounted, since others crashed at the starts of theirs', () => {
    const world = new World(6)
    world.planner.submit(job('long'))
    play(world, 3000)
    const server = world.serverRunning('long.0.0.0')!
    const others = Array.from({ length: 5 }, (_, index) => job(`new-${index}`, { steps: [step({ accelerators: 8 })] }))
    for (const each of others) world.planner.submit(each)
    while (others.some(({ id }) => world.serverRunning(`${id}.0.0.0`) === undefined)) world.settle(1)
    for (const each of world.servers) each.crash(world.now + world.crashMilliseconds)
    expect(server.running.size).to.equal(0)
    play(world, world.crashMilliseconds + STANDSTILL_MILLISECONDS)
    const attributed = world.planner.drainEvents().filter(event => event.type === 'crash-attributed')
    expect(attributed.map(event => 'task' in event ? event.task : undefined)).not.to.include('long.0.0.0')
    expect(world.planner.progressOf(jobId('long'))!.steps['0.0']!.attributed).to.equal(undefined)
  })

  it('is not assumed if a backend server was only cut off', () => {
    const world = started(2)
    for (let time = 0; time < 4; time += 1) {
      for (const server of world.servers) server.connectivity = 'silent'
      play(world, LEASE_MILLISECONDS + 1000)
      for (const server of world.servers) {
        for (const task of [...server.running.keys()]) server.end(task, 'lapsed')
        server.connectivity = 'answers'
      }
      play(world, 1000)
    }
    const progress = works.map(({ id }) => world.planner.progressOf(id)?.steps)
    const placementOf = ({ id }: { readonly id: string }): object => {
      const { entry } = world.serverRunning(`${id}.0.0.0`)!
      return { [entry.id]: { address: entry.address, tasks: [0] } }
    }
    expect(progress).to.deep.equal(works.map(work => ({ '0.0': { done: [], failed: {}, placements: placementOf(work) } })))
    expect(phases(world)).to.deep.equal(works.map(() => 'running'))
  })
})
