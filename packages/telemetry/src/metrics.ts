/** Metrics over StatsD, typed by the metric catalogue. Without a collector nothing is sent. */
import type { VmName } from '@cornelgauge/model'
import { StatsD } from 'hot-shots'
import type { MetricName, MetricNameOf, MetricTags } from './metric-catalogue.js'

/** Prefix of every metric's name. */
export const METRIC_PREFIX = 'cornelgauge.'

/** Options of the metrics. */
export interface MetricsOptions {
  readonly vm: VmName
  /** The collector to send to; without one metrics are disabled. */
  readonly collector?: CollectorAddress
}

/** The UDP address of a StatsD collector. */
export interface CollectorAddress {
  readonly host: string
  readonly port: number
}

/**
 * Sends the counters, gauges and histograms of one process.
 *
 * @example
 * const metrics = new Metrics({ vm, collector: { host: '127.0.0.1', port: 8125 } })
 * metrics.count('requests.accepted', 1, { kind: 'renewal' })
 */
export class Metrics {
  readonly #client: StatsD | undefined
  #failures = 0

  constructor ({ vm, collector }: MetricsOptions) {
    this.#client = collector === undefined ? undefined : this.#clientOf(collector, vm)
  }

  /** Number of packets that could not be sent. */
  get failures (): number {
    return this.#failures
  }

  /** Adds to a counter. */
  count<Name extends MetricNameOf<'counter'>> (name: Name, value = 1, tags: MetricTags<Name> = {}): void {
    this.#client?.increment(name, value, presentTags(tags))
  }

  /** Sets a gauge. */
  gauge<Name extends MetricNameOf<'gauge'>> (name: Name, value: number, tags: MetricTags<Name> = {}): void {
    this.#client?.gauge(name, value, presentTags(tags))
  }

  /** Adds one value to a histogram. */
  measure<Name extends MetricNameOf<'histogram'>> (name: Name, value: number, tags: MetricTags<Name> = {}): void {
    this.#client?.histogram(name, value, presentTags(tags))
  }

  /** Flushes the buffer and closes the socket. */
  close (): Promise<void> {
    const client = this.#client
    if (client === undefined) return Promise.resolve()
    return new Promise(resolve => client.close(() => resolve()))
  }

  #clientOf ({ host, port }: CollectorAddress, vm: VmName): StatsD {
    return new StatsD({
      host,
      port,
      protocol: 'udp',
      prefix: METRIC_PREFIX,
      globalTags: { vm },
      maxBufferSize: 1400,
      errorHandler: () => { this.#failures += 1 }
    })
  }
}

function presentTags<Name extends MetricName> (tags: MetricTags<Name>): Record<string, string> {
  const present = Object.entries(tags).filter(entry => entry[1] !== undefined)
  return Object.fromEntries(present) as Record<string, string>
}
