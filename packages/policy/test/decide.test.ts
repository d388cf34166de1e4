import { expect } from 'chai'
import { admit, applyChange, decide, type Decision } from '../src/index.js'
import { arrived, cell, CHECK, decided, ended, gang, job, racks, ROTA, server, settings, slots, SWAP } from './builders.js'

type Start = Extract<Decision, { type: 'start' }>

describe('decide', () => {
  describe('order', () => {
    it('serves kinds in the order of the document, then by arrival', () => {
      const kinds = [SWAP, ROTA, CHECK].map(kind => ({ ...kind, minimumShare: 0 }))
      const state = arrived(cell([server(0, 0, { slots: 2 })], { kinds }),
        job('check', { kindName: 'availability-check' }), job('late', { arrivedAt: 2 }), job('early', { arrivedAt: 1 }))
      expect(decided(state)).to.deep.equal(['start brno/early', 'start brno/late'])
    })

    it('gives the same plan whatever order equal inputs came in', () => {
      const jobs = [job('a'), job('b'), job('c', { workspaceName: 'praha' })]
      const servers = racks(2, 2)
      const plan = decide(arrived(cell(servers), ...jobs), 0).decisions
      const other = decide(arrived(cell([...servers].reverse()), ...[...jobs].reverse()), 0).decisions
      expect(other).to.deep.equal(plan)
    })
  })

  describe('a start', () => {
    const first = job('first', { shape: slots(8) })
    const second = job('second', { shape: slots(8), arrivedAt: 1 })
    const plan = decide(arrived(cell([server(0, 0)]), first, second), 0)

    it('is counted in at once, so that its capacity is not given again', () => {
      expect(plan.decisions).to.have.length(1)
      expect(decided(plan.state)).to.deep.equal([])
    })

    it('is confirmed without a change', () => {
      const { members } = plan.decisions[0] as Start
      expect(applyChange(plan.state, { type: 'job-started', job: first, members, at: 5 })).to.equal(plan.state)
    })

    it('that failed is taken back, and the job keeps its place', () => {
      expect(decided(arrived(ended(plan.state, first, 1), first))).to.deep.equal(['start brno/first'])
    })

    it('leaves the state that was asked as it was', () => {
      const before = arrived(cell([server(0, 0)]), first)
      expect(decided(before)).to.deep.equal(decided(before))
    })
  })

  describe('gangs', () => {
    it('stand within one rack, all of them or none', () => {
      const state = arrived(cell(racks(2, 2)), job('whole', { shape: gang(16) }), job('wide', { shape: gang(16), arrivedAt: 1 }), job('none', { shape: gang(16), arrivedAt: 2 }))
      const starts = decide(state, 0).decisions as Start[]
      expect(starts.map(start => start.members.map(member => member.server))).to.deep.equal([
        ['server-0-0', 'server-0-1'], ['server-1-0', 'server-1-1']])
    })

    it('spread over neighbouring racks only where the gap is one position', () => {
      const wide = job('wide', { shape: gang(16, 'neighbouring-racks') })
      expect(decided(arrived(cell([server(0, 0), server(1, 0)]), wide))).to.deep.equal(['start brno/wide'])
      expect(decided(arrived(cell([server(0, 0), server(2, 0)]), wide))).to.deep.equal(['refuse brno/wide'])
    })
  })

  describe('backend servers', () => {
    it('that are leaving or lost receive nothing', () => {
      const state = arrived(cell([server(0, 0), server(0, 1)]), job('a'))
      const without = applyChange(applyChange(state, { type: 'server-leaving', server: server(0, 0).name, at: 0 }), { type: 'server-lost', server: server(0, 1).name, at: 0 })
      expect(decided(without)).to.deep.equal([])
    })

    it('that come back keep what still runs there', () => {
      const running = decide(arrived(cell([server(0, 0)]), job('a', { shape: slots(8) })), 0).state
      const lost = applyChange(running, { type: 'server-lost', server: server(0, 0).name, at: 1 })
      const back = applyChange(lost, { type: 'server-joined', server: server(0, 0), at: 2 })
      expect(decided(arrived(back, job('b')))).to.deep.equal([])
    })
  })

  describe('admission', () => {
    it('refuses shapes that no backend server can hold, and more than the workspace may have waiting', () => {
      const full = arrived(cell([server(0, 0)], { workspaces: [{ ...settings().workspaces[0]!, maximumPending: 1 }] }), job('a'))
      expect(admit(full, job('b', { shape: slots(9) }), 0)).to.include({ admitted: false, code: 'impossible-shape' })
      expect(admit(full, job('b'), 0)).to.include({ admitted: false, code: 'quota-exceeded' })
    })

    it('forbids nothing while the declared backend servers are still to join', () => {
      const state = cell([server(0, 0)], { declaredServers: racks(1, 2) })
      expect(decided(arrived(state, job('gang', { shape: gang(16) })))).to.deep.equal([])
    })
  })
})
