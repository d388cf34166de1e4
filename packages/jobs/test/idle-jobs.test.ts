import { expect } from 'chai'
import { jobId, type PlannerEvent } from '../src/index.js'
import { job, step, World } from './world.js'

const idleIn = (world: World, milliseconds: number): readonly Extract<PlannerEvent, { type: 'job-idle' }>[] => {
  const events: PlannerEvent[] = []
  for (const end = world.now + milliseconds; world.now < end;) {
    world.now += 480
    world.settle(1)
    events.push(...world.planner.drainEvents())
  }
  return events.filter(event => event.type === 'job-idle')
}

describe('a job that has nothing running in an idle pool', () => {
  it('is logged with the run that it waits for', () => {
    const world = new World(2)
    world.planner.submit(job('a'))
    world.settle()
    const holder = world.serverRunning('a.0.0.0')!
    holder.stopsSlowly = true
    world.planner.cancel(jobId('b'), world.wallTime)
    world.listServers(world.entries.map(entry => entry.id === holder.entry.id ? { ...entry, isDraining: true, remainingMilliseconds: 0 } : entry))
    const idle = idleIn(world, 7000)
    expect(idle.length).to.be.within(1, 2)
    expect(idle[0]).to.include({ job: 'a', task: 'a.0.0.0', reason: 'run', server: holder.entry.id })
  })

  it('is logged with its queue if the terms are unknown', () => {
    const world = new World(2)
    world.planner.submit(job('a', { queue: 'unknown' }))
    expect(idleIn(world, 6000)[0]).to.include({ job: 'a', reason: 'queue' })
  })

  it('is logged if no backend server can hold its task', () => {
    const world = new World(2)
    world.planner.submit(job('a', { steps: [step({ accelerators: 9 })] }))
    expect(idleIn(world, 6000)[0]).to.include({ job: 'a', reason: 'capacity' })
  })

  it('isn\'t logged while it runs, or while the pool is busy', () => {
    const world = new World(2)
    world.planner.submit(job('a', { steps: [step({ accelerators: 8 })] }))
    expect(idleIn(world, 3000)).to.deep.equal([])
    for (const id of ['b', 'c']) world.planner.submit(job(id, { steps: [step({ accelerators: 8 })] }))
    expect(idleIn(world, 3500).filter(event => event.job !== 'a')).to.deep.equal([])
  })
})
