import { spawnSync } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { expect } from 'chai'
import { job, step, World } from './world.js'
import { TaskState } from '../src/task-state.js'

/** A fraction of the heap that an owner has on the users' platform, where the calls need the rest. */
const HEAP_MEGABYTES = 64
const PLAY = fileURLToPath(new URL('open-tasks-play.js', import.meta.url))
/** Open tasks in different shapes, and how many have run at least after the play; a chain of steps runs one of them at a time. */
const SHAPES = [
  ['few jobs of many tasks', 1000],
  ['many jobs of ordinary size', 1000],
  ['jobs of many steps of which one is ready', 1000],
  ['jobs of many occurrences of many steps', 200],
  ['jobs of many occurrences that are all due', 1000]
] as const
/** Time after which a play is considered hung, in milliseconds. */
const PLAY_TIMEOUT_MILLISECONDS = 120_000

describe('a planner with more open tasks than fit its pool', () => {
  // Guards against owners that end one after the other with their heaps full, so that no task of any job starts.
  describe('in a heap that holds no state for each of them', () => {
    for (const [shape, least] of SHAPES) {
      it(`runs ${shape}`, function () {
        this.timeout(PLAY_TIMEOUT_MILLISECONDS)
        const { status, stdout, stderr } = spawnSync(process.execPath, [`--max-old-space-size=${HEAP_MEGABYTES}`, PLAY, shape], { encoding: 'utf8', timeout: PLAY_TIMEOUT_MILLISECONDS })
        expect(status, stderr.slice(-2000)).to.equal(0)
        const { done, hasStartedFirst } = JSON.parse(stdout) as { done: number, hasStartedFirst: boolean }
        expect(done).to.be.above(least)
        expect(hasStartedFirst).to.equal(true)
      })
    }
  })

  // Guards against rounds of seconds, in which an owner renews nothing and is replaced.
  describe('in one round', () => {
    const TASKS = 100_000

    /** Counts the tasks that a round examines. */
    const tasksExamined = (world: World): number => {
      const isWaiting = Object.getOwnPropertyDescriptor(TaskState.prototype, 'isWaiting')!
      const isDone = Object.getOwnPropertyDescriptor(TaskState.prototype, 'isDone')!
      const seen = new Set<string>()
      const counted = (property: PropertyDescriptor): PropertyDescriptor => ({ ...property, get (this: TaskState) { seen.add(this.name); return property.get!.call(this) as unknown } })
      Object.defineProperty(TaskState.prototype, 'isWaiting', counted(isWaiting))
      Object.defineProperty(TaskState.prototype, 'isDone', counted(isDone))
      world.round()
      Object.defineProperty(TaskState.prototype, 'isWaiting', isWaiting)
      Object.defineProperty(TaskState.prototype, 'isDone', isDone)
      return seen.size
    }

    for (const [name, queue] of [['bulk work', 'bulk'], ['claims', 'urgent']] as const) {
      it(`examines the tasks that run or start, not all of ${name}`, () => {
        const world = new World(33)
        world.settle()
        for (const id of ['a', 'b']) world.planner.submit(job(id, { queue, workspace: 'brno', steps: [step({ count: TASKS, need: { processor: 4000, memory: 256, accelerators: 0 } })] }))
        world.round()
        const running = world.starts.length
        expect(running).to.be.above(200)
        expect(tasksExamined(world)).to.be.below(2 * running)
      })
    }
  })
})
