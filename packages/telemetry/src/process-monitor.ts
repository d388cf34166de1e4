/** Samples the event loop lag and the memory of the process. */
import type { EmitEvent } from './event-log.js'
import type { Metrics } from './metrics.js'

/** Interval of the samples. */
export const SAMPLE_INTERVAL_MILLISECONDS = 1000
/** Event loop lag from which on a stall is reported as an event. */
export const STALL_THRESHOLD_MILLISECONDS = 500

/** Options of a process monitor. */
export interface ProcessMonitorOptions {
  readonly metrics: Pick<Metrics, 'measure' | 'gauge'>
  readonly log: { readonly emit: EmitEvent }
  /** Monotonic time in milliseconds. */
  readonly now?: () => number
  /** Calls the callback at an interval; returns a function that cancels it. */
  readonly every?: (milliseconds: number, callback: () => void) => () => void
  readonly memory?: () => { readonly rss: number, readonly heapUsed: number }
}

/**
 * Samples the process from the construction of the monitor until it is stopped.
 *
 * @example
 * const monitor = new ProcessMonitor({ metrics, log })
 * monitor.stop()
 */
export class ProcessMonitor {
  readonly #options: Required<ProcessMonitorOptions>
  readonly #cancel: () => void
  #lastSampleAt: number

  constructor (options: ProcessMonitorOptions) {
    this.#options = { now: () => performance.now(), every: systemEvery, memory: () => process.memoryUsage(), ...options }
    this.#lastSampleAt = this.#options.now()
    this.#cancel = this.#options.every(SAMPLE_INTERVAL_MILLISECONDS, () => this.#sample())
  }

  /** Stops sampling. */
  stop (): void {
    this.#cancel()
  }

  #sample (): void {
    const { metrics, log, now, memory } = this.#options
    const sampledAt = now()
    const milliseconds = Math.max(0, sampledAt - this.#lastSampleAt - SAMPLE_INTERVAL_MILLISECONDS)
    this.#lastSampleAt = sampledAt
    metrics.measure('process.event-loop.lag', milliseconds)
    if (milliseconds >= STALL_THRESHOLD_MILLISECONDS) log.emit('event-loop-stalled', { details: { milliseconds } })
    const { rss, heapUsed } = memory()
    metrics.gauge('process.memory.resident', rss)
    metrics.gauge('process.memory.heap', heapUsed)
  }
}

function systemEvery (milliseconds: number, callback: () => void): () => void {
  const timer = setInterval(callback, milliseconds)
  timer.unref()
  return () => clearInterval(timer)
}
