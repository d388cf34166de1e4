import { expect } from 'chai'
import { rota, swap } from '../src/builders.js'
import { Rig, type CallOutcome } from '../src/rig.js'

const swapsOf = (rig: Rig, count: number) => Array.from({ length: count }, (_, index) => swap(`swap-${index}`, rig.clock.now()))
const startedKeys = (rig: Rig) => rig.executions.map(execution => execution.requestKey)
const states = (outcomes: readonly CallOutcome[]) => outcomes.map(outcome => outcome.state)

describe('a cell under faults', () => {
  describe('an owner paused for longer than its lease', () => {
    it('commits nothing after it resumes, and no request starts twice', async () => {
      const rig = await Rig.start(3)
      const calls = swapsOf(rig, 10).map(submission => rig.settleOutcome(rig.submit(rig.nonOwner, submission)))
      await rig.advance(20)
      const pausedOwner = rig.owner!
      pausedOwner.clock.pause()
      await rig.advance(6000)
      expect(rig.owner).to.not.equal(undefined)
      pausedOwner.clock.resume()
      const outcomes = await Promise.all(calls)
      expect(states(outcomes)).to.deep.equal(calls.map(() => 'finished'))
      expect(startedKeys(rig)).to.have.length(10)
      expect(pausedOwner.host.states).to.deep.equal([])
    })

    it('does not answer reads from its stale state without marking them', async () => {
      const rig = await Rig.start(3)
      const submission = swap('swap-1', rig.clock.now(), { payload: { durationMilliseconds: 4000, echo: 1 } })
      await rig.settleOutcome(rig.submit(rig.nonOwner, submission, 0))
      const pausedOwner = rig.owner!
      pausedOwner.clock.pause()
      await rig.advance(8000)
      pausedOwner.clock.resume()
      const outcome = await rig.settleOutcome(rig.read(pausedOwner, submission))
      expect(outcome.state === 'finished' || outcome.asOf !== undefined).to.equal(true)
    })
  })

  describe('a table service so slow that recovery takes longer than a lease', () => {
    it('keeps the cell with the first VM that claimed it', async () => {
      const rig = await Rig.start(3)
      const killedAt = rig.clock.now()
      rig.owner!.kill()
      rig.table.faults.set({ mode: 'slow', delayMilliseconds: 2000, only: 'reads' })
      await rig.advance(30_000)
      const claims = rig.events.filter(event => event.name === 'cell-claimed' && event.at > killedAt)
      expect(claims).to.have.length(1)
      expect(rig.owner?.name).to.equal(claims[0]!.vm)
    })
  })

  describe('the table service down', () => {
    it('reports the state unknown by the deadline, and runs none of the requests later', async () => {
      const rig = await Rig.start(3)
      rig.table.faults.set({ mode: 'down' })
      await rig.advance(500)
      const deadline = rig.clock.now() + 3000
      const submissions = swapsOf(rig, 5).map(submission => ({ ...submission, deadline }))
      const calls = submissions.map(submission => rig.settleOutcome(rig.submit(rig.nonOwner, submission)))
      const outcomesWithTime = Promise.all(calls).then(outcomes => ({ outcomes, answeredAt: rig.clock.now() }))
      const { outcomes, answeredAt } = await rig.settle(outcomesWithTime)
      expect(answeredAt).to.be.at.most(deadline)
      expect(outcomes.map(outcome => [outcome.code, outcome.state])).to.deep.equal(calls.map(() => ['store-unavailable', 'unknown']))
      rig.table.faults.set({ mode: 'none' })
      await rig.advance(20_000)
      const later = await Promise.all(submissions.map(submission => rig.settleOutcome(rig.read(rig.nonOwner, submission))))
      expect(later.map(outcome => outcome.state)).to.deep.equal(calls.map(() => 'not-run'))
      expect(startedKeys(rig)).to.deep.equal([])
    })

    it('answers by the deadline wherever that falls between two ticks', async () => {
      const rig = await Rig.start(3)
      rig.table.faults.set({ mode: 'down' })
      const late: number[] = []
      for (const milliseconds of [1000, 1010, 1110, 1240]) {
        const deadline = rig.clock.now() + milliseconds
        const call = rig.settleOutcome(rig.submit(rig.nonOwner, swap(`swap-${milliseconds}`, rig.clock.now(), { deadline })))
        await rig.settle(call.then(() => { late.push(rig.clock.now() - deadline) }))
      }
      expect(late.filter(milliseconds => milliseconds > 0)).to.deep.equal([])
    })

    it('finishes a running request and accepts new ones afterwards', async () => {
      const rig = await Rig.start(3)
      const submission = swap('swap-1', rig.clock.now(), { payload: { durationMilliseconds: 1000, echo: 1 } })
      await rig.settleOutcome(rig.submit(rig.nonOwner, submission, 0))
      rig.table.faults.set({ mode: 'down' })
      await rig.advance(20_000)
      rig.table.faults.set({ mode: 'none' })
      expect((await rig.settleOutcome(rig.read(rig.nonOwner, submission, 20_000))).state).to.equal('finished')
      expect((await rig.settleOutcome(rig.submit(rig.nonOwner, swap('swap-2', rig.clock.now())))).state).to.equal('finished')
      expect(startedKeys(rig)).to.deep.equal(['swap-1', 'swap-2'])
    })
  })

  describe('responses of the table service lost after the write took effect', () => {
    it('applies every write once', async () => {
      const rig = await Rig.start(3)
      const calls = swapsOf(rig, 10).map(submission => rig.settleOutcome(rig.submit(rig.nonOwner, submission)))
      rig.table.faults.set({ mode: 'lose-answers' })
      await rig.advance(300)
      rig.table.faults.set({ mode: 'none' })
      const outcomes = await Promise.all(calls)
      expect(states(outcomes)).to.deep.equal(calls.map(() => 'finished'))
      expect(startedKeys(rig)).to.have.length(10)
    })
  })

  describe('a backend server that is down', () => {
    it('leaves its swap unknown, does not start it again, and reports its final state when the server is back', async () => {
      const rig = await Rig.start(2)
      const submission = swap('swap-1', rig.clock.now(), { payload: { durationMilliseconds: 2000, echo: 1 } })
      await rig.settleOutcome(rig.submit(rig.nonOwner, submission, 0))
      await rig.advance(200)
      const server = rig.servers.find(candidate => candidate.executions.length === 1)!
      server.faults.set({ mode: 'down' })
      await rig.advance(15_000)
      expect((await rig.settleOutcome(rig.read(rig.nonOwner, submission))).state).to.equal('unknown')
      server.faults.set({ mode: 'none' })
      await rig.advance(2000)
      expect((await rig.settleOutcome(rig.read(rig.nonOwner, submission))).state).to.equal('finished')
      expect(startedKeys(rig)).to.deep.equal(['swap-1'])
    })

    it('moves a gang as a unit', async () => {
      const rig = await Rig.start(2)
      const submission = rota('rota-1', rig.clock.now(), { payload: { durationMilliseconds: 3000, echo: 1 } })
      const call = rig.settleOutcome(rig.submit(rig.nonOwner, submission, 50_000))
      await rig.advance(500)
      const server = rig.servers.find(candidate => candidate.executions.length === 1)!
      server.faults.set({ mode: 'down' })
      await rig.advance(14_000)
      server.faults.set({ mode: 'none' })
      expect((await call).state).to.equal('finished')
      const finished = rig.executions.filter(execution => execution.outcome === 'finished')
      expect(new Set(finished.map(execution => execution.attempt)).size).to.be.at.least(1)
    })
  })

  describe('responses of backend servers lost after the call took effect', () => {
    it('starts a swap once and detects that it ran', async () => {
      const rig = await Rig.start(2)
      rig.servers.forEach(server => { server.faults.set({ mode: 'lose-answers' }) })
      const call = rig.settleOutcome(rig.submit(rig.nonOwner, swap('swap-1', rig.clock.now())))
      await rig.advance(1500)
      rig.servers.forEach(server => { server.faults.set({ mode: 'none' }) })
      expect((await call).state).to.equal('finished')
      expect(startedKeys(rig)).to.deep.equal(['swap-1'])
    })
  })

  describe('a backend server that the VM list shows as leaving', () => {
    it('gets no new work after 3 s, although it does not report that itself', async () => {
      const rig = await Rig.start(2)
      const listedAt = rig.clock.now()
      rig.vmList = rig.vmList.map(listed => listed.name === 'server-0' ? { ...listed, status: 'leaving' } : listed)
      for (let index = 0; index < 200; index++) {
        rig.submit(rig.nonOwner, swap(`swap-${index}`, rig.clock.now()))
        await rig.advance(50)
      }
      const late = rig.servers[0]!.executions.filter(execution => execution.startedAt > listedAt + 3000)
      expect(late).to.deep.equal([])
      expect(rig.executions).to.have.length.above(150)
    })
  })

  describe('a planned stop', () => {
    it('hands the cell over and interrupts no request', async () => {
      const rig = await Rig.start(3)
      const owner = rig.owner!
      const calls = swapsOf(rig, 10).map(submission => rig.settleOutcome(rig.submit(rig.nonOwner, submission)))
      await rig.advance(20)
      const leaving = owner.host.leave()
      const startedAt = rig.clock.now()
      await rig.settle(leaving)
      const outcomes = await Promise.all(calls)
      expect(states(outcomes)).to.deep.equal(calls.map(() => 'finished'))
      expect(startedKeys(rig)).to.have.length(10)
      const recovered = rig.events.find(event => event.name === 'cell-recovered' && event.at > startedAt)
      expect(recovered!.at - startedAt).to.be.at.most(3000)
    })
  })

  describe('a planned stop while the table service is down', () => {
    it('still completes, and the cell is served again afterwards', async () => {
      const rig = await Rig.start(3)
      const owner = rig.owner!
      rig.table.faults.set({ mode: 'down' })
      const call = rig.settleOutcome(rig.submit(owner, swap('swap-1', rig.clock.now())))
      await rig.settle(owner.host.leave(), 20_000)
      rig.table.faults.set({ mode: 'none' })
      await rig.advance(10_000)
      expect((await call).state).to.be.oneOf(['finished', 'unknown'])
      expect((await rig.settleOutcome(rig.submit(rig.nonOwner, swap('swap-2', rig.clock.now())))).state).to.equal('finished')
      expect(startedKeys(rig).filter(key => key === 'swap-1').length).to.be.at.most(1)
    })
  })

  describe('a backend server that is leaving', () => {
    it('gets no new starts from 3 s after the list shows it, for as long as it does', async () => {
      const rig = await Rig.start(2)
      rig.vmList = rig.vmList.map(vm => vm.name === 'server-0' ? { ...vm, status: 'leaving' } : vm)
      const listedAt = rig.clock.now()
      for (let round = 0; round < 20; round++) {
        await Promise.all(swapsOf(rig, 6).map(submission => rig.settleOutcome(rig.submit(rig.nonOwner, { ...submission, key: `round-${round}-${submission.key}` as never }))))
        await rig.advance(200)
      }
      const late = rig.servers[0]!.executions.filter(execution => execution.startedAt > listedAt + 3000)
      expect(late).to.deep.equal([])
      expect(rig.executions).to.have.length(120)
    })
  })

  describe('cancellation', () => {
    it('ends a waiting request and stops a running one', async () => {
      const rig = await Rig.start(2)
      const running = swap('swap-1', rig.clock.now(), { payload: { durationMilliseconds: 30_000, echo: 1 } })
      await rig.settleOutcome(rig.submit(rig.nonOwner, running, 0))
      await rig.advance(200)
      await rig.settleOutcome(rig.nonOwner.router.cancel(running.workspace, running.key))
      const outcome = await rig.settleOutcome(rig.read(rig.nonOwner, running, 10_000))
      expect(outcome.state).to.equal('cancelled')
      expect(rig.executions.map(execution => execution.outcome)).to.deep.equal(['stopped'])
    })
  })
})
