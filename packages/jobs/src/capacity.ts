/** Resource amounts: the capacity of backend servers and the needs of tasks. */

/** Processor in thousandths of a core, memory in MB, accelerators in whole devices. */
export interface Capacity {
  readonly processor: number
  readonly memory: number
  readonly accelerators: number
}

export const NO_CAPACITY: Capacity = { processor: 0, memory: 0, accelerators: 0 }

/**
 * True if `need` fits into `free`.
 *
 * @example
 * fits(free, { processor: 500, memory: 256, accelerators: 1 })
 */
export function fits (free: Capacity, need: Capacity): boolean {
  return need.processor <= free.processor && need.memory <= free.memory && need.accelerators <= free.accelerators
}

/**
 * Adds `right` to `left` this many times; negative `times` subtract.
 *
 * @example
 * addCapacity(free, need, -1) // what is left
 */
export function addCapacity (left: Capacity, right: Capacity, times = 1): Capacity {
  return {
    processor: left.processor + times * right.processor,
    memory: left.memory + times * right.memory,
    accelerators: left.accelerators + times * right.accelerators
  }
}

/**
 * Counts how many times `need` fits into `free`, at most `limit`.
 *
 * @example
 * timesFitting(free, need, 30)
 */
export function timesFitting (free: Capacity, need: Capacity, limit: number): number {
  return Math.max(0, Math.min(limit, ratio(free.processor, need.processor), ratio(free.memory, need.memory), ratio(free.accelerators, need.accelerators)))
}

/**
 * The dominant share of a need: its largest share of any resource of a backend server.
 *
 * @example
 * dominantShare({ processor: 13_000, memory: 34_000, accelerators: 1 }, capacity) // 0.52, by its memory
 */
export function dominantShare (need: Capacity, capacity: Capacity): number {
  return Math.max(shareOf(need.processor, capacity.processor), shareOf(need.memory, capacity.memory), shareOf(need.accelerators, capacity.accelerators))
}

function shareOf (need: number, total: number): number {
  return total === 0 ? 0 : need / total
}

/**
 * The maximum of two amounts, per resource.
 *
 * @example
 * servers.map(server => server.entry.capacity).reduce(largestOf)
 */
export function largestOf (left: Capacity, right: Capacity): Capacity {
  return {
    processor: Math.max(left.processor, right.processor),
    memory: Math.max(left.memory, right.memory),
    accelerators: Math.max(left.accelerators, right.accelerators)
  }
}

/**
 * True if two amounts are equal.
 *
 * @example
 * isSameCapacity(NO_CAPACITY, { processor: 0, memory: 0, accelerators: 0 }) // true
 */
export function isSameCapacity (left: Capacity, right: Capacity): boolean {
  return left.processor === right.processor && left.memory === right.memory && left.accelerators === right.accelerators
}

/**
 * Returns the present amounts, and the last known one of each resource that is absent at present.
 *
 * @example
 * orLastKnown({ processor: 0, memory: 64_000, accelerators: 8 }, last).processor // last.processor
 */
export function orLastKnown (present: Capacity, last: Capacity): Capacity {
  return {
    processor: present.processor > 0 ? present.processor : last.processor,
    memory: present.memory > 0 ? present.memory : last.memory,
    accelerators: present.accelerators > 0 ? present.accelerators : last.accelerators
  }
}

/**
 * Sums the free accelerators of several backend servers. One that has shrunk below what it
 * runs has none, but takes none from the others.
 *
 * @example
 * sumFreeAccelerators(servers.map(server => server.free))
 */
export function sumFreeAccelerators (amounts: readonly Capacity[]): number {
  return amounts.reduce((sum, { accelerators }) => sum + Math.max(0, accelerators), 0)
}

function ratio (free: number, need: number): number {
  if (need === 0) return free < 0 ? 0 : Infinity
  return Math.floor(free / need)
}
