import { expect } from 'chai'
import { requestId, requestKey, workspaceName } from '@cornelgauge/model'
import { applyChange, decide, unmetGuarantees, type Job, type PolicyState, type WorkspaceSettings } from '../src/index.js'
import { cell, CHECK, decideAndDescribe, describeDecisions, gang, job, kind, racks, ROTA, server, settings, slots, SWAP, withEnded, withJobs } from './builders.js'

const guaranteed = (count: number): WorkspaceSettings[] => [
  { name: workspaceName('brno'), weight: 1, guarantees: [{ shape: gang(16), count }], maximumPending: 1000 },
  { name: workspaceName('praha'), weight: 1, guarantees: [], maximumPending: 1000 }
]

const rota = (key: string, changes: Parameters<typeof job>[1] = {}): Job =>
  job(key, { kindName: 'term-rota', workspaceName: 'praha', shape: gang(8, 'server'), declaredMilliseconds: 1000_000, ...changes })

const stopped = (state: PolicyState, ids: readonly string[], at: number): PolicyState => ids.reduce((current, id) =>
  applyChange(current, { type: 'job-ended', id: requestId(workspaceName('praha'), requestKey(id)), outcome: 'stopped', at }), state)

describe('guarantees', () => {
  describe('of a document', () => {
    it('are reported with their workspace if they do not all fit', () => {
      const conflicts = unmetGuarantees(settings({ workspaces: guaranteed(3) }), racks(2, 2))
      expect(conflicts).to.deep.equal([{ workspace: 'brno', shape: gang(16) }])
      expect(unmetGuarantees(settings({ workspaces: guaranteed(2) }), racks(2, 2))).to.deep.equal([])
    })
  })

  describe('while idle', () => {
    it('are lent to checkpointable jobs', () => {
      const state = withJobs(cell(racks(1, 2), { workspaces: guaranteed(1) }), rota('a'), rota('b'))
      expect(decideAndDescribe(state)).to.deep.equal(['start praha/a', 'start praha/b'])
    })

    it('are never lent to jobs that cannot be preempted', () => {
      const pinned = kind('term-rota', { minimumShare: 0.2 })
      const state = cell(racks(1, 3), { workspaces: guaranteed(1), kinds: [SWAP, pinned, CHECK] })
      expect(decideAndDescribe(withJobs(state, rota('a'), rota('b')))).to.deep.equal(['start praha/a'])
    })
  })

  describe('when claimed', () => {
    const borrowed = decide(withJobs(cell(racks(1, 3), { workspaces: guaranteed(1) }),
      rota('a', { kindName: 'availability-check' }), rota('b'), rota('c')), 0).state
    const claim = job('claim', { kindName: 'term-rota', shape: gang(16), arrivedAt: 9_000 })
    const claimed = decide(withJobs(borrowed, claim), 9_000)

    it('preempt the borrowers that lose the least work', () => {
      expect(describeDecisions(claimed.decisions)).to.deep.equal(['preempt praha/b', 'preempt praha/c'])
    })

    it('start the claiming job once the borrowers have stopped, and give the capacity to no other job', () => {
      const half = stopped(claimed.state, ['b'], 9_500)
      const halfStopped = decide(withJobs(half, rota('d')), 9_500)
      expect(describeDecisions(halfStopped.decisions)).to.deep.equal([])
      expect(decideAndDescribe(stopped(halfStopped.state, ['c'], 9_900), 9_900)).to.deep.equal(['start brno/claim'])
    })

    it('are not claimed again while their workspace uses them', () => {
      const running = decide(stopped(claimed.state, ['b', 'c'], 9_900), 9_900).state
      const again = withJobs(running, job('second', { kindName: 'term-rota', shape: gang(16), arrivedAt: 10_000 }))
      expect(decideAndDescribe(again, 10_000)).to.deep.equal([])
    })
  })

  describe('of a workspace whose job has a reservation', () => {
    const own = job('own', { kindName: 'term-rota', shape: gang(16), arrivedAt: 60_000, declaredMilliseconds: 1e6 })
    const lent = ['a', 'b'].map(key => rota(key, { arrivedAt: 60_000 }))

    it('are used instead of the reservation once they are idle', () => {
      const first = { ...own, id: requestId(workspaceName('brno'), requestKey('first')), declaredMilliseconds: 1e9 }
      const firstStarted = decide(withJobs(cell(racks(1, 4), { workspaces: guaranteed(1) }), first, ...lent), 60_000).state
      const waiting = decide(withJobs(firstStarted, own), 60_001).state
      const idle = withEnded(waiting, first, 60_002)
      expect(decideAndDescribe(idle, 60_002)).to.deep.equal(['start brno/own'])
    })
  })

  describe('after a backend server is lost', () => {
    it('are moved to other backend servers', () => {
      const state = cell(racks(2, 2), { workspaces: guaranteed(1) })
      const lost = applyChange(state, { type: 'server-lost', server: server(0, 0).name, at: 1 })
      const borrowed = decide(withJobs(lost, rota('a'), rota('b'), rota('c')), 1).state
      const claim = job('claim', { kindName: 'term-rota', shape: gang(16), arrivedAt: 2 })
      expect(decideAndDescribe(withJobs(borrowed, claim), 2)).to.deep.equal(['preempt praha/b', 'preempt praha/c'])
    })
  })
})

describe('reservations', () => {
  const long = (key: string, arrivedAt = 0): Job => rota(key, { arrivedAt, declaredMilliseconds: 60_000 })
  const wide = rota('wide', { shape: gang(16), arrivedAt: 1 })

  it('protect a gang from starvation by small jobs that cannot be preempted', () => {
    const kinds = [kind('term-rota'), kind('shift-swap')]
    let state = decide(withJobs(cell(racks(1, 2), { kinds }), long('a'), long('b')), 0).state
    state = decide(withJobs(state, wide), 1).state
    state = withEnded(state, long('a'), 100)
    state = withJobs(state, job('small', { shape: slots(8), arrivedAt: 100 }))
    expect(decideAndDescribe(state, 100)).to.deep.equal([])
    expect(decideAndDescribe(withEnded(state, long('b'), 200), 200)).to.deep.equal(['start praha/wide'])
  })

  it('are backfilled with preemptible jobs, which are preempted when the gang can start', () => {
    const kinds = [ROTA, CHECK]
    const check = job('check', { kindName: 'availability-check', shape: slots(8), arrivedAt: 100, declaredMilliseconds: 1 })
    let state = decide(withJobs(cell(racks(1, 2), { kinds }), long('a'), long('b')), 0).state
    state = withEnded(decide(withJobs(state, wide), 1).state, long('a'), 100)
    const filled = decide(withJobs(state, check), 100)
    expect(describeDecisions(filled.decisions)).to.deep.equal(['start brno/check'])
    const preempting = decide(withEnded(filled.state, long('b'), 200), 200)
    expect(describeDecisions(preempting.decisions)).to.deep.equal(['preempt brno/check'])
    const done = applyChange(preempting.state, { type: 'job-ended', id: check.id, outcome: 'stopped', at: 300 })
    expect(decideAndDescribe(done, 300)).to.deep.equal(['start praha/wide'])
  })
})

describe('order of service', () => {
  it('serves a kind below its minimum share first', () => {
    const kinds = [SWAP, { ...CHECK, minimumShare: 0.5 }]
    const state = withJobs(cell([server(0, 0, { slots: 2 })], { kinds }), job('a'), job('b'), job('check', { kindName: 'availability-check' }))
    expect(decideAndDescribe(state)).to.deep.equal(['start brno/a', 'start brno/check'])
  })

  it('shares capacity between workspaces by weight, regardless of how many requests each has', () => {
    const workspaces = settings().workspaces.map(workspace => ({ ...workspace, weight: workspace.name === 'brno' ? 1 : 3 }))
    const many = ['a', 'b'].flatMap(() => Array.from({ length: 20 }, (_, index) => index))
    const jobs = many.map((index, position) => job(`${position}`, { workspaceName: position < 20 ? 'brno' : 'praha', arrivedAt: index, kindName: 'availability-check' }))
    const started = decideAndDescribe(withJobs(cell([server(0, 0)], { workspaces }), ...jobs))
    expect(started.filter(line => line.includes('praha'))).to.have.length(6)
  })
})

describe('urgent work', () => {
  it('preempts reclaimable jobs if it would otherwise wait longer than the preemption takes', () => {
    const bulk = Array.from({ length: 8 }, (_, index) => job(`bulk-${index}`, { kindName: 'availability-check', declaredMilliseconds: 1e6 }))
    const full = decide(withJobs(cell([server(0, 0)]), ...bulk), 0).state
    const plan = decide(withJobs(full, job('swap', { arrivedAt: 10 })), 10)
    expect(describeDecisions(plan.decisions)).to.deep.equal(['preempt brno/bulk-0'])
    const freed = applyChange(plan.state, { type: 'job-ended', id: bulk[0]!.id, outcome: 'stopped', at: 20 })
    expect(decideAndDescribe(freed, 20)).to.deep.equal(['start brno/swap'])
  })

  it('is refused once it cannot meet its deadline', () => {
    const state = withJobs(cell([server(0, 0)]), job('late', { deadline: 100 }))
    expect(decideAndDescribe(state, 200)).to.deep.equal(['refuse brno/late'])
  })
})
