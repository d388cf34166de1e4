import { expect } from 'chai'
import { MAXIMUM_PLANNED_LOAD, MAXIMUM_RUNNING_LOAD, poolName } from '../src/index.js'
import { JobState } from '../src/job-state.js'
import { PlannedLoads } from '../src/planned-loads.js'
import { job, step, World } from './world.js'

// Guards against jobs that keep all others from being planned for as long as they run, however idle the pool is.
describe('the load of planned jobs', () => {
  const chain = Array.from({ length: 290 }, (_, index) => step({ need: { processor: 10, memory: 1, accelerators: 0 }, after: index === 0 ? [] : [index - 1] }))
  const states = (count: number, isRunning: boolean, pool = 'pool'): readonly JobState[] => Array.from({ length: count }, (_, number) => {
    const state = new JobState(job(`${pool}-${number}`, { steps: chain, pool: poolName(pool) }), false)
    if (isRunning) state.noteRuns(1)
    return state
  })
  const sumOf = (jobs: readonly JobState[]): number => jobs.reduce((sum, { load }) => sum + load, 0)
  const loadsOf = (jobs: readonly JobState[]): PlannedLoads => {
    const loads = new PlannedLoads()
    for (const state of jobs) loads.add(state)
    loads.noteRunning(jobs)
    return loads
  }

  it('counts in full while nothing of them runs', () => {
    const jobs = states(10, false)
    expect(loadsOf(jobs).counted()).to.be.closeTo(sumOf(jobs), 0.001)
  })

  it('doesn\'t count while they run, up to a limit', () => {
    const [{ load }] = states(1, true) as [JobState]
    const most = Math.floor(MAXIMUM_RUNNING_LOAD / load) - 1
    const more = states(most + 50, true)
    expect(loadsOf(states(most, true)).counted()).to.equal(0)
    expect(loadsOf(more).counted()).to.be.closeTo(sumOf(more) - MAXIMUM_RUNNING_LOAD, 0.001)
  })

  it('counts by pool what it counts in total', () => {
    const jobs = [...states(100, true, 'a'), ...states(150, true, 'b'), ...states(20, false, 'a')]
    const loads = loadsOf(jobs)
    expect(loads.counted(poolName('a')) + loads.counted(poolName('b'))).to.be.closeTo(loads.counted(), 0.001)
    expect(loads.total).to.be.closeTo(sumOf(jobs), 0.001)
  })

  it('leaves room for later jobs beside a hundred and fifty that run', () => {
    const world = new World(2)
    world.settle()
    for (let number = 0; number < 150; number += 1) world.planner.submit(job(`a${number}`, { steps: chain }))
    expect(world.planner.plannedLoad()).to.be.above(MAXIMUM_PLANNED_LOAD)
    world.settle(5)
    expect(world.starts).to.have.length(150)
    expect(world.planner.plannedLoad()).to.equal(0)
  })
})
