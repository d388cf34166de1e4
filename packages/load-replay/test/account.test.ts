import { expect } from 'chai'
import { account, arrivalsOf, earnedShare, ROTA, scaled, type JobOutcome } from '../src/index.js'

const outcomes = (finish: (outcome: JobOutcome) => void): JobOutcome[] => arrivalsOf(scaled(ROTA, 0.2), 1).map(arrival => {
  const outcome: JobOutcome = { arrival, wastedCoreSeconds: 0, stops: 0 }
  finish(outcome)
  return outcome
})
const endAfterObjectives = (objectives: number) => (outcome: JobOutcome): void => {
  const { kind, runTimes, arrivesAt } = outcome.arrival
  const chain = runTimes.reduce((sum, tasks) => sum + Math.max(...tasks), 0)
  outcome.endedAt = arrivesAt + objectives * (kind.stretch * chain + kind.latencyMilliseconds)
}

describe('account', () => {
  it('earns the full value for jobs in time, less for late ones, and nothing after three times the objective', () => {
    const of = (objectives: number): number => earnedShare(account(ROTA, outcomes(endAfterObjectives(objectives))).overall)
    expect(of(0.9)).to.equal(1)
    expect(of(2)).to.be.within(0.1, 0.5)
    expect(of(3.5)).to.equal(0)
  })

  it('earns nothing for a failed job, and does not count a cancelled one', () => {
    expect(earnedShare(account(ROTA, outcomes(outcome => { endAfterObjectives(0.5)(outcome); outcome.isFailed = true })).overall)).to.equal(0)
    expect(account(ROTA, outcomes(outcome => { outcome.isCancelled = true })).overall.attainable).to.equal(0)
  })

  it('subtracts the price of discarded work from the total', () => {
    const clean = account(ROTA, outcomes(endAfterObjectives(0.9)))
    const wasteful = account(ROTA, outcomes(outcome => { endAfterObjectives(0.9)(outcome); outcome.wastedCoreSeconds = 100 }))
    expect(wasteful.waste).to.be.above(0)
    expect(wasteful.total).to.be.closeTo(clean.total - wasteful.waste, 1e-9)
  })
})
