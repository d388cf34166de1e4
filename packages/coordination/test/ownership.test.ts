import { expect } from 'chai'
import { CELLS_TABLE, parseOwnerRow, readOwnerRow, releaseCell, renewCell, serializeOwnerRow } from '../src/index.js'
import { PRAHA, VM_ONE, VM_TWO, World } from './builders.js'
import { outcomesOfWrites, type CallOutcome } from './faulty-services.js'

describe('ownership', () => {
  let world: World
  beforeEach(() => { world = new World() })

  const ownerRow = async () => (await readOwnerRow(world.backingTable, PRAHA))?.row

  describe('claim', () => {
    it('increments the epoch and keeps the journal position', async () => {
      await world.claim(VM_ONE)
      const { epoch, holder } = await world.claim(VM_TWO)
      expect({ epoch, holder }).to.deep.equal({ epoch: 2, holder: VM_TWO })
      expect(await ownerRow()).to.deep.include({ holder: VM_TWO, epoch: 2, tail: 1, snapshot: null, released: false })
    })

    it('succeeds for exactly one of two racing VMs', async () => {
      const outcomes = await Promise.all([world.tryClaim(VM_ONE), world.tryClaim(VM_TWO)])
      expect(outcomes.map(({ type }) => type).sort()).to.deep.equal(['claimed', 'lost'])
    })

    it('succeeds for exactly one of two processes with the same VM name', async () => {
      const outcomes = await Promise.all([world.tryClaim(VM_ONE), world.tryClaim(VM_ONE)])
      expect(outcomes.map(({ type }) => type).sort()).to.deep.equal(['claimed', 'lost'])
    })

    const cases: readonly (readonly CallOutcome[])[] = [['answer-lost'], ['refused'], ['late'], ['refused', 'late', 'answer-lost']]
    for (const outcomes of cases) {
      it(`succeeds once after ${outcomes.join(', ')}`, async () => {
        world.injectFaults(outcomesOfWrites(CELLS_TABLE, outcomes))
        expect((await world.tryClaim()).type).to.equal('claimed')
        await world.services.applyLateEffects()
        expect(await ownerRow()).to.deep.include({ holder: VM_ONE, epoch: 1 })
      })
    }

    it('is unsettled if the caller gives up', async () => {
      world.injectFaults(() => 'refused')
      const outcome = world.tryClaim()
      world.abort.abort()
      expect((await outcome).type).to.equal('unsettled')
    })
  })

  describe('renewal', () => {
    it('returns the time at which it was sent', async () => {
      const claim = await world.claim()
      expect(await renewCell(world.services.table, claim, () => 7)).to.deep.equal({ type: 'renewed', sentAt: 7 })
      expect((await ownerRow())?.renewal).to.equal(1)
    })

    it('is lost once another VM has claimed the cell', async () => {
      const claim = await world.claim()
      await world.claim(VM_TWO)
      expect((await renewCell(world.services.table, claim, () => 7)).type).to.equal('lost')
    })

    it('is unknown if its answer is lost', async () => {
      const claim = await world.claim()
      world.injectFaults(outcomesOfWrites(CELLS_TABLE, ['answer-lost']))
      expect((await renewCell(world.services.table, claim, () => 7)).type).to.equal('unknown')
    })
  })

  describe('release', () => {
    for (const callOutcome of ['answered', 'answer-lost', 'refused', 'late'] as const) {
      it(`frees the cell (${callOutcome})`, async () => {
        const claim = await world.claim()
        world.injectFaults(outcomesOfWrites(CELLS_TABLE, [callOutcome]))
        expect((await world.run(releaseCell(world.services.table, claim, world.options))).type).to.equal('made')
        expect(await ownerRow()).to.deep.include({ holder: null, released: true, epoch: 1 })
      })
    }

    it('does not release the cell of the next owner if it takes effect late', async () => {
      const claim = await world.claim()
      world.injectFaults(async call => {
        if (call !== 'write') return 'answered'
        world.injectFaults(() => 'answered')
        await world.claim(VM_TWO)
        return 'late'
      })
      const outcome = await world.run(releaseCell(world.services.table, claim, world.options))
      await world.services.applyLateEffects()
      expect(outcome.type).to.equal('lost')
      expect((await ownerRow())?.holder).to.equal(VM_TWO)
    })
  })

  describe('owner row', () => {
    it('names each field that is damaged', async () => {
      await world.claim()
      const value = serializeOwnerRow((await ownerRow())!)
      expect(parseOwnerRow(value)).to.deep.equal(await ownerRow())
      expect(() => parseOwnerRow({ ...value, epoch: 0, released: 'no' })).to.throw('epoch, released')
    })
  })
})
