/** Feasibility: whether a job could be placed if the cell were empty. */
import type { Shape } from '@cornelgauge/model'
import { addAmount, type Amount } from './amount.js'
import { findServer, type Server } from './capacity.js'
import { place, roomByRack } from './placement.js'
import { totalRoom } from './room.js'
import type { Job } from './interface.js'
import { guaranteesFor } from './site.js'
import { isReclaimable, type ScheduleState } from './state.js'

/**
 * Returns why a job can never be placed, or `undefined` if it can. The check uses
 * the backend servers that the settings declare, else all that have ever joined the
 * cell. While there are none of either, every well-formed shape is feasible.
 */
export function infeasibilityReason (state: ScheduleState, job: Job): string | undefined {
  if (!isValidShape(job.shape)) return 'a shape needs whole, non-negative numbers and at least one slot or accelerator'
  const { emptyCell } = state
  if (emptyCell.racks.length === 0) return undefined
  if (place(roomByRack(emptyCell, totalRoom), job.shape, 'first-fit') === undefined) {
    return 'the shape is larger than this cell can ever give at the adjacency asked for'
  }
  if (isReclaimable(state, job) || guaranteesFor(state, job).length > 0) return undefined
  if (place(roomByRack(emptyCell, server => unguaranteedAmount(state, server)), job.shape, 'first-fit') !== undefined) return undefined
  return 'work that cannot be stopped may not use the guarantees of other workspaces, and the rest is too small'
}

function unguaranteedAmount (state: ScheduleState, server: Server): Amount {
  const found = findServer(state.capacity, server.description.name)
  return found === undefined ? server.description : addAmount(server.description, found.guaranteed, -1)
}

function isValidShape (shape: Shape): boolean {
  const amounts = [shape.slots, shape.accelerators]
  return amounts.every(amount => Number.isInteger(amount) && amount >= 0) && shape.slots + shape.accelerators > 0
}
