import { expect } from 'chai'
import { backoffCeiling, backoffDelay, openRetryBudget, recordFirstTry, seededRandom, spendRetry, STORE_BACKOFF, type RetryBudget } from '../src/index.js'

describe('retry', () => {
  describe('budget', () => {
    const limits = { perFirstTry: 0.1, perSecond: 1, maximum: 5 }
    const spendAll = (budget: RetryBudget, now: number) => {
      let allowed = 0
      for (let decision = spendRetry(budget, now, limits); decision.allowed; decision = spendRetry(decision.budget, now, limits)) allowed++
      return allowed
    }

    it('allows retries for a share of the first attempts', () => {
      let budget: RetryBudget = { tokens: 0, refilledAt: 0 }
      for (let first = 0; first < 25; first++) budget = recordFirstTry(budget, 0, limits)
      expect(spendAll(budget, 0)).to.equal(2)
    })

    it('allows one retry per second without traffic, and accumulates up to its maximum', () => {
      const budget = openRetryBudget(0, limits)
      expect(spendAll(budget, 0)).to.equal(1)
      expect(spendAll(budget, 2000)).to.equal(3)
      expect(spendAll(budget, 3_600_000)).to.equal(5)
    })

    it('adds no tokens if the clock does not advance or moves back', () => {
      const { budget } = spendRetry(openRetryBudget(1000, limits), 1000, limits)
      expect(spendAll(budget, 0)).to.equal(0)
    })
  })

  describe('backoff', () => {
    it('doubles its ceiling up to the cap', () => {
      const ceilings = [0, 1, 2, 6, 1000].map(tries => backoffCeiling(tries, STORE_BACKOFF))
      expect(ceilings).to.deep.equal([50, 100, 200, 2000, 2000])
    })

    it('draws delays from the full range, the same ones for the same seed', () => {
      const delaysOf = (seed: number) => {
        const random = seededRandom(seed)
        return Array.from({ length: 200 }, () => backoffDelay(6, random))
      }
      const delays = delaysOf(5)
      expect(delaysOf(5)).to.deep.equal(delays)
      expect(Math.min(...delays)).to.be.within(0, 200)
      expect(Math.max(...delays)).to.be.within(1800, 2000)
    })
  })
})
