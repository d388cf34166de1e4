import { epoch } from '@cornelgauge/model'
import { expect } from 'chai'
import type { Capacity } from '../src/index.js'
import { JobState } from '../src/job-state.js'
import { PlannerState } from '../src/state.js'
import { job, step, World } from './world.js'

/** More processor time than any other backend server has: ten times that of the rest. */
const LARGE_PROCESSOR = 320_000

describe('order of jobs in a pool whose largest backend server changes', () => {
  /** A job with much processor and one with much memory; only one of them fits on a backend server. */
  const submitBoth = (world: World): void => {
    world.planner.submit(job('processor', { steps: [step({ need: { processor: 28_000, memory: 17_000, accelerators: 0 } })] }))
    world.planner.submit(job('memory', { steps: [step({ need: { processor: 1000, memory: 48_000, accelerators: 0 } })] }))
  }

  /** Two backend servers, of which the first one has far more processor time. */
  const worldWithLargeServer = (): World => {
    const world = new World(2)
    world.servers[0]!.capacity = { ...world.servers[0]!.capacity, processor: LARGE_PROCESSOR }
    world.listServers()
    world.pollServers()
    return world
  }

  const runningOnLast = (world: World): readonly string[] => [...world.servers.at(-1)!.running.keys()]

  it('compares needs with the largest one while it is there', () => {
    const world = worldWithLargeServer()
    world.listServers(world.entries.map((entry, index) => ({ ...entry, isDraining: index === 0 })))
    submitBoth(world)
    world.settle()
    expect(runningOnLast(world)).to.deep.equal(['processor.0.0.0'])
  })

  it('compares needs with the others once it has left', () => {
    const world = worldWithLargeServer()
    world.listServers(world.entries.slice(1))
    submitBoth(world)
    world.settle()
    expect(runningOnLast(world)).to.deep.equal(['memory.0.0.0'])
  })

  it('compares needs with the others once it has shrunk, and with it once it has grown back', () => {
    const world = worldWithLargeServer()
    const [large] = world.servers
    const full = large!.capacity
    large!.capacity = { processor: 1000, memory: 1000, accelerators: 0 }
    world.listServers()
    submitBoth(world)
    world.settle()
    expect(runningOnLast(world)).to.deep.equal(['memory.0.0.0'])
    large!.capacity = full
    world.listServers(world.entries.map((entry, index) => ({ ...entry, isDraining: index === 0 })))
    world.planner.submit(job('other', { steps: [step({ need: { processor: 1000, memory: 48_000, accelerators: 0 } })] }))
    world.servers[1]!.end('memory.0.0.0', 'done')
    world.settle()
    expect(runningOnLast(world)).to.deep.equal(['processor.0.0.0'])
  })
})

describe('work of jobs in a pool whose capacity changes', () => {
  const bulk = job('a', { steps: [step({ count: 3, accelerators: 2 })] })

  /** The state with one job, after the registry has shown one backend server of each capacity in turn. */
  const stateAfter = (...capacities: readonly Partial<Capacity>[]): { state: PlannerState, jobState: JobState } => {
    const state = new PlannerState(epoch(1), 0, new Set())
    const jobState = new JobState(bulk, false)
    state.addJob(jobState)
    const [entry] = new World(1).entries
    for (const capacity of capacities) {
      state.measurePools([{ ...entry!, capacity: { ...entry!.capacity, ...capacity } }])
      state.meanWork(bulk.queue)
    }
    return { state, jobState }
  }

  it('is relative to the present capacity, and so is the mean of its queue', () => {
    const { state, jobState } = stateAfter({ accelerators: 8 }, { accelerators: 4 })
    expect(state.shareOf(bulk.steps[0]!, bulk.pool)).to.equal(0.5)
    expect(state.meanWork(bulk.queue)).to.equal(state.workOf(jobState))
  })

  it('keeps the last known capacity of a resource that no backend server has at the moment', () => {
    const { state, jobState } = stateAfter({ accelerators: 8 }, { processor: 0, memory: 0, accelerators: 0 })
    expect(state.shareOf(bulk.steps[0]!, bulk.pool)).to.equal(0.25)
    expect(state.meanWork(bulk.queue)).to.equal(state.workOf(jobState))
  })

  it('keeps the last known capacity of a pool without backend servers', () => {
    const { state } = stateAfter({ accelerators: 8 })
    state.measurePools([])
    expect(state.shareOf(bulk.steps[0]!, bulk.pool)).to.equal(0.25)
  })
})
