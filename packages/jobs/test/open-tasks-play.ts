/** Plays a pool with many open tasks in a process of its own, whose heap the caller limits: prints the number of tasks that have run. */
import { taskName, type Job } from '../src/index.js'
import { job, step, World } from './world.js'

const NEED = { processor: 4000, memory: 256, accelerators: 0 }
const idsOf = (count: number): readonly string[] => Array.from({ length: count }, (_, index) => `job-${index}`)

/** Open tasks in different shapes. */
const SHAPES: Readonly<Record<string, () => readonly Job[]>> = {
  'few jobs of many tasks': () => idsOf(10).map(id => job(id, { steps: [step({ count: 100_000, need: NEED })] })),
  'many jobs of ordinary size': () => idsOf(3000).map(id => job(id, { steps: [step({ count: 128, need: NEED })] })),
  'jobs of many steps of which one is ready': () => idsOf(100).map(id => job(id, { steps: Array.from({ length: 250 }, (_, index) => step({ count: 400, need: NEED, after: index === 0 ? [] : [index - 1] })) })),
  'jobs of many occurrences of many steps': () => idsOf(20).map(id => job(id, { steps: Array.from({ length: 300 }, (_, index) => step({ need: NEED, after: index === 0 ? [] : [index - 1] })), schedule: { occurrences: 333, startAt: 0, intervalMilliseconds: 1 } })),
  'jobs of many occurrences that are all due': () => idsOf(10).map(id => job(id, { steps: [step({ need: NEED })], schedule: { occurrences: 100_000, startAt: 0, intervalMilliseconds: 1 } }))
}

/** Rounds of ten milliseconds; each start takes two of them. */
const ROUNDS = 12

const [shape = ''] = process.argv.slice(2)
const jobs = SHAPES[shape]!()
const world = new World(33, { stored: jobs.map(each => ({ job: each, isCancelled: false })), epoch: 2 })
world.settle()
let done = 0
for (let round = 0; round < ROUNDS; round += 1) {
  world.settle(1)
  for (const server of world.servers) {
    for (const task of [...server.running.keys()]) {
      server.end(task, 'done')
      done += 1
    }
  }
  // What was stored has to be readable by a later owner with the same heap.
  for (const id of world.planner.unstoredJobs.keys()) world.planner.progressOf(id)
}
const first = taskName({ job: jobs[0]!.id, occurrence: 0, step: 0, index: 0 })
process.stdout.write(JSON.stringify({ done, hasStartedFirst: world.starts.some(({ task }) => task === first) }))
