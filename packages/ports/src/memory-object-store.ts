/**
 * The in-memory object store.
 */
import { systemClock, type Clock } from './clock.js'
import { FaultSwitch } from './fault-switch.js'
import type { ObjectStore } from './object-store.js'
import { countersOf, RateCounter, type ServiceCounters } from './rate-counter.js'

/**
 * An object store that keeps its objects in the memory of this process.
 *
 * @example
 * const objects = new MemoryObjectStore()
 * await objects.put('snapshots/praha/1', bytes)
 */
export class MemoryObjectStore implements ObjectStore {
  readonly faults: FaultSwitch
  readonly #objects = new Map<string, Uint8Array>()
  readonly #writes: RateCounter
  readonly #reads: RateCounter

  constructor (clock: Clock = systemClock) {
    this.faults = new FaultSwitch(clock)
    this.#writes = new RateCounter(clock)
    this.#reads = new RateCounter(clock)
  }

  get counters (): ServiceCounters {
    return countersOf(this.#writes, this.#reads)
  }

  put (name: string, content: Uint8Array): Promise<void> {
    return this.faults.apply('writes', () => {
      this.#writes.count()
      this.#objects.set(name, Uint8Array.from(content))
    })
  }

  get (name: string): Promise<Uint8Array | undefined> {
    return this.faults.apply('reads', () => {
      this.#reads.count()
      const content = this.#objects.get(name)
      return content === undefined ? undefined : Uint8Array.from(content)
    })
  }

  delete (name: string): Promise<void> {
    return this.faults.apply('writes', () => {
      this.#writes.count()
      this.#objects.delete(name)
    })
  }

  list (prefix: string): Promise<readonly string[]> {
    return this.faults.apply('reads', () => {
      this.#reads.count()
      return [...this.#objects.keys()].filter(name => name.startsWith(prefix)).sort()
    })
  }
}
