import { expect } from 'chai'
import { encodeProgress, jobId } from '../src/index.js'
import { STUCK_MILLISECONDS } from '../src/limits.js'
import { entriesRead } from './iteration-meter.js'
import { job, step, World, type FakeServer } from './world.js'

const SERVERS = 33
/** Tasks of the jobs that are compared: in both, more than a row lists with their backend servers. */
const FEW_TASKS = 6000
const MANY_TASKS = 24_000
/** Steps among which the tasks of the job are divided, in occurrences that are all due. */
const OCCURRENCES = 12
/** By how much the count for many tasks may exceed that for few: some index may have a level more. */
const MARGIN = 200

/** A world in which all tasks of one job run. */
function runningWorld (tasks: number, occurrences = OCCURRENCES): World {
  const world = new World(SERVERS)
  world.settle()
  const need = { processor: 10, memory: 10, accelerators: 0 }
  world.planner.submit(job('a', { steps: [step({ count: tasks / occurrences, need })], schedule: { occurrences, startAt: 0, intervalMilliseconds: 1 } }))
  while (world.starts.length < tasks) world.settle(1)
  world.settle()
  return world
}

/** Ends a task as completed. */
function endOne (server: FakeServer): void {
  const [task] = server.running.keys()
  server.end(task!, 'done')
}

function crashThird (world: World): void {
  for (const server of world.servers.filter((_, index) => index % 3 === 0)) server.crash(world.now + 100)
  const { runs } = world.planner.load
  while (world.planner.load.runs === runs) world.settle(1)
  while (world.planner.load.runs < runs) world.settle(1)
}

/** Has all tasks progress but those that stand still. */
function progress (world: World, percent: number, standing: readonly string[]): void {
  for (const { running } of world.servers) {
    for (const run of running.values()) if (!standing.includes(run.task)) running.set(run.task, { ...run, percent })
  }
  world.pollServers()
}

const write = (world: World): void => {
  for (const id of world.planner.unstoredJobs.keys()) encodeProgress(world.planner.progressOf(id)!)
  world.planner.markStored(world.planner.unstoredJobs)
}

/** What is done in a world, after what has happened there. */
const CHANGES: Readonly<Record<string, { readonly prepare: (world: World) => void, readonly change: (world: World) => void }>> = {
  'a round in which nothing is due': { prepare: () => {}, change: world => { world.round() } },
  'a round that starts one task': {
    prepare: world => {
      endOne(world.servers[0]!)
      world.pollServers()
      world.planner.submit(job('b', { steps: [step({ accelerators: 0, need: { processor: 10, memory: 10, accelerators: 0 } })] }))
    },
    change: world => { world.round() }
  },
  'a write after an end': {
    prepare: world => {
      endOne(world.servers[0]!)
      world.pollServers()
    },
    change: write
  },
  'a round after a third of the tasks was lost': { prepare: crashThird, change: world => { world.round() } },
  'a write after a third of the tasks was lost': {
    prepare: world => {
      crashThird(world)
      endOne(world.servers[1]!)
      world.pollServers()
    },
    change: write
  },
  'a round in which one of many stops is due': {
    prepare: world => {
      for (const server of world.servers) server.stopsSlowly = true
      world.planner.cancel(jobId('a'), world.wallTime)
      world.round()
    },
    change: world => { world.round() }
  },
  'a summary of the load': { prepare: () => {}, change: world => { expect(world.planner.load.runs).to.be.above(0) } }
}

// Guards against owners that slow down as a large job starts, and then find live backend servers unreachable: each round and each write went over all tasks of the job.
describe('the work for one change of a job', function () {
  // The worlds are built by many rounds; their time depends on the machine alone.
  this.timeout(120_000)

  for (const [name, { prepare, change }] of Object.entries(CHANGES)) {
    it(`doesn't grow with the tasks that run: ${name}`, () => {
      const [few, many] = [FEW_TASKS, MANY_TASKS].map(tasks => {
        const world = runningWorld(tasks)
        prepare(world)
        return entriesRead(() => change(world))
      }) as [number, number]
      expect(many).to.be.below(few + MARGIN)
    })
  }

  it('doesn\'t grow with the tasks of a step of which runs stand still on two backend servers', () => {
    const [few, many] = [OCCURRENCES, 1].map(occurrences => {
      const world = runningWorld(FEW_TASKS, occurrences)
      const standing = world.servers.slice(0, 2).map(({ running }) => [...running.keys()][0]!)
      progress(world, 50, [])
      for (let percent = 51; percent <= 60; percent += 1) {
        world.round((STUCK_MILLISECONDS - 1) / 10)
        progress(world, percent, standing)
      }
      return entriesRead(() => { expect(world.round().filter(({ type }) => type === 'stop')).to.have.lengthOf(2) })
    }) as [number, number]
    expect(many).to.be.below(few + MARGIN)
  })
})
