/** Measures scheduling rounds and the event loop: logs each slow round, sums up all of them periodically, and limits their share of the event loop's time. */
import { performance, type EventLoopUtilization } from 'node:perf_hooks'
import type { EmitEvent } from '@cornelgauge/telemetry'
import { PLANNER_SUMMARY_INTERVAL_MILLISECONDS, ROUND_DELAY_MILLISECONDS, ROUND_INTERVAL_MILLISECONDS, SLOW_ROUND_MILLISECONDS } from './limits.js'
import type { OwnerLoad } from './owner-load.js'
import type { OwnerRecord } from './owner-record.js'
import type { LongestStartTimes } from './start-times.js'

/** Options of a round monitor. */
export interface RoundMonitorOptions {
  readonly epoch: OwnerRecord['epoch']
  readonly emit: EmitEvent
  /** The planner's load; computed only when an event is logged. */
  readonly load: () => OwnerLoad
  /** The longest times of the starts that have ended since it was last called. */
  readonly startTimes: () => LongestStartTimes
  /** Monotonic time in milliseconds. */
  readonly now?: () => number
}

/**
 * Measures the rounds of one owner.
 *
 * @example
 * const commands = monitor.measure(() => planner.decide(times))
 */
export class RoundMonitor {
  readonly #options: Required<RoundMonitorOptions>
  #summaryAt: number
  #rounds = 0
  #milliseconds = 0
  #longest = 0
  #last = 0
  #tickAt: number
  #longestDelay = 0
  #utilization: EventLoopUtilization = performance.eventLoopUtilization()

  constructor (options: RoundMonitorOptions) {
    this.#options = { now: () => performance.now(), ...options }
    this.#tickAt = this.#options.now()
    this.#summaryAt = this.#tickAt + PLANNER_SUMMARY_INTERVAL_MILLISECONDS
  }

  /** Notes that the periodic timer of the rounds has fired; it is late while the event loop is busy. */
  noteTick (): void {
    const now = this.#options.now()
    this.#longestDelay = Math.max(this.#longestDelay, now - this.#tickAt - ROUND_INTERVAL_MILLISECONDS)
    this.#tickAt = now
  }

  /** Delay of the next round, in milliseconds: rounds take at most half of the event loop's time, so that calls and heartbeats are answered between them. */
  get delayMilliseconds (): number {
    return Math.max(ROUND_DELAY_MILLISECONDS, this.#last)
  }

  /** Runs a round and records how long it blocks the event loop. */
  measure<Result extends readonly unknown[]> (round: () => Result): Result {
    const { epoch, emit, load, now } = this.#options
    const startedAt = now()
    const commands = round()
    const endedAt = now()
    const milliseconds = endedAt - startedAt
    this.#last = milliseconds
    this.#rounds += 1
    this.#milliseconds += milliseconds
    this.#longest = Math.max(this.#longest, milliseconds)
    if (milliseconds >= SLOW_ROUND_MILLISECONDS) emit('round-slow', { details: { epoch, milliseconds: Math.round(milliseconds), commands: commands.length, ...load() } })
    if (endedAt >= this.#summaryAt) this.#summarize(endedAt)
    return commands
  }

  #summarize (now: number): void {
    const { epoch, emit, load, startTimes } = this.#options
    const { utilization } = performance.eventLoopUtilization(this.#utilization)
    const loop = { busyPercent: Math.round(100 * utilization), longestDelay: Math.round(this.#longestDelay) }
    emit('planner-summary', { details: { epoch, rounds: this.#rounds, roundMilliseconds: Math.round(this.#milliseconds), longestRound: Math.round(this.#longest), ...loop, ...startTimes(), ...load() } })
    this.#utilization = performance.eventLoopUtilization()
    this.#longestDelay = 0
    this.#summaryAt = now + PLANNER_SUMMARY_INTERVAL_MILLISECONDS
    this.#rounds = 0
    this.#milliseconds = 0
    this.#longest = 0
  }
}
