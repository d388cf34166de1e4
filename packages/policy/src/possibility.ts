/** Whether a shape can ever be placed, judged on empty backend servers. */
import type { Shape } from '@cornelgauge/model'
import { arrangeServers, emptyServer, freeAmount } from './capacity.js'
import { place, spotsOf } from './placement.js'
import type { ServerDescription } from './scheduler.js'
import type { ScheduleState } from './state.js'

/**
 * The rule that forbids a shape for good, or `undefined` where it can be placed.
 * Judged on the declared backend servers where the settings name them, else on
 * all that were ever seen; where neither is known, nothing is forbidden.
 */
export function forbiddingRule (state: ScheduleState, shape: Shape): string | undefined {
  if (!isWellFormed(shape)) return 'a shape needs whole, non-negative numbers and at least one slot or accelerator'
  const servers = knownServers(state)
  if (servers.length === 0) return undefined
  const spots = spotsOf(arrangeServers(servers.map(emptyServer)), freeAmount)
  if (place(spots, shape, 'first-fit') !== undefined) return undefined
  return 'the shape is larger than this cell can ever give at the adjacency asked for'
}

function knownServers (state: ScheduleState): readonly ServerDescription[] {
  return state.settings.declaredServers ?? [...state.known.values()]
}

function isWellFormed (shape: Shape): boolean {
  const amounts = [shape.slots, shape.accelerators]
  return amounts.every(amount => Number.isInteger(amount) && amount >= 0) && shape.slots + shape.accelerators > 0
}
