import { expect } from 'chai'
import { gainOf, inPlacementOrder, type Candidate } from '../src/order.js'
import { JobState } from '../src/job-state.js'
import { job } from './world.js'

const candidate = (id: string, given: Partial<Candidate> = {}): Candidate => ({
  job: new JobState(job(id), false),
  priority: 2,
  isClaim: false,
  expectedWork: 1000,
  meanWork: 1000,
  waitedMilliseconds: 0,
  remainingMilliseconds: 1000,
  objectiveMilliseconds: 3000,
  ...given
})

const order = (...candidates: Candidate[]): string[] => inPlacementOrder(candidates).map(each => each.job.job.id)

describe('order', () => {
  it('puts claims first, whatever else waits', () => {
    expect(order(candidate('urgent', { priority: 0 }), candidate('claim', { priority: 0, isClaim: true, waitedMilliseconds: 9000 }))).to.deep.equal(['claim', 'urgent'])
  })

  it('follows the priorities while everything can end in time', () => {
    expect(order(candidate('bulk'), candidate('long', { priority: 1 }), candidate('urgent', { priority: 0 }))).to.deep.equal(['urgent', 'long', 'bulk'])
  })

  it('puts an urgent job that can only be late behind the long ones that can be in time', () => {
    const late = candidate('late', { priority: 0, waitedMilliseconds: 2500, expectedWork: 2000 })
    expect(order(late, candidate('long', { priority: 1, expectedWork: 900 }), candidate('urgent', { priority: 0 }))).to.deep.equal(['urgent', 'long', 'late'])
  })

  it('puts a job that helps nobody any more behind all others', () => {
    expect(order(candidate('past', { priority: 0, waitedMilliseconds: 9000 }), candidate('bulk'))).to.deep.equal(['bulk', 'past'])
  })

  it('prefers the smaller of two, which earns more for the capacity it takes', () => {
    expect(order(candidate('wide', { expectedWork: 4000 }), candidate('small', { expectedWork: 300 }))).to.deep.equal(['small', 'wide'])
  })

  it('gains nothing by starting work now that can wait', () => {
    expect(gainOf(candidate('early', { priority: 0 }), 500)).to.equal(0)
    expect(gainOf(candidate('due', { priority: 0, waitedMilliseconds: 1900 }), 500)).to.be.above(0)
    expect(gainOf(candidate('late', { priority: 0, waitedMilliseconds: 2500 }), 500)).to.equal(0)
  })

  it('counts no more than four mean jobs for the widest one', () => {
    const gain = (expectedWork: number): number => gainOf(candidate('wide', { priority: 0, waitedMilliseconds: 1900, expectedWork }), 500)
    expect(gain(20_000)).to.be.closeTo(gain(10_000), 1)
  })
})
