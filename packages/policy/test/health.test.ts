import { expect } from 'chai'
import { applyChange, decide, type Job, type JobOutcome, type PolicyState, type ServerDescription } from '../src/index.js'
import { arrived, cell, job, racks, server, slots } from './builders.js'

type Behaviour = (server: string) => JobOutcome

/** Lets jobs of one kind arrive one at a time, each ending as its backend server makes it end. Gives where each ran. */
function served (first: PolicyState, kindName: string, count: number, behaviour: Behaviour, spacing = 100): readonly string[] {
  let state = first
  return Array.from({ length: count }, (_, index) => {
    const now = index * spacing
    const one: Job = job(`job-${index}`, { kindName, arrivedAt: now, deadline: 1e9, declaredMilliseconds: 10 })
    const plan = decide(arrived(state, one), now)
    const [start] = plan.decisions
    if (start?.type !== 'start') throw new Error('the job did not start')
    const place = start.members[0]!.server
    state = applyChange(plan.state, { type: 'job-ended', id: one.id, outcome: behaviour(place), at: now + 10 })
    return place
  })
}

const BAD = server(0, 0).name
const failsEverything: Behaviour = place => place === BAD ? 'failed' : 'finished'
const count = (places: readonly string[]): number => places.filter(place => place === BAD).length

describe('a backend server that fails everything', () => {
  const five = (): PolicyState => cell(racks(1, 5))

  it('is ejected after three failures in a row, and gets no work that is not idempotent', () => {
    expect(count(served(five(), 'shift-swap', 500, failsEverything))).to.equal(3)
  })

  it('is probed with idempotent work, less and less often', () => {
    const places = served(five(), 'availability-check', 500, failsEverything)
    expect(count(places.slice(0, 100))).to.equal(3)
    expect(count(places)).to.equal(5)
  })

  it('is let back in by a probe that succeeds', () => {
    let tries = 0
    const recovers: Behaviour = place => place === BAD && ++tries <= 3 ? 'failed' : 'finished'
    expect(count(served(five(), 'availability-check', 200, recovers))).to.be.greaterThan(50)
  })

  it('is let back in after a long time where no idempotent work comes by', () => {
    expect(count(served(five(), 'shift-swap', 200, failsEverything, 10_000))).to.be.within(5, 7)
  })

  it('does not take others with it: at most a fifth is ejected, however much fails', () => {
    let state = cell(racks(2, 5))
    for (let round = 0; round < 10; round++) {
      const jobs = Array.from({ length: 10 }, (_, index) => job(`${round}-${index}`, { shape: slots(8), arrivedAt: round }))
      const plan = decide(arrived(state, ...jobs), round)
      expect(plan.decisions.filter(decision => decision.type === 'start'), `round ${round}`).to.have.length(round < 3 ? 10 : 8)
      state = jobs.reduce((current, one) => applyChange(applyChange(current, { type: 'job-ended', id: one.id, outcome: 'failed', at: round }),
        { type: 'job-withdrawn', id: one.id, at: round }), plan.state)
    }
  })

  it('takes its guarantees elsewhere', () => {
    const servers: readonly ServerDescription[] = racks(1, 5)
    const guaranteed = { name: job('a').workspace, weight: 1, guarantees: [{ shape: slots(8), count: 1 }], maximumPending: 100 }
    let state = cell(servers, { workspaces: [guaranteed] })
    for (let index = 0; index < 3; index++) {
      const one = job(`${index}`, { shape: slots(8) })
      const members = [{ server: BAD, slots: 8, accelerators: 0 }]
      state = applyChange(applyChange(state, { type: 'job-started', job: one, members, at: 0 }), { type: 'job-ended', id: one.id, outcome: 'failed', at: 1 })
    }
    const [start] = decide(arrived(state, job('claim', { shape: slots(8) })), 2).decisions
    expect(start).to.have.nested.property('members[0].server').not.equal(BAD)
  })
})
