import { expect } from 'chai'
import { jobId } from '../src/index.js'
import { CONFIGURATION, job, step, World } from './world.js'

/** Maximum time until a claim starts, as required by the users, in milliseconds. */
const RECLAIM_MILLISECONDS = 2700

describe('planner', () => {
  describe('when a workspace claims its guarantee', () => {
    it('stops runs that borrow the guarantee and starts the claim instead', () => {
      const world = new World(1)
      world.planner.submit(job('lent', { steps: [step({ count: 8 })] }))
      world.settle()
      world.planner.submit(job('claim', { queue: 'urgent', workspace: 'brno', steps: [step({ count: 2, accelerators: 4, isGang: true })] }))
      world.settle()
      expect(world.stops.every(stop => stop.reason === 'reclaimed')).to.equal(true)
      expect(world.serverRunning('claim.0.0.1')).not.to.equal(undefined)
    })

    it('lets a claim wait for capacity before it stops work that has run for long', () => {
      const world = new World(1)
      world.planner.submit(job('lent', { steps: [step({ count: 8, isGang: true })] }))
      world.settle()
      world.now += 3000
      world.pollServers()
      world.planner.submit(job('claim', { queue: 'urgent', workspace: 'brno', steps: [step({ accelerators: 4 })] }))
      world.settle()
      expect(world.stops).to.have.length(0)
      world.settle(30)
      expect(world.serverRunning('claim.0.0.0')).not.to.equal(undefined)
    })

    describe('whose tasks are short where a stop takes long', () => {
      const SHORT_RUN_MILLISECONDS = 300
      const LONG_STOP_MILLISECONDS = 800

      /** Teaches the planner that urgent tasks are short, and how long a stop takes. */
      const taughtWorld = (stopMilliseconds: number): World => {
        const world = new World(1)
        for (let index = 0; index < 40; index += 1) {
          world.planner.submit(job(`short-${index}`, { queue: 'urgent' }))
          world.settle()
          world.now += SHORT_RUN_MILLISECONDS
          world.servers[0]!.end(`short-${index}.0.0.0`, 'done')
          world.settle()
        }
        world.planner.submit(job('cancelled', { steps: [step()] }))
        world.settle()
        world.planner.cancel(jobId('cancelled'), world.wallTime)
        world.round()
        world.now += stopMilliseconds
        world.settle()
        return world
      }

      const stopsForClaim = (world: World): number => {
        world.planner.submit(job('lent', { steps: [step({ count: 8, isGang: true })] }))
        while (world.serverRunning('lent.0.0.7') === undefined) world.settle()
        world.now += 3000
        world.pollServers()
        const before = world.stops.length
        world.planner.submit(job('claim', { queue: 'urgent', workspace: 'brno', acceptedAt: world.wallTime, steps: [step({ accelerators: 4 })] }))
        world.settle()
        return world.stops.length - before
      }

      it('stops others for it at once', () => {
        expect(stopsForClaim(taughtWorld(LONG_STOP_MILLISECONDS))).to.equal(8)
      })

      it('waits for capacity first if stops are short', () => {
        expect(stopsForClaim(taughtWorld(20))).to.equal(0)
      })
    })

    it('spreads a claim over racks within the reclaim bound if other claims hold a part of each rack', () => {
      const world = new World(4, { perRack: 2 })
      const [workspace] = CONFIGURATION.workspaces
      world.planner.configure({ ...CONFIGURATION, workspaces: [{ ...workspace!, guaranteedAccelerators: 32 }] })
      world.listServers(world.servers.map(({ entry, incarnation }, index) => ({ ...entry, incarnation, labels: [...entry.labels, `even-${index % 2 === 0}`] })))
      const held = step({ accelerators: 8, count: 2, mostPerServer: 1, requiredLabel: 'even-true' })
      world.planner.submit(job('earlier', { queue: 'urgent', workspace: 'brno', steps: [held] }))
      world.planner.submit(job('lent', { steps: [step({ count: 16 })] }))
      world.settle(10)
      const acceptedAt = world.wallTime
      world.planner.submit(job('claim', { queue: 'urgent', workspace: 'brno', acceptedAt, steps: [step({ count: 2, accelerators: 8, isGang: true, wantsOneRack: true })] }))
      while (world.serverRunning('claim.0.0.1') === undefined && world.wallTime < acceptedAt + RECLAIM_MILLISECONDS) world.settle(1)
      expect(world.serverRunning('claim.0.0.0')).not.to.equal(undefined)
      expect(world.serverRunning('claim.0.0.1')).not.to.equal(undefined)
    })

    // Guards against claims that wait beside servers freed for them, which they avoid for a recent failure.
    describe('with few attempts left, beside recent failures', () => {
      const CLAIM = step({ count: 2, accelerators: 8, isGang: true })

      /** A full pool in which the last tasks to end on these backend servers have failed. */
      const worldWithFailures = (failing: readonly number[]): World => {
        const world = new World(6)
        const [workspace] = CONFIGURATION.workspaces
        world.planner.configure({ ...CONFIGURATION, workspaces: [{ ...workspace!, guaranteedAccelerators: 16 }] })
        world.planner.submit(job('lent', { steps: [step({ count: 48 })] }))
        world.settle(10)
        world.now += 3000
        for (const { running } of world.servers) for (const [task, run] of running) running.set(task, { ...run, percent: 50 })
        world.pollServers()
        for (const server of failing.map(index => world.servers[index]!)) {
          const [last, ...others] = [...server.running.keys()]
          for (const task of others) server.end(task, 'done')
          server.end(last!, 'failed')
        }
        world.settle()
        return world
      }

      const startsInTime = (world: World): boolean => {
        const acceptedAt = world.wallTime
        world.planner.submit(job('claim', { queue: 'urgent', workspace: 'brno', acceptedAt, steps: [CLAIM] }))
        while (world.serverRunning('claim.0.0.1') === undefined && world.wallTime < acceptedAt + RECLAIM_MILLISECONDS) world.settle(1)
        return world.serverRunning('claim.0.0.0') !== undefined && world.serverRunning('claim.0.0.1') !== undefined
      }

      it('stops runs only where it may start', () => {
        const world = worldWithFailures([0])
        expect(startsInTime(world)).to.equal(true)
        expect(world.stops.filter(({ server }) => server === world.servers[0]!.entry.id)).to.deep.equal([])
      })

      describe('on all backend servers', () => {
        /** A slow stop, but one that fits the bound if it is sent after the usual wait. */
        const STOP_MILLISECONDS = 1500

        it('starts within the reclaim bound', () => {
          const world = worldWithFailures([0, 1, 2, 3, 4, 5])
          world.planner.submit(job('again', { steps: [step({ count: 48 })] }))
          world.settle(10)
          expect(world.planner.load.acceleratorsFree).to.equal(0)
          for (const server of world.servers) server.stopsSlowly = true
          const acceptedAt = world.wallTime
          let stoppedAt = Infinity
          world.planner.submit(job('claim', { queue: 'urgent', workspace: 'brno', acceptedAt, steps: [CLAIM] }))
          while (world.serverRunning('claim.0.0.1') === undefined && world.wallTime < acceptedAt + RECLAIM_MILLISECONDS) {
            world.settle(1)
            if (world.stops.length > 0) stoppedAt = Math.min(stoppedAt, world.now)
            if (world.now >= stoppedAt + STOP_MILLISECONDS) for (const server of world.servers) server.finishStops()
          }
          expect(world.serverRunning('claim.0.0.0')).not.to.equal(undefined)
          expect(world.serverRunning('claim.0.0.1')).not.to.equal(undefined)
        })
      })
    })

    it('stops nothing for urgent work beyond the guarantee that can still wait', () => {
      const world = new World(1)
      world.planner.submit(job('lent', { steps: [step({ count: 8 })] }))
      world.settle()
      world.planner.submit(job('more', { queue: 'urgent', workspace: 'plzen' }))
      world.settle()
      expect(world.stops).to.have.length(0)
    })
  })

  describe('when urgent work beyond the guarantee is about to be late', () => {
    const URGENT_AGE_MILLISECONDS = 3500
    const fullPoolWithUrgentJob = (savesCheckpoints: boolean): World => {
      const world = new World(1)
      world.planner.submit(job('bulk', { steps: [step({ count: 8, savesCheckpoints })] }))
      world.settle(150)
      const acceptedAt = world.wallTime - URGENT_AGE_MILLISECONDS
      world.planner.submit(job('urgent', { queue: 'urgent', acceptedAt, steps: [step({ accelerators: 2 })] }))
      world.settle(30)
      return world
    }

    it('stops as little work with checkpoints as it needs', () => {
      const world = fullPoolWithUrgentJob(true)
      expect(world.serverRunning('urgent.0.0.0')).not.to.equal(undefined)
      expect(world.stops.map(stop => stop.reason)).to.deep.equal(['reclaimed', 'reclaimed'])
    })

    it('stops nothing in a queue with an advice service', () => {
      const world = new World(1)
      const [urgent] = CONFIGURATION.queues
      const advised = CONFIGURATION.queues.find(queue => queue.advice !== undefined)!
      world.planner.configure({ ...CONFIGURATION, queues: [...CONFIGURATION.queues.filter(queue => queue !== urgent), { ...urgent!, advice: advised.advice! }] })
      world.planner.submit(job('bulk', { steps: [step({ count: 8, savesCheckpoints: true })] }))
      world.settle(150)
      world.planner.submit(job('urgent', { queue: 'urgent', acceptedAt: world.wallTime - URGENT_AGE_MILLISECONDS }))
      world.settle(30)
      expect(world.stops).to.deep.equal([])
    })

    it('stops nothing for work that may not start, since claims are expected to need what it takes', () => {
      const world = new World(1)
      world.planner.submit(job('bulk', { steps: [step({ count: 8, savesCheckpoints: true })] }))
      world.settle(150)
      world.planner.submit(job('urgent', { queue: 'urgent', acceptedAt: world.wallTime - URGENT_AGE_MILLISECONDS, steps: [step({ count: 3, accelerators: 2, isGang: true })] }))
      world.settle(30)
      expect(world.stops).to.deep.equal([])
    })

    it('stops no work without checkpoints that has run for long', () => {
      expect(fullPoolWithUrgentJob(false).stops).to.deep.equal([])
    })
  })
})
