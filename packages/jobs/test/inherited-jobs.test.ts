import { epoch } from '@cornelgauge/model'
import { expect } from 'chai'
import { jobId, Planner, runNumber, type JobProgress, type StoredJob, type TaskName } from '../src/index.js'
import { CONFIGURATION, job, World } from './world.js'

describe('planner', () => {
  describe('after a takeover', () => {
    const stored = (progress?: JobProgress): StoredJob => ({ job: job('a', { queue: 'urgent' }), isCancelled: false, ...(progress === undefined ? {} : { progress }) })

    // The registry drops entries while the store is down, and has them again up to 2 s after its return.
    describe('while the registry lacks the backend server that runs a job', () => {
      it('doesn\'t start the job elsewhere before the leases of the earlier owner have expired', () => {
        const world = new World(2)
        world.planner.submit(job('a', { queue: 'urgent' }))
        world.settle()
        const holder = world.serverRunning('a.0.0.0')!
        const others = world.servers.filter(server => server !== holder)
        const recorded = world.planner.serversToRecover(world.now)
        world.planner = new Planner(epoch(2), [stored()], { now: world.now, wallTime: world.wallTime })
        world.planner.inheritServers(recorded)
        world.planner.configure(CONFIGURATION)
        world.listServers(others.map(server => server.entry))
        world.settle()
        expect(world.starts).to.have.length(1)
        world.listServers()
        world.settle()
        expect(world.servers.filter(server => server.running.has('a.0.0.0'))).to.have.length(1)
      })
    })

    describe('when a backend server restarts before it has answered the new owner', () => {
      it('starts no job that an unanswered start of the earlier owner may still begin there', () => {
        const world = new World(2)
        world.pollServers()
        for (const server of world.servers) server.connectivity = 'delays-starts'
        world.planner.submit(job('a', { queue: 'urgent' }))
        world.round()
        const holder = world.servers.find(server => server.delayed.length > 0)!
        for (const server of world.servers) server.connectivity = 'answers'
        world.takeOver(2, [stored()])
        holder.connectivity = 'silent'
        holder.restart()
        world.listServers()
        world.pollServers()
        world.round()
        expect(world.starts).to.have.length(1)
      })
    })

    describe('when the last attempt of a task has failed before the configuration is known', () => {
      it('fails the job, and starts the task no more', () => {
        const world = new World(2)
        const [server] = world.servers
        const task = 'a.0.0.0' as TaskName
        const run = runNumber(1_000_002)
        world.planner = new Planner(epoch(2), [stored({ hasBegun: true, steps: { '0.0': { done: [], failed: { 0: [1_000_001] } } } })], { now: world.now, wallTime: world.wallTime })
        world.listServers()
        server!.ended = [{ position: 1, task, run, how: 'failed', checkpoint: '' }]
        world.pollServers()
        world.planner.configure(CONFIGURATION)
        world.settle()
        expect(world.starts).to.have.length(0)
        expect(world.planner.phaseOf(jobId('a'))).to.equal('failed')
      })
    })
  })
})
