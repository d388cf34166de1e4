import { expect } from 'chai'
import fc from 'fast-check'
import { violationsOf } from '../src/history.js'
import { ScheduleRun, arbitrarySchedule } from '../src/schedule.js'

const RUNS = Number(process.env.CORNELGAUGE_SCHEDULE_RUNS ?? 60)
const SEED = Number(process.env.CORNELGAUGE_SCHEDULE_SEED ?? 1)

describe('random schedules of calls and faults', () => {
  it('satisfy every rule', async function () {
    this.timeout(600_000)
    await fc.assert(fc.asyncProperty(arbitrarySchedule, async schedule => {
      const { history } = await ScheduleRun.run(schedule)
      expect(violationsOf(history)).to.deep.equal([])
    }), { numRuns: RUNS, seed: SEED, endOnFailure: process.env.CORNELGAUGE_SCHEDULE_SHRINK === undefined })
  })
})
