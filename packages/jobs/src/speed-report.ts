/** Reports which backend servers are believed too slow, so that a placement can be traced to its cause. */
import type { PoolName } from './ids.js'
import type { PlannerState } from './state.js'

/** Least time between two reports, in milliseconds. */
const SPEED_REPORT_MILLISECONDS = 5000

/** Records an event for each pool whose slow backend servers have changed since the last one. */
export class SpeedReport {
  readonly #reported = new Map<PoolName, string>()
  #nextAt = -Infinity

  /**
   * Checks all pools, unless it did so lately.
   *
   * @example
   * speedReport.check(state, now)
   */
  check (state: PlannerState, now: number): void {
    if (now < this.#nextAt) return
    this.#nextAt = now + SPEED_REPORT_MILLISECONDS
    for (const { name } of state.configuration?.pools ?? []) {
      const speeds = state.speeds.of(name, state, now)
      const slow = speeds.slowServers
      const ids = [...slow.keys()].sort().join()
      if ((this.#reported.get(name) ?? '') === ids) continue
      this.#reported.set(name, ids)
      const listed = [...slow].map(([id, { logSlowness }]) => `${id}:${Math.exp(logSlowness).toFixed(2)}`).join(' ')
      state.recordEvent({ type: 'server-speeds', pool: name, known: speeds.known, tooSlow: slow.size, stretch: speeds.lowestStretch, slow: listed })
    }
  }
}
