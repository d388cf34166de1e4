import { expect } from 'chai'
import { account, arrivalsOf, ratio, ROTA, scaled, type Course } from '../src/index.js'

const courses = (fate: (course: Course) => void): Course[] => arrivalsOf(scaled(ROTA, 0.2), 1).map(arrival => {
  const course: Course = { arrival, wasted: 0, stops: 0 }
  fate(course)
  return course
})
const endAfter = (objectives: number) => (course: Course): void => {
  const { kind, work, at } = course.arrival
  const chain = work.reduce((sum, tasks) => sum + Math.max(...tasks), 0)
  course.endedAt = at + objectives * (kind.stretch * chain + kind.latencyMilliseconds)
}

describe('account', () => {
  it('earns everything for jobs in time, less for late ones, nothing past three objectives', () => {
    const of = (objectives: number): number => ratio(account(ROTA, courses(endAfter(objectives))).whole)
    expect(of(0.9)).to.equal(1)
    expect(of(2)).to.be.within(0.1, 0.5)
    expect(of(3.5)).to.equal(0)
  })

  it('earns nothing for a job that failed, and owes nothing for one that was cancelled', () => {
    expect(ratio(account(ROTA, courses(course => { endAfter(0.5)(course); course.isFailed = true })).whole)).to.equal(0)
    expect(account(ROTA, courses(course => { course.isCancelled = true })).whole.owed).to.equal(0)
  })

  it('takes the price of thrown away work off the total', () => {
    const clean = account(ROTA, courses(endAfter(0.9)))
    const wasteful = account(ROTA, courses(course => { endAfter(0.9)(course); course.wasted = 100 }))
    expect(wasteful.waste).to.be.above(0)
    expect(wasteful.total).to.be.closeTo(clean.total - wasteful.waste, 1e-9)
  })
})
