import { expect } from 'chai'
import { MAXIMUM_GANG_EXAMINATIONS_PER_ROUND } from '../src/limits.js'
import { PlacementTurns } from '../src/placement-turns.js'
import { RoundWork } from '../src/round-work.js'
import type { StepState } from '../src/step-state.js'

const stepNamed = (name: string): StepState => ({ name }) as unknown as StepState
/** A quarter of the limit, so that two gangs are placed in order and two in turn. */
const EXAMINATIONS = MAXIMUM_GANG_EXAMINATIONS_PER_ROUND / 4

describe('placement turns', () => {
  const work = new RoundWork()
  let turns: PlacementTurns

  beforeEach(() => { turns = new PlacementTurns(work) })

  /** Runs a round in which no gang but those given finds capacity, and returns those that had their turn. */
  const round = (names: readonly string[], { examinations = EXAMINATIONS, isComplete = true, fitting = '' } = {}): string => {
    turns.beginRound()
    const placed = names.filter(name => {
      const step = steps.get(name)!
      if (!turns.isNext(step)) return false
      turns.place(step, () => {
        work.add(examinations)
        return fitting.includes(name) ? [] : undefined
      })
      return true
    })
    turns.endRound(isComplete)
    return placed.join('')
  }
  const steps = new Map([...'abcdefghijxyz'].map(name => [name, stepNamed(name)]))

  describe('while all gangs stay below the limit', () => {
    it('give all of them a turn in each round', () => {
      for (let time = 0; time < 3; time += 1) expect(round([...'abcd'])).to.equal('abcd')
    })
  })

  describe('when more gangs wait than a round may place', () => {
    it('place the first two in each round, and the others in turn', () => {
      expect(round([...'abcdefgh'])).to.equal('abcd')
      expect(round([...'abcdefgh'])).to.equal('abef')
      expect(round([...'abcdefgh'])).to.equal('abgh')
      expect(round([...'abcdefgh'])).to.equal('abcd')
    })

    it('give a gang its turn although new ones precede it in each round', () => {
      expect(round([...'abcdef'])).to.equal('abcd')
      expect(round([...'xyabcdef'])).to.equal('xyef')
      expect(round([...'zxyabcdef'])).to.equal('zxab')
      expect(round([...'zxyabcdef'])).to.equal('zxcd')
      expect(round([...'zxyabcdef'])).to.equal('zxya')
    })

    it('place the first one of the order at once, such as a claim', () => {
      round([...'abcdef'])
      expect(round([...'xabcdef'])).to.match(/^x/)
    })

    it('don\'t count gangs that find capacity', () => {
      expect(round([...'abcdefgh'], { fitting: 'abc' })).to.equal('abcdefg')
    })

    it('don\'t wait for gangs that no longer wait', () => {
      expect(round([...'abcdef'])).to.equal('abcd')
      expect(round([...'abcd'])).to.equal('ab')
      expect(round([...'abcd'])).to.equal('abcd')
    })

    it('keep the turn of a gang that a round did not reach', () => {
      expect(round([...'abcdefgh'])).to.equal('abcd')
      expect(round([...'a'], { isComplete: false })).to.equal('a')
      expect(round([...'abcdefgh'])).to.equal('abef')
    })
  })

  describe('when one placement reaches the limit', () => {
    it('still give one gang its turn in each round', () => {
      const examinations = 2 * MAXIMUM_GANG_EXAMINATIONS_PER_ROUND
      expect(round([...'abc'], { examinations })).to.equal('a')
      expect(round([...'abc'], { examinations })).to.equal('ab')
      expect(round([...'abc'], { examinations })).to.equal('ac')
      expect(round([...'abc'], { examinations })).to.equal('ab')
      expect(round([...'abc'], { examinations })).to.equal('ac')
    })
  })
})
