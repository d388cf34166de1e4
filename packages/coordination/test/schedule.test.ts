import { vmName } from '@cornelgauge/model'
import { expect } from 'chai'
import fc from 'fast-check'
import type { CallOutcome } from './faulty-services.js'
import { Adversary, violations, type CallPlan, type ProcessPlan } from './schedule.js'

const processPlan: fc.Arbitrary<ProcessPlan> = fc.record({
  entries: fc.integer({ min: 1, max: 5 }),
  snapshotAfter: fc.integer({ min: 0, max: 4 }),
  killedAtCall: fc.option(fc.integer({ min: 1, max: 30 }), { nil: undefined, freq: 2 }),
  releases: fc.boolean()
})
const processPlans = fc.array(processPlan, { minLength: 2, maxLength: 4 })
const outcome = fc.oneof(
  { weight: 5, arbitrary: fc.constant<CallOutcome>('answered') },
  { weight: 3, arbitrary: fc.constantFrom<CallOutcome>('refused', 'answer-lost', 'late') }
)
const delayTurns = fc.oneof(
  { weight: 9, arbitrary: fc.constant(0) },
  { weight: 1, arbitrary: fc.integer({ min: 10, max: 80 }) }
)
const pauses = fc.record<CallPlan>({ outcome: fc.constant('answered'), delayTurns })
const faults = fc.record<CallPlan>({ outcome, delayTurns })
const outage = fc.integer({ min: 2, max: 10 }).map(calls => Array<CallPlan>(calls).fill({ outcome: 'refused', delayTurns: 0 }))
const plansOf = (single: fc.Arbitrary<CallPlan>, several: fc.Arbitrary<CallPlan[]>) => fc.array(
  fc.oneof({ weight: 12, arbitrary: single.map(plan => [plan]) }, { weight: 1, arbitrary: several }),
  { minLength: 40, maxLength: 120 }
).map(parts => parts.flat())

describe('racing owners', () => {
  const cases = [
    { title: 'with long pauses', vms: 2, plans: plansOf(pauses, fc.constant([])), seed: 1 },
    { title: 'with lost and late answers, kills and outages', vms: 2, plans: plansOf(faults, outage), seed: 2 },
    { title: 'on three VMs', vms: 3, plans: plansOf(faults, outage), seed: 3 }
  ]
  for (const { title, vms, plans, seed } of cases) {
    it(`report correct outcomes and lose no committed entry ${title}`, async function () {
      this.timeout(60_000)
      const scripts = fc.array(processPlans, { minLength: vms, maxLength: vms })
      const property = fc.asyncProperty(fc.scheduler(), scripts, plans, async (scheduler, scripts, plans) => {
        const adversary = new Adversary(scheduler, plans)
        await scheduler.waitFor(Promise.all(scripts.map((plans, index) => adversary.runProcesses(vmName(`vm-${index}`), plans))))
        await scheduler.waitIdle()
        const finalState = await adversary.finalState()
        expect(violations(adversary.history, finalState)).to.deep.equal([])
      })
      await fc.assert(property, { seed, numRuns: 300, endOnFailure: true })
    })
  }
})
