/** Amounts of what a backend server has and a task needs. */

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
 * `left` with `times` of `right` added.
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
 * How many of `need` fit into `free` side by side, at most `limit`.
 *
 * @example
 * timesFitting(free, need, 30)
 */
export function timesFitting (free: Capacity, need: Capacity, limit: number): number {
  return Math.max(0, Math.min(limit, ratio(free.processor, need.processor), ratio(free.memory, need.memory), ratio(free.accelerators, need.accelerators)))
}

function ratio (free: number, need: number): number {
  if (need === 0) return free < 0 ? 0 : Infinity
  return Math.floor(free / need)
}
