/** Changes the capacity of in-memory backend servers, and records the starts that exceed it. */
import { addCapacity, fits, largestOf, NO_CAPACITY } from '../src/capacity.js'
import type { Capacity, Command, Job, StartCommand } from '../src/index.js'
import type { FakeServer, World } from './world.js'

/** A capacity, and from when on a backend server has had it. */
interface CapacityChange {
  readonly from: number
  readonly capacity: Capacity
}

/**
 * Compares each start with what its backend server really runs, including runs that are being
 * stopped and runs that the planner doesn't know, whether it guards its capacity or not.
 */
export class CapacityRecord {
  /** Starts after which a backend server ran more than its capacity. */
  readonly violations: string[] = []
  readonly #world: World
  readonly #graceMilliseconds: number
  readonly #jobs = new Map<string, Job>()
  readonly #changes = new Map<FakeServer, CapacityChange[]>()
  readonly #sentAt = new Map<StartCommand, number>()

  /** A capacity that has shrunk counts only after the grace. */
  constructor (world: World, graceMilliseconds = 0) {
    this.#world = world
    this.#graceMilliseconds = graceMilliseconds
    for (const server of world.servers) {
      this.#changes.set(server, [{ from: -Infinity, capacity: server.capacity }])
      server.onRunStarted = command => this.#check(server, command)
    }
  }

  /** Submits jobs, whose needs it remembers. */
  submit (...jobs: readonly Job[]): void {
    for (const job of jobs) {
      this.#jobs.set(job.id, job)
      this.#world.planner.submit(job)
    }
  }

  /** Changes resources of a backend server; the registry shows the change from the next listing on. */
  resize (server: FakeServer, resources: Partial<Capacity>): void {
    server.capacity = { ...server.capacity, ...resources }
    this.#changes.get(server)!.push({ from: this.#world.now, capacity: server.capacity })
  }

  /** Runs a round of the world, and remembers when its starts were sent. */
  round (milliseconds?: number): readonly Command[] {
    const commands = this.#world.round(milliseconds)
    for (const command of commands) if (command.type === 'start') this.#sentAt.set(command, this.#world.now)
    return commands
  }

  /** What the runs of a backend server use, including those that are being stopped. */
  usedOn (server: FakeServer): Capacity {
    return [...server.running.keys()].reduce((used, task) => addCapacity(used, this.#needOf(task)), NO_CAPACITY)
  }

  #check (server: FakeServer, command: StartCommand): void {
    const used = this.usedOn(server)
    const counted = this.#countedCapacity(server, this.#sentAt.get(command) ?? this.#world.now)
    if (fits(counted, used)) return
    this.violations.push(`${command.task} on ${server.entry.id} at ${this.#world.now}: ${JSON.stringify(used)} of ${JSON.stringify(counted)}`)
  }

  /** The most that a backend server had between the grace before a start was sent and now. */
  #countedCapacity (server: FakeServer, sentAt: number): Capacity {
    const changes = this.#changes.get(server)!
    return changes
      .filter((_, index) => (changes[index + 1]?.from ?? Infinity) > sentAt - this.#graceMilliseconds)
      .reduce((largest, { capacity }) => largestOf(largest, capacity), NO_CAPACITY)
  }

  #needOf (task: string): Capacity {
    const [job, , step] = task.split('.')
    const specification = this.#jobs.get(job!)!.steps[Number(step)]!
    return specification.fillsIdleProcessor ? { ...specification.need, processor: 0 } : specification.need
  }
}
