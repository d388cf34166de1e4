/** What an owner has to bear, for logs and metrics. */
import { getHeapStatistics } from 'node:v8'
import type { PlannerLoad } from '@cornelgauge/jobs'

const MEGABYTE = 2 ** 20

/** The load of an owner. */
export interface OwnerLoad extends PlannerLoad {
  /** Accepted jobs that wait in the store. */
  readonly jobsWaiting: number
  readonly heapMegabytes: number
  /** The process ends when its heap has reached this. */
  readonly heapLimitMegabytes: number
}

/**
 * Adds what the planner doesn't know to its load.
 *
 * @example
 * ownerLoad(planner.load, intake.waitingCount).heapLimitMegabytes
 */
export function ownerLoad (planner: PlannerLoad, jobsWaiting: number): OwnerLoad {
  const { used_heap_size: used, heap_size_limit: limit } = getHeapStatistics()
  return { ...planner, jobsWaiting, heapMegabytes: Math.round(used / MEGABYTE), heapLimitMegabytes: Math.round(limit / MEGABYTE) }
}
