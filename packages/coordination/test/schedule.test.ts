import { vmName } from '@cornelgauge/model'
import { expect } from 'chai'
import fc from 'fast-check'
import type { Fate } from './faulty-services.js'
import { Adversary, violations, type Life, type Plan } from './schedule.js'

const life: fc.Arbitrary<Life> = fc.record({
  entries: fc.integer({ min: 1, max: 5 }),
  snapshotAfter: fc.integer({ min: 0, max: 4 }),
  killedAtCall: fc.option(fc.integer({ min: 1, max: 30 }), { nil: undefined, freq: 2 }),
  releases: fc.boolean()
})
const lives = fc.array(life, { minLength: 2, maxLength: 4 })
const fate = fc.oneof(
  { weight: 5, arbitrary: fc.constant<Fate>('answered') },
  { weight: 3, arbitrary: fc.constantFrom<Fate>('refused', 'answer-lost', 'late') }
)
const heldTurns = fc.oneof(
  { weight: 9, arbitrary: fc.constant(0) },
  { weight: 1, arbitrary: fc.integer({ min: 10, max: 80 }) }
)
const pauses = fc.record<Plan>({ fate: fc.constant('answered'), heldTurns })
const faults = fc.record<Plan>({ fate, heldTurns })
const outage = fc.integer({ min: 2, max: 10 }).map(calls => Array<Plan>(calls).fill({ fate: 'refused', heldTurns: 0 }))
const plansOf = (single: fc.Arbitrary<Plan>, several: fc.Arbitrary<Plan[]>) => fc.array(
  fc.oneof({ weight: 12, arbitrary: single.map(plan => [plan]) }, { weight: 1, arbitrary: several }),
  { minLength: 40, maxLength: 120 }
).map(parts => parts.flat())

describe('owners that race', () => {
  const cases = [
    { title: 'with pauses of any length', vms: 2, plans: plansOf(pauses, fc.constant([])), seed: 1 },
    { title: 'with lost and late answers, kills and outages', vms: 2, plans: plansOf(faults, outage), seed: 2 },
    { title: 'in threes', vms: 3, plans: plansOf(faults, outage), seed: 3 }
  ]
  for (const { title, vms, plans, seed } of cases) {
    it(`tell the truth and lose nothing ${title}`, async function () {
      this.timeout(60_000)
      const scripts = fc.array(lives, { minLength: vms, maxLength: vms })
      const property = fc.asyncProperty(fc.scheduler(), scripts, plans, async (scheduler, scripts, plans) => {
        const adversary = new Adversary(scheduler, plans)
        await scheduler.waitFor(Promise.all(scripts.map((lives, index) => adversary.live(vmName(`vm-${index}`), lives))))
        await scheduler.waitIdle()
        const finalState = await adversary.finalState()
        expect(violations(adversary.history, finalState)).to.deep.equal([])
      })
      await fc.assert(property, { seed, numRuns: 300, endOnFailure: true })
    })
  }
})
