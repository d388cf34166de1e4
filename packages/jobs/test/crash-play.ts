/** Plays a world in which tasks crash backend servers, step by step. */
import { decodeProgress, encodeProgress, jobId, serverId, type Job, type StoredJob } from '../src/index.js'
import { FakeServer, type World } from './world.js'

const STEP_MILLISECONDS = 50

/** How a world is played. */
export interface PlayOptions {
  /** How long tasks run that crash nothing, in milliseconds. */
  readonly workMilliseconds?: number
  /** Called after each step. */
  readonly afterStep?: () => void
}

/**
 * Plays a world for some time; tasks that crash nothing complete.
 *
 * @example
 * play(world, 20_000, { workMilliseconds: 1000 })
 */
export function play (world: World, milliseconds: number, { workMilliseconds = Infinity, afterStep }: PlayOptions = {}): void {
  const end = world.now + milliseconds
  while (world.now < end) {
    world.settle(1)
    world.now += STEP_MILLISECONDS - 20
    for (const server of world.servers) {
      for (const { task, run } of [...server.running.values()]) {
        if (world.now - server.startedAt(task, run, world.now) >= workMilliseconds && !world.deadlyTasks.has(task)) server.end(task, 'done')
      }
    }
    afterStep?.()
  }
}

/**
 * Counts the run numbers under which a task was started.
 *
 * @example
 * runsOf(world, 'a.0.0.0')
 */
export function runsOf (world: World, task: string): number {
  return new Set(world.starts.filter(start => start.task === task).map(start => start.run)).size
}

/**
 * Returns a job as the next owner loads it.
 *
 * @example
 * world.takeOver(2, [storedJob(world, work)])
 */
export function storedJob (world: World, job: Job): StoredJob {
  const progress = world.planner.progressOf(jobId(job.id))
  return { job, isCancelled: false, ...(progress === undefined ? {} : { progress: decodeProgress(encodeProgress(progress)) }) }
}

/**
 * Lists a new backend server at the address of one that is gone for good.
 *
 * @example
 * replaceServer(world, crashed)
 */
export function replaceServer (world: World, gone: FakeServer): FakeServer {
  const replacement = new FakeServer({ ...gone.entry, id: serverId(`${gone.entry.id}-next`) })
  replacement.incarnation = gone.incarnation
  gone.backAt = Infinity
  world.servers.push(replacement)
  return replacement
}
