/** Plays the restarts and owners of `random-restarts.test.ts` while failure domains are evacuated. To play other seeds by hand: `EVACUATION_SEEDS=1-500`. */
import { expect } from 'chai'
import { playRestarts } from './restart-play.js'

const [first = 1, last = first] = (process.env.EVACUATION_SEEDS ?? '1-16').split('-').map(Number)

describe('random evacuations among restarts, cuts and changing owners', function () {
  this.timeout(0)
  let moved = 0

  for (let seed = first; seed <= last; seed += 1) {
    it(`start nothing in an evacuated failure domain, and keep the rules on runs (seed ${seed})`, () => {
      const result = playRestarts(seed, true)
      moved += result.moved
      expect(result.findings.map(({ text }) => text).join('\n'), `seed ${seed}`).to.equal('')
    })
  }

  it('move runs', () => expect(moved).to.be.above(0))
})
