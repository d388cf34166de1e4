import { expect } from 'chai'
import { arrivalsOf, ratio, RENEWAL, replay, ROTA, scaled, type LoadPattern } from '../src/index.js'

/** Few backend servers and a short day, so that a test takes a moment. */
const SMALL: LoadPattern = { ...scaled(ROTA, 0.1), servers: 8, lengthMilliseconds: 8000 }

describe('replay', () => {
  describe('of one seed', () => {
    it('gives the same account again', () => {
      expect(replay(SMALL, 3)).to.deep.equal(replay(SMALL, 3))
    })

    it('draws other jobs than another seed', () => {
      expect(arrivalsOf(SMALL, 3).map(arrival => arrival.at)).not.to.deep.equal(arrivalsOf(SMALL, 4).map(arrival => arrival.at))
    })

    it('draws jobs in the order of their arrival, within the day', () => {
      const times = arrivalsOf(ROTA, 1).map(arrival => arrival.at)
      expect(times).to.deep.equal([...times].sort((left, right) => left - right))
      expect(times.at(-1)).to.be.below(ROTA.lengthMilliseconds)
    })
  })

  describe('of a load far below the capacity', () => {
    for (const pattern of [ROTA, RENEWAL]) {
      it(`serves the urgent work of ${pattern.name} in time`, () => {
        const [urgent] = pattern.kinds
        const { byKind } = replay({ ...scaled(pattern, 0.1), kinds: [{ ...urgent!, perSecond: 0.3, mostWidth: 4, failures: 0 }] }, 5)
        expect(ratio(byKind.get(urgent!.name)!)).to.equal(1)
      })
    }
  })

  describe('of a load above the capacity', () => {
    it('earns less than is owed, and counts what was thrown away', () => {
      const { whole, waste } = replay({ ...scaled(ROTA, 2), servers: 16, lengthMilliseconds: 10_000 }, 2)
      expect(ratio(whole)).to.be.within(0.05, 0.95)
      expect(waste).to.be.above(0)
    })
  })
})
