/** The cell owner's step against its drivers. */
import { CornelgaugeError } from '@cornelgauge/model'
import type { Measure } from './slopes-measure.js'
import { keptBytes, processorMilliseconds } from './slopes-meter.js'
import { endedLedger, OwnerWorld, runningLedger, type CellSizes } from './slopes-owner-world.js'

const SECONDS = 2
const BURST_REQUESTS = 40
/** Ticks in which every request of a burst is accepted, started and finished. */
const BURST_TICKS = 4
const CELL: CellSizes = { servers: 32, slots: 64, accelerators: 8, workspaces: 8 }
const UNITS = { heap: 'bytes', processor: 'ms/s' } as const

/** Heap that the owner keeps, and its processor time for each second that passes. */
export async function costOf (make: () => OwnerWorld | Promise<OwnerWorld>): Promise<{ readonly heap: number, readonly processor: number }> {
  const { bytes, value } = await keptBytes(make)
  const taken = await processorMilliseconds(() => { for (let second = 0; second < SECONDS; second++) value.second() })
  return { heap: bytes, processor: taken / SECONDS }
}

/** All capacity is taken, and this many jobs wait. */
function waitingWorld (jobs: number): OwnerWorld {
  const world = new OwnerWorld({ ...CELL, servers: 4, slots: 8 }).join()
  world.submit(32, 'long', 'filler')
  world.submit(jobs, 'long')
  expectCount('waiting jobs', world.state.waiting.size, jobs)
  return world
}

/** Fails where a world did not get to the size that it is measured at. */
function expectCount (what: string, found: number, wanted: number): void {
  if (found !== wanted) throw new CornelgaugeError('internal', { detail: `${found} ${what} where ${wanted} were meant` })
}

/** The measures of the owner. */
export const OWNER_MEASURES: readonly Measure[] = [
  {
    name: 'owner-server',
    driver: 'backend server watched',
    sizes: [50, 100, 200, 300, 400, 500],
    units: UNITS,
    repeats: 3,
    take: size => costOf(() => new OwnerWorld({ ...CELL, servers: size, slots: 8 }).join())
  },
  {
    name: 'owner-task',
    driver: 'running task',
    sizes: [250, 500, 1000, 1500, 2000],
    units: UNITS,
    repeats: 3,
    take: size => costOf(() => new OwnerWorld(CELL, runningLedger(size, CELL.servers)).join())
  },
  {
    name: 'owner-waiting',
    driver: 'waiting job',
    sizes: [200, 400, 800, 1200, 1600],
    units: UNITS,
    repeats: 3,
    take: size => costOf(() => waitingWorld(size))
  },
  {
    name: 'owner-kept',
    driver: 'ended request kept',
    sizes: [1000, 2000, 4000, 6000, 8000],
    units: UNITS,
    repeats: 3,
    take: size => costOf(() => new OwnerWorld(CELL, endedLedger(size)).join())
  },
  {
    name: 'owner-workspace',
    driver: 'workspace',
    sizes: [20, 40, 80, 120, 180],
    units: UNITS,
    repeats: 3,
    take: size => costOf(() => new OwnerWorld({ ...CELL, workspaces: size }).join())
  },
  {
    name: 'owner-request',
    driver: 'request through its whole life, in bursts of 40',
    sizes: [200, 400, 800, 1200, 1600],
    units: { processor: 'ms' },
    repeats: 3,
    take: async size => {
      const world = new OwnerWorld(CELL).join()
      let processor = 0
      for (let done = 0; done < size; done += BURST_REQUESTS) {
        processor += await processorMilliseconds(() => { runBurst(world, `burst-${done}`) })
        world.second()
      }
      expectCount('finished requests', world.counts.finished, size)
      return { processor }
    }
  }
]

function runBurst (world: OwnerWorld, prefix: string): void {
  world.submit(BURST_REQUESTS, 'short', prefix)
  for (let round = 0; round < BURST_TICKS; round++) world.finishAll()
}
