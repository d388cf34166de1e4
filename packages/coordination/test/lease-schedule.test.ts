import { vmName, type CellName } from '@cornelgauge/model'
import { MemoryObjectStore, MemoryTableService, VirtualClock, type Clock } from '@cornelgauge/ports'
import { expect } from 'chai'
import fc from 'fast-check'
import {
  chooseActions, claimCell, confirmRenewal, isLeaseValid, observe, openLease, pause, readOwnerRow, renewCell, seededRandom, tryRenewal,
  type CellClaim, type HeldLease, type OwnershipAction, type RowWatch, type StoreCallOptions
} from '../src/index.js'
import { DOMAIN_PRAHA, PRAHA } from './builders.js'
import { FaultyServices, type Fate } from './faulty-services.js'

const TICK_MILLISECONDS = 100
const STEP_MILLISECONDS = 25

/** One platform call: how long its way in and its way back take, and what becomes of it. */
interface CallPlan { readonly there: number, readonly back: number, readonly fate: Fate }

/** A VM whose clock runs at a rate of its own; `pauses` are times in which it does nothing. */
interface VmPlan { readonly rate: number, readonly pauses: readonly (readonly [from: number, length: number])[] }

class Vm {
  readonly vm
  readonly #time: VirtualClock
  readonly #plan: VmPlan
  readonly #services: FaultyServices
  readonly #options: StoreCallOptions
  #watch: RowWatch | undefined
  #claim: CellClaim | undefined
  #lease: HeldLease | undefined
  #busy = false

  constructor (name: string, time: VirtualClock, table: MemoryTableService, plan: VmPlan, calls: CallPlan[]) {
    this.vm = vmName(name)
    this.#time = time
    this.#plan = plan
    this.#services = new FaultyServices(table, new MemoryObjectStore(time))
    const { signal } = new AbortController()
    let back = 0
    this.#services.decide = async () => {
      const call = calls.shift() ?? { there: 2, back: 2, fate: 'answered' }
      back = call.back
      await pause(time, call.there, signal)
      return call.fate
    }
    this.#services.beforeAnswer = () => pause(time, back, signal)
    const clock: Clock = { now: () => this.now(), after: (delay, action) => time.after(delay / plan.rate, action) }
    this.#options = { clock, random: seededRandom(1), signal }
  }

  now (): number { return this.#time.now() * this.#plan.rate }

  get believesItOwns (): boolean { return this.#lease !== undefined && isLeaseValid(this.#lease, this.now()) }

  async tick (sinceStart: number): Promise<void> {
    const paused = this.#plan.pauses.some(([from, length]) => sinceStart >= from && sinceStart < from + length)
    if (paused || this.#busy) return
    this.#busy = true
    await this.#act().catch(() => {})
    this.#busy = false
  }

  async #act (): Promise<void> {
    this.#watch = observe(this.#watch, await readOwnerRow(this.#services.table, PRAHA), this.now())
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
      const lease = tryRenewal(this.#lease, this.now())
      this.#lease = lease
      const outcome = await renewCell(table, this.#claim, () => this.now())
      if (outcome.type === 'renewed') this.#lease = confirmRenewal(lease, outcome.sentAt)
      if (outcome.type === 'lost') this.#lease = undefined
    }
  }
}

const way = fc.oneof({ weight: 8, arbitrary: fc.integer({ min: 0, max: 40 }) }, { weight: 1, arbitrary: fc.integer({ min: 500, max: 4000 }) })
const fate = fc.oneof({ weight: 6, arbitrary: fc.constant<Fate>('answered') }, { weight: 1, arbitrary: fc.constantFrom<Fate>('refused', 'answer-lost') })
const calls = fc.array(fc.record<CallPlan>({ there: way, back: way, fate }), { minLength: 60, maxLength: 120 })
const pauses = fc.array(fc.tuple(fc.integer({ min: 0, max: 20_000 }), fc.integer({ min: 500, max: 6000 })), { maxLength: 4, size: 'max' })
const plan = fc.record<VmPlan>({ rate: fc.constantFrom(0.96, 1, 1.04), pauses })

describe('the lease over time', () => {
  it('is believed in by one VM at a time, and by one in the end', async function () {
    this.timeout(60_000)
    const property = fc.asyncProperty(fc.array(plan, { minLength: 2, maxLength: 3 }), calls, async (plans, calls) => {
      const time = new VirtualClock()
      const table = new MemoryTableService(time)
      const vms = plans.map((plan, index) => new Vm(`praha-${index}`, time, table, plan, calls))
      const owners = () => vms.filter(vm => vm.believesItOwns).length
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
