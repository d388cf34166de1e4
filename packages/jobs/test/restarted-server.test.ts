import { expect } from 'chai'
import { Server } from '../src/server.js'
import { World } from './world.js'

const NOW = 50_000
/** What a backend server has shown, or was found to do; it holds for one incarnation. */
const SHOWN = { hasAnswered: true, hasMoreEnds: true, hasListedAll: true, reportedPosition: 7, acknowledgedPosition: 5, consecutiveFailures: 2, answeredPollAt: NOW - 60, lastFailureAt: NOW - 40, unansweredStartAt: NOW - 30, answeredStartAt: NOW - 20, hasRefusedForCapacity: true, hasOtherIncarnation: true } as const

// Guards against what one incarnation of a backend server has shown that counts for the next.
describe('a backend server that has restarted', () => {
  const [entry] = new World(1).entries
  const fresh = new Server(entry!, 0)
  let server: Server

  beforeEach(() => {
    server = new Server(entry!, 0)
    server.recordAnswer({ incarnation: 1, clock: 5_000_000, running: [], ended: [], hasMoreEnds: false, sentAt: NOW - 110, receivedAt: NOW - 100 })
    Object.assign(server, SHOWN)
    server.restart(2, NOW)
  })

  it('has no clock until the new incarnation has answered', () => {
    expect(server.clockAt(NOW + 10)).to.equal(0)
  })

  for (const name of Object.keys(SHOWN) as readonly (keyof typeof SHOWN)[]) {
    it(`begins with the ${name} of one that is new`, () => {
      expect(server[name]).to.equal(fresh[name]).and.not.equal(SHOWN[name])
    })
  }
})
