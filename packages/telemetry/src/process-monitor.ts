/** Samples of the process itself: the lag of its event loop and its memory. */
import type { EventLog } from './event-log.js'
import type { Metrics } from './metrics.js'

/** Time between two samples. */
export const SAMPLE_MILLISECONDS = 1000
/** Lag of the event loop that is reported as an event. */
export const STALL_MILLISECONDS = 500

/** What a process monitor needs. */
export interface ProcessMonitorOptions {
  readonly metrics: Metrics
  readonly log: EventLog
  /** Milliseconds that never go back. */
  readonly now?: () => number
  /** Calls back again and again; the result ends it. */
  readonly every?: (milliseconds: number, callback: () => void) => () => void
  readonly memory?: () => { readonly rss: number, readonly heapUsed: number }
}

/**
 * Samples the process from its making until it is stopped.
 *
 * @example
 * const monitor = new ProcessMonitor({ metrics, log })
 * monitor.stop()
 */
export class ProcessMonitor {
  readonly #options: Required<ProcessMonitorOptions>
  readonly #cancel: () => void
  #lastAt: number

  constructor (options: ProcessMonitorOptions) {
    this.#options = { now: () => performance.now(), every: systemEvery, memory: () => process.memoryUsage(), ...options }
    this.#lastAt = this.#options.now()
    this.#cancel = this.#options.every(SAMPLE_MILLISECONDS, () => this.#sample())
  }

  /** Takes no more samples. */
  stop (): void {
    this.#cancel()
  }

  #sample (): void {
    const { metrics, log, now, memory } = this.#options
    const at = now()
    const milliseconds = Math.max(0, at - this.#lastAt - SAMPLE_MILLISECONDS)
    this.#lastAt = at
    metrics.measure('process.event-loop.lag', milliseconds)
    if (milliseconds >= STALL_MILLISECONDS) log.emit('event-loop-stalled', { details: { milliseconds } })
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
