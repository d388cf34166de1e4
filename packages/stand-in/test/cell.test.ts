import { expect } from 'chai'
import { rota, swap } from '../src/builders.js'
import { Rig } from '../src/rig.js'

describe('a cell over in-memory services', () => {
  describe('without faults', () => {
    it('runs a swap once and returns its answer through another VM', async () => {
      const rig = await Rig.start(3)
      const submission = swap('swap-1', rig.clock.now())
      const outcome = await rig.settleOutcome(rig.submit(rig.nonOwner, submission))
      expect(outcome.state).to.equal('finished')
      const read = await rig.settleOutcome(rig.read(rig.owner!, submission))
      expect(JSON.parse(read.answer!)).to.deep.include({ echo: { key: 'swap-1' } })
      expect(rig.executions.map(execution => execution.requestKey)).to.deep.equal(['swap-1'])
    })

    it('starts a gang on all of its members', async () => {
      const rig = await Rig.start(3)
      const outcome = await rig.settleOutcome(rig.submit(rig.nonOwner, rota('rota-1', rig.clock.now())))
      expect(outcome.state).to.equal('finished')
      expect(rig.executions).to.have.length(2)
    })

    it('joins a repeated key to its first call and refuses another body', async () => {
      const rig = await Rig.start(2)
      const submission = swap('swap-1', rig.clock.now())
      const [first, second] = await Promise.all([rig.settleOutcome(rig.submit(rig.nonOwner, submission)), rig.settleOutcome(rig.submit(rig.owner!, submission))])
      expect([first.state, second.state]).to.deep.equal(['finished', 'finished'])
      const other = await rig.settleOutcome(rig.submit(rig.nonOwner, { ...submission, bodyDigest: 'other' as never }))
      expect(other.code).to.equal('key-reused')
      expect(rig.executions).to.have.length(1)
    })
  })

  describe('when its owner is killed', () => {
    it('is served by another VM within the lease plus 2 s, and no request runs twice', async () => {
      const rig = await Rig.start(3)
      const submissions = Array.from({ length: 20 }, (_, index) => swap(`swap-${index}`, rig.clock.now()))
      const entry = rig.nonOwner
      const calls = submissions.map(submission => rig.settleOutcome(rig.submit(entry, submission)))
      await rig.advance(30)
      const killedAt = rig.clock.now()
      rig.owner!.kill()
      const outcomes = await Promise.all(calls)
      const recovered = rig.events.find(event => event.name === 'cell-recovered' && event.at > killedAt)
      expect(recovered!.at - killedAt).to.be.at.most(5000)
      expect(outcomes.map(outcome => outcome.state)).to.deep.equal(submissions.map(() => 'finished'))
      expect(new Set(rig.executions.map(execution => execution.requestKey)).size).to.equal(rig.executions.length)
    })
  })
})
