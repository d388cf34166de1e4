import { digestOf, documentVersion } from '@cornelgauge/model'
import { MemoryObjectStore, MemoryTableService, VirtualClock } from '@cornelgauge/ports'
import { expect } from 'chai'
import fc from 'fast-check'
import { DOCUMENT_POLL_MILLISECONDS, DocumentFollower, DOCUMENTS_TABLE, pause, type ReceivedDocument } from '../src/index.js'
import { FaultyServices, type CallOutcome } from './faulty-services.js'

type Step =
  | { readonly type: 'apply' }
  | { readonly type: 'hint', readonly from: number, readonly to: number }
  | { readonly type: 'outage', readonly on: boolean }

const step = fc.oneof<fc.Arbitrary<Step>[]>(
  fc.record({ type: fc.constant('apply' as const) }),
  fc.record({ type: fc.constant('hint' as const), from: fc.nat(2), to: fc.nat(2) }),
  fc.record({ type: fc.constant('outage' as const), on: fc.boolean() })
)
const script = fc.array(fc.tuple(step, fc.nat(1500)), { minLength: 10, maxLength: 30 })
/** Latencies of answers in milliseconds; answers to one VM can arrive out of order. */
const delays = fc.array(fc.nat(2500), { minLength: 20, maxLength: 60 })

const documentOf = (version: number): ReceivedDocument => ({ version: documentVersion(version), text: `text ${version}`, digest: digestOf(`text ${version}`) })

class Followers {
  readonly clock = new VirtualClock()
  readonly adopted: number[][] = [[], [], []]
  readonly followers: readonly DocumentFollower[]
  readonly #table = new MemoryTableService(this.clock)
  readonly #delays: number[]
  #head = 0
  #outage = false

  constructor (delays: readonly number[]) {
    this.#delays = [...delays]
    this.followers = this.adopted.map(versions => this.#newFollower(versions))
  }

  get head (): number { return this.#head }

  async perform (step: Step): Promise<void> {
    if (step.type === 'outage') this.#outage = step.on
    if (step.type === 'hint') this.followers[step.to]!.hint(this.followers[step.from]!.current?.version ?? documentVersion(0))
    if (step.type === 'apply' && !this.#outage) await this.apply()
  }

  async apply (): Promise<void> {
    const value = { ...documentOf(++this.#head), appliedBy: 'operator', appliedAt: 0 }
    await this.#table.write({ conditions: [], operations: [{ type: 'put', table: DOCUMENTS_TABLE, key: 'trial', value }] })
  }

  #newFollower (versions: number[]): DocumentFollower {
    const services = new FaultyServices(this.#table, new MemoryObjectStore(this.clock))
    services.decideOutcome = (): CallOutcome => this.#outage ? 'refused' : 'answered'
    services.beforeAnswer = () => this.#delay()
    return new DocumentFollower({
      table: services.table,
      environment: 'trial',
      clock: this.clock,
      onAdopted: ({ version }) => versions.push(version),
      fetchFromPeers: async () => {
        const documents = this.followers.flatMap(({ current }) => current ?? [])
        await this.#delay()
        return documents
      }
    })
  }

  #delay (): Promise<void> {
    return pause(this.clock, this.#delays.shift() ?? 0, new AbortController().signal)
  }
}

describe('document followers under random delays and outages', () => {
  it('adopt increasing versions only, and all reach the newest one after the last outage', async function () {
    this.timeout(60_000)
    const property = fc.asyncProperty(script, delays, async (script, delays) => {
      const world = new Followers(delays)
      await world.apply()
      world.followers.forEach(follower => { follower.start() })
      for (const [step, milliseconds] of script) {
        await world.perform(step)
        await world.clock.advance(milliseconds)
      }
      await world.perform({ type: 'outage', on: false })
      await world.clock.advance(delays.length * 2500 + 2 * DOCUMENT_POLL_MILLISECONDS)
      for (const versions of world.adopted) {
        expect(versions.every((version, index) => version > (versions[index - 1] ?? 0))).to.equal(true)
        expect(versions.at(-1)).to.equal(world.head)
      }
    })
    await fc.assert(property, { seed: 5, numRuns: 100, endOnFailure: true })
  })
})
