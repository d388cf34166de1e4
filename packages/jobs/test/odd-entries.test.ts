import { epoch } from '@cornelgauge/model'
import { expect } from 'chai'
import { jobId, OVERWRITTEN_ROW_MILLISECONDS, Planner, poolName, serverId, type ServerEntry } from '../src/index.js'
import { CONFIGURATION, job, World } from './world.js'

/** Long after every later start time that a test uses, and within the range of start times. */
const LATER_INCARNATION = 4_000_000_000_000

/** Interval of the heartbeats of backend servers. */
const HEARTBEAT_MILLISECONDS = 1500

const entryOf = (world: World, id = 'server-0'): ServerEntry => world.servers.find(server => server.entry.id === id)!.entry
const current = (world: World): readonly ServerEntry[] => world.servers.map(server => ({ ...server.entry, incarnation: server.incarnation }))

describe('entries of another writer in the registry', () => {
  describe('in a pool that isn\'t configured', () => {
    const stranger = (world: World): ServerEntry => ({ ...entryOf(world), id: serverId('stranger'), pool: poolName('nowhere') })

    it('aren\'t polled, and a new owner doesn\'t wait for them', () => {
      const world = new World(2)
      world.takeOver(2, [{ job: job('a', { acceptedUnder: epoch(1) }), isCancelled: false }])
      world.listServers([...current(world), stranger(world)])
      world.settle(2)
      expect(world.planner.servers).to.not.include(serverId('stranger'))
      expect(world.planner.phaseOf(jobId('a'))).to.equal('running')
    })

    it('are logged once', () => {
      const world = new World(1)
      for (let reads = 0; reads < 3; reads += 1) world.listServers([...current(world), stranger(world)])
      expect(world.planner.drainEvents().filter(event => event.type === 'server-pool-unknown')).to.deep.equal([{ type: 'server-pool-unknown', server: 'stranger', pool: 'nowhere' }])
    })

    it('are polled once the pool is configured, or a stored job runs on it', () => {
      const world = new World(1)
      const entries = [...current(world), stranger(world)]
      world.planner.configure({ ...CONFIGURATION, pools: [...CONFIGURATION.pools, { name: poolName('nowhere'), maximumConnections: 1, enforcesCapacity: true, isStandby: false }] })
      world.listServers(entries)
      expect(world.planner.servers).to.include(serverId('stranger'))
      world.takeOver(2, [{ job: job('a', { pool: poolName('nowhere') }), isCancelled: false }])
      world.listServers(entries)
      expect(world.planner.servers).to.include(serverId('stranger'))
    })
  })

  describe('under the id of a backend server', () => {
    it('with a later start time end no run while the server answers its polls', () => {
      const world = new World(2)
      world.planner.submit(job('a'))
      world.settle()
      const server = world.serverRunning('a.0.0.0')!
      world.listServers(current(world).map(entry => entry.id === server.entry.id ? { ...entry, incarnation: LATER_INCARNATION } : entry))
      world.settle(1)
      world.listServers()
      world.settle()
      expect(world.starts).to.have.length(1)
      expect(world.planner.drainEvents().filter(event => event.type === 'task-ended')).to.deep.equal([])
    })

    it('with a later start time end its runs if it doesn\'t answer', () => {
      const world = new World(2)
      world.planner.submit(job('a'))
      world.settle()
      const server = world.serverRunning('a.0.0.0')!
      server.restart()
      server.connectivity = 'silent'
      world.settle(1)
      world.listServers()
      world.settle()
      expect(world.starts).to.have.length(2)
    })

    describe('while a new owner takes over', () => {
      /** A world whose task runs on a server that the new owner's first read of the registry doesn't show. */
      const overtaken = (): { world: World, hidden: readonly ServerEntry[] } => {
        const world = new World(2)
        const stored = job('a')
        world.planner.submit(stored)
        world.settle()
        const { entry: { id } } = world.serverRunning('a.0.0.0')!
        const hidden = current(world).filter(entry => entry.id !== id)
        world.planner = new Planner(epoch(2), [{ job: stored, isCancelled: false }], { now: world.now, wallTime: world.wallTime })
        world.planner.configure(CONFIGURATION)
        return { world, hidden }
      }

      it('delay inherited jobs until its next heartbeat has overwritten them', () => {
        const { world, hidden } = overtaken()
        world.planner.updateServers(hidden, world.now, 1)
        world.settle()
        world.round(HEARTBEAT_MILLISECONDS)
        world.listServers()
        world.settle()
        expect(world.starts).to.have.length(1)
        expect(world.planner.phaseOf(jobId('a'))).to.equal('running')
      })

      it('delay them no longer if they stay', () => {
        const { world, hidden } = overtaken()
        world.servers.find(server => !hidden.some(entry => entry.id === server.entry.id))!.running.clear()
        world.planner.updateServers(hidden, world.now, 1)
        world.settle()
        expect(world.starts).to.have.length(1)
        world.round(OVERWRITTEN_ROW_MILLISECONDS)
        world.settle()
        expect(world.starts).to.have.length(2)
      })
    })

    it('that is missing for a while end no run', () => {
      const world = new World(2)
      world.planner.submit(job('a'))
      world.settle()
      const { entry: { id } } = world.serverRunning('a.0.0.0')!
      world.listServers(current(world).filter(entry => entry.id !== id))
      world.settle()
      world.listServers()
      world.settle()
      expect(world.starts).to.have.length(1)
    })
  })
})
