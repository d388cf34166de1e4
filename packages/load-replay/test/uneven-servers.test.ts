import { PLACEMENT_RULES } from '@cornelgauge/jobs'
import { expect } from 'chai'
import { replay, Replay, RETURNS, ROTA, scaled, type LoadPattern } from '../src/index.js'

/** Fewer backend servers, with a load that leaves room. */
const SMALL: LoadPattern = { ...scaled(RETURNS, 0.2), servers: 96 }
const SEEDS = [1, 2, 3, 4]
const WITHOUT_SPEEDS = PLACEMENT_RULES.filter(rule => rule !== 'place-by-speed')
/** Half of the difference between two classes of speed, on a logarithmic scale. */
const HALF_CLASS = Math.log(1.5) / 2

describe('a load on backend servers of three speeds', () => {
  const lateUrgent = (rules = PLACEMENT_RULES): number => {
    const accounts = SEEDS.map(seed => replay(SMALL, seed, rules).byKind.get('preview')!)
    return accounts.reduce((sum, { jobs, inTime }) => sum + jobs - inTime, 0) / accounts.reduce((sum, { jobs }) => sum + jobs, 0)
  }

  it('has a fifth less urgent work that ends late than without regard to speed', () => {
    expect(lateUrgent()).to.be.below(0.8 * lateUrgent(WITHOUT_SPEEDS))
  }).timeout(120_000)

  it('shows the speeds to within half a class', () => {
    const full = new Replay({ ...scaled(RETURNS, 0.3), servers: 96 }, 1)
    full.play()
    expect(full.speedErrors.get(30_000)).to.be.below(HALF_CLASS)
  }).timeout(120_000)
})

describe('a load on backend servers that are fast enough for all queues', () => {
  it('is placed as without regard to speed', () => {
    const pattern = { ...scaled(ROTA, 0.7), lengthMilliseconds: 10_000 }
    for (const seed of SEEDS) expect(replay(pattern, seed)).to.deep.equal(replay(pattern, seed, WITHOUT_SPEEDS))
  }).timeout(120_000)
})
