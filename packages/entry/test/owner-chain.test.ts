import { DISCONNECTED_OWNER_MILLISECONDS, LEASE_MILLISECONDS, MINIMUM_SERVER_CLOCK_RATE } from '@cornelgauge/jobs'
import { expect } from 'chai'
import { OwnerChainPlay, type ChainResult } from './owner-chain-play.js'

const SEEDS = [7919, 7920, 7921]
const DURATIONS = [60_000, 240_000]
/** Time limit of a test on a busy machine. */
const TEST_MILLISECONDS = 60_000

/** How long a task may be idle that has had no run or start on a lost backend server. */
const START_MILLISECONDS = 1500
const LEASES_MILLISECONDS = LEASE_MILLISECONDS / MINIMUM_SERVER_CLOCK_RATE
/** How long a task may be idle for each loss: the leases of its run, and those that the next owner waits for. */
const LOSS_MILLISECONDS = LEASES_MILLISECONDS + (LEASES_MILLISECONDS + DISCONNECTED_OWNER_MILLISECONDS) + START_MILLISECONDS

/** Time between two claims, and how long each lost backend server is cut off. */
const CHAINS = [
  ...[500, 1000, 2000, 4500, 9000, 20_000].map(ownerMilliseconds => ({ ownerMilliseconds, lostMilliseconds: 9000 })),
  // With 9 s they are back before the owner that waits for them ends.
  ...[9000, 20_000].map(ownerMilliseconds => ({ ownerMilliseconds, lostMilliseconds: 14_000 }))
]

// Guards against waits for lost backend servers that each owner begins anew, so that they have no end.
describe('a chain of owners that each lose a backend server', () => {
  for (const { ownerMilliseconds, lostMilliseconds } of CHAINS) {
    describe(`for ${lostMilliseconds} ms, and are replaced after ${ownerMilliseconds} ms`, function () {
      this.timeout(TEST_MILLISECONDS)
      const plays: (ChainResult & { readonly name: string, readonly duration: number })[] = []

      before(async () => {
        for (const seed of SEEDS) {
          for (const duration of DURATIONS) {
            const play = await new OwnerChainPlay({ seed, ownerMilliseconds, lostMilliseconds }).run(duration)
            plays.push({ ...play, name: `seed ${seed}, ${duration} ms`, duration })
          }
        }
      })

      it('starts no task beside a run of it', () => {
        for (const { name, duration, doubles, owners, lostServers, losses } of plays) {
          expect(doubles, name).to.deep.equal([])
          expect(owners, name).to.equal(Math.ceil(duration / ownerMilliseconds))
          expect(lostServers, name).to.be.within(owners - 1, owners)
          expect(losses, name).to.be.greaterThan(0)
        }
      })

      it('starts the tasks that are handed in all the time, and leaves none idle for longer than its leases and the takeover allow', () => {
        const late = plays.filter(({ idle }) => idle.withoutLoss > START_MILLISECONDS || idle.perLoss > LOSS_MILLISECONDS)
        expect(late.map(({ name, idle }) => `${name}: idle for ${idle.withoutLoss} ms, and for ${idle.perLoss} ms for a loss`)).to.deep.equal([])
        for (const { name, duration, tasks, starts } of plays) {
          expect(tasks, name).to.equal(2 * duration / 1000)
          expect(starts, name).to.be.at.least(tasks)
        }
      })
    })
  }

  it('would start some beside their runs if owners knew only the backend servers that they reach', async () => {
    const { doubles } = await new OwnerChainPlay({ seed: SEEDS[0]!, ownerMilliseconds: 4500, lostMilliseconds: 9000, forgetsServers: true }).run(DURATIONS[0]!)
    expect(doubles).not.to.have.length(0)
  }).timeout(TEST_MILLISECONDS)
})
