import { expect } from 'chai'
import type { CapacitySnapshot } from '../src/capacity-snapshot.js'
import { serverId } from '../src/index.js'
import { MAXIMUM_SEARCH_EXAMINATIONS_PER_ROUND } from '../src/limits.js'
import type { ReclaimPlan } from '../src/reclaim.js'
import { RoundWork } from '../src/round-work.js'
import { SearchTurns } from '../src/search-turns.js'
import type { Server } from '../src/server.js'
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

  // Guards against claims that are searched for only once, or never, while a new one comes in each round.
  describe('while a new step comes in each round', () => {
    const ROUNDS = 40

    /** Plays rounds in which the newest of the steps comes first, and returns how often the last one had its turn. */
    const turnsOfLast = (searchesPerRound: number): number => {
      const turns = new SearchTurns(work)
      const last = stepNamed('last')
      const others = ['a', 'b', 'c', 'd'].map(stepNamed)
      let count = 0
      for (let number = 0; number < ROUNDS; number += 1) {
        others.unshift(stepNamed(`new-${number}`))
        others.length = 5
        turns.beginRound()
        for (const step of [...others, last]) {
          if (!turns.isNext(step)) continue
          turns.search(step, () => {
            work.add(Math.ceil(MAXIMUM_SEARCH_EXAMINATIONS_PER_ROUND / searchesPerRound))
            return undefined
          })
          if (step === last) count += 1
        }
      }
      return count
    }

    for (const searchesPerRound of [1, 3]) {
      it(`give an earlier one its turn again and again, with ${searchesPerRound} a round`, () => {
        expect(turnsOfLast(searchesPerRound)).to.be.at.least(4)
      })
    }
  })

  describe('asked whether backend servers can be planned for a step', () => {
    const server = { id: serverId('server') } as Server
    const plan = { targets: [{ server }], victims: [], cost: 0 } as unknown as ReclaimPlan
    const among = (...ids: readonly string[]): Pick<CapacitySnapshot, 'targetOf'> => ({ targetOf: id => ids.includes(id) ? plan.targets[0] : undefined })

    it('search once a round, and leave the step its turn', () => {
      const turns = new SearchTurns(work)
      const step = stepNamed('a')
      let searches = 0
      const search = (): ReclaimPlan => {
        searches += 1
        return plan
      }
      turns.beginRound()
      expect([turns.canPlan(step, among(), search), turns.canPlan(step, among(), search)]).to.deep.equal([true, true])
      expect(searches).to.equal(1)
      expect(turns.isNext(step)).to.equal(true)
      turns.beginRound()
      expect(turns.canPlan(step, among(), search)).to.equal(true)
      expect(searches).to.equal(2)
    })

    it('count what the search examines for the limit', () => {
      const turns = new SearchTurns(work)
      turns.beginRound()
      turns.canPlan(stepNamed('a'), among(), () => {
        work.add(MAXIMUM_SEARCH_EXAMINATIONS_PER_ROUND)
        return plan
      })
      expect(turns.isNext(stepNamed('b'))).to.equal(false)
      expect(turns.canPlan(stepNamed('c'), among(), () => plan)).to.equal(false)
    })

    // Guards against claims that wait beside a free backend server, though the plan of their last turn includes it.
    it('say so of a planned step only if all that is planned is among them', () => {
      const turns = new SearchTurns(work)
      const step = stepNamed('a')
      turns.beginRound()
      turns.search(step, () => plan)
      expect(turns.canPlan(step, among('server'), () => undefined)).to.equal(true)
      expect(turns.canPlan(step, among(), () => plan)).to.equal(false)
    })
  })
})
