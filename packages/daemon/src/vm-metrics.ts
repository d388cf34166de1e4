/**
 * Metrics that are sampled from the components of a VM at an interval. Counters are
 * sent as the difference to the previous sample.
 */
import type { OwnerState } from '@cornelgauge/scheduler'
import type { MetricNameOf, Metrics } from '@cornelgauge/telemetry'
import type { WireStatistics } from '@cornelgauge/wire'
import type { TableCounts } from './counting-table.js'

/** One sample of the values from which the metrics are computed. */
export interface VmReadings {
  readonly cells: readonly OwnerState[]
  readonly table: TableCounts
  readonly wire: { readonly client: WireStatistics, readonly server: WireStatistics }
  readonly document: { readonly environment: string, readonly version: number | undefined }
}

type Totals = { readonly [Name in MetricNameOf<'counter'>]?: number }

/** Sends samples as metrics. */
export class VmMetrics {
  readonly #metrics: Metrics
  #totals: Totals = {}

  constructor (metrics: Metrics) {
    this.#metrics = metrics
  }

  /** Sends one sample. */
  send (readings: VmReadings): void {
    sendGauges(this.#metrics, readings)
    this.#sendDifferences(totalsOf(readings))
  }

  #sendDifferences (totals: Totals): void {
    for (const [name, total] of Object.entries(totals) as [keyof Totals, number][]) {
      this.#metrics.count(name, total - (this.#totals[name] ?? 0))
    }
    this.#totals = totals
  }
}

function sendGauges (metrics: Metrics, { cells, wire, document }: VmReadings): void {
  metrics.gauge('cells.owned', cells.length)
  cells.forEach(state => { sendCell(metrics, state) })
  for (const role of ['client', 'server'] as const) {
    metrics.gauge('wire.connections', wire[role].connections, { role })
    metrics.gauge('wire.calls.in-flight', wire[role].callsInFlight, { role })
  }
  const { environment, version } = document
  if (version !== undefined) metrics.gauge('document.version', version, { environment })
}

function sendCell (metrics: Metrics, { cell, waiting, runs, servers }: OwnerState): void {
  metrics.gauge('requests.pending', waiting.size, { cell })
  metrics.gauge('requests.running', runs.size, { cell })
  metrics.gauge('servers.available', servers.count(server => server.status === 'live'), { cell })
}

function totalsOf ({ table, wire: { client, server } }: VmReadings): Totals {
  return {
    'table.reads': table.reads,
    'table.writes': table.writes,
    'wire.bytes.sent': client.bytesSent + server.bytesSent,
    'wire.bytes.received': client.bytesReceived + server.bytesReceived,
    'wire.frames.sent': client.framesSent + server.framesSent,
    'wire.frames.received': client.framesReceived + server.framesReceived
  }
}
