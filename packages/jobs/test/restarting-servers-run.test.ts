import { expect } from 'chai'
import { RestartRun } from './restart-run.js'

describe('random runs with restarts, drains and outages of backend servers', function () {
  // Many seeded runs without a pause; their time depends on the machine alone.
  this.timeout(120_000)

  for (const seed of [7919, 104_729, 15_485_863, 32_452_843, 49_979_687, 67_867_967]) {
    it(`start no task twice, exceed no capacity and lose track of nothing, seed ${seed}`, () => {
      const run = new RestartRun(seed)
      for (let round = 0; round < 600; round += 1) {
        run.step()
        expect(run.problems, `after round ${round}`).to.deep.equal([])
      }
      run.settle()
      expect(run.problems, 'in the end').to.deep.equal([])
      expect(run.world.starts.length, 'starts').to.be.above(200)
    })
  }

  it('stop no run as the second one of a task', () => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const run = new RestartRun(seed)
      for (let round = 0; round < 600; round += 1) run.step()
      expect(run.world.stops.filter(({ reason }) => reason === 'duplicate'), `seed ${seed}`).to.deep.equal([])
    }
  })
})
