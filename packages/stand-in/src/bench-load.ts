/** Measures throughput and latency of one path through a deployment. */
import { setTimeout as sleep } from 'node:timers/promises'
import * as hdr from 'hdr-histogram-js'
import type { BenchDeployment } from './bench-deployment.js'

const LOAD_MILLISECONDS = 4000
const CALLERS = 96
const RESPONSE_WAIT_MILLISECONDS = 2000
const SECOND_MILLISECONDS = 1000
const MEASURED_LOAD_SHARE = 0.5
const MINIMUM_RATE_PER_SECOND = 5

/** The measurements of one path. */
export interface PathFigures {
  readonly acceptedPerSecond: number
  readonly medianMilliseconds: number
  readonly percentile99Milliseconds: number
  /** Calls whose response did not show a finished request. */
  readonly unfinished: number
}

/** Measures throughput in a closed loop of callers, then latency in an open loop at half of that rate. */
export async function measurePath (deployment: BenchDeployment, vm: string, cell: string): Promise<PathFigures> {
  let accepted = 0
  let unfinished = 0
  const end = performance.now() + LOAD_MILLISECONDS
  const submitUntilAnswered = async (): Promise<void> => {
    const state = await deployment.submit(vm, deployment.keyOf(cell), RESPONSE_WAIT_MILLISECONDS).catch(() => 'failed-call')
    if (state === 'finished') accepted += 1
    else unfinished += 1
  }
  const caller = async (): Promise<void> => { while (performance.now() < end) await submitUntilAnswered() }
  await Promise.all(Array.from({ length: CALLERS }, caller))
  const acceptedPerSecond = accepted * SECOND_MILLISECONDS / LOAD_MILLISECONDS
  const histogram = await measureLatencyAtRate(deployment, vm, cell, Math.max(acceptedPerSecond * MEASURED_LOAD_SHARE, MINIMUM_RATE_PER_SECOND))
  return { acceptedPerSecond, medianMilliseconds: histogram.getValueAtPercentile(50), percentile99Milliseconds: histogram.getValueAtPercentile(99), unfinished }
}

/** Sends calls at a fixed rate without waiting for earlier ones. Latency counts from the time a call was due. */
async function measureLatencyAtRate (deployment: BenchDeployment, vm: string, cell: string, perSecond: number): Promise<hdr.Histogram> {
  const histogram = hdr.build({ highestTrackableValue: 60_000, numberOfSignificantValueDigits: 3 })
  const calls: Promise<void>[] = []
  const startedAt = performance.now()
  for (let number = 0; number * SECOND_MILLISECONDS / perSecond < LOAD_MILLISECONDS; number++) {
    const dueAt = startedAt + number * SECOND_MILLISECONDS / perSecond
    await sleep(Math.max(dueAt - performance.now(), 0))
    calls.push(deployment.submit(vm, deployment.keyOf(cell), RESPONSE_WAIT_MILLISECONDS).then(() => {}, () => {}).then(() => { histogram.recordValue(performance.now() - dueAt) }))
  }
  await Promise.all(calls)
  return histogram
}
