/** Load on one path through a deployment. */
import { setTimeout as sleep } from 'node:timers/promises'
import * as hdr from 'hdr-histogram-js'
import type { BenchWorld } from './bench-world.js'

const LOAD_MILLISECONDS = 4000
const CALLERS = 96
const WAIT_MILLISECONDS = 2000
const SECOND_MILLISECONDS = 1000
const HALF = 0.5
const LOWEST_RATE = 5

/** What one path gives. */
export interface PathFigures {
  readonly acceptedPerSecond: number
  readonly medianMilliseconds: number
  readonly worstPercentileMilliseconds: number
  /** Calls that were not answered with a finished request. */
  readonly unfinished: number
}

/** Takes the accepted requests a second with callers that wait, and the latency at half of that. */
export async function measurePath (world: BenchWorld, vm: string, cell: string): Promise<PathFigures> {
  let accepted = 0
  let unfinished = 0
  const end = performance.now() + LOAD_MILLISECONDS
  const ask = async (): Promise<void> => {
    const state = await world.submit(vm, world.keyOf(cell), WAIT_MILLISECONDS).catch(() => 'failed-call')
    if (state === 'finished') accepted += 1
    else unfinished += 1
  }
  const caller = async (): Promise<void> => { while (performance.now() < end) await ask() }
  await Promise.all(Array.from({ length: CALLERS }, caller))
  const acceptedPerSecond = accepted * SECOND_MILLISECONDS / LOAD_MILLISECONDS
  const histogram = await atRate(world, vm, cell, Math.max(acceptedPerSecond * HALF, LOWEST_RATE))
  return { acceptedPerSecond, medianMilliseconds: histogram.getValueAtPercentile(50), worstPercentileMilliseconds: histogram.getValueAtPercentile(99), unfinished }
}

/** Calls at an even rate, whether earlier ones were answered or not. */
async function atRate (world: BenchWorld, vm: string, cell: string, perSecond: number): Promise<hdr.Histogram> {
  const histogram = hdr.build({ highestTrackableValue: 60_000, numberOfSignificantValueDigits: 3 })
  const calls: Promise<void>[] = []
  const startedAt = performance.now()
  for (let number = 0; number * SECOND_MILLISECONDS / perSecond < LOAD_MILLISECONDS; number++) {
    const dueAt = startedAt + number * SECOND_MILLISECONDS / perSecond
    await sleep(Math.max(dueAt - performance.now(), 0))
    calls.push(world.submit(vm, world.keyOf(cell), WAIT_MILLISECONDS).then(() => {}, () => {}).then(() => { histogram.recordValue(performance.now() - dueAt) }))
  }
  await Promise.all(calls)
  return histogram
}
