import { expect } from 'chai'
import { MAXIMUM_SEARCH_EXAMINATIONS_PER_ROUND } from '../src/limits.js'
import { RoundWork } from '../src/round-work.js'
import { SearchTurns } from '../src/search-turns.js'
import type { StepState } from '../src/step-state.js'

const stepNamed = (name: string): StepState => ({ name }) as unknown as StepState

describe('search turns', () => {
  const work = new RoundWork()

  /** Runs a round in which each search reaches the limit, and returns the steps that had their turn. */
  const round = (turns: SearchTurns, steps: readonly StepState[]): readonly StepState[] => {
    turns.beginRound()
    return steps.filter(step => {
      if (!turns.isNext(step)) return false
      turns.search(step, () => {
        work.add(MAXIMUM_SEARCH_EXAMINATIONS_PER_ROUND)
        return undefined
      })
      return true
    })
  }

  describe('when each round has time for one search', () => {
    it('give a step its turn although a new one precedes it in each round', () => {
      const turns = new SearchTurns(work)
      const [first, waiting, ...later] = ['first', 'waiting', 'second', 'third', 'fourth'].map(stepNamed)
      expect(round(turns, [first!, waiting!])).to.deep.equal([first])
      expect(round(turns, [later[0]!, waiting!])).to.deep.equal([waiting])
      expect(round(turns, [later[1]!, later[0]!])).to.deep.equal([later[0]])
    })

    it('don\'t wait for a step that no longer needs a search', () => {
      const turns = new SearchTurns(work)
      const [first, gone, next] = ['first', 'gone', 'next'].map(stepNamed)
      round(turns, [first!, gone!])
      expect(round(turns, [next!])).to.deep.equal([])
      expect(round(turns, [next!])).to.deep.equal([next])
    })
  })
})
