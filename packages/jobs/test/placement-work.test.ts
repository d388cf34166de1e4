import { epoch } from '@cornelgauge/model'
import { expect } from 'chai'
import { CapacitySnapshot, type PlacementTarget } from '../src/capacity-snapshot.js'
import { poolName, serverId } from '../src/ids.js'
import { JobState } from '../src/job-state.js'
import { placeGang, placeTasks } from '../src/placement.js'
import { planReclaim } from '../src/reclaim.js'
import { RoundWork } from '../src/round-work.js'
import { NO_TASKS, Server } from '../src/server.js'
import type { StepState } from '../src/step-state.js'
import { VictimIndex } from '../src/victim-index.js'
import { job, step } from './world.js'

const SERVERS = 40
const PER_RACK = 8

describe('the placement of gangs that want one rack', () => {
  let rackReads: number
  let snapshot: CapacitySnapshot

  beforeEach(() => {
    rackReads = 0
    const servers = Array.from({ length: SERVERS }, (_, index) => new Server({
      id: serverId(`server-${index}`),
      pool: poolName('pool'),
      address: '',
      failureDomain: 'north',
      capacity: { processor: 32_000, memory: 64_000, accelerators: 8 },
      labels: [],
      get rack () {
        rackReads += 1
        return `rack-${Math.floor(index / PER_RACK)}`
      },
      isDraining: false,
      incarnation: 1
    }, 0))
    snapshot = new CapacitySnapshot(servers.map(server => ({ server, free: { processor: 0, memory: 0, accelerators: 0 }, tasksOf: NO_TASKS, tasksWithoutCheckpoints: 0 })), new RoundWork())
  })

  const gang = (id: string): StepState => {
    const state = new JobState(job(id, { acceptedUnder: epoch(1), steps: [step({ count: 2, accelerators: 8, isGang: true, wantsOneRack: true })] }), false)
    state.activate(Infinity)
    return state.steps[0]!
  }

  // Guards against rounds that group all backend servers by rack for each gang that waits.
  it('groups the backend servers of a round once for all gangs', () => {
    for (let number = 0; number < 20; number += 1) {
      const waiting = gang(`gang${number}`)
      expect(placeGang(snapshot, waiting, true)).to.equal(undefined)
      expect(planReclaim(snapshot, waiting, 2, new VictimIndex([], snapshot.work), true)).to.equal(undefined)
    }
    expect(rackReads).to.be.within(SERVERS, 2 * SERVERS)
  })
})

describe('the placement of a single task', () => {
  // Guards against rounds that sort all backend servers for each task.
  it('compares each backend server once', () => {
    let freeReads = 0
    const targets = Array.from({ length: SERVERS }, (_, index): PlacementTarget => {
      const capacity = { processor: 32_000, memory: 64_000, accelerators: 8 }
      const free = { ...capacity, accelerators: 1 + (index * 5) % 8 }
      const server = new Server({ id: serverId(`server-${index}`), pool: poolName('pool'), address: '', failureDomain: 'north', capacity, labels: [], rack: '', isDraining: false, incarnation: 1 }, 0)
      return {
        server,
        get free () {
          freeReads += 1
          return free
        },
        set free (value) { Object.defineProperty(this, 'free', { value }) },
        tasksOf: NO_TASKS,
        tasksWithoutCheckpoints: index % 3
      }
    })
    const snapshot = new CapacitySnapshot(targets, new RoundWork())
    const state = new JobState(job('single', { acceptedUnder: epoch(1), steps: [step({ savesCheckpoints: false })] }), false)
    state.activate(Infinity)
    const chosen = placeTasks(snapshot, targets, state.steps[0]!, 1)
    // The first of those that run work of the same kind and have one accelerator left.
    expect(chosen?.map(({ server }) => server.id)).to.deep.equal(['server-8'])
    expect(freeReads).to.be.at.most(8 * SERVERS)
  })
})

describe('a snapshot of the capacity', () => {
  // Guards against rounds that index all backend servers for snapshots in which none is looked up.
  it('is indexed once a backend server is looked up', () => {
    let idReads = 0
    const targets = Array.from({ length: SERVERS }, (_, index): PlacementTarget => {
      const capacity = { processor: 32_000, memory: 64_000, accelerators: 8 }
      const entry = {
        get id () {
          idReads += 1
          return serverId(`server-${index}`)
        },
        pool: poolName('pool'),
        address: '',
        failureDomain: 'north',
        capacity,
        labels: [],
        rack: '',
        isDraining: false,
        incarnation: 1
      }
      return { server: new Server(entry, 0), free: capacity, tasksOf: NO_TASKS, tasksWithoutCheckpoints: 0 }
    })
    const snapshot = new CapacitySnapshot(targets, new RoundWork())
    expect(idReads).to.equal(0)
    expect(snapshot.targetOf(serverId('server-7'))).to.equal(targets[7])
    expect(snapshot.targetOf(serverId('server-40'))).to.equal(undefined)
    expect(idReads).to.equal(SERVERS)
  })
})
