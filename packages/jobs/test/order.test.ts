import { expect } from 'chai'
import { gainOf, inPlacementOrder, type Candidate } from '../src/order.js'
import { JobState } from '../src/job-state.js'
import { job } from './world.js'

const candidate = (id: string, overrides: Partial<Candidate> = {}): Candidate => ({
  job: new JobState(job(id), false),
  priority: 2,
  isClaim: false,
  expectedWork: 1000,
  meanWork: 1000,
  waitedMilliseconds: 0,
  remainingMilliseconds: 1000,
  objectiveMilliseconds: 3000,
  ...overrides
})

const order = (...candidates: Candidate[]): string[] => inPlacementOrder(candidates).map(each => each.job.job.id)

describe('order', () => {
  it('puts claims before all other jobs', () => {
    expect(order(candidate('urgent', { priority: 0 }), candidate('claim', { priority: 0, isClaim: true, waitedMilliseconds: 9000 }))).to.deep.equal(['claim', 'urgent'])
  })

  it('follows priorities while all jobs can meet their objectives', () => {
    expect(order(candidate('bulk'), candidate('long', { priority: 1 }), candidate('urgent', { priority: 0 }))).to.deep.equal(['urgent', 'long', 'bulk'])
  })

  it('puts an urgent job that can only end late behind long jobs that can end in time', () => {
    const late = candidate('late', { priority: 0, waitedMilliseconds: 2500, expectedWork: 2000 })
    expect(order(late, candidate('long', { priority: 1, expectedWork: 900 }), candidate('urgent', { priority: 0 }))).to.deep.equal(['urgent', 'long', 'late'])
  })

  it('puts a job whose result has no value any more behind all others', () => {
    expect(order(candidate('past', { priority: 0, waitedMilliseconds: 9000 }), candidate('bulk'))).to.deep.equal(['bulk', 'past'])
  })

  it('prefers the smaller of two jobs, which has more value per unit of work', () => {
    expect(order(candidate('wide', { expectedWork: 4000 }), candidate('small', { expectedWork: 300 }))).to.deep.equal(['small', 'wide'])
  })

  it('gains nothing by starting now if a delay does not change whether the job is late', () => {
    expect(gainOf(candidate('early', { priority: 0 }), 500)).to.equal(0)
    expect(gainOf(candidate('due', { priority: 0, waitedMilliseconds: 1900 }), 500)).to.be.above(0)
    expect(gainOf(candidate('late', { priority: 0, waitedMilliseconds: 2500 }), 500)).to.equal(0)
  })

  it('limits the value of the largest job to that of four mean jobs', () => {
    const gain = (expectedWork: number): number => gainOf(candidate('wide', { priority: 0, waitedMilliseconds: 1900, expectedWork }), 500)
    expect(gain(20_000)).to.be.closeTo(gain(10_000), 1)
  })
})
