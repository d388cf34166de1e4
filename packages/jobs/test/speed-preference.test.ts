import { expect } from 'chai'
import { serverId } from '../src/ids.js'
import type { Candidate } from '../src/order.js'
import type { SpeedBelief } from '../src/server-speed.js'
import { PoolSpeeds, toleranceOf } from '../src/speed-preference.js'

const DEVIATION = 0.1

/** A pool with one backend server for each slowness, named by it. */
function poolOf (slownesses: readonly number[], lowestStretch = 1.5): PoolSpeeds {
  return new PoolSpeeds(new Map(slownesses.map((slowness): [ReturnType<typeof serverId>, SpeedBelief] => [serverId(`${slowness}`), { logSlowness: Math.log(slowness), deviation: DEVIATION }])), lowestStretch)
}

/** The backend servers in the order in which work with this tolerance gets them; those that count alike are joined. */
function orderOf (slownesses: readonly number[], tolerance: number): readonly string[] | undefined {
  const rank = poolOf(slownesses).rankFor(tolerance)
  if (rank === undefined) return undefined
  const byRank = new Map<number, string[]>()
  for (const slowness of slownesses) byRank.set(rank(serverId(`${slowness}`)), [...byRank.get(rank(serverId(`${slowness}`))) ?? [], `${slowness}`])
  return [...byRank].sort(([left], [right]) => left - right).map(([, names]) => names.join(' '))
}

describe('the order of backend servers by speed', () => {
  const THREE_SPEEDS = [0.6, 1, 1.05, 1.7, 5]

  it('gives work with a low stretch the fastest first', () => {
    expect(orderOf(THREE_SPEEDS, 1.5)).to.deep.equal(['0.6', '1 1.05', '1.7', '5'])
  })

  it('gives work that can wait those first that only it can use', () => {
    expect(orderOf(THREE_SPEEDS, 3)).to.deep.equal(['1.7', '1 1.05', '0.6', '5'])
  })

  it('ranks a backend server of which nothing is known as a usual one', () => {
    const rank = poolOf(THREE_SPEEDS).rankFor(1.5)!
    expect(rank(serverId('unknown'))).to.equal(rank(serverId('1')))
  })

  for (const [slownesses, description] of [[[1, 1, 1.3], 'the slowest is fast enough for all queues'], [[1, 1.6, 1.6], 'none is certain to be too slow, and few are'], [[1], 'all are alike']] as const) {
    it(`makes no difference where ${description}`, () => {
      const usual = Array.from({ length: 40 }, (_, index) => 1 + index / 1000)
      const pool = poolOf([...usual, ...slownesses])
      expect(pool.rankFor(1.5)).to.equal(undefined)
      expect(pool.neutralRank).to.equal(undefined)
      expect(pool.slowServers.size).to.equal(0)
    })
  }

  describe('by the time that is left', () => {
    const candidate = (waitedMilliseconds: number): Candidate => ({ waitedMilliseconds, remainingMilliseconds: 1000, objectiveMilliseconds: 3250 } as Candidate)

    for (const [waited, tolerance, description] of [[0, 3, 'tolerates the stretch of its queue at first'], [1250, 2, 'tolerates less once it has waited'], [3000, 6.75, 'tolerates more again once it is late']] as const) {
      it(description, () => {
        expect(toleranceOf(candidate(waited), 3)).to.equal(tolerance)
      })
    }
  })
})
