import { expect } from 'chai'
import { jobId, RETENTION_MILLISECONDS } from '../src/index.js'
import { job, World } from './world.js'

const ID = jobId('a')

describe('planner', () => {
  // Jobs and cancellations reach the owner by different ways, so either may arrive first.
  describe('when the cancellation of a job arrives before the job', () => {
    let world: World

    beforeEach(() => {
      world = new World(2)
      world.settle()
      world.planner.cancel(ID, world.wallTime)
    })

    it('starts none of its tasks, and reports the job as cancelled', () => {
      world.planner.submit(job(ID))
      world.settle()
      expect(world.starts).to.have.length(0)
      expect(world.planner.phaseOf(ID)).to.equal('canceled')
    })

    it('doesn\'t know the job before it arrives', () => {
      expect(world.planner.phaseOf(ID)).to.equal(undefined)
      expect(world.planner.unstoredCount).to.equal(0)
    })

    it('starts other jobs', () => {
      world.planner.submit(job('b'))
      world.settle()
      expect(world.starts.map(start => start.task)).to.deep.equal(['b.0.0.0'])
    })

    it('doesn\'t cancel a job that is accepted under the same id after the retention time', () => {
      expect(world.planner.expireCancellations(world.now)).to.deep.equal([])
      world.now += RETENTION_MILLISECONDS + 1
      expect(world.planner.expireCancellations(world.now)).to.deep.equal([ID])
      world.planner.submit(job(ID))
      world.settle()
      expect(world.starts).to.have.length(1)
    })
  })
})
