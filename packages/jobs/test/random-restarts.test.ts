/**
 * Plays restarts, cuts, lost and late messages and changing owners, drawn from seeds. To play others by hand:
 * `RESTART_SEEDS=1-5000 npx mocha packages/jobs/dist/test/random-restarts.test.js`
 */
import { expect } from 'chai'
import { playRestarts } from './restart-play.js'

const SEEDS = '1-40'

function seedsOf (range: string): readonly number[] {
  const [first, last = first] = range.split('-').map(Number) as [number, number?]
  return Array.from({ length: last! - first + 1 }, (_, index) => first + index)
}

describe('random restarts, cuts and late messages', function () {
  this.timeout(0)

  for (const seed of seedsOf(process.env.RESTART_SEEDS ?? SEEDS)) {
    it(`keep the rules on runs (seed ${seed})`, () => {
      const { findings } = playRestarts(seed)
      expect(findings.map(({ text }) => text).join('\n'), `seed ${seed}`).to.equal('')
    })
  }
})
