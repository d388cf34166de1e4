import { expect } from 'chai'
import { MAXIMUM_REGISTRY_AGE_MILLISECONDS } from '../src/index.js'
import { CONFIGURATION, job, World } from './world.js'

/** A backend server of a pool that guards its capacity, or accepts every start. */
const worldOfPool = (enforcesCapacity: boolean): World => {
  const world = new World(1)
  world.planner.configure({ ...CONFIGURATION, pools: CONFIGURATION.pools.map(pool => ({ ...pool, enforcesCapacity })) })
  world.settle()
  return world
}

/** Runs rounds and polls for some time without reading the registry. */
const runWithoutRegistry = (world: World, milliseconds: number): void => {
  const end = world.now + milliseconds
  while (world.now + 20 < end) world.settle(1)
  world.now = end
}

describe('planner while the registry can\'t be read', () => {
  describe('in a pool whose backend servers accept every start', () => {
    it('starts work as long as the capacities that it knows still count', () => {
      const world = worldOfPool(false)
      world.listServers()
      runWithoutRegistry(world, MAXIMUM_REGISTRY_AGE_MILLISECONDS - 100)
      world.planner.submit(job('a'))
      world.settle()
      expect(world.starts).to.have.length(1)
    })

    it('starts nothing after that, and stops nothing', () => {
      const world = worldOfPool(false)
      world.planner.submit(job('a'))
      world.listServers()
      world.settle()
      runWithoutRegistry(world, MAXIMUM_REGISTRY_AGE_MILLISECONDS)
      world.planner.submit(job('b'))
      world.planner.submit(job('c', { queue: 'urgent', workspace: 'brno' }))
      world.settle(5)
      expect(world.starts).to.have.length(1)
      expect(world.stops).to.have.length(0)
    })

    it('starts work again once it is read, also if nothing in it has changed', () => {
      const world = worldOfPool(false)
      runWithoutRegistry(world, 2 * MAXIMUM_REGISTRY_AGE_MILLISECONDS)
      world.planner.submit(job('a'))
      world.settle()
      world.listServers()
      world.settle()
      expect(world.starts).to.have.length(1)
    })
  })

  describe('in a pool whose backend servers guard their capacity', () => {
    it('goes on starting work', () => {
      const world = worldOfPool(true)
      runWithoutRegistry(world, 2 * MAXIMUM_REGISTRY_AGE_MILLISECONDS)
      world.planner.submit(job('a'))
      world.settle()
      expect(world.starts).to.have.length(1)
    })
  })
})
