import { expect } from 'chai'
import { jobId, type Command, type StartCommand } from '../src/index.js'
import { MAXIMUM_CALLS_PER_SERVER, MAXIMUM_CALLS_UNDER_WAY, STOP_RETRY_MILLISECONDS } from '../src/limits.js'
import { job, step, World } from './world.js'

const SERVERS = 33
const TASKS_PER_SERVER = 128
const NEED = { processor: 250, memory: 100, accelerators: 0 }

/** Counts the commands by backend server. */
function countsOf (commands: readonly { readonly server: string }[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>()
  for (const { server } of commands) counts.set(server, (counts.get(server) ?? 0) + 1)
  return counts
}

// Guards against starts that use up their time limits while they wait for others, are stopped and started again without end.
describe('the calls that a planner has under way', () => {
  const isStart = (command: Command): command is StartCommand => command.type === 'start'

  /** A pool with more tasks than calls may be under way; starts aren't answered before the test says so. */
  const filling = (): { readonly world: World, readonly round: () => readonly StartCommand[] } => {
    const world = new World(SERVERS)
    world.settle()
    world.planner.submit(job('a', { steps: [step({ count: SERVERS * TASKS_PER_SERVER, need: NEED })] }))
    const round = (): readonly StartCommand[] => {
      world.now += 10
      return world.planner.decide({ now: world.now, wallTime: world.wallTime }).filter(isStart)
    }
    return { world, round }
  }

  describe('of starts', () => {
    it('are limited in total and for each backend server', () => {
      const { round } = filling()
      const first = round()
      expect(first.length).to.equal(MAXIMUM_CALLS_UNDER_WAY)
      expect(Math.max(...countsOf(first).values())).to.be.at.most(MAXIMUM_CALLS_PER_SERVER)
      expect(round()).to.deep.equal([])
    })

    it('are followed by others as they are answered, until all tasks run', () => {
      const { world, round } = filling()
      let started = 0
      for (let starts = round(); starts.length > 0; starts = round()) {
        expect(starts.length).to.be.at.most(MAXIMUM_CALLS_UNDER_WAY)
        for (const { server, task, run } of starts) world.planner.applyStartOutcome(server, task, run, 'started', world.now)
        started += starts.length
      }
      expect(started).to.equal(SERVERS * TASKS_PER_SERVER)
    })

    it('go to each job of an idle pool before one gets all of them', () => {
      const world = new World(SERVERS)
      world.settle()
      for (let number = 0; number < 50; number += 1) world.planner.submit(job(`a${number}`, { steps: [step({ count: TASKS_PER_SERVER, need: NEED })] }))
      const jobs = new Set(world.round().filter(isStart).map(({ job: id }) => id))
      expect(jobs.size).to.equal(50)
    })

    // Guards against rounds that change the progress of every job, all of which then has to be stored before the starts are sent.
    it('go to few jobs once each has a run', () => {
      const world = new World(SERVERS)
      world.settle()
      for (let number = 0; number < 50; number += 1) world.planner.submit(job(`a${number}`, { steps: [step({ count: TASKS_PER_SERVER, need: NEED })] }))
      world.round()
      const jobs = new Set(world.round().filter(isStart).map(({ job: id }) => id))
      expect(jobs.size).to.be.within(1, 10)
    })

    // Guards against stops for twice what urgent work needs, once in each pass over the waiting jobs.
    it('make urgent work stop no more than it needs', () => {
      const world = new World(SERVERS)
      world.settle()
      world.planner.submit(job('rack', { steps: [step({ count: 64, requiredLabel: 'r1-0' })] }))
      world.settle(5)
      expect(world.planner.load.runs).to.equal(64)
      world.planner.submit(job('many', { steps: [step({ count: SERVERS * TASKS_PER_SERVER, need: NEED })] }))
      world.planner.submit(job('swap', { queue: 'urgent', acceptedAt: world.wallTime - 3500, steps: [step({ accelerators: 8, isGang: true, requiredLabel: 'r1-0' })] }))
      for (let round = 0; round < 3; round += 1) world.round(100)
      expect(world.stops.map(({ task }) => task.split('.')[0])).to.deep.equal(Array.from({ length: 8 }, () => 'rack'))
    })

    it('stop no other work for want of room', () => {
      const world = new World(1, { accelerators: 80 })
      world.settle()
      world.planner.submit(job('running', { steps: [step({ count: 10 })] }))
      world.settle()
      world.planner.submit(job('claim', { queue: 'urgent', workspace: 'brno', steps: [step({ count: 2 * MAXIMUM_CALLS_PER_SERVER, need: NEED })] }))
      world.round()
      world.round(1000)
      expect(world.stops).to.deep.equal([])
    })
  })

  describe('of stops', () => {
    it('are limited too, and all are sent in the end', () => {
      const { world, round } = filling()
      for (let starts = round(); starts.length > 0; starts = round()) {
        for (const { server, task, run } of starts) world.planner.applyStartOutcome(server, task, run, 'started', world.now)
      }
      world.planner.cancel(jobId('a'), world.wallTime)
      const stopped = new Set<string>()
      for (let rounds = 0; rounds < 20; rounds += 1) {
        world.now += 10
        const stops = world.planner.decide({ now: world.now, wallTime: world.wallTime }).filter(command => command.type === 'stop')
        expect(stops.length).to.be.at.most(MAXIMUM_CALLS_UNDER_WAY)
        for (const command of stops) {
          stopped.add(command.task)
          world.planner.applyStopOutcome(command, 'stopped', world.now)
        }
      }
      expect(stopped.size).to.equal(SERVERS * TASKS_PER_SERVER)
    })

    it('that a backend server doesn\'t answer don\'t keep back those for others', () => {
      const world = new World(SERVERS)
      world.settle()
      world.planner.submit(job('a', { steps: [step({ count: SERVERS * 32, need: { ...NEED, processor: 1000 } })] }))
      world.settle(6)
      expect(world.planner.load.runs).to.equal(SERVERS * 32)
      for (const server of world.servers.slice(0, 20)) server.connectivity = 'silent'
      world.pollServers()
      world.planner.cancel(jobId('a'), world.wallTime)
      for (let elapsed = 0; elapsed < STOP_RETRY_MILLISECONDS; elapsed += 100) world.round(100)
      expect(new Set(world.stops.filter(({ server }) => Number(server.split('-')[1]) >= 20).map(({ task }) => task)).size).to.equal((SERVERS - 20) * 32)
    })
  })
})
