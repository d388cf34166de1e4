/** Measures scheduling rounds: logs each slow one, sums up all of them periodically, and limits their share of the event loop's time. */
import type { EmitEvent } from '@cornelgauge/telemetry'
import { PLANNER_SUMMARY_INTERVAL_MILLISECONDS, ROUND_DELAY_MILLISECONDS, SLOW_ROUND_MILLISECONDS } from './limits.js'
import type { OwnerLoad } from './owner-load.js'
import type { OwnerRecord } from './owner-record.js'

/** Options of a round monitor. */
export interface RoundMonitorOptions {
  readonly epoch: OwnerRecord['epoch']
  readonly emit: EmitEvent
  /** The planner's load; computed only when an event is logged. */
  readonly load: () => OwnerLoad
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

  constructor (options: RoundMonitorOptions) {
    this.#options = { now: () => performance.now(), ...options }
    this.#summaryAt = this.#options.now() + PLANNER_SUMMARY_INTERVAL_MILLISECONDS
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
    const { epoch, emit, load } = this.#options
    emit('planner-summary', { details: { epoch, rounds: this.#rounds, roundMilliseconds: Math.round(this.#milliseconds), longestRound: Math.round(this.#longest), ...load() } })
    this.#summaryAt = now + PLANNER_SUMMARY_INTERVAL_MILLISECONDS
    this.#rounds = 0
    this.#milliseconds = 0
    this.#longest = 0
  }
}
