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

  // Guards against a chain that never has a complete record again, so that all earlier jobs wait under each owner.
  for (const ownerMilliseconds of [500, 2000, 4500]) {
    it(`records its starts again after a time without an owner, if they are replaced after ${ownerMilliseconds} ms`, async () => {
      for (const seed of SEEDS) {
        const { doubles, idle, tasks, starts } = await new OwnerChainPlay({ seed, ownerMilliseconds, lostMilliseconds: 9000, gap: { at: 20_000, milliseconds: 6000 } }).run(120_000)
        expect(doubles).to.deep.equal([])
        expect(idle.withoutLoss, `seed ${seed}, without a loss`).to.be.at.most(LEASES_MILLISECONDS + DISCONNECTED_OWNER_MILLISECONDS + START_MILLISECONDS)
        expect(idle.perLoss, `seed ${seed}, for a loss`).to.be.at.most(LOSS_MILLISECONDS)
        expect(tasks).to.be.at.least(200)
        expect(starts).to.be.at.least(tasks)
      }
    }).timeout(TEST_MILLISECONDS)
  }

  // Guards against starts beside runs that an owner has started without the store, on backend servers that are lost with it.
  for (const ownerMilliseconds of [500, 2000]) {
    it(`starts no task beside a run that is recorded nowhere after an outage of the store, and holds none for long, if they are replaced after ${ownerMilliseconds} ms`, async () => {
      for (const seed of SEEDS) {
        const { doubles, idle, losses, starts, tasks } = await new OwnerChainPlay({ seed, ownerMilliseconds, lostMilliseconds: 9000, outage: { at: 20_000, milliseconds: 10_000 } }).run(DURATIONS[0]!)
        expect(doubles, `seed ${seed}`).to.deep.equal([])
        expect(losses, `seed ${seed}`).to.be.greaterThan(0)
        expect(idle.withoutLoss, `seed ${seed}, without a loss`).to.be.at.most(LEASES_MILLISECONDS + DISCONNECTED_OWNER_MILLISECONDS + START_MILLISECONDS)
        expect(idle.perLoss, `seed ${seed}, for a loss`).to.be.at.most(LOSS_MILLISECONDS)
        expect(starts).to.be.at.least(tasks)
      }
    }).timeout(TEST_MILLISECONDS)

    it(`would start some beside such runs if owners took all starts for recorded, and are replaced after ${ownerMilliseconds} ms`, async () => {
      const { doubles } = await new OwnerChainPlay({ seed: SEEDS[0]!, ownerMilliseconds, lostMilliseconds: 9000, outage: { at: 20_000, milliseconds: 10_000 }, trustsRecord: true }).run(DURATIONS[0]!)
      expect(doubles).not.to.have.length(0)
    }).timeout(TEST_MILLISECONDS)
  }

  it('would start some beside their runs if owners knew only the backend servers that they reach', async () => {
    const { doubles } = await new OwnerChainPlay({ seed: SEEDS[0]!, ownerMilliseconds: 4500, lostMilliseconds: 9000, forgetsServers: true }).run(DURATIONS[0]!)
    expect(doubles).not.to.have.length(0)
  }).timeout(TEST_MILLISECONDS)
})
