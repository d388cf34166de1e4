import { expect } from 'chai'
import { FollowingOwnersPlay, type TimeRange } from './following-owners-play.js'

const SEEDS = Array.from({ length: 16 }, (_, index) => 7919 + index)
const PLAY_MILLISECONDS = 60_000
/** Seeds in which the use of a backend server before the first record matters; it seldom does since starts are recorded too. */
const EARLY_USE_SEEDS = [7933, 7994, 7998]
/** Seeds in which the use of a backend server that the record lists as unreached matters. */
const IGNORED_RECORD_SEEDS = [7938, 7953, 7958]
/** Seeds in which trust in the record of starts matters, after outages of the store and times without an owner. */
const TRUSTED_RECORD_SEEDS = [7934, 7978]
/** The seeds of all plays without a fault: also those in which the play finds one. */
const ALL_SEEDS = [...new Set([...SEEDS, ...EARLY_USE_SEEDS, ...IGNORED_RECORD_SEEDS, ...TRUSTED_RECORD_SEEDS])]
/** Owners that follow each other soon: many end before their first record is stored. */
const SHORT_TENURES: TimeRange = [50, 2000]
/** Owners that last longer than the recorded period, and may start tasks in an outage of the store. */
const LONG_TENURES: TimeRange = [6000, 12_000]
/** After times without an owner that are longer than the recorded period, starts of earlier owners may be missing. */
const GAPS: TimeRange = [0, 8000]
/** Time limit of a test on a busy machine. */
const TEST_MILLISECONDS = 60_000

describe('owners that follow each other while backend servers are cut off', () => {
  const cases: readonly (readonly [title: string, tenures?: TimeRange, gaps?: TimeRange])[] = [
    // Guards against a start of a task that runs on a backend server which the last owner had not reached.
    ['start no task that runs elsewhere'],
    // Guards against trust in a row of an earlier owner than the last one, where one in between has used the backend servers.
    ['start no task that runs elsewhere if they follow each other soon', SHORT_TENURES],
    // Guards against trust in the record of starts for a backend server whose runs are missing there.
    ['start no task that runs elsewhere after times without an owner', SHORT_TENURES, GAPS]
  ]
  for (const [title, tenures, gaps] of cases) {
    it(title, async () => {
      let trusted = 0
      for (const seed of ALL_SEEDS) {
        const play = await new FollowingOwnersPlay(seed, {}, tenures, gaps).run(PLAY_MILLISECONDS)
        expect(play.doubles, `seed ${seed}`).to.deep.equal([])
        expect(play.starts).to.be.greaterThan(0)
        trusted += play.trusted
      }
      expect(trusted).to.be.greaterThan(ALL_SEEDS.length)
    }).timeout(TEST_MILLISECONDS)
  }

  it('would start some if they used backend servers before their first record is stored', async () => {
    let doubles = 0
    for (const seed of EARLY_USE_SEEDS) doubles += (await new FollowingOwnersPlay(seed, { usesBeforeRecord: true }, SHORT_TENURES).run(PLAY_MILLISECONDS)).doubles.length
    expect(doubles).to.be.greaterThan(0)
  }).timeout(TEST_MILLISECONDS)

  it('would start some if they used backend servers that the record lists as unreached', async () => {
    let doubles = 0
    for (const seed of IGNORED_RECORD_SEEDS) doubles += (await new FollowingOwnersPlay(seed, { ignoresRecord: true }).run(PLAY_MILLISECONDS)).doubles.length
    expect(doubles).to.be.greaterThan(0)
  }).timeout(TEST_MILLISECONDS)

  // Guards against trust in the record for starts that an owner has sent without the store.
  it('start no task that runs elsewhere after outages of the store and times without an owner', async () => {
    for (const seed of ALL_SEEDS) {
      const { doubles, starts } = await new FollowingOwnersPlay(seed, {}, LONG_TENURES, GAPS, true).run(PLAY_MILLISECONDS)
      expect(doubles, `seed ${seed}`).to.deep.equal([])
      expect(starts).to.be.greaterThan(0)
    }
  }).timeout(TEST_MILLISECONDS)

  it('would start some if they took all starts for recorded', async () => {
    let doubles = 0
    for (const seed of TRUSTED_RECORD_SEEDS) doubles += (await new FollowingOwnersPlay(seed, { trustsRecord: true }, LONG_TENURES, GAPS, true).run(PLAY_MILLISECONDS)).doubles.length
    expect(doubles).to.be.greaterThan(0)
  }).timeout(TEST_MILLISECONDS)
})
