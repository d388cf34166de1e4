import { vmName, type CellName } from '@cornelgauge/model'
import { MemoryObjectStore, MemoryTableService, VirtualClock, type Clock } from '@cornelgauge/ports'
import { expect } from 'chai'
import fc from 'fast-check'
import {
  chooseActions, claimCell, recordRenewalConfirmed, isLeaseValid, observeOwnerRow, openLease, pause, readOwnerRow, renewCell, seededRandom, recordRenewalSent,
  type CellClaim, type HeldLease, type OwnershipAction, type LeaseWatch, type StoreCallOptions
} from '../src/index.js'
import { DOMAIN_PRAHA, PRAHA } from './builders.js'
import { FaultyServices, type CallOutcome } from './faulty-services.js'

const TICK_MILLISECONDS = 100
const STEP_MILLISECONDS = 25

/** Plan of one platform call: the latency in milliseconds of the request and of the answer, and the outcome. */
interface CallPlan { readonly requestMilliseconds: number, readonly answerMilliseconds: number, readonly outcome: CallOutcome }

/** Plan of a VM: the rate of its clock, and the times at which its process is paused. */
interface VmPlan { readonly rate: number, readonly pauses: readonly (readonly [from: number, length: number])[] }

class Vm {
  readonly vm
  readonly #time: VirtualClock
  readonly #plan: VmPlan
  readonly #services: FaultyServices
  readonly #options: StoreCallOptions
  #watch: LeaseWatch | undefined
  #claim: CellClaim | undefined
  #lease: HeldLease | undefined
  #busy = false

  constructor (name: string, time: VirtualClock, table: MemoryTableService, plan: VmPlan, calls: CallPlan[]) {
    this.vm = vmName(name)
    this.#time = time
    this.#plan = plan
    this.#services = new FaultyServices(table, new MemoryObjectStore(time))
    const { signal } = new AbortController()
    let answerMilliseconds = 0
    this.#services.decideOutcome = async () => {
      const call = calls.shift() ?? { requestMilliseconds: 2, answerMilliseconds: 2, outcome: 'answered' }
      answerMilliseconds = call.answerMilliseconds
      await pause(time, call.requestMilliseconds, signal)
      return call.outcome
    }
    this.#services.beforeAnswer = () => pause(time, answerMilliseconds, signal)
    const clock: Clock = { now: () => this.now(), after: (delay, action) => time.after(delay / plan.rate, action) }
    this.#options = { clock, random: seededRandom(1), signal }
  }

  now (): number { return this.#time.now() * this.#plan.rate }

  get hasValidLease (): boolean { return this.#lease !== undefined && isLeaseValid(this.#lease, this.now()) }

  async tick (sinceStart: number): Promise<void> {
    const paused = this.#plan.pauses.some(([from, length]) => sinceStart >= from && sinceStart < from + length)
    if (paused || this.#busy) return
    this.#busy = true
    await this.#act().catch(() => {})
    this.#busy = false
  }

  async #act (): Promise<void> {
    this.#watch = observeOwnerRow(this.#watch, await readOwnerRow(this.#services.table, PRAHA), this.now())
    const place = { cell: PRAHA, failureDomain: DOMAIN_PRAHA }
    const held = new Map<CellName, HeldLease>(this.#lease === undefined ? [] : [[PRAHA, this.#lease]])
    const view = { vm: this.vm, failureDomain: DOMAIN_PRAHA, leaving: false, cells: [place], watches: new Map([[PRAHA, this.#watch]]), candidates: [], held, busy: new Set<CellName>() }
    for (const action of chooseActions(view, this.now())) await this.#perform(action)
  }

  async #perform (action: OwnershipAction): Promise<void> {
    const { table } = this.#services
    if (action.type === 'claim') {
      const claimant = { vm: this.vm, address: '', nonce: `${this.vm}-${this.now()}` }
      const outcome = await claimCell(table, PRAHA, this.#watch!.stored, claimant, this.#options)
      if (outcome.type !== 'claimed') return
      this.#claim = outcome.claim
      this.#lease = openLease(outcome.sentAt)
    } else if (this.#claim !== undefined && this.#lease !== undefined) {
      const lease = recordRenewalSent(this.#lease, this.now())
      this.#lease = lease
      const outcome = await renewCell(table, this.#claim, () => this.now())
      if (outcome.type === 'renewed') this.#lease = recordRenewalConfirmed(lease, outcome.sentAt)
      if (outcome.type === 'lost') this.#lease = undefined
    }
  }
}

const latency = fc.oneof({ weight: 8, arbitrary: fc.integer({ min: 0, max: 40 }) }, { weight: 1, arbitrary: fc.integer({ min: 500, max: 4000 }) })
const callOutcome = fc.oneof({ weight: 6, arbitrary: fc.constant<CallOutcome>('answered') }, { weight: 1, arbitrary: fc.constantFrom<CallOutcome>('refused', 'answer-lost') })
const calls = fc.array(fc.record<CallPlan>({ requestMilliseconds: latency, answerMilliseconds: latency, outcome: callOutcome }), { minLength: 60, maxLength: 120 })
const pauses = fc.array(fc.tuple(fc.integer({ min: 0, max: 20_000 }), fc.integer({ min: 500, max: 6000 })), { maxLength: 4, size: 'max' })
const plan = fc.record<VmPlan>({ rate: fc.constantFrom(0.96, 1, 1.04), pauses })

describe('the lease under clock drift, pauses and lost answers', () => {
  it('is considered valid by at most one VM at a time, and by exactly one at the end', async function () {
    this.timeout(60_000)
    const property = fc.asyncProperty(fc.array(plan, { minLength: 2, maxLength: 3 }), calls, async (plans, calls) => {
      const time = new VirtualClock()
      const table = new MemoryTableService(time)
      const vms = plans.map((plan, index) => new Vm(`praha-${index}`, time, table, plan, calls))
      const owners = () => vms.filter(vm => vm.hasValidLease).length
      for (let at = 0; at < 40_000; at += STEP_MILLISECONDS) {
        if (at % TICK_MILLISECONDS === 0) vms.forEach(vm => { vm.tick(at) })
        await time.advance(STEP_MILLISECONDS)
        expect(owners()).to.be.at.most(1)
      }
      expect(owners()).to.equal(1)
    })
    await fc.assert(property, { seed: 4, numRuns: 40, endOnFailure: true })
  })
})
