import { expect } from 'chai'
import { MAXIMUM_OVERLAPPING_STEPS } from '../src/limits.js'
import { planningLoad, type Job, type RestingJob, type StoredJob } from '../src/index.js'
import { job, step, World } from './world.js'

const MINUTE = 60_000
const start = 1_700_000_000_000
const daily = (id: string, overrides: Partial<Job> = {}): Job => job(id, { schedule: { occurrences: 1440, startAt: start, intervalMilliseconds: MINUTE }, ...overrides })
const small = { need: { processor: 1, memory: 1, accelerators: 0 } }

// Guards against schedules that keep every later job from being planned, though nothing of them runs until their next occurrence.
describe('schedules of which nothing runs', () => {
  let world: World

  beforeEach(() => { world = new World(1) })

  const submit = (submitted: Job): void => { world.planner.submit(submitted) }
  const endAll = (how: 'done' | 'stopped' = 'done'): void => {
    for (const server of world.servers) for (const task of [...server.running.keys()]) server.end(task, how)
  }
  const release = (): readonly RestingJob[] => world.planner.releaseResting(jobs => jobs)

  it('take no more of the planner than one occurrence does', () => {
    const { schedule: _schedule, ...once } = daily('a')
    expect(planningLoad(daily('a'))).to.equal(planningLoad(once))
  })

  it('are released between two occurrences, and go on with the next one', () => {
    submit(daily('a'))
    world.settle()
    endAll()
    world.settle()
    const progress = world.planner.progressOf(daily('a').id)!
    const [released] = release()
    expect(released).to.include({ hasProgress: true, hasBegun: true, nextDueAt: start + MINUTE })
    expect(world.planner.phaseOf(daily('a').id)).to.equal(undefined)
    expect(world.planner.plannedLoad()).to.equal(0)
    world.now += MINUTE
    world.planner.submit(daily('a'), progress)
    world.settle()
    expect(world.starts.map(({ task }) => task)).to.deep.equal(['a.0.0.0', 'a.1.0.0'])
  })

  it('stay while a run of them may be executing', () => {
    submit(daily('a'))
    world.settle()
    expect(release()).to.deep.equal([])
    world.servers[0]!.connectivity = 'silent'
    world.settle()
    expect(release()).to.deep.equal([])
  })

  it('stay until their progress is stored', () => {
    submit(daily('a'))
    world.settle()
    endAll()
    world.isStoreAvailable = false
    world.settle()
    expect(release()).to.deep.equal([])
    world.isStoreAvailable = true
    world.settle()
    expect(release()).to.have.length(1)
  })

  it('stay until the cause of a crash under them is determined', () => {
    submit(daily('a'))
    world.settle()
    world.servers[0]!.restart()
    world.listServers()
    world.pollServers()
    world.planner.markStored(world.planner.unstoredJobs)
    expect(release()).to.deep.equal([])
  })

  for (const [name, isGang] of [['tasks', false], ['gangs', true]] as const) {
    it(`keep the checkpoints of ${name} that were stopped`, () => {
      submit(daily('a', { steps: [step({ count: 2, isGang, savesCheckpoints: true })] }))
      world.settle()
      const [server] = world.servers
      for (const [task, run] of [...server!.running]) server!.running.set(task, { ...run, checkpoint: 'saved', percent: 50 })
      world.pollServers()
      endAll('stopped')
      world.pollServers()
      world.planner.markStored(world.planner.unstoredJobs)
      const progress = world.planner.progressOf(daily('a').id)!
      const [released] = release()
      expect(world.planner.phaseOf(daily('a').id)).to.equal(undefined)
      world.planner.submit(released!.job, progress, released!.checkpoints)
      world.settle()
      expect(world.starts.slice(2).map(({ task, checkpoint }) => `${task} ${checkpoint}`)).to.have.members(['a.0.0.0 saved', 'a.0.0.1 saved'])
    })
  }
})

// Guards against a task that is started once more than its attempts allow, since its job waited while its queue became known.
describe('a job that comes back with its progress', () => {
  it('fails if a task has used up its attempts, and starts nothing', () => {
    const world = new World(1)
    world.settle()
    world.planner.submit(job('a'), { hasBegun: true, steps: { '0.0': { done: [], failed: { 0: [1, 2, 3, 4] } } } })
    world.settle()
    expect(world.starts).to.deep.equal([])
    expect(world.planner.phaseOf(job('a').id)).to.equal('failed')
  })
})

describe('the activated steps of many jobs', () => {
  const lasting = (id: string): StoredJob => ({ job: job(id, { steps: [step({ isLasting: true, ...small })], schedule: { occurrences: 50_000, startAt: 0, intervalMilliseconds: 0 } }), isCancelled: false })

  it('are limited for all of them together, and leave each job one occurrence', () => {
    const world = new World(1, { stored: [lasting('a'), lasting('b'), lasting('c')], epoch: 2 })
    world.servers[0]!.capacity = { processor: 1_000_000, memory: 1_000_000, accelerators: 0 }
    world.listServers()
    for (let round = 0; round < 400; round += 1) world.settle(1)
    world.planner.submit(job('d', { steps: [step({ isLasting: true, ...small })], schedule: { occurrences: 50_000, startAt: 0, intervalMilliseconds: 0 } }))
    world.settle()
    const { running } = world.servers[0]!
    expect(running.size).to.be.within(MAXIMUM_OVERLAPPING_STEPS / 2, MAXIMUM_OVERLAPPING_STEPS + 4)
    expect(running.has('d.0.0.0')).to.equal(true)
  }).timeout(60_000)
})
