/** Whether a job can ever be placed, judged on empty backend servers. */
import type { Shape } from '@cornelgauge/model'
import { addAmount, type Amount } from './amount.js'
import { findServer, type Server } from './capacity.js'
import { place, spotsOf } from './placement.js'
import { wholeAmount } from './room.js'
import type { Job } from './scheduler.js'
import { holdsFor } from './site.js'
import { isReclaimable, type ScheduleState } from './state.js'

/**
 * The rule that forbids a job for good, or `undefined` where it can be placed.
 * Judged on the declared backend servers where the settings name them, else on
 * all that were ever seen; where neither is known, nothing is forbidden.
 */
export function forbiddingRule (state: ScheduleState, job: Job): string | undefined {
  if (!isWellFormed(job.shape)) return 'a shape needs whole, non-negative numbers and at least one slot or accelerator'
  const { empty } = state
  if (empty.racks.length === 0) return undefined
  if (place(spotsOf(empty, wholeAmount), job.shape, 'first-fit') === undefined) {
    return 'the shape is larger than this cell can ever give at the adjacency asked for'
  }
  if (isReclaimable(state, job) || holdsFor(state, job).length > 0) return undefined
  if (place(spotsOf(empty, server => outsideGuarantees(state, server)), job.shape, 'first-fit') !== undefined) return undefined
  return 'work that cannot be stopped may not use the guarantees of other workspaces, and the rest is too small'
}

function outsideGuarantees (state: ScheduleState, server: Server): Amount {
  const found = findServer(state.capacity, server.description.name)
  return found === undefined ? server.description : addAmount(server.description, found.guaranteed, -1)
}

function isWellFormed (shape: Shape): boolean {
  const amounts = [shape.slots, shape.accelerators]
  return amounts.every(amount => Number.isInteger(amount) && amount >= 0) && shape.slots + shape.accelerators > 0
}
