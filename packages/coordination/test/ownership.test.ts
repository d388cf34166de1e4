import { expect } from 'chai'
import { CELLS_TABLE, parseOwnerRow, readOwnerRow, releaseCell, renewCell, serializeOwnerRow } from '../src/index.js'
import { PRAHA, VM_ONE, VM_TWO, World } from './builders.js'
import { fatesOfWrites, type Fate } from './faulty-services.js'

describe('ownership', () => {
  let world: World
  beforeEach(() => { world = new World() })

  const ownerRow = async () => (await readOwnerRow(world.truth, PRAHA))?.row

  describe('claim', () => {
    it('raises the epoch and keeps the journal position', async () => {
      await world.claim(VM_ONE)
      const { epoch, holder } = await world.claim(VM_TWO)
      expect({ epoch, holder }).to.deep.equal({ epoch: 2, holder: VM_TWO })
      expect(await ownerRow()).to.deep.include({ holder: VM_TWO, epoch: 2, tail: 1, snapshot: null, released: false })
    })

    it('goes to one of two that race', async () => {
      const outcomes = await Promise.all([world.tryClaim(VM_ONE), world.tryClaim(VM_TWO)])
      expect(outcomes.map(({ type }) => type).sort()).to.deep.equal(['claimed', 'lost'])
    })

    it('goes to one of two processes with the same name', async () => {
      const outcomes = await Promise.all([world.tryClaim(VM_ONE), world.tryClaim(VM_ONE)])
      expect(outcomes.map(({ type }) => type).sort()).to.deep.equal(['claimed', 'lost'])
    })

    const cases: readonly (readonly Fate[])[] = [['answer-lost'], ['refused'], ['late'], ['refused', 'late', 'answer-lost']]
    for (const fates of cases) {
      it(`is settled after ${fates.join(', ')}`, async () => {
        world.faults(fatesOfWrites(CELLS_TABLE, fates))
        expect((await world.tryClaim()).type).to.equal('claimed')
        await world.services.landLate()
        expect(await ownerRow()).to.deep.include({ holder: VM_ONE, epoch: 1 })
      })
    }

    it('is unsettled when the caller gives up', async () => {
      world.faults(() => 'refused')
      const outcome = world.tryClaim()
      world.abort.abort()
      expect((await outcome).type).to.equal('unsettled')
    })
  })

  describe('renewal', () => {
    it('counts from the time it was sent', async () => {
      const claim = await world.claim()
      expect(await renewCell(world.services.table, claim, () => 7)).to.deep.equal({ type: 'renewed', sentAt: 7 })
      expect((await ownerRow())?.renewal).to.equal(1)
    })

    it('is lost once another VM has the cell', async () => {
      const claim = await world.claim()
      await world.claim(VM_TWO)
      expect((await renewCell(world.services.table, claim, () => 7)).type).to.equal('lost')
    })

    it('extends nothing while its answer is missing', async () => {
      const claim = await world.claim()
      world.faults(fatesOfWrites(CELLS_TABLE, ['answer-lost']))
      expect((await renewCell(world.services.table, claim, () => 7)).type).to.equal('unknown')
    })
  })

  describe('release', () => {
    for (const fate of ['answered', 'answer-lost', 'refused', 'late'] as const) {
      it(`frees the cell (${fate})`, async () => {
        const claim = await world.claim()
        world.faults(fatesOfWrites(CELLS_TABLE, [fate]))
        expect((await world.run(releaseCell(world.services.table, claim, world.options))).type).to.equal('made')
        expect(await ownerRow()).to.deep.include({ holder: null, released: true, epoch: 1 })
      })
    }

    it('cannot take the cell from its next owner by landing late', async () => {
      const claim = await world.claim()
      world.faults(async call => {
        if (call !== 'write') return 'answered'
        world.faults(() => 'answered')
        await world.claim(VM_TWO)
        return 'late'
      })
      const outcome = await world.run(releaseCell(world.services.table, claim, world.options))
      await world.services.landLate()
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
