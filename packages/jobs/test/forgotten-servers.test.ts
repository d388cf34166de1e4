import { expect } from 'chai'
import { jobId, serverId, type PlannerEvent } from '../src/index.js'
import { play } from './crash-play.js'
import { FakeServer, job, World } from './world.js'

const TASK = 'a.0.0.0'
/** Longer than the leases of a backend server that doesn't answer, and than a start that may still arrive. */
const FORGOTTEN_MILLISECONDS = 16_000
/** How long the first run works. */
const WORKED_MILLISECONDS = 1000

interface Return {
  readonly title: string
  /** Whether it has crashed, else it was only cut off. */
  readonly hasCrashed: boolean
  readonly address?: string
  /** Start time in the entry that is read first. */
  readonly listed?: number
  /** Another backend server has answered at its address before. */
  readonly wasReplaced?: boolean
  readonly losses: number
}

// Guards against runs, and losses, that are counted twice or never since a backend server was removed and forgotten.
describe('a backend server that was removed from the registry, and is back under its id', () => {
  const returns: readonly Return[] = [
    { title: 'as the same incarnation', hasCrashed: false, losses: 0 },
    { title: 'as the same incarnation at another address', hasCrashed: false, address: '10.9.9.9:80', losses: 0 },
    { title: 'as a new incarnation', hasCrashed: true, losses: 1 },
    { title: 'as a new incarnation at another address', hasCrashed: true, address: '10.9.9.9:80', losses: 1 },
    { title: 'as a new incarnation, with the earlier entry', hasCrashed: true, listed: 1, losses: 1 },
    { title: 'as a new incarnation, after another one has answered at its address', hasCrashed: true, wasReplaced: true, losses: 1 }
  ]
  for (const { title, hasCrashed, address, listed, wasReplaced = false, losses } of returns) {
    it(`${title}: its run has ended once, and it is used again`, () => {
      const world = new World(2)
      const events: PlannerEvent[] = []
      const playOn = (milliseconds: number): void => play(world, milliseconds, {
        afterStep: () => {
          for (const server of world.servers) for (const run of server.running.values()) server.running.set(run.task, { ...run, percent: run.percent + 0.1 })
          events.push(...world.planner.drainEvents())
        }
      })
      world.planner.submit(job('a'))
      playOn(WORKED_MILLISECONDS)
      const gone = world.serverRunning(TASK)!
      if (hasCrashed) gone.crash(Infinity)
      else gone.connectivity = 'silent'
      const others = world.servers.filter(server => server !== gone)
      const replacement = new FakeServer({ ...gone.entry, id: serverId('replacement') })
      if (wasReplaced) others.push(replacement)
      world.servers.splice(0, world.servers.length, gone, ...others)
      world.listServers(others.map(({ entry, incarnation }) => ({ ...entry, incarnation })))
      playOn(FORGOTTEN_MILLISECONDS)
      // The registry's next reading forgets it.
      world.listServers(others.map(({ entry, incarnation }) => ({ ...entry, incarnation })))
      expect(world.planner.servers).not.to.include(gone.entry.id)
      expect(world.starts).to.have.length(2)
      gone.running.clear()
      gone.connectivity = 'answers'
      replacement.connectivity = 'silent'
      const entries = [gone, ...others].map(({ entry, incarnation }) => ({ ...entry, incarnation, ...(entry.id === gone.entry.id ? { address: address ?? entry.address, incarnation: listed ?? incarnation } : {}) }))
      world.listServers(entries)
      playOn(WORKED_MILLISECONDS)
      expect(world.starts).to.have.length(2)
      expect(events.filter(({ type }) => type === 'run-lost-with-server')).to.have.length(losses)
      // The second run has worked for longer than the first one, so that no crash counts.
      expect(world.planner.progressOf(jobId('a'))!.steps['0.0']!.crashes ?? {}).to.deep.equal({})
      for (let number = 0; number < 20; number += 1) world.planner.submit(job(`b${number}`))
      playOn(200)
      expect(gone.running.size).to.be.greaterThan(0)
    })
  }
})
