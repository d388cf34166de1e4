import { expect } from 'chai'
import { requestId, requestKey, workspaceName } from '@cornelgauge/model'
import { applyChange, decide, unmetGuarantees, type Job, type PolicyState, type WorkspaceSettings } from '../src/index.js'
import { arrived, cell, CHECK, decided, ended, gang, job, kind, lines, racks, ROTA, server, settings, slots, SWAP } from './builders.js'

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
    it('are refused where their sum cannot be met, naming the workspace', () => {
      const conflicts = unmetGuarantees(settings({ workspaces: guaranteed(3) }), racks(2, 2))
      expect(conflicts).to.deep.equal([{ workspace: 'brno', shape: gang(16) }])
      expect(unmetGuarantees(settings({ workspaces: guaranteed(2) }), racks(2, 2))).to.deep.equal([])
    })
  })

  describe('while idle', () => {
    it('are lent to work that can be checkpointed', () => {
      const state = arrived(cell(racks(1, 2), { workspaces: guaranteed(1) }), rota('a'), rota('b'))
      expect(decided(state)).to.deep.equal(['start praha/a', 'start praha/b'])
    })

    it('are never given to work that cannot be stopped', () => {
      const pinned = kind('term-rota', { minimumShare: 0.2 })
      const state = cell(racks(1, 3), { workspaces: guaranteed(1), kinds: [SWAP, pinned, CHECK] })
      expect(decided(arrived(state, rota('a'), rota('b')))).to.deep.equal(['start praha/a'])
    })
  })

  describe('when claimed', () => {
    const borrowed = decide(arrived(cell(racks(1, 3), { workspaces: guaranteed(1) }),
      rota('a', { kindName: 'availability-check' }), rota('b'), rota('c')), 0).state
    const claim = job('claim', { kindName: 'term-rota', shape: gang(16), arrivedAt: 9_000 })
    const claimed = decide(arrived(borrowed, claim), 9_000)

    it('stop the borrowers that lose the least work', () => {
      expect(lines(claimed.decisions)).to.deep.equal(['preempt praha/b', 'preempt praha/c'])
    })

    it('start once the borrowers are gone, and nobody else gets the capacity', () => {
      const half = stopped(claimed.state, ['b'], 9_500)
      const meanwhile = decide(arrived(half, rota('d')), 9_500)
      expect(lines(meanwhile.decisions)).to.deep.equal([])
      expect(decided(stopped(meanwhile.state, ['c'], 9_900), 9_900)).to.deep.equal(['start brno/claim'])
    })

    it('are not lent again while their own workspace uses them', () => {
      const running = decide(stopped(claimed.state, ['b', 'c'], 9_900), 9_900).state
      const again = arrived(running, job('second', { kindName: 'term-rota', shape: gang(16), arrivedAt: 10_000 }))
      expect(decided(again, 10_000)).to.deep.equal([])
    })
  })

  describe('of a job that waits for something else', () => {
    const own = job('own', { kindName: 'term-rota', shape: gang(16), arrivedAt: 60_000, declaredMilliseconds: 1e6 })
    const lent = ['a', 'b'].map(key => rota(key, { arrivedAt: 60_000 }))

    it('are claimed in place of its reservation once they come idle', () => {
      const first = { ...own, id: requestId(workspaceName('brno'), requestKey('first')), declaredMilliseconds: 1e9 }
      const held = decide(arrived(cell(racks(1, 4), { workspaces: guaranteed(1) }), first, ...lent), 60_000).state
      const waiting = decide(arrived(held, own), 60_001).state
      const idle = ended(waiting, first, 60_002)
      expect(decided(idle, 60_002)).to.deep.equal(['start brno/own'])
    })
  })

  describe('after a backend server is lost', () => {
    it('find another place', () => {
      const state = cell(racks(2, 2), { workspaces: guaranteed(1) })
      const lost = applyChange(state, { type: 'server-lost', server: server(0, 0).name, at: 1 })
      const borrowed = decide(arrived(lost, rota('a'), rota('b'), rota('c')), 1).state
      const claim = job('claim', { kindName: 'term-rota', shape: gang(16), arrivedAt: 2 })
      expect(decided(arrived(borrowed, claim), 2)).to.deep.equal(['preempt praha/b', 'preempt praha/c'])
    })
  })
})

describe('reservations', () => {
  const long = (key: string, arrivedAt = 0): Job => rota(key, { arrivedAt, declaredMilliseconds: 60_000 })
  const wide = rota('wide', { shape: gang(16), arrivedAt: 1 })

  it('keep a gang from being starved by small work that cannot be stopped', () => {
    const kinds = [kind('term-rota'), kind('shift-swap')]
    let state = decide(arrived(cell(racks(1, 2), { kinds }), long('a'), long('b')), 0).state
    state = decide(arrived(state, wide), 1).state
    state = ended(state, long('a'), 100)
    state = arrived(state, job('small', { shape: slots(8), arrivedAt: 100 }))
    expect(decided(state, 100)).to.deep.equal([])
    expect(decided(ended(state, long('b'), 200), 200)).to.deep.equal(['start praha/wide'])
  })

  it('are backfilled by work that can be stopped, which gives way', () => {
    const kinds = [ROTA, CHECK]
    const check = job('check', { kindName: 'availability-check', shape: slots(8), arrivedAt: 100, declaredMilliseconds: 1 })
    let state = decide(arrived(cell(racks(1, 2), { kinds }), long('a'), long('b')), 0).state
    state = ended(decide(arrived(state, wide), 1).state, long('a'), 100)
    const filled = decide(arrived(state, check), 100)
    expect(lines(filled.decisions)).to.deep.equal(['start brno/check'])
    const ripe = decide(ended(filled.state, long('b'), 200), 200)
    expect(lines(ripe.decisions)).to.deep.equal(['preempt brno/check'])
    const done = applyChange(ripe.state, { type: 'job-ended', id: check.id, outcome: 'stopped', at: 300 })
    expect(decided(done, 300)).to.deep.equal(['start praha/wide'])
  })
})

describe('order of service', () => {
  it('gives a kind below its minimum share the next capacity', () => {
    const kinds = [SWAP, { ...CHECK, minimumShare: 0.5 }]
    const state = arrived(cell([server(0, 0, { slots: 2 })], { kinds }), job('a'), job('b'), job('check', { kindName: 'availability-check' }))
    expect(decided(state)).to.deep.equal(['start brno/a', 'start brno/check'])
  })

  it('shares between workspaces by weight, however many requests one of them has', () => {
    const workspaces = settings().workspaces.map(workspace => ({ ...workspace, weight: workspace.name === 'brno' ? 1 : 3 }))
    const many = ['a', 'b'].flatMap(() => Array.from({ length: 20 }, (_, index) => index))
    const jobs = many.map((index, position) => job(`${position}`, { workspaceName: position < 20 ? 'brno' : 'praha', arrivedAt: index, kindName: 'availability-check' }))
    const started = decided(arrived(cell([server(0, 0)], { workspaces }), ...jobs))
    expect(started.filter(line => line.includes('praha'))).to.have.length(6)
  })
})

describe('urgent work', () => {
  it('stops what can be stopped where it would wait longer than that takes', () => {
    const bulk = Array.from({ length: 8 }, (_, index) => job(`bulk-${index}`, { kindName: 'availability-check', declaredMilliseconds: 1e6 }))
    const full = decide(arrived(cell([server(0, 0)]), ...bulk), 0).state
    const plan = decide(arrived(full, job('swap', { arrivedAt: 10 })), 10)
    expect(lines(plan.decisions)).to.deep.equal(['preempt brno/bulk-0'])
    const freed = applyChange(plan.state, { type: 'job-ended', id: bulk[0]!.id, outcome: 'stopped', at: 20 })
    expect(decided(freed, 20)).to.deep.equal(['start brno/swap'])
  })

  it('is given up once its deadline cannot be met', () => {
    const state = arrived(cell([server(0, 0)]), job('late', { deadline: 100 }))
    expect(decided(state, 200)).to.deep.equal(['refuse brno/late'])
  })
})
