import { epoch } from '@cornelgauge/model'
import { expect } from 'chai'
import { jobId, poolName, serverId, type ServerEntry } from '../src/index.js'
import { CONFIGURATION, job, World } from './world.js'

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
})
