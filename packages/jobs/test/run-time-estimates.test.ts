import { expect } from 'chai'
import { queueName } from '../src/ids.js'
import { RunTimeEstimates } from '../src/run-time-estimates.js'
import { StepWork } from '../src/step-work.js'

const URGENT = queueName('urgent')
const BULK = queueName('bulk')

describe('the expected time of a task', () => {
  let estimates: RunTimeEstimates

  /** The expected time of a task of this declared one, in milliseconds. */
  const expected = (queue = URGENT): number => Math.exp(estimates.of(queue, 2000)!.mean)

  beforeEach(() => {
    estimates = new RunTimeEstimates()
  })

  it('is the declared one at first', () => {
    expect(expected()).to.be.closeTo(2000, 0.001)
  })

  it('is unknown where none is declared', () => {
    expect(estimates.of(URGENT, 0)).to.equal(undefined)
  })

  it('follows what the declared ones of its queue turn out to be, of this queue only', () => {
    for (let run = 0; run < 200; run += 1) estimates.observe(URGENT, Math.log(run % 2 === 0 ? 1.2 : 1.8))
    expect(expected()).to.be.within(2000 * 1.35, 2000 * 1.6)
    expect(expected(BULK)).to.be.closeTo(2000, 0.001)
  })

  it('hardly follows a single run that takes many times as long', () => {
    estimates.observe(URGENT, Math.log(50))
    expect(expected()).to.be.below(2100)
  })

  describe('of a step with runs', () => {
    it('follows these more than the declared time', () => {
      const work = new StepWork(estimates.of(URGENT, 2000))
      for (let run = 0; run < 8; run += 1) work.add({ value: Math.log(3000), precision: 20 })
      expect(Math.exp(work.without()!.mean)).to.be.within(2800, 3000)
    })

    it('leaves out the run that is compared with it', () => {
      const work = new StepWork(estimates.of(URGENT, 2000))
      const contribution = work.add({ value: Math.log(3000), precision: 20 })
      expect(Math.exp(work.without(contribution)!.mean)).to.be.closeTo(2000, 0.001)
    })

    it('counts a run far from the others as if it were nearer', () => {
      const work = new StepWork(estimates.of(URGENT, 2000))
      expect(work.add({ value: Math.log(14_000), precision: 20 }).value).to.be.closeTo(Math.log(2000) + 0.7, 0.001)
    })
  })
})
