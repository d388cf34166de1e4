import { VirtualClock } from '@cornelgauge/ports'
import { expect } from 'chai'
import { OwnerEvidence } from '../src/owner-evidence.js'

const SILENCE_MILLISECONDS = 1000

describe('evidence that the owner has failed', () => {
  let clock: VirtualClock
  let evidence: OwnerEvidence

  beforeEach(() => {
    clock = new VirtualClock()
    evidence = new OwnerEvidence(clock)
    evidence.follow()
    evidence.hear(60_000)
  })

  describe('while the own loop was delayed', () => {
    it('leaves out the delay', async () => {
      await clock.advance(SILENCE_MILLISECONDS)
      evidence.excludeDelay(clock.now() - 400)
      expect(evidence.isGone).to.equal(false)
      await clock.advance(400)
      expect(evidence.isGone).to.equal(true)
    })

    it('leaves out a delay of two timers once', async () => {
      await clock.advance(SILENCE_MILLISECONDS)
      evidence.excludeDelay(clock.now() - 400)
      evidence.excludeDelay(clock.now() - 300)
      await clock.advance(400)
      expect(evidence.isGone).to.equal(true)
    })
  })

  describe('of an owner that has just claimed', () => {
    it('requires twice the silence', async () => {
      evidence.follow()
      await clock.advance(2 * SILENCE_MILLISECONDS - 10)
      expect(evidence.isGone).to.equal(false)
      await clock.advance(10)
      expect(evidence.isGone).to.equal(true)
    })
  })
})
