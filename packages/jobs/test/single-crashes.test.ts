import { expect } from 'chai'
import { decodeProgress, jobId, type Job, type StoredJob } from '../src/index.js'
import { play, runsOf, storedJob } from './crash-play.js'
import { job, step, World, type FakeServer } from './world.js'

/** Users allow two starts after three crashes. */
const MOST_STARTS = 5
const LONG_ENOUGH_MILLISECONDS = 90_000
const CRASH_INTERVAL_MILLISECONDS = 2300
const DOWN_MILLISECONDS = 1200
const SEEDS = [11, 12, 13, 14, 15]

const phase = (world: World, id: string): string | undefined => world.planner.phaseOf(jobId(id))
const eventsOf = (world: World, type: string): readonly { readonly type: string }[] => world.planner.drainEvents().filter(event => event.type === type)
const gang = (count: number): Job => job('a', { steps: [step({ count, accelerators: 8, isGang: true })] })

/** Park-Miller generator of numbers from 0 to 1. */
function randomNumbers (seed: number): () => number {
  let state = seed * 48_271 * 397 % 2_147_483_647
  return () => {
    state = state * 48_271 % 2_147_483_647
    return state / 2_147_483_647
  }
}

function pickFrom<Item> (items: readonly Item[], random: () => number): Item | undefined {
  return items[Math.floor(random() * items.length)]
}

/** Crashes the backend server of a task so long after its next start. */
function crashUnder (world: World, task: string, milliseconds: number): void {
  const before = runsOf(world, task)
  for (let time = 0; runsOf(world, task) === before && time < 400; time += 1) play(world, 50)
  play(world, milliseconds)
  world.serverRunning(task)!.crash(world.now + DOWN_MILLISECONDS)
}

/** Crashes one of the backend servers at an interval. */
function crashEach (world: World, milliseconds: number, candidates: () => readonly FakeServer[], random: () => number): { readonly step: () => void, readonly count: () => number } {
  let next = world.now + milliseconds
  let count = 0
  return {
    count: () => count,
    step: () => {
      if (world.now < next) return
      next += milliseconds
      const server = pickFrom(candidates().filter(({ connectivity }) => connectivity === 'answers'), random)
      if (server === undefined) return
      server.crash(world.now + DOWN_MILLISECONDS)
      count += 1
    }
  }
}

// Guards against sound jobs shown as failed because backend servers crashed under them one after the other.
describe('single crashes of backend servers', () => {
  // Guards against a quiet pool taken as proof: with one job in the pool, each crash of a busy backend server is one under it.
  describe('under the only task of a quiet pool', () => {
    /** Plays a task that works for a minute, and reports its progress. */
    const playAtWork = (world: World, milliseconds: number): void => play(world, milliseconds, {
      afterStep: () => {
        for (const server of world.servers) {
          for (const [task, run] of server.running) server.running.set(task, { ...run, percent: Math.min(98, Math.floor((world.now - server.startedAt(task, run.run, world.now)) / 600)) })
        }
      }
    })

    /** Crashes the backend server of the task so long after each of its starts. */
    const crashAfter = (times: readonly number[]): World => {
      const world = new World(10)
      playAtWork(world, 40_000)
      world.planner.submit(job('a', { steps: [step({ accelerators: 8 })] }))
      for (const milliseconds of times) {
        for (let time = 0; world.serverRunning('a.0.0.0') === undefined && time < 400; time += 1) playAtWork(world, 50)
        playAtWork(world, milliseconds)
        world.serverRunning('a.0.0.0')!.crash(world.now + DOWN_MILLISECONDS)
      }
      playAtWork(world, 10_000)
      return world
    }

    for (const times of [[12_000, 5000, 5000], [12_000, 8000, 5000], [9000, 6000, 3500]]) {
      it(`don't fail its job if they come at different times after its starts (${times.join(', ')} ms)`, () => {
        const world = crashAfter(times)
        expect(phase(world, 'a')).to.equal('running')
        expect(world.serverRunning('a.0.0.0')).not.to.equal(undefined)
      })
    }

    it('fail its job if each comes at the same time after a start', () => {
      expect(phase(crashAfter([5000, 5000, 5000]), 'a')).to.equal('failed')
    })
  })

  describe('under a gang', () => {
    it('don\'t fail it if a member has outlived the earlier crash under it', () => {
      const world = new World(8)
      world.planner.submit(gang(3))
      for (const [member, milliseconds] of [[0, 1800], [2, 4600], [0, 2400]] as const) crashUnder(world, `a.0.0.${member}`, milliseconds)
      play(world, 10_000)
      expect(eventsOf(world, 'run-lost-with-server')).to.have.length(3)
      expect(phase(world, 'a')).to.equal('running')
    })

    it('don\'t fail it if there was one under each member, each at the start', () => {
      const world = new World(10)
      world.planner.submit(gang(5))
      for (const member of [0, 1, 2, 3, 4]) crashUnder(world, `a.0.0.${member}`, 100)
      play(world, 10_000)
      expect(eventsOf(world, 'run-lost-with-server')).to.have.length(5)
      expect(phase(world, 'a')).to.equal('running')
    })

    for (const seed of SEEDS) {
      it(`don't fail it while members' backend servers crash in turn (seed ${seed})`, () => {
        const world = new World(12)
        const random = randomNumbers(seed)
        let submitted = 0
        const open: string[] = []
        const crashing = crashEach(world, CRASH_INTERVAL_MILLISECONDS, () => world.servers.filter(({ running }) => running.size > 0), random)
        const failed: string[] = []
        play(world, 110 * CRASH_INTERVAL_MILLISECONDS, {
          workMilliseconds: 5000,
          afterStep: () => {
            while (open.length < 4) {
              const id = `gang-${submitted++}`
              open.push(id)
              world.planner.submit(job(id, { steps: [step({ count: 3, accelerators: 8, isGang: true })] }))
            }
            for (const id of open.filter(id => !['queued', 'running'].includes(phase(world, id)!))) {
              if (phase(world, id) === 'failed') failed.push(id)
              open.splice(open.indexOf(id), 1)
            }
            crashing.step()
          }
        })
        expect(crashing.count()).to.be.at.least(100)
        expect(failed).to.deep.equal([])
      })
    }
  })

  describe('of busy backend servers under single tasks', () => {
    for (const workMilliseconds of [2500, 10_000, 30_000]) {
      for (const seed of SEEDS) {
        it(`fail none that takes ${workMilliseconds / 1000} s (seed ${seed})`, () => {
          const world = new World(12)
          const random = randomNumbers(seed)
          let submitted = 0
          const open: string[] = []
          const failed: string[] = []
          const crashing = crashEach(world, CRASH_INTERVAL_MILLISECONDS, () => world.servers.filter(({ running }) => running.size > 0), random)
          play(world, 110 * CRASH_INTERVAL_MILLISECONDS, {
            workMilliseconds,
            afterStep: () => {
              while (open.length < 16) {
                const id = `task-${submitted++}`
                open.push(id)
                world.planner.submit(job(id, { steps: [step({ accelerators: 4 })] }))
              }
              for (const id of open.filter(id => !['queued', 'running'].includes(phase(world, id)!))) {
                if (phase(world, id) === 'failed') failed.push(id)
                open.splice(open.indexOf(id), 1)
              }
              crashing.step()
            }
          })
          expect(crashing.count()).to.be.at.least(100)
          expect(failed).to.deep.equal([])
        })
      }
    }
  })
})

describe('crashes under a sound task', () => {
  const restored = (losses: object): StoredJob => ({ job: job('a'), isCancelled: false, progress: { hasBegun: true, steps: { '0.0': { done: [], failed: {}, ...losses } } } })

  it('don\'t come back with the next owner once a run has outlived them', () => {
    const work = job('a')
    const world = new World(6)
    world.planner.submit(work)
    crashUnder(world, 'a.0.0.0', 1000)
    play(world, 15_000)
    expect(eventsOf(world, 'crashes-refuted')).to.have.length(1)
    world.takeOver(2, [storedJob(world, work)])
    expect(world.planner.progressOf(jobId('a'))?.steps['0.0']).to.have.property('crashes').that.deep.equals({})
  })

  it('are refuted by a long run though an earlier owner started theirs', () => {
    const world = new World(6)
    world.takeOver(2, [restored({ lost: { 0: [1, 2, 3] }, crashes: { 0: [[1, null], [2, null], [3, null]] } })])
    play(world, 20_000)
    expect(world.planner.progressOf(jobId('a'))?.steps['0.0']?.crashes).to.deep.equal({})
  })

  describe('at times that a storm explains', () => {
    const losses = { lost: { 0: [1, 2, 3] }, crashes: { 0: [[1, 44_000], [2, 10_800], [3, 8300]] }, otherEnds: { 0: 2 } }

    it('don\'t fail it under a new owner, which doesn\'t know of the storm', () => {
      const world = new World(6)
      world.takeOver(2, [restored(losses)])
      play(world, 2000)
      expect(phase(world, 'a')).to.equal('running')
    })

    it('don\'t fail it for other ends once the storm is over', () => {
      const world = new World(6)
      world.takeOver(2, [restored(losses)])
      for (let time = 0; time < 16; time += 1) {
        play(world, 3000)
        world.serverRunning('a.0.0.0')?.end('a.0.0.0', 'lapsed')
      }
      expect(phase(world, 'a')).to.equal('running')
    })
  })
})

// Guards against a task that crashes its backend servers some time after its start, or while others crash, being started without a bound.
describe('a task that crashes each backend server some time after its start', () => {
  const works: readonly [string, Job, string][] = [['single', job('a'), 'a.0.0.0'], ['member of a gang', gang(3), 'a.0.0.1']]
  for (const [kind, work, task] of works) {
    for (const delay of [0, 500, 1500, 3000]) {
      describe(`as a ${kind}, ${delay} ms`, () => {
        /** Runs of the task that have reached a backend server, and those of them after its third crash. */
        const begun = new Set<number>()
        const begunAfterThird = new Set<number>()

        const worldWith = (): World => {
          const world = new World(10)
          for (const runs of [begun, begunAfterThird]) runs.clear()
          for (const server of world.servers) {
            server.onRunStarted = ({ task: name, run }) => {
              if (name !== task) return
              begun.add(run)
              if (world.crashes >= 3) begunAfterThird.add(run)
            }
          }
          world.deadlyTasks.set(task, delay)
          world.planner.submit(work)
          for (let index = 0; index < 6; index += 1) world.planner.submit(job(`sound-${index}`))
          return world
        }

        const expectBound = (world: World): void => {
          expect(begunAfterThird.size).to.be.at.most(MOST_STARTS - 3)
          expect(phase(world, 'a')).to.equal('failed')
        }

        it('is given up', () => {
          const world = worldWith()
          play(world, LONG_ENOUGH_MILLISECONDS, { workMilliseconds: 20_000 })
          expectBound(world)
          expect(begun.size).to.be.within(3, MOST_STARTS)
          for (let index = 0; index < 6; index += 1) expect(phase(world, `sound-${index}`)).to.equal('completed')
        })

        for (const seed of SEEDS) {
          it(`is given up while others crash and a new owner adopts a run of it (seed ${seed})`, () => {
            const world = worldWith()
            const crashing = crashEach(world, CRASH_INTERVAL_MILLISECONDS, () => world.servers.filter(({ running }) => !running.has(task)), randomNumbers(seed))
            let isAdopted = false
            play(world, 2 * LONG_ENOUGH_MILLISECONDS, {
              workMilliseconds: 20_000,
              afterStep: () => {
                crashing.step()
                if (isAdopted || world.crashes < 1 || world.serverRunning(task) === undefined) return
                isAdopted = true
                world.takeOver(2, [storedJob(world, work)])
              }
            })
            expectBound(world)
          })

          it(`is given up while others crash (seed ${seed})`, () => {
            const world = worldWith()
            const crashing = crashEach(world, CRASH_INTERVAL_MILLISECONDS, () => world.servers.filter(({ running }) => !running.has(task)), randomNumbers(seed))
            play(world, LONG_ENOUGH_MILLISECONDS, { workMilliseconds: 20_000, afterStep: crashing.step })
            expectBound(world)
            // A run of a gang may end with the backend server of another member.
            if (kind === 'single') expect(begun.size).to.be.within(3, MOST_STARTS)
          })
        }

        it('is given up if the owner changes before the cause of each crash is determined', () => {
          const world = worldWith()
          world.crashMilliseconds = 300
          let known = 0
          let crashedAt = Infinity
          let owner = 1
          play(world, LONG_ENOUGH_MILLISECONDS, {
            afterStep: () => {
              if (world.crashes > known) crashedAt = world.now
              known = world.crashes
              if (world.now < crashedAt + 700 || phase(world, 'a') === 'failed') return
              crashedAt = Infinity
              owner += 1
              world.takeOver(owner, [storedJob(world, work)])
            }
          })
          expect(owner).to.be.at.least(3)
          expectBound(world)
        })

        it('is given up if the owner changes after each of its starts', () => {
          const world = worldWith()
          let known = 0
          let startedAt = Infinity
          let owner = 1
          play(world, LONG_ENOUGH_MILLISECONDS, {
            afterStep: () => {
              const runs = runsOf(world, task)
              if (runs > known) startedAt = world.now
              known = runs
              if (world.now < startedAt + 300 || world.serverRunning(task) === undefined) return
              startedAt = Infinity
              owner += 1
              world.takeOver(owner, [storedJob(world, work)])
            }
          })
          expectBound(world)
        })
      })
    }
  }
})

describe('stored crashes', () => {
  const work = job('a')

  it('count once if the next owner learns of them again', () => {
    const world = new World(6)
    world.deadlyTasks.set('a.0.0.0', 1500)
    world.planner.submit(work)
    play(world, 9500)
    const { crashes } = world.planner.progressOf(jobId('a'))!.steps['0.0']!
    world.takeOver(2, [storedJob(world, work)])
    expect(world.planner.progressOf(jobId('a'))!.steps['0.0']!.crashes).to.deep.equal(crashes)
    expect(crashes?.['0']).to.have.length(2)
  })

  it('of an earlier release count', () => {
    const world = new World(6)
    world.deadlyTasks.set('a.0.0.0', 1500)
    const progress = decodeProgress('{"hasBegun":true,"steps":{"0.0":{"done":[],"failed":{},"lost":{"0":[1,2,3]},"attributed":{"0":[2]},"lostAtStart":{"0":[1]}}}}')
    world.takeOver(2, [{ job: work, isCancelled: false, progress }])
    play(world, LONG_ENOUGH_MILLISECONDS)
    expect(runsOf(world, 'a.0.0.0')).to.equal(MOST_STARTS - 3)
    expect(phase(world, 'a')).to.equal('failed')
  })

  for (const crashes of ['5', 'null', '{"0":5}', '{"0":[1]}', '{"0":[[1]]}', '{"0":[[1,-1]]}', '{"0":[[1,"2"]]}', '{"x":[]}', '{"0":[[1,0.5]]}']) {
    it(`are refused as ${crashes}`, () => {
      expect(() => decodeProgress(`{"steps":{"0.0":{"done":[],"failed":{},"crashes":${crashes}}}}`)).to.throw().with.property('code', 'record-damaged')
    })
  }
})
