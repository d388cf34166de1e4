import { expect } from 'chai'
import { jobId, termsOf, type StoredJob } from '../src/index.js'
import { CONFIGURATION, job, World } from './world.js'

const [, long] = CONFIGURATION.queues
const LONG_TERMS = termsOf(long!)

// Guards against accepted jobs that never start once the owner has changed, since their queue was removed.
describe('a job of a queue that was removed before the owner changed', () => {
  const stored = (failed: readonly number[] = []): StoredJob => ({
    job: job('a', { queue: 'removed', terms: LONG_TERMS }),
    isCancelled: false,
    progress: { hasBegun: true, steps: { '0.0': { done: [], failed: { 0: failed } } } }
  })
  const phase = (world: World): string | undefined => world.planner.phaseOf(jobId('a'))

  it('is started under the terms of its acceptance', () => {
    const world = new World(2, { epoch: 2, stored: [stored()] })
    world.settle()
    expect(world.starts.map(start => start.task)).to.deep.equal(['a.0.0.0'])
    world.servers.find(server => server.running.size > 0)!.end('a.0.0.0', 'done')
    world.settle()
    expect(phase(world)).to.equal('completed')
  })

  it('fails once its attempts are used up', () => {
    const world = new World(2, { epoch: 2, stored: [stored([1, 2, 3])] })
    world.settle()
    world.servers.find(server => server.running.size > 0)!.end('a.0.0.0', 'failed')
    world.settle()
    expect(phase(world)).to.equal('failed')
    expect(world.starts).to.have.length(1)
  })

  it('follows the configuration where the queue is there', () => {
    const world = new World(2, { epoch: 2, stored: [{ ...stored([1]), job: job('a', { queue: 'urgent', terms: LONG_TERMS }) }] })
    world.settle()
    world.servers.find(server => server.running.size > 0)!.end('a.0.0.0', 'failed')
    world.settle()
    expect(phase(world)).to.equal('failed')
  })
})
