import { expect } from 'chai'
import { flagErrors } from '../src/prove.js'
import { CASES, prove } from '../src/prove-table.js'
import { MECHANISMS, type Mechanism } from '../src/prove-without.js'

const SEED = 1

/** A case that finds a violation when the mechanism is disabled. */
const SHOWN_BY: Readonly<Record<Mechanism, string>> = {
  fencing: 'owner-frozen-while-its-journal-is-trimmed',
  'intent-before-start': 'owner-killed-between-start-and-answer',
  'read-back': 'operator-race',
  'prepare-go': 'gang-member-missing',
  'version-check': 'operator-race',
  'connection-probing': 'owner-frozen'
}

describe('the checks of npm run prove, with few seeds', function () {
  this.timeout(60_000)

  describe('with every mechanism', () => {
    for (const name of Object.keys(CASES)) {
      it(`finds no violation in ${name}`, async () => {
        const { violations, failedRuns } = await prove(new Map([[name, [SEED]]]))
        expect([violations, failedRuns]).to.deep.equal([[], []])
      })
    }
  })

  describe('with schedules that once violated a guarantee', () => {
    for (const seed of [10178, 10357, 10381, 10510]) {
      it(`finds no violation with seed ${seed}`, async () => {
        const { violations, failedRuns } = await prove(new Map([['random-schedule', [seed]]]))
        expect([violations, failedRuns]).to.deep.equal([[], []])
      })
    }
  })

  describe('without', () => {
    for (const mechanism of MECHANISMS) {
      it(`${mechanism}, finds a violation`, async () => {
        const { violations } = await prove(new Map([[SHOWN_BY[mechanism], [SEED]]]), mechanism)
        expect(violations).to.have.length.above(0)
      })
    }

    it('read-back, finds a swap that started twice', async () => {
      const { violations } = await prove(new Map([['lost-answers', [1, 2, 3]]]), 'read-back')
      expect(violations.map(violation => violation.guarantee)).to.include('non-idempotent work starts once at most')
    })
  })

  describe('flags', () => {
    it('are refused if they select nothing to check', () => {
      const errors = flagErrors({ case: 'nonsense', without: 'luck', seed: '-1', runs: '0' })
      expect(errors.map(error => error.split(' ')[0])).to.deep.equal(['--case', '--without', '--seed', '--runs'])
      expect(flagErrors({ case: 'two-owners', processes: true })).to.have.length(1)
      expect(flagErrors({ case: 'two-owners', without: 'fencing', seed: '1', runs: '2' })).to.deep.equal([])
    })
  })
})
