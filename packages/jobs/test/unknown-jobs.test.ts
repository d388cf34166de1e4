import { expect } from 'chai'
import { epoch } from '@cornelgauge/model'
import { jobId } from '../src/index.js'
import { job, step, World, type FakeServer } from './world.js'

describe('planner that finds a run of a job before the job itself', () => {
  /** A later owner has found the runs of a job that it didn't load; they take a while to stop. */
  const worldWithUnknownRuns = (steps: Parameters<typeof step>[0]): { world: World, late: ReturnType<typeof job>, server: FakeServer } => {
    const world = new World(4)
    const late = job('late', { steps: [step({ savesCheckpoints: true, ...steps })], acceptedUnder: epoch(1) })
    world.planner.submit(late)
    world.settle()
    for (const server of world.servers) server.stopsSlowly = true
    world.takeOver(2, [])
    world.settle()
    return { world, late, server: world.serverRunning('late.0.0.0')! }
  }

  it('starts its task only once the run has ended', () => {
    const { world, late, server } = worldWithUnknownRuns({})
    world.planner.submit(late)
    world.settle(4)
    expect(world.starts).to.have.length(1)
    server.finishStops()
    world.settle()
    expect(world.starts).to.have.length(2)
    expect(world.planner.phaseOf(jobId('late'))).to.equal('running')
  })

  it('starts a gang only once all of its runs have ended', () => {
    const { world, late, server } = worldWithUnknownRuns({ count: 2, accelerators: 8, isGang: true })
    world.planner.submit(late)
    world.settle(4)
    server.finishStops()
    world.settle(4)
    expect(world.starts).to.have.length(2)
    for (const each of world.servers) each.finishStops()
    world.settle(4)
    expect(world.starts).to.have.length(4)
  })

  it('applies the end of such a run', () => {
    const { world, late, server } = worldWithUnknownRuns({})
    world.planner.submit(late)
    world.settle()
    server.end('late.0.0.0', 'done')
    world.settle()
    expect(world.planner.phaseOf(jobId('late'))).to.equal('completed')
    expect(world.starts).to.have.length(1)
  })
})
