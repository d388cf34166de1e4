import { expect } from 'chai'
import { jobId, mostGangMembers, type Command, type StartCommand, type TaskName } from '../src/index.js'
import { IDLE_JOB_MILLISECONDS, MAXIMUM_CALLS_UNDER_WAY, MAXIMUM_GANG_MEMBERS } from '../src/limits.js'
import { entriesRead } from './iteration-meter.js'
import { job, step, World } from './world.js'

const SERVERS = 33
const NEED = { processor: 10, memory: 10, accelerators: 0 }
const gang = (id: string, count: number): ReturnType<typeof job> => job(id, { steps: [step({ count, isGang: true, need: NEED })] })
const isStart = (command: Command): command is StartCommand => command.type === 'start'

// Guards against gangs whose starts fill the heap of each owner, or keep it busy, all at once.
describe('large gangs', () => {
  let world: World

  beforeEach(() => {
    world = new World(SERVERS)
    world.settle()
  })

  /** Runs a round; its starts aren't answered before the test says so. */
  const decide = (): readonly StartCommand[] => {
    world.now += 10
    return world.planner.decide({ now: world.now, wallTime: world.wallTime }).filter(isStart)
  }

  it('may have as many members as are started while the first ones wait', () => {
    expect(mostGangMembers({ gangWaitMilliseconds: 3000 })).to.equal(1500)
    expect(mostGangMembers({ gangWaitMilliseconds: 60_000 })).to.equal(MAXIMUM_GANG_MEMBERS)
    expect(mostGangMembers({})).to.equal(MAXIMUM_GANG_MEMBERS)
  })

  it('are not started beyond that, and keep nothing else from starting', () => {
    world.planner.submit(gang('large', 50_000))
    world.planner.submit(job('other'))
    world.settle(10)
    expect(world.starts.map(({ job: id }) => id)).to.deep.equal(['other'])
    expect(world.stops).to.deep.equal([])
    world.now += IDLE_JOB_MILLISECONDS
    world.settle(2)
    const idle = world.planner.drainEvents().filter(event => event.type === 'job-idle')
    expect(idle.map(({ job: id, reason }) => ({ id, reason }))).to.deep.include({ id: 'large', reason: 'size' })
    expect(world.planner.phaseOf(jobId('large'))).to.equal('queued')
  })

  it('are decided as a whole, and marked as members', () => {
    world.planner.submit(gang('a', 1024))
    const starts = decide()
    expect(starts).to.have.length(1024)
    expect(starts.every(({ isMember }) => isMember === true)).to.equal(true)
  })

  it('start one after the other, beside single tasks', () => {
    for (const id of ['a', 'b', 'c']) world.planner.submit(gang(id, 1024))
    const first = decide()
    expect(first).to.have.length(1024)
    world.planner.submit(job('single', { steps: [step({ count: 10, need: NEED })] }))
    expect(new Set(decide().map(({ job: id }) => id))).to.deep.equal(new Set(['single']))
    for (const { server, task, run } of first) world.planner.applyStartOutcome(server, task, run, 'started', world.now)
    expect(new Set(decide().map(({ job: id }) => id)).size).to.equal(1)
  })

  it('don\'t delay one that claims guaranteed capacity', () => {
    world.planner.submit(gang('large', 1024))
    decide()
    world.planner.submit(job('claim', { queue: 'urgent', workspace: 'brno', steps: [step({ count: 8, isGang: true })] }))
    expect(decide().map(({ job: id }) => id)).to.deep.equal(Array.from({ length: 8 }, () => 'claim'))
  })

  it('start together if all of them fit the limit', () => {
    for (const id of ['a', 'b', 'c', 'd', 'e']) world.planner.submit(gang(id, 100))
    expect(decide().length).to.be.within(400, MAXIMUM_CALLS_UNDER_WAY)
  })

  for (const outcome of ['expired', 'unsent', 'no-room'] as const) {
    it(`take work in proportion to their members when all starts are ${outcome}`, () => {
      const workOf = (count: number): number => {
        world = new World(SERVERS)
        world.settle()
        world.planner.submit(gang('a', count))
        const starts = decide()
        return entriesRead(() => { for (const { server, task, run } of starts) world.planner.applyStartOutcome(server, task, run, outcome, world.now) })
      }
      expect(workOf(1200)).to.be.below(3 * workOf(600))
    })
  }

  it('stop a member that is found after the others were stopped', () => {
    world.planner.submit(gang('a', 4))
    world.settle()
    const server = world.serverRunning('a.0.0.0')!
    const { run } = server.running.get('a.0.0.0')!
    server.end('a.0.0.0', 'alone')
    world.pollServers()
    const other = world.servers.find(({ running }) => running.size === 0)!
    other.running.set('a.0.0.1', { task: 'a.0.0.1' as TaskName, run, checkpoint: '', percent: 0 })
    world.pollServers([other])
    world.round()
    expect(world.stops.some(stop => stop.server === other.entry.id && stop.run === run)).to.equal(true)
  })
})
