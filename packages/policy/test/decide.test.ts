import { expect } from 'chai'
import { admit, applyChange, decide, type Decision } from '../src/index.js'
import { cell, CHECK, decideAndDescribe, gang, job, racks, ROTA, server, settings, slots, SWAP, withEnded, withJobs } from './builders.js'

type Start = Extract<Decision, { type: 'start' }>

describe('decide', () => {
  describe('order', () => {
    it('serves kinds in the order of the document, then by arrival', () => {
      const kinds = [SWAP, ROTA, CHECK].map(kind => ({ ...kind, minimumShare: 0 }))
      const state = withJobs(cell([server(0, 0, { slots: 2 })], { kinds }),
        job('check', { kindName: 'availability-check' }), job('late', { arrivedAt: 2 }), job('early', { arrivedAt: 1 }))
      expect(decideAndDescribe(state)).to.deep.equal(['start brno/early', 'start brno/late'])
    })

    it('makes the same decisions regardless of the order in which the same inputs arrive', () => {
      const jobs = [job('a'), job('b'), job('c', { workspaceName: 'praha' })]
      const servers = racks(2, 2)
      const plan = decide(withJobs(cell(servers), ...jobs), 0).decisions
      const other = decide(withJobs(cell([...servers].reverse()), ...[...jobs].reverse()), 0).decisions
      expect(other).to.deep.equal(plan)
    })
  })

  describe('a start', () => {
    const first = job('first', { shape: slots(8) })
    const second = job('second', { shape: slots(8), arrivedAt: 1 })
    const plan = decide(withJobs(cell([server(0, 0)]), first, second), 0)

    it('counts as running in the returned state, so that its capacity is not allocated again', () => {
      expect(plan.decisions).to.have.length(1)
      expect(decideAndDescribe(plan.state)).to.deep.equal([])
    })

    it('is confirmed by job-started without changing the state', () => {
      const { members } = plan.decisions[0] as Start
      expect(applyChange(plan.state, { type: 'job-started', job: first, members, at: 5 })).to.equal(plan.state)
    })

    it('can be reverted if it failed, and the job keeps its position in the queue', () => {
      expect(decideAndDescribe(withJobs(withEnded(plan.state, first, 1), first))).to.deep.equal(['start brno/first'])
    })

    it('does not modify the given state', () => {
      const before = withJobs(cell([server(0, 0)]), first)
      expect(decideAndDescribe(before)).to.deep.equal(decideAndDescribe(before))
    })
  })

  describe('gangs', () => {
    it('are placed within one rack, completely or not at all', () => {
      const state = withJobs(cell(racks(2, 2)), job('whole', { shape: gang(16) }), job('wide', { shape: gang(16), arrivedAt: 1 }), job('none', { shape: gang(16), arrivedAt: 2 }))
      const starts = decide(state, 0).decisions as Start[]
      expect(starts.map(start => start.members.map(member => member.server))).to.deep.equal([
        ['server-0-0', 'server-0-1'], ['server-1-0', 'server-1-1']])
    })

    it('span neighbouring racks only if their positions are consecutive', () => {
      const wide = job('wide', { shape: gang(16, 'neighbouring-racks') })
      expect(decideAndDescribe(withJobs(cell([server(0, 0), server(1, 0)]), wide))).to.deep.equal(['start brno/wide'])
      expect(decideAndDescribe(withJobs(cell([server(0, 0), server(2, 0)]), wide))).to.deep.equal(['refuse brno/wide'])
    })
  })

  describe('backend servers', () => {
    it('receive no jobs once they are leaving or lost', () => {
      const state = withJobs(cell([server(0, 0), server(0, 1)]), job('a'))
      const without = applyChange(applyChange(state, { type: 'server-leaving', server: server(0, 0).name, at: 0 }), { type: 'server-lost', server: server(0, 1).name, at: 0 })
      expect(decideAndDescribe(without)).to.deep.equal([])
    })

    it('keep the jobs that still run there when they join again', () => {
      const running = decide(withJobs(cell([server(0, 0)]), job('a', { shape: slots(8) })), 0).state
      const lost = applyChange(running, { type: 'server-lost', server: server(0, 0).name, at: 1 })
      const rejoined = applyChange(lost, { type: 'server-joined', server: server(0, 0), at: 2 })
      expect(decideAndDescribe(withJobs(rejoined, job('b')))).to.deep.equal([])
    })
  })

  describe('admission', () => {
    it('refuses shapes too large for any backend server, and jobs beyond the maximum pending of a workspace', () => {
      const full = withJobs(cell([server(0, 0)], { workspaces: [{ ...settings().workspaces[0]!, maximumPending: 1 }] }), job('a'))
      expect(admit(full, job('b', { shape: slots(9) }), 0)).to.include({ admitted: false, code: 'impossible-shape' })
      expect(admit(full, job('b'), 0)).to.include({ admitted: false, code: 'quota-exceeded' })
    })

    it('refuses no shape that fits on declared backend servers which have not joined yet', () => {
      const state = cell([server(0, 0)], { declaredServers: racks(1, 2) })
      expect(decideAndDescribe(withJobs(state, job('gang', { shape: gang(16) })))).to.deep.equal([])
    })
  })
})
