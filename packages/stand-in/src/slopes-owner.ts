/** Measures of the cell owner's step. */
import { CornelgaugeError } from '@cornelgauge/model'
import type { Measure } from './slopes-measure.js'
import { retainedBytes, processorMilliseconds } from './slopes-meter.js'
import { endedLedger, OwnerHarness, runningLedger, type CellSizes } from './slopes-owner-harness.js'

const SECONDS = 2
const BURST_REQUESTS = 40
/** Number of ticks after which every request of a burst has been accepted, started and finished. */
const BURST_TICKS = 4
const CELL: CellSizes = { servers: 32, slots: 64, accelerators: 8, workspaces: 8 }
const UNITS = { heap: 'bytes', processor: 'ms/s' } as const

/** The heap that an owner retains, and the processor time that its step uses a second. */
export async function costOf (make: () => OwnerHarness | Promise<OwnerHarness>): Promise<{ readonly heap: number, readonly processor: number }> {
  const { bytes, value: harness } = await retainedBytes(make)
  const milliseconds = await processorMilliseconds(() => { for (let second = 0; second < SECONDS; second++) harness.passSecond() })
  return { heap: bytes, processor: milliseconds / SECONDS }
}

/** An owner whose capacity is in use while this many jobs wait. */
function waitingHarness (jobs: number): OwnerHarness {
  const harness = new OwnerHarness({ ...CELL, servers: 4, slots: 8 }).joinServers()
  harness.submit(32, 'long', 'filler')
  harness.submit(jobs, 'long')
  expectCount('waiting jobs', harness.state.waiting.size, jobs)
  return harness
}

/** Fails if a harness did not reach the size at which it is measured. */
function expectCount (label: string, actual: number, expected: number): void {
  if (actual !== expected) throw new CornelgaugeError('internal', { detail: `${actual} ${label}, expected ${expected}` })
}

/** The measures of the owner. */
export const OWNER_MEASURES: readonly Measure[] = [
  {
    name: 'owner-server',
    driver: 'backend server watched',
    sizes: [50, 100, 200, 300, 400, 500],
    units: UNITS,
    repeats: 3,
    take: size => costOf(() => new OwnerHarness({ ...CELL, servers: size, slots: 8 }).joinServers())
  },
  {
    name: 'owner-task',
    driver: 'running task',
    sizes: [250, 500, 1000, 1500, 2000],
    units: UNITS,
    repeats: 3,
    take: size => costOf(() => new OwnerHarness(CELL, runningLedger(size, CELL.servers)).joinServers())
  },
  {
    name: 'owner-waiting',
    driver: 'waiting job',
    sizes: [200, 400, 800, 1200, 1600],
    units: UNITS,
    repeats: 3,
    take: size => costOf(() => waitingHarness(size))
  },
  {
    name: 'owner-kept',
    driver: 'ended request kept',
    sizes: [1000, 2000, 4000, 6000, 8000],
    units: UNITS,
    repeats: 3,
    take: size => costOf(() => new OwnerHarness(CELL, endedLedger(size)).joinServers())
  },
  {
    name: 'owner-workspace',
    driver: 'workspace',
    sizes: [20, 40, 80, 120, 180],
    units: UNITS,
    repeats: 3,
    take: size => costOf(() => new OwnerHarness({ ...CELL, workspaces: size }).joinServers())
  },
  {
    name: 'owner-request',
    driver: 'request through its whole life, in bursts of 40',
    sizes: [200, 400, 800, 1200, 1600],
    units: { processor: 'ms' },
    repeats: 3,
    take: async size => {
      const harness = new OwnerHarness(CELL).joinServers()
      let processor = 0
      for (let done = 0; done < size; done += BURST_REQUESTS) {
        processor += await processorMilliseconds(() => { runBurst(harness, `burst-${done}`) })
        harness.passSecond()
      }
      expectCount('finished requests', harness.counts.finished, size)
      return { processor }
    }
  }
]

function runBurst (harness: OwnerHarness, prefix: string): void {
  harness.submit(BURST_REQUESTS, 'short', prefix)
  for (let round = 0; round < BURST_TICKS; round++) harness.finishAll()
}
