import { expect } from 'chai'
import { connectionsToClose, isExpired, type ConnectionPhase, type ConnectionState } from '../src/connection-shedding.js'

const state = (phase: ConnectionPhase, milliseconds: number): ConnectionState => ({ phase, milliseconds })
const LIMITS = { headerMilliseconds: 3000, idleMilliseconds: 15_000, bodyMilliseconds: 20_000 }

describe('the connections that are closed', () => {
  describe('at the bound', () => {
    const cases: readonly (readonly [string, readonly ConnectionState[], number])[] = [
      ['the oldest unfinished one, not the newcomer', [state('body', 400), state('header', 800), state('unused', 0)], 1],
      ['one between two requests, rather than the newcomer', [state('idle', 500), state('idle', 200), state('unused', 0)], 0],
      ['an unfinished one, rather than one between two requests', [state('idle', 500), state('body', 400), state('unused', 0)], 1],
      ['one that still sends an answered request, before all', [state('unused', 900), state('body', 900), state('discarding', 300)], 2],
      ['the newcomer, if all others wait for answers', [state('answering', 9000), state('answering', 9000), state('unused', 0)], 2]
    ]
    for (const [name, states, closed] of cases) {
      it(`are ${name}`, () => { expect(connectionsToClose(states, 2)[0]).to.equal(closed) })
    }

    it('are none on which a whole request waits for its answer', () => {
      expect(connectionsToClose([state('answering', 1), state('answering', 99_999), state('answering', 5)], 1)).to.deep.equal([])
    })

    it('are some more than needed, so that many arrivals share one choice', () => {
      const states = Array.from({ length: 321 }, (_, index) => state('unused', 321 - index))
      expect(connectionsToClose(states, 320)).to.deep.equal(Array.from({ length: 21 }, (_, index) => index))
    })
  })

  it('are none below the bound', () => {
    expect(connectionsToClose([state('unused', 9000), state('body', 9000)], 2)).to.deep.equal([])
  })

  describe('after a time limit', () => {
    const cases: readonly (readonly [ConnectionPhase, number, boolean])[] = [
      ['header', 2900, false], ['header', 3100, true],
      ['unused', 14_900, false], ['unused', 15_100, true],
      ['body', 19_900, false], ['body', 20_100, true],
      ['discarding', 3100, true],
      ['idle', 99_999, false], ['answering', 99_999, false]
    ]
    for (const [phase, milliseconds, expired] of cases) {
      it(`are ${expired ? '' : 'not '}those in the phase ${phase} for ${milliseconds} ms`, () => {
        expect(isExpired(state(phase, milliseconds), LIMITS)).to.equal(expired)
      })
    }
  })
})
