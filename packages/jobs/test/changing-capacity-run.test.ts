import { expect } from 'chai'
import type { StartCommand, TaskName } from '../src/index.js'
import { CapacityRecord } from './capacity-record.js'
import { PoolRun } from './pool-run.js'
import { job, step, World } from './world.js'

describe('record of exceeded capacities', () => {
  it('records a start that brings a backend server over its capacity', () => {
    const world = new World(1, { accelerators: 1 })
    const record = new CapacityRecord(world)
    record.submit(job('a', { steps: [step({ count: 2, savesCheckpoints: true })] }))
    world.settle()
    expect(record.violations).to.have.length(0)
    const [command] = world.starts as [StartCommand]
    world.servers[0]!.start({ ...command, task: command.task.replace(/0$/, '1') as TaskName })
    expect(record.violations).to.have.length(1)
  })
})

describe('random runs with capacities that shrink and grow', function () {
  // Many seeded runs without a pause; their time depends on the machine alone.
  this.timeout(120_000)

  for (const seed of [7919, 104_729, 15_485_863, 32_452_843, 49_979_687, 67_867_967]) {
    it(`start nothing beyond the capacity, seed ${seed}`, () => {
      const run = new PoolRun(seed)
      for (let round = 0; round < 400; round += 1) {
        run.step()
        expect(run.violations, `after round ${round}`).to.deep.equal([])
      }
      expect(run.startCount, 'starts').to.be.above(200)
      expect(run.shrunkStartCount, 'starts on backend servers that have shrunk').to.be.above(20)
    }).timeout(20_000)
  }
})
