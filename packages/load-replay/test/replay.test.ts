import { expect } from 'chai'
import { arrivalsOf, earnedShare, RENEWAL, replay, ROTA, scaled, type LoadPattern } from '../src/index.js'

/** Few backend servers and a short load, to keep the test fast. */
const SMALL: LoadPattern = { ...scaled(ROTA, 0.1), servers: 8, lengthMilliseconds: 8000 }

describe('replay', () => {
  describe('of one seed', () => {
    it('is reproducible', () => {
      expect(replay(SMALL, 3)).to.deep.equal(replay(SMALL, 3))
    })

    it('draws different jobs for different seeds', () => {
      expect(arrivalsOf(SMALL, 3).map(arrival => arrival.arrivesAt)).not.to.deep.equal(arrivalsOf(SMALL, 4).map(arrival => arrival.arrivesAt))
    })

    it('draws jobs in order of arrival, within the length of the load', () => {
      const times = arrivalsOf(ROTA, 1).map(arrival => arrival.arrivesAt)
      expect(times).to.deep.equal([...times].sort((left, right) => left - right))
      expect(times.at(-1)).to.be.below(ROTA.lengthMilliseconds)
    })
  })

  describe('of a load far below the capacity', () => {
    for (const pattern of [ROTA, RENEWAL]) {
      it(`serves the urgent work of ${pattern.name} in time`, () => {
        const [urgent] = pattern.kinds
        const { byKind } = replay({ ...scaled(pattern, 0.1), kinds: [{ ...urgent!, perSecond: 0.3, maximumTasks: 4, failureShare: 0 }] }, 5)
        expect(earnedShare(byKind.get(urgent!.name)!)).to.equal(1)
      })
    }
  })

  describe('of a load above the capacity', () => {
    it('earns less than the attainable value, and counts the discarded work', () => {
      const { overall, waste } = replay({ ...scaled(ROTA, 2), servers: 16, lengthMilliseconds: 10_000 }, 2)
      expect(earnedShare(overall)).to.be.within(0.05, 0.95)
      expect(waste).to.be.above(0)
    })
  })
})
