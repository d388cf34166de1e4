import { expect } from 'chai'
import { jobId, LEASE_MILLISECONDS, serverId, type Job } from '../src/index.js'
import { play, storedJob } from './crash-play.js'
import { CONFIGURATION, job, step, World, type FakeServer } from './world.js'

const phase = (world: World, id = 'a'): string | undefined => world.planner.phaseOf(jobId(id))
/** The crashes that count; undefined if there are none. */
const lossesOf = (world: World): unknown => {
  const crashes = world.planner.progressOf(jobId('a'))?.steps['0.0']?.crashes ?? {}
  return Object.keys(crashes).length === 0 ? undefined : crashes
}

const started = (work: Job = job('a')): { readonly world: World, readonly server: FakeServer } => {
  const world = new World(4)
  world.planner.submit(work)
  play(world, 1000)
  return { world, server: world.serverRunning('a.0.0.0')! }
}

describe('a loss of a run', () => {
  it('counts if its backend server has crashed', () => {
    const { world, server } = started()
    server.crash(world.now + world.crashMilliseconds)
    play(world, 6000)
    expect(lossesOf(world)).to.have.property('0').with.length(1)
  })

  it('doesn\'t count if its backend server was drained before it left', () => {
    const { world, server } = started()
    world.listServers(world.entries.map(entry => entry.id === server.entry.id ? { ...entry, isDraining: true, remainingMilliseconds: 1000 } : entry))
    play(world, 200)
    server.crash(Infinity)
    world.listServers(world.entries.filter(({ id }) => id !== server.entry.id))
    play(world, LEASE_MILLISECONDS + 5000)
    expect(lossesOf(world)).to.equal(undefined)
  })

  it('doesn\'t count if its stop was confirmed before the crash', () => {
    const { world, server } = started()
    server.stopsSlowly = true
    world.planner.submit(job('b'))
    world.planner.cancel(jobId('a'), world.wallTime)
    play(world, 200)
    server.crash(world.now + world.crashMilliseconds)
    play(world, 6000)
    expect(lossesOf(world)).to.equal(undefined)
  })

  for (const how of ['failed', 'lapsed', 'broken'] as const) {
    it(`doesn't count if it had ended ${how} before the crash`, () => {
      const { world, server } = started()
      server.end('a.0.0.0', how)
      world.pollServers()
      server.crash(world.now + world.crashMilliseconds)
      play(world, 6000)
      expect(lossesOf(world)).to.equal(undefined)
    })
  }

  it('doesn\'t count again when the next owner learns of the restart', () => {
    const work = job('a')
    const { world, server } = started(work)
    server.crash(world.now + 300)
    play(world, 700)
    const before = lossesOf(world)
    expect(before).to.have.property('0').with.length(1)
    world.takeOver(2, [storedJob(world, work)])
    play(world, 1000)
    expect(lossesOf(world)).to.deep.equal(before)
  })

  // Guards against a task that is isolated for runs which were only cut off.
  describe('that was only cut off, while another backend server was registered at its address', () => {
    const taskLosses = (world: World): unknown => world.planner.progressOf(jobId('a'))!.steps['0.0']

    /** The next owner finds the runs of a job on a backend server which the last one took for replaced. */
    const foundAgain = (work: Job, ...lostTasks: readonly string[]): World => {
      const { world } = started(work)
      const cut = lostTasks.map(task => world.serverRunning(task)!)
      for (const server of cut) server.connectivity = 'silent'
      play(world, 200)
      const replacements = cut.map(({ entry }) => ({ ...entry, id: serverId(`${entry.id}-next`) }))
      world.listServers([...world.entries, ...replacements])
      expect(taskLosses(world)).to.deep.include({ lost: { 0: [1_000_001] } })
      for (const server of cut.slice(0, 1)) server.connectivity = 'answers'
      world.takeOver(2, [storedJob(world, work)])
      play(world, 200)
      return world
    }

    it('doesn\'t count any longer once the next owner finds it', () => {
      expect(taskLosses(foundAgain(job('a'), 'a.0.0.0'))).not.to.have.property('lost')
    })

    it('counts on if only one of two members of a gang is found that were lost', () => {
      const gang = job('a', { steps: [step({ count: 2, accelerators: 8, isGang: true })] })
      expect(taskLosses(foundAgain(gang, 'a.0.0.0', 'a.0.0.1'))).to.deep.include({ lost: { 0: [1_000_001] } })
    })
  })

  it('has no known age if another owner started it', () => {
    const work = job('a')
    const { world, server } = started(work)
    world.takeOver(2, [storedJob(world, work)])
    play(world, 100)
    server.crash(world.now + world.crashMilliseconds)
    play(world, 6000)
    expect(lossesOf(world)).to.deep.equal({ 0: [[1_000_001, null]] })
  })
})

describe('the ends that count as attempts', () => {
  const work = job('a')
  const configured = (attempts: number): typeof CONFIGURATION => ({ ...CONFIGURATION, queues: CONFIGURATION.queues.map(queue => ({ ...queue, attempts })) })
  const fail = (world: World): void => {
    world.serverRunning('a.0.0.0')!.end('a.0.0.0', 'failed')
    play(world, 1000)
  }
  const failuresOf = (world: World): unknown => world.planner.progressOf(jobId('a'))?.steps['0.0']?.failed['0']

  it('are the same number when the next owner lists them again', () => {
    const { world, server } = started(work)
    server.end('a.0.0.0', 'failed')
    const listed = server.ended
    world.pollServers()
    const stored = storedJob(world, work)
    server.ended = listed
    world.takeOver(2, [stored])
    play(world, 1000)
    expect(failuresOf(world)).to.deep.equal([1_000_001])
  })

  it('are kept if the configuration lowers their number, and fail the job with the next one', () => {
    const { world } = started(work)
    fail(world)
    fail(world)
    world.planner.configure(configured(3))
    play(world, 500)
    expect(phase(world)).to.equal('running')
    fail(world)
    expect(phase(world)).to.equal('failed')
  })

  it('leave a job failed if the configuration raises their number, also for the next owner', () => {
    const { world } = started(work)
    for (let time = 0; time < 4; time += 1) fail(world)
    expect(phase(world)).to.equal('failed')
    const stored = storedJob(world, work)
    world.planner.configure(configured(9))
    play(world, 500)
    expect(phase(world)).to.equal('failed')
    world.takeOver(2, [stored])
    world.planner.configure(configured(9))
    play(world, 500)
    expect(phase(world)).to.equal('failed')
  })

  it('don\'t include runs that ended otherwise', () => {
    const { world } = started(work)
    for (const how of ['lapsed', 'broken', 'stopped', 'lapsed', 'broken'] as const) {
      world.serverRunning('a.0.0.0')!.end('a.0.0.0', how)
      play(world, 1000)
    }
    expect(failuresOf(world)).to.equal(undefined)
    expect(phase(world)).to.equal('running')
  })

  it('that reach the number lowered before the owner changes fail the job, none less', () => {
    const { world } = started(work)
    fail(world)
    fail(world)
    const stored = storedJob(world, work)
    world.takeOver(2, [stored])
    world.planner.configure(configured(3))
    play(world, 1000)
    expect(phase(world)).to.equal('running')
    expect(failuresOf(world)).to.deep.equal([1_000_001, 1_000_002])
  })
})
