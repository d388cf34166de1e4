import { expect } from 'chai'
import { applyChange, decide, type Job, type JobOutcome, type PolicyState, type ServerDescription } from '../src/index.js'
import { cell, job, racks, server, slots, withJobs } from './builders.js'

type Behaviour = (server: string) => JobOutcome

/**
 * Runs jobs of one kind one after the other, each with the outcome that `behaviour`
 * returns for its backend server. Returns the server of each.
 */
function runJobs (first: PolicyState, kindName: string, count: number, behaviour: Behaviour, spacing = 100): readonly string[] {
  let state = first
  return Array.from({ length: count }, (_, index) => {
    const now = index * spacing
    const submitted: Job = job(`job-${index}`, { kindName, arrivedAt: now, deadline: 1e9, declaredMilliseconds: 10 })
    const plan = decide(withJobs(state, submitted), now)
    const [start] = plan.decisions
    if (start?.type !== 'start') throw new Error('the job did not start')
    const serverName = start.members[0]!.server
    state = applyChange(plan.state, { type: 'job-ended', id: submitted.id, outcome: behaviour(serverName), at: now + 10 })
    return serverName
  })
}

const FAILING_SERVER = server(0, 0).name
const failsEverything: Behaviour = serverName => serverName === FAILING_SERVER ? 'failed' : 'finished'
const countOnFailingServer = (usedServers: readonly string[]): number => usedServers.filter(serverName => serverName === FAILING_SERVER).length

describe('a backend server that fails every job', () => {
  const fiveServers = (): PolicyState => cell(racks(1, 5))

  it('is ejected after three consecutive failures, and receives no job that is not idempotent', () => {
    expect(countOnFailingServer(runJobs(fiveServers(), 'shift-swap', 500, failsEverything))).to.equal(3)
  })

  it('is probed with idempotent jobs at growing intervals', () => {
    const usedServers = runJobs(fiveServers(), 'availability-check', 500, failsEverything)
    expect(countOnFailingServer(usedServers.slice(0, 100))).to.equal(3)
    expect(countOnFailingServer(usedServers)).to.equal(5)
  })

  it('receives work again after a successful probe', () => {
    let attempts = 0
    const recovers: Behaviour = serverName => serverName === FAILING_SERVER && ++attempts <= 3 ? 'failed' : 'finished'
    expect(countOnFailingServer(runJobs(fiveServers(), 'availability-check', 200, recovers))).to.be.greaterThan(50)
  })

  it('receives work again after the probation time if no idempotent job arrives', () => {
    expect(countOnFailingServer(runJobs(fiveServers(), 'shift-swap', 200, failsEverything, 10_000))).to.be.within(5, 7)
  })

  it('is ejected only while at most a fifth of the backend servers is, even if all jobs fail', () => {
    let state = cell(racks(2, 5))
    for (let round = 0; round < 10; round++) {
      const jobs = Array.from({ length: 10 }, (_, index) => job(`${round}-${index}`, { shape: slots(8), arrivedAt: round }))
      const plan = decide(withJobs(state, ...jobs), round)
      expect(plan.decisions.filter(decision => decision.type === 'start'), `round ${round}`).to.have.length(round < 3 ? 10 : 8)
      state = jobs.reduce((current, failing) => applyChange(applyChange(current, { type: 'job-ended', id: failing.id, outcome: 'failed', at: round }),
        { type: 'job-withdrawn', id: failing.id, at: round }), plan.state)
    }
  })

  it('loses its guarantees to other backend servers', () => {
    const servers: readonly ServerDescription[] = racks(1, 5)
    const guaranteed = { name: job('a').workspace, weight: 1, guarantees: [{ shape: slots(8), count: 1 }], maximumPending: 100 }
    let state = cell(servers, { workspaces: [guaranteed] })
    for (let index = 0; index < 3; index++) {
      const failing = job(`${index}`, { shape: slots(8) })
      const members = [{ server: FAILING_SERVER, slots: 8, accelerators: 0 }]
      state = applyChange(applyChange(state, { type: 'job-started', job: failing, members, at: 0 }), { type: 'job-ended', id: failing.id, outcome: 'failed', at: 1 })
    }
    const [start] = decide(withJobs(state, job('claim', { shape: slots(8) })), 2).decisions
    expect(start).to.have.nested.property('members[0].server').not.equal(FAILING_SERVER)
  })
})
