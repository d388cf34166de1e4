/** Plays work on in-memory backend servers that differ in speed. */
import { SeededRandom } from './seeded-random.js'
import { CONFIGURATION, type FakeServer, type World } from './world.js'

const STEP_MILLISECONDS = 100
/** Polls are this many steps apart. */
const STEPS_PER_POLL = 10

/** Urgent work with a stretch of 1.5, all other with 3. */
export const UNEVEN_CONFIGURATION = { ...CONFIGURATION, queues: CONFIGURATION.queues.map(queue => ({ ...queue, stretch: queue.priority === 0 ? 1.5 : 3 })) }

/** Advances the runs of a world by the speeds of their backend servers. */
export class UnevenPlay {
  readonly world: World
  /** How many times as long as usual a task takes on each backend server. */
  readonly slowness = new Map<FakeServer, number>()
  /** Run time on a usual backend server of the tasks for which it isn't drawn, in milliseconds. */
  readonly workMilliseconds = new Map<string, number>()
  readonly #done = new Map<string, number>()
  readonly #random: SeededRandom
  readonly #meanMilliseconds: number
  #steps = 0

  constructor (world: World, slowness: readonly number[], options: { readonly meanMilliseconds: number, readonly seed: number }) {
    this.world = world
    this.#random = new SeededRandom(options.seed)
    this.#meanMilliseconds = options.meanMilliseconds
    world.servers.forEach((server, index) => this.slowness.set(server, slowness[index % slowness.length]!))
    world.planner.configure(UNEVEN_CONFIGURATION)
    world.settle()
  }

  play (milliseconds: number): void {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MILLISECONDS) {
      const { world } = this
      this.#steps += 1
      for (const server of world.servers) this.#work(server)
      world.round(STEP_MILLISECONDS)
      world.pollServers(world.servers.filter((server, index) => server.ended.length > 0 || index % STEPS_PER_POLL === this.#steps % STEPS_PER_POLL))
      world.planner.markStored(world.planner.unstoredJobs)
    }
  }

  /** The believed slowness of a backend server. */
  believed (index: number): number {
    return Math.exp(this.world.planner.speedOf(this.world.servers[index]!.entry.id)!.logSlowness)
  }

  /** The root of the mean square of the errors of the believed logarithms, where the usual slowness is 1. */
  get error (): number {
    const squares = this.world.servers.map((server, index) => Math.log(this.believed(index) / this.slowness.get(server)!) ** 2)
    return Math.sqrt(squares.reduce((sum, square) => sum + square) / squares.length)
  }

  #work (server: FakeServer): void {
    for (const [task, entry] of server.running) {
      const key = `${task}#${entry.run}`
      const work = this.workMilliseconds.get(task) ?? this.#meanMilliseconds * (0.85 + this.#random.below(300) / 1000)
      this.workMilliseconds.set(task, work)
      const done = (this.#done.get(key) ?? 0) + STEP_MILLISECONDS / this.slowness.get(server)!
      this.#done.set(key, done)
      if (done >= work) server.end(task, 'done')
      else server.running.set(task, { ...entry, percent: Math.floor(100 * done / work) })
    }
  }
}
