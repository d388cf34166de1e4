import { expect } from 'chai'
import { admit, applyChange, decide, type Job, type PolicyState } from '../src/index.js'
import { arrived, cell, CHECK, decided, ended, gang, job, racks, ROTA, server, slots, SWAP } from './builders.js'

const RUN_MILLISECONDS = 100

const twoSwaps = (now: number): Job[] => ['swap', 'other'].map(name =>
  job(`${name}-${now}`, { arrivedAt: now, deadline: 1e9, declaredMilliseconds: RUN_MILLISECONDS }))

/** Runs a cell with arrivals every 10 ms; each task runs for the same time. Gives each start with its moment. */
function pressured (first: PolicyState, low: Job, steps: number, arrivals = twoSwaps): ReadonlyMap<string, number> {
  const starts = new Map<string, number>()
  const ends: Array<{ readonly at: number, readonly id: Job['id'] }> = []
  let state = first
  for (let now = 0; now < steps; now += 10) {
    while (ends.length > 0 && ends[0]!.at <= now) {
      state = applyChange(state, { type: 'job-ended', id: ends.shift()!.id, outcome: 'finished', at: now })
    }
    state = arrived(state, ...now === low.arrivedAt ? [low] : [], ...arrivals(now))
    const plan = decide(state, now)
    state = plan.state
    for (const decision of plan.decisions) {
      if (decision.type === 'preempt') {
        const place = ends.findIndex(end => end.id === decision.id)
        ends[place] = { at: now + 1, id: decision.id }
        ends.sort((one, other) => one.at - other.at)
      }
      if (decision.type !== 'start') continue
      starts.set(decision.id, now)
      ends.push({ at: now + RUN_MILLISECONDS, id: decision.id })
    }
  }
  return starts
}

describe('under permanent pressure', () => {
  const cellOf = (count: number): PolicyState => cell(racks(1, count))

  it('the lowest kind starts within one run time of those before it', () => {
    const check = job('check', { kindName: 'availability-check', arrivedAt: 0 })
    expect(pressured(cellOf(1), check, 1000).get('brno/check')).to.be.at.most(RUN_MILLISECONDS)
  })

  it('a gang over the whole cell starts within two run times, as urgent work is kept out at last', () => {
    const wide = job('wide', { kindName: 'term-rota', shape: { ...gang(16), slots: 8 }, arrivedAt: 0, declaredMilliseconds: RUN_MILLISECONDS })
    expect(pressured(cellOf(2), wide, 2000).get('brno/wide')).to.be.at.most(2 * RUN_MILLISECONDS)
  })
})

describe('a wide gang', () => {
  it('is not passed for ever by small gangs of its kind that fit beside the headroom', () => {
    const rota = (key: string, shape: Job['shape'], now: number): Job =>
      job(key, { kindName: 'term-rota', shape, arrivedAt: now, deadline: 1e9, declaredMilliseconds: RUN_MILLISECONDS })
    const arrivals = (now: number): Job[] => [
      ...now % 20 === 0 ? twoSwaps(now).slice(1) : [],
      ...now % 20 === 0 ? [rota(`small-${now}`, { slots: 8, accelerators: 8, adjacency: 'server' }, now)] : []
    ]
    const warm = pressured(cell(racks(1, 8)), rota('wide', { slots: 8, accelerators: 40, adjacency: 'rack' }, 2000), 8000, arrivals)
    expect(warm.get('brno/wide')).to.be.at.most(2000 + 4 * RUN_MILLISECONDS)
  })
})

describe('headroom', () => {
  it('keeps slots free for urgent work as its arrivals have needed', () => {
    let state = cell([server(0, 0)], { kinds: [SWAP, { ...ROTA, minimumShare: 0 }, { ...CHECK, minimumShare: 0 }] })
    for (let second = 0; second < 60; second++) {
      const swap = job(`swap-${second}`, { arrivedAt: second * 1000 })
      state = decide(arrived(state, swap), second * 1000).state
      state = applyChange(state, { type: 'job-ended', id: swap.id, outcome: 'finished', at: second * 1000 + 900 })
    }
    const bulk = Array.from({ length: 8 }, (_, index) => job(`bulk-${index}`, { kindName: 'availability-check', arrivedAt: 60_000 }))
    const started = decided(arrived(state, ...bulk), 60_000)
    expect(started.length).to.be.within(1, 5)
  })
})

describe('admission by deadline', () => {
  const keys = (name: string, count: number) => Array.from({ length: count }, (_, index) => `${name}-${index}`)

  /** A cell in which eight swaps have run for a second each before time 0. */
  const measured = (): PolicyState => {
    const earlier = keys('earlier', 8).map(key => job(key, { arrivedAt: -1000 }))
    const running = decide(arrived(cell([server(0, 0)]), ...earlier), -1000).state
    return earlier.reduce((state, one) => ended(state, one, 0), running)
  }

  const queuedIn = (state: PolicyState, count: number): PolicyState =>
    decide(arrived(state, ...keys('waiting', count).map(key => job(key, { shape: slots(1), deadline: 1e9 }))), 0).state

  const queued = (count: number): PolicyState => queuedIn(measured(), count)
  const urgent = job('urgent', { deadline: 5000 })

  it('accepts what can be answered in time', () => {
    expect(admit(queued(24), urgent, 0)).to.deep.equal({ admitted: true })
  })

  it('refuses at once what cannot, and says when to come back', () => {
    const refused = admit(queued(80), urgent, 0)
    expect(refused).to.include({ admitted: false, code: 'overloaded' })
    expect(refused).to.have.property('retryAfterMilliseconds').within(4000, 9000)
  })

  it('refuses nobody for what is only declared', () => {
    const unmeasured = queuedIn(cell([server(0, 0)]), 80)
    expect(admit(unmeasured, urgent, 0)).to.deep.equal({ admitted: true })
    expect(admit(unmeasured, job('long', { deadline: 5000, declaredMilliseconds: 3_600_000 }), 0)).to.deep.equal({ admitted: true })
  })

  it('lets a workspace in that has nothing waiting, whatever the others have', () => {
    expect(admit(queued(80), job('other', { workspaceName: 'praha', deadline: 5000 }), 0)).to.deep.equal({ admitted: true })
  })

  it('spreads the return of those that were refused together', () => {
    const delays = ['a', 'b', 'c', 'd'].map(key => admit(queued(80), job(key, { deadline: 5000 }), 0)).map(admission => 'retryAfterMilliseconds' in admission ? admission.retryAfterMilliseconds : 0)
    expect(new Set(delays).size).to.equal(4)
  })
})
