import { expect } from 'chai'
import { jobId, type StartCommand } from '../src/index.js'
import { job, step, World, type FakeServer } from './world.js'

// Guards against a job whose progress the store refuses, and that keeps all others from starting or ending.
describe('a job whose progress the store refuses', () => {
  let world: World

  beforeEach(() => {
    world = new World(2)
    world.settle()
    world.planner.submit(job('bad', { steps: [step({ count: 4 })] }))
  })

  const decide = (): readonly StartCommand[] => world.round().filter(command => command.type === 'start')
  const storeAllBut = (id: string): void => { world.planner.markStored(new Map([...world.planner.unstoredJobs].filter(([key]) => key !== id))) }
  const acknowledged = ({ entry }: FakeServer): number => world.planner.pollRequest(entry.id, world.now)!.acknowledgedPosition

  it('isn\'t started, while others are', () => {
    const starts = decide()
    world.planner.noteRefused(jobId('bad'))
    expect(starts).to.have.length(4)
    expect(starts.some(start => world.planner.isStartDue(start))).to.equal(false)
    for (const { server, task, run } of starts) world.planner.applyStartOutcome(server, task, run, 'unsent', world.now)
    world.planner.submit(job('other'))
    expect(decide().map(({ job: id }) => id)).to.deep.equal(['other'])
  })

  it('is started once its progress is stored', () => {
    for (const { server, task, run } of decide()) world.planner.applyStartOutcome(server, task, run, 'unsent', world.now)
    world.planner.noteRefused(jobId('bad'))
    expect(decide()).to.deep.equal([])
    world.planner.markStored(world.planner.unstoredJobs)
    expect(decide()).to.have.length(4)
  })

  it('holds up the ends that a backend server lists with its own, and no others', () => {
    world.planner.submit(job('other', { steps: [step({ count: 2, mostPerServer: 1 })] }))
    world.settle()
    const [first, second] = [world.serverRunning('other.0.0.0')!, world.serverRunning('other.0.0.1')!]
    const own = [...first.running.keys(), ...second.running.keys()].find(task => task.startsWith('bad'))!
    const holder = world.serverRunning(own)!
    const free = holder === first ? second : first
    for (const server of [holder, free]) server.end([...server.running.keys()].find(task => task.startsWith('other'))!, 'done')
    holder.end(own, 'done')
    world.pollServers()
    world.planner.noteRefused(jobId('bad'))
    storeAllBut('bad')
    expect([acknowledged(holder), acknowledged(free)]).to.deep.equal([0, 1])
    holder.end([...holder.running.keys()][0]!, 'failed')
    world.pollServers()
    storeAllBut('bad')
    expect(acknowledged(holder)).to.equal(0)
    world.planner.markStored(world.planner.unstoredJobs)
    expect(acknowledged(holder)).to.equal(3)
  })
})
