import { expect } from 'chai'
import type { Advice, AdviseCommand, ServerId } from '../src/index.js'
import { job, World } from './world.js'

const allow = (server: ServerId, ticket: string): Advice => ({ allowed: [{ server, ticket }], validMilliseconds: 3000 })

// Guards against starts that are refused since their ticket was given for an earlier incarnation of the backend server.
describe('the answer to a request for advice', () => {
  let world: World
  let id: ServerId

  const requests = (): readonly AdviseCommand[] => world.adviceRequests
  /** The only backend server restarts, and the owner learns of it by a report. */
  const restart = (): void => {
    world.servers[0]!.restart()
    world.now += 10
    world.pollServers()
  }

  beforeEach(() => {
    world = new World(1)
    id = world.servers[0]!.entry.id
    world.planner.submit(job('a', { queue: 'advised' }))
    world.settle()
    expect(requests()).to.have.length(1)
  })

  describe('which comes after the restart of a backend server that it allows', () => {
    beforeEach(() => {
      restart()
      world.planner.applyAdvice(requests()[0]!, allow(id, 'earlier'), world.now)
      world.settle()
    })

    it('gives no ticket for the new incarnation', () => {
      expect(world.starts).to.deep.equal([])
    })

    it('is requested again, and then starts the task', () => {
      expect(requests()).to.have.length(2)
      world.planner.applyAdvice(requests()[1]!, allow(id, 'later'), world.now)
      world.settle()
      expect(world.starts.map(({ ticket, incarnation }) => ({ ticket, incarnation }))).to.deep.equal([{ ticket: 'later', incarnation: 2 }])
    })
  })

  describe('which comes after the restart of a backend server that it leaves out', () => {
    it('does not exclude the new incarnation', () => {
      restart()
      world.planner.applyAdvice(requests()[0]!, { allowed: [], validMilliseconds: 3000 }, world.now)
      world.settle()
      expect(requests()).to.have.length(2)
    })
  })

  describe('which comes before a restart', () => {
    it('gives no ticket for the new incarnation', () => {
      world.planner.applyAdvice(requests()[0]!, allow(id, 'earlier'), world.now)
      restart()
      world.settle()
      expect(world.starts).to.deep.equal([])
      expect(requests()).to.have.length(2)
    })
  })
})
