import { expect } from 'chai'
import { jobId } from '../src/index.js'
import { job, step, World } from './world.js'

const PERCENT_MILLISECONDS = 6000
const WATCHED_MILLISECONDS = 200_000
const STEP_MILLISECONDS = 500

// Guards against long tasks that are stopped for ever before they show progress, and backend servers that are avoided for them.
describe('tasks that take minutes for each tenth of their work', () => {
  const play = (world: World): void => {
    for (let elapsed = 0; elapsed < WATCHED_MILLISECONDS; elapsed += STEP_MILLISECONDS) {
      world.now += STEP_MILLISECONDS
      for (const server of world.servers) {
        for (const [task, entry] of server.running) {
          const percent = Math.floor((world.now - server.startedAt(task, entry.run, world.now)) / PERCENT_MILLISECONDS)
          server.running.set(task, { ...entry, percent })
        }
      }
      world.settle(1)
    }
  }

  it('are stopped once at most, and then go on', () => {
    const world = new World(3)
    for (const id of ['a', 'b', 'c']) world.planner.submit(job(id, { steps: [step({ count: 2, accelerators: 4 })] }))
    play(world)
    expect(world.starts).to.have.length.at.most(2 * 6)
    for (const server of world.servers) for (const { percent } of server.running.values()) expect(percent).to.be.above(20)
    expect(world.servers.reduce((sum, server) => sum + server.running.size, 0)).to.equal(6)
  })

  it('keep no backend server from getting work', () => {
    const world = new World(3)
    world.planner.submit(job('a', { steps: [step({ count: 6, accelerators: 4 })] }))
    for (let elapsed = 0; elapsed < 5000; elapsed += STEP_MILLISECONDS) {
      world.now += STEP_MILLISECONDS
      world.settle(1)
    }
    world.planner.cancel(jobId('a'), world.wallTime)
    world.settle()
    world.planner.submit(job('b', { steps: [step({ count: 2, accelerators: 8 })] }))
    world.settle()
    expect(world.servers.filter(server => [...server.running.keys()].some(task => task.startsWith('b.')))).to.have.length(2)
  })
})
