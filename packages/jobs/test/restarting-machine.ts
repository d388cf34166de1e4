/** A machine of a simulation: its backend server restarts, is cut off, and reports itself to the registry. */
import { poolName, serverId, type ServerEntry, type ServerId } from '../src/index.js'
import { BackendProcess, type ProcessContext } from './backend-process.js'
import type { Machine, MessageNetwork } from './message-network.js'
import { WALL_TIME_AT_START } from './simulated-owner.js'
import type { SimulatedStore } from './simulated-store.js'

const HEARTBEAT_MILLISECONDS = 1500
const LONGEST_FIRST_HEARTBEAT_MILLISECONDS = 800
const LONGEST_LATE_WRITE_MILLISECONDS = 2500
const LONGEST_CLOCK_STEP_MILLISECONDS = 3_600_000
const ACCELERATORS = 4

/** How often a restart is an odd one. */
const SAME_SERVER_PROBABILITY = 0.9
const CLOCK_SET_BACK_PROBABILITY = 0.3
const CLOCK_GOES_ON_PROBABILITY = 0.3
const LATE_WRITE_PROBABILITY = 0.3

/** A machine with one backend server after the other. */
export class RestartingMachine implements Machine {
  readonly address: string
  readonly domain: number
  process: BackendProcess | undefined
  cutUntil = 0
  isHeldByCut = false
  isRefusing = true
  /** When its backend server, which drains, ends; undefined if it doesn't drain. */
  #endsAt: number | undefined
  /** It doesn't reach the registry before this time. */
  storeCutUntil = 0
  readonly #index: number
  readonly #context: ProcessContext
  readonly #network: MessageNetwork
  readonly #store: SimulatedStore
  readonly #incarnations = new Set<number>()
  #server: ServerId
  #lastClock = 0

  constructor (index: number, context: ProcessContext, network: MessageNetwork, store: SimulatedStore) {
    this.#index = index
    this.#context = context
    this.#network = network
    this.#store = store
    this.address = `10.0.0.${index}:80`
    this.domain = index % 2
    this.#server = serverId(`server-${index}`)
  }

  /** Starts the next process. */
  start (): void {
    const { random, time } = this.#context
    if (this.process !== undefined) return
    if (this.#incarnations.size > 0 && !random.chance(SAME_SERVER_PROBABILITY)) this.#server = serverId(`server-${this.#index}-${this.#incarnations.size}`)
    const setBack = this.#incarnations.size > 0 && random.chance(CLOCK_SET_BACK_PROBABILITY) ? random.below(LONGEST_CLOCK_STEP_MILLISECONDS) : 0
    let incarnation = Math.floor(WALL_TIME_AT_START + time.now) - setBack
    while (this.#incarnations.has(incarnation)) incarnation += 1
    this.#incarnations.add(incarnation)
    const clock = random.chance(CLOCK_GOES_ON_PROBABILITY) ? this.#lastClock + random.below(3000) : random.below(400_000)
    const process = new BackendProcess(this.#context, { server: this.#server, incarnation, accelerators: ACCELERATORS, clock: clock + 1, clockRate: random.pick([1, 1, 0.99, 0.98]) })
    this.process = process
    time.after(random.between(20, LONGEST_FIRST_HEARTBEAT_MILLISECONDS), () => this.#sendHeartbeats(process))
  }

  /** Ends the process. Its connections are reset, or stay open without an answer. */
  crash (isReset: boolean, isRefusing: boolean): void {
    const { process } = this
    if (process === undefined) return
    this.#lastClock = process.clock
    this.process = undefined
    this.#endsAt = undefined
    this.isRefusing = isRefusing
    process.crash()
    if (isReset) this.#network.reset(process)
  }

  /** Announces that its backend server ends, and ends it after some time. */
  drain (milliseconds: number): void {
    const { time } = this.#context
    const { process } = this
    if (process === undefined || this.#endsAt !== undefined) return
    this.#endsAt = time.now + milliseconds
    this.#register(process)
    time.after(milliseconds, () => { if (process.isUp) this.crash(true, true) })
  }

  #sendHeartbeats (process: BackendProcess): void {
    if (!process.isUp) return
    this.#register(process)
    this.#context.time.after(HEARTBEAT_MILLISECONDS, () => this.#sendHeartbeats(process))
  }

  #register (process: BackendProcess): void {
    const { random, time } = this.#context
    const entry = this.#entryOf(process)
    const delay = random.chance(LATE_WRITE_PROBABILITY) ? random.between(50, LONGEST_LATE_WRITE_MILLISECONDS) : random.between(1, 50)
    if (time.now >= this.storeCutUntil) time.after(delay, () => this.#store.register(entry))
  }

  #entryOf ({ server, incarnation }: BackendProcess): ServerEntry {
    return {
      id: server,
      pool: poolName('pool'),
      address: this.address,
      failureDomain: `domain-${this.domain}`,
      capacity: { processor: 32_000, memory: 64_000, accelerators: ACCELERATORS },
      labels: ['r1-0'],
      rack: 'r1-0',
      isDraining: this.#endsAt !== undefined,
      ...(this.#endsAt === undefined ? {} : { remainingMilliseconds: Math.max(0, this.#endsAt - this.#context.time.now) }),
      incarnation
    }
  }
}
