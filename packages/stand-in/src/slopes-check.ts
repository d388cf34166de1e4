/** Checks the slopes of the owner at one whole cell of the size: predicted against measured. */
import { CELL } from './capacity-size.js'
import type { Slope } from './slopes-measure.js'
import { processorMilliseconds } from './slopes-meter.js'
import { costOf } from './slopes-owner.js'
import { endedLedger, OwnerWorld, runningLedger } from './slopes-owner-world.js'

/** One figure, predicted from the slopes and measured. */
export interface Check {
  readonly name: string
  readonly unit: string
  /** Missing where no slope tells it. */
  readonly predicted?: number
  readonly measured: number
}

const SLOTS = 10
const DRIVERS = { 'owner-server': CELL.servers, 'owner-task': CELL.tasks, 'owner-kept': CELL.kept, 'owner-workspace': CELL.workspaces } as const

/** What the slopes say of the owner of one whole cell without waiting jobs. */
export function predictOwner (slopes: readonly Slope[], figure: 'heap' | 'processor'): number {
  const slopeOf = (name: string): number => slopes.find(slope => slope.name === `${name}/${figure}`)!.slope
  return Object.entries(DRIVERS).reduce((total, [name, size]) => total + Math.max(slopeOf(name), 0) * size, 0)
}

/** Builds the cell, and measures it. */
export async function checkOwner (slopes: readonly Slope[]): Promise<readonly Check[]> {
  let joining = 0
  const { heap, processor } = await costOf(async () => {
    const ledger = runningLedger(CELL.tasks, CELL.servers).merge(endedLedger(CELL.kept).mapKeys(id => `${id}-ended` as typeof id))
    const world = new OwnerWorld({ servers: CELL.servers, slots: SLOTS, accelerators: 2, workspaces: CELL.workspaces }, ledger)
    joining = await processorMilliseconds(() => { world.join() })
    return world
  })
  return [
    { name: 'owner/heap', unit: 'bytes', predicted: predictOwner(slopes, 'heap'), measured: heap },
    { name: 'owner/processor', unit: 'ms/s', predicted: predictOwner(slopes, 'processor'), measured: processor },
    { name: 'owner/recovered runs joined', unit: 'ms', measured: joining }
  ]
}
