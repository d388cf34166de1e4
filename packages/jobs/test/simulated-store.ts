/** The store of a simulation: jobs, their progress, the registry, and what owners record for the next one. */
import type { Job, JobId, ServerEntry, ServerId } from '../src/index.js'
import type { OwnerLoop } from './owner-loop.js'
import type { SeededRandom, VirtualTime } from './virtual-time.js'

/** How long an entry of the registry stays without a heartbeat. */
const ENTRY_EXPIRY_MILLISECONDS = 4500
const CALL_TIMEOUT_MILLISECONDS = 800

/** Bounds of the runs on a backend server, on the store's clock. */
export interface StoredBounds {
  readonly until: number
  readonly lastEpoch: number
}

/** The record of backend servers. */
export interface ServersRow {
  readonly by: number
  readonly ids: readonly ServerId[]
  readonly unreached: ReadonlyMap<ServerId, StoredBounds>
  readonly settled: { readonly upTo: number, readonly ids: ReadonlySet<ServerId> }
}

/** The period in which starts are recorded. */
export interface PeriodRow {
  readonly under: number
  readonly until: number
  readonly unrecorded?: { readonly upTo: number, readonly until: number }
}

/** How often calls to the store fare badly. */
export interface StoreFaults {
  readonly answerLost: number
  readonly slow: number
}

/**
 * A store whose writes depend on the epoch of their owner.
 *
 * @example
 * store.call(loop, epoch, () => store.progress.set(id, text), outcome => {})
 */
export class SimulatedStore {
  epoch = 0
  isDown = false
  faults: StoreFaults = { answerLost: 0, slow: 0 }
  readonly jobs = new Map<JobId, Job>()
  readonly cancelled = new Set<JobId>()
  /** Failure domains that the operators have ordered to be evacuated. */
  readonly evacuated = new Set<string>()
  readonly progress = new Map<JobId, string>()
  servers: ServersRow | undefined
  period: PeriodRow | undefined
  readonly #registry = new Map<ServerId, { readonly entry: ServerEntry, readonly writtenAt: number }>()
  readonly #time: VirtualTime
  readonly #random: SeededRandom

  constructor (time: VirtualTime, random: SeededRandom) {
    this.#time = time
    this.#random = random
  }

  /** Writes a backend server's entry of the registry. */
  register (entry: ServerEntry): void {
    if (!this.isDown) this.#registry.set(entry.id, { entry, writtenAt: this.#time.now })
  }

  /** The last entry of a backend server. */
  entryOf (id: ServerId): ServerEntry | undefined {
    return this.#registry.get(id)?.entry
  }

  get entries (): readonly ServerEntry[] {
    return [...this.#registry.values()].filter(({ writtenAt }) => this.#time.now - writtenAt < ENTRY_EXPIRY_MILLISECONDS).map(({ entry }) => entry)
  }

  /** Carries out a call of an owner: `done`, `fenced` if another one has claimed since, or `failed`, which may have taken effect. */
  call (loop: OwnerLoop, epoch: number, action: () => void, use: (outcome: 'done' | 'fenced' | 'failed') => void): void {
    const delay = (): number => this.#random.chance(this.faults.slow) ? this.#random.between(20, 400) : this.#random.between(1, 5)
    let isOpen = true
    const finish = (outcome: 'done' | 'fenced' | 'failed'): void => {
      if (!isOpen) return
      isOpen = false
      cancel()
      use(outcome)
    }
    const cancel = loop.after(CALL_TIMEOUT_MILLISECONDS, () => finish('failed'))
    this.#time.after(delay(), () => {
      if (this.isDown) return
      const outcome = epoch === this.epoch ? 'done' : 'fenced'
      if (outcome === 'done') action()
      if (!this.#random.chance(this.faults.answerLost)) this.#time.after(delay(), () => loop.post(() => finish(outcome)))
    })
  }
}
