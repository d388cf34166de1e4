/**
 * The daemon's events and metrics: JSON lines on standard output, a ring buffer for
 * the timeline, and StatsD packets if an address is set.
 */
import { EventLog, Metrics, ProcessMonitor, type EmitEvent, type EventFacts, type EventLevel, type EventName, type TimelineEvent } from '@cornelgauge/telemetry'
import type { LogicalClock, WireEvent } from '@cornelgauge/wire'
import type { CellEffects } from './cell-loop.js'
import type { EventQuery } from './event-query.js'
import { measureEvent, measureStep } from './owner-metrics.js'
import type { Settings } from './settings.js'
import { VmMetrics, type VmReadings } from './vm-metrics.js'

const LEVELS: Readonly<Record<Settings['logLevel'], EventLevel>> = { error: 'error', warn: 'warning', info: 'info', debug: 'debug' }

/** The settings that telemetry needs. */
export type TelemetrySettings = Pick<Settings, 'vm' | 'logLevel' | 'workspaceTokens' | 'operatorTokens' | 'peerSecrets' | 'metricsAddress'>

/**
 * Logs events, keeps the newest ones for the timeline, and records metrics.
 *
 * @example
 * const telemetry = new Telemetry(settings)
 * telemetry.emit('process-ready', { details: { milliseconds: 120 } })
 */
export class Telemetry {
  readonly #log: EventLog
  readonly #metrics: Metrics
  readonly #vmMetrics: VmMetrics
  readonly #monitor: ProcessMonitor

  constructor (settings: TelemetrySettings, output?: NodeJS.WritableStream) {
    const { vm, logLevel, metricsAddress } = settings
    this.#log = new EventLog({ vm, level: LEVELS[logLevel], output, secrets: secretsOf(settings) })
    this.#metrics = new Metrics({ vm, collector: metricsAddress })
    this.#vmMetrics = new VmMetrics(this.#metrics)
    this.#monitor = new ProcessMonitor({ metrics: this.#metrics, log: this.#log })
  }

  /** The logical clock of this process. */
  get clock (): LogicalClock {
    return this.#log
  }

  /** Emits an event. */
  readonly emit: EmitEvent = (name, facts) => {
    this.#log.emit(name, facts)
    measureEvent(this.#metrics, name, facts as EventFacts<EventName> | undefined)
  }

  /** Emits an event that the inner protocol reported. */
  readonly wireEvent = ({ type, vm, ...rest }: WireEvent): void => {
    const details: Readonly<Record<string, unknown>> = { ...rest, peer: vm }
    this.emit(type, { details })
  }

  /** Records the metrics of a step of an owned cell. */
  readonly onStep = (step: CellEffects): void => {
    measureStep(this.#metrics, step)
  }

  /** Sends the metrics that are sampled at an interval. */
  sendReadings (readings: VmReadings): void {
    this.#vmMetrics.send(readings)
  }

  /** Returns the newest events of this VM that match a query. */
  events ({ after, limit, request, cell, vm }: EventQuery): readonly TimelineEvent[] {
    return this.#log.newestEvents({ request, cell, vm }, after, limit)
  }

  /** Stops monitoring, and sends the buffered metrics. */
  async close (): Promise<void> {
    this.#monitor.stop()
    await this.#metrics.close()
  }
}

function secretsOf ({ workspaceTokens, operatorTokens, peerSecrets }: TelemetrySettings): readonly string[] {
  return [...workspaceTokens.map(({ token }) => token), ...operatorTokens, ...peerSecrets]
}
