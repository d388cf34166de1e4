import { expect } from 'chai'
import { RENEWAL_GROWN, Replay } from '../src/index.js'

/** Processor time that a round may take on a present-day core, so that heartbeats are answered within 300 ms on a third of one. */
const ROUND_MILLISECONDS = 100
/** An examination takes a microsecond at most: a few comparisons. */
const EXAMINATIONS_PER_MILLISECOND = 1000

describe('a placement round', () => {
  describe('under a burst of claims at the grown size', () => {
    it('does not examine all running groups for each waiting task', () => {
      const played = new Replay({ ...RENEWAL_GROWN, lengthMilliseconds: 7000, burst: { factor: 2.2, from: 3000, milliseconds: 4000 } }, 1)
      played.play()
      expect(played.largestRound).to.be.at.most(ROUND_MILLISECONDS * EXAMINATIONS_PER_MILLISECOND)
    }).timeout(120_000)
  })
})
