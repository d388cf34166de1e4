import { expect } from 'chai'
import { admit, applyChange, decide, type Job, type PolicyState } from '../src/index.js'
import { cell, CHECK, decideAndDescribe, gang, job, racks, ROTA, server, slots, SWAP, withEnded, withJobs } from './builders.js'

const RUN_MILLISECONDS = 100

const twoSwaps = (now: number): Job[] => ['swap', 'other'].map(name =>
  job(`${name}-${now}`, { arrivedAt: now, deadline: 1e9, declaredMilliseconds: RUN_MILLISECONDS }))

/**
 * Runs a cell with arrivals every 10 ms, in which all jobs run for the same time.
 * Returns the start time of each job.
 */
function startTimes (first: PolicyState, tracked: Job, steps: number, arrivals = twoSwaps): ReadonlyMap<string, number> {
  const starts = new Map<string, number>()
  const ends: Array<{ readonly at: number, readonly id: Job['id'] }> = []
  let state = first
  for (let now = 0; now < steps; now += 10) {
    while (ends.length > 0 && ends[0]!.at <= now) {
      state = applyChange(state, { type: 'job-ended', id: ends.shift()!.id, outcome: 'finished', at: now })
    }
    state = withJobs(state, ...now === tracked.arrivedAt ? [tracked] : [], ...arrivals(now))
    const plan = decide(state, now)
    state = plan.state
    for (const decision of plan.decisions) {
      if (decision.type === 'preempt') {
        const place = ends.findIndex(end => end.id === decision.id)
        ends[place] = { at: now + 1, id: decision.id }
        ends.sort((first, second) => first.at - second.at)
      }
      if (decision.type !== 'start') continue
      starts.set(decision.id, now)
      ends.push({ at: now + RUN_MILLISECONDS, id: decision.id })
    }
  }
  return starts
}

describe('under sustained overload', () => {
  const cellOf = (count: number): PolicyState => cell(racks(1, count))

  it('a job of the last kind starts within one run time of the kinds before it', () => {
    const check = job('check', { kindName: 'availability-check', arrivedAt: 0 })
    expect(startTimes(cellOf(1), check, 1000).get('brno/check')).to.be.at.most(RUN_MILLISECONDS)
  })

  it('a gang that needs all capacity of the cell starts within two run times, because its reservation becomes exclusive', () => {
    const wide = job('wide', { kindName: 'term-rota', shape: { ...gang(16), slots: 8 }, arrivedAt: 0, declaredMilliseconds: RUN_MILLISECONDS })
    expect(startTimes(cellOf(2), wide, 2000).get('brno/wide')).to.be.at.most(2 * RUN_MILLISECONDS)
  })
})

describe('a wide gang', () => {
  it('is not starved by small gangs of its kind that fit beside the headroom', () => {
    const rota = (key: string, shape: Job['shape'], now: number): Job =>
      job(key, { kindName: 'term-rota', shape, arrivedAt: now, deadline: 1e9, declaredMilliseconds: RUN_MILLISECONDS })
    const arrivals = (now: number): Job[] => [
      ...now % 20 === 0 ? twoSwaps(now).slice(1) : [],
      ...now % 20 === 0 ? [rota(`small-${now}`, { slots: 8, accelerators: 8, adjacency: 'server' }, now)] : []
    ]
    const starts = startTimes(cell(racks(1, 8)), rota('wide', { slots: 8, accelerators: 40, adjacency: 'rack' }, 2000), 8000, arrivals)
    expect(starts.get('brno/wide')).to.be.at.most(2000 + 4 * RUN_MILLISECONDS)
  })
})

describe('headroom', () => {
  it('keeps as many slots free as earlier urgent arrivals make likely to be needed', () => {
    let state = cell([server(0, 0)], { kinds: [SWAP, { ...ROTA, minimumShare: 0 }, { ...CHECK, minimumShare: 0 }] })
    for (let second = 0; second < 60; second++) {
      const swap = job(`swap-${second}`, { arrivedAt: second * 1000 })
      state = decide(withJobs(state, swap), second * 1000).state
      state = applyChange(state, { type: 'job-ended', id: swap.id, outcome: 'finished', at: second * 1000 + 900 })
    }
    const bulk = Array.from({ length: 8 }, (_, index) => job(`bulk-${index}`, { kindName: 'availability-check', arrivedAt: 60_000 }))
    const started = decideAndDescribe(withJobs(state, ...bulk), 60_000)
    expect(started.length).to.be.within(1, 5)
  })
})

describe('admission by deadline', () => {
  const keys = (name: string, count: number) => Array.from({ length: count }, (_, index) => `${name}-${index}`)

  /** Returns a cell in which eight urgent jobs have run for one second each before time 0. */
  const withMeasuredRunTimes = (): PolicyState => {
    const earlier = keys('earlier', 8).map(key => job(key, { arrivedAt: -1000 }))
    const running = decide(withJobs(cell([server(0, 0)]), ...earlier), -1000).state
    return earlier.reduce((state, finished) => withEnded(state, finished, 0), running)
  }

  const queuedIn = (state: PolicyState, count: number): PolicyState =>
    decide(withJobs(state, ...keys('waiting', count).map(key => job(key, { shape: slots(1), deadline: 1e9 }))), 0).state

  const queued = (count: number): PolicyState => queuedIn(withMeasuredRunTimes(), count)
  const urgent = job('urgent', { deadline: 5000 })

  it('accepts a job that can finish by its deadline', () => {
    expect(admit(queued(24), urgent, 0)).to.deep.equal({ admitted: true })
  })

  it('refuses a job that cannot, with a time after which to retry', () => {
    const refused = admit(queued(80), urgent, 0)
    expect(refused).to.include({ admitted: false, code: 'overloaded' })
    expect(refused).to.have.property('retryAfterMilliseconds').within(4000, 9000)
  })

  it('refuses no job because of declared run times', () => {
    const unmeasured = queuedIn(cell([server(0, 0)]), 80)
    expect(admit(unmeasured, urgent, 0)).to.deep.equal({ admitted: true })
    expect(admit(unmeasured, job('long', { deadline: 5000, declaredMilliseconds: 3_600_000 }), 0)).to.deep.equal({ admitted: true })
  })

  it('accepts jobs of a workspace without waiting jobs, however many other workspaces have', () => {
    expect(admit(queued(80), job('other', { workspaceName: 'praha', deadline: 5000 }), 0)).to.deep.equal({ admitted: true })
  })

  it('spreads the retries of jobs that were refused together', () => {
    const delays = ['a', 'b', 'c', 'd'].map(key => admit(queued(80), job(key, { deadline: 5000 }), 0)).map(admission => 'retryAfterMilliseconds' in admission ? admission.retryAfterMilliseconds : 0)
    expect(new Set(delays).size).to.equal(4)
  })
})
