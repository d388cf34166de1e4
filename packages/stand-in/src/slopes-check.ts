/** Compares the costs that the slopes predict for the owner of one full-size cell with measured ones. */
import { CELL } from './capacity-size.js'
import type { Slope } from './slopes-measure.js'
import { processorMilliseconds } from './slopes-meter.js'
import { costOf } from './slopes-owner.js'
import { endedLedger, OwnerHarness, runningLedger } from './slopes-owner-harness.js'

/** A figure, predicted from the slopes and measured. */
export interface Check {
  readonly name: string
  readonly unit: string
  /** Absent if no slope predicts it. */
  readonly predicted?: number
  readonly measured: number
}

const SLOTS = 10
const DRIVERS = { 'owner-server': CELL.servers, 'owner-task': CELL.tasks, 'owner-kept': CELL.kept, 'owner-workspace': CELL.workspaces } as const

/** Predicts a cost of the owner of one full-size cell without waiting jobs. */
export function predictOwner (slopes: readonly Slope[], figure: 'heap' | 'processor'): number {
  const slopeOf = (name: string): number => slopes.find(slope => slope.name === `${name}/${figure}`)!.slope
  return Object.entries(DRIVERS).reduce((total, [name, size]) => total + Math.max(slopeOf(name), 0) * size, 0)
}

/** Builds the cell and measures the owner. */
export async function checkOwner (slopes: readonly Slope[]): Promise<readonly Check[]> {
  let joinMilliseconds = 0
  const { heap, processor } = await costOf(async () => {
    const ledger = runningLedger(CELL.tasks, CELL.servers).merge(endedLedger(CELL.kept).mapKeys(id => `${id}-ended` as typeof id))
    const harness = new OwnerHarness({ servers: CELL.servers, slots: SLOTS, accelerators: 2, workspaces: CELL.workspaces }, ledger)
    joinMilliseconds = await processorMilliseconds(() => { harness.joinServers() })
    return harness
  })
  return [
    { name: 'owner/heap', unit: 'bytes', predicted: predictOwner(slopes, 'heap'), measured: heap },
    { name: 'owner/processor', unit: 'ms/s', predicted: predictOwner(slopes, 'processor'), measured: processor },
    { name: 'owner/recovered runs joined', unit: 'ms', measured: joinMilliseconds }
  ]
}
