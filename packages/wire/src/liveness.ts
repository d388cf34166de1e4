/**
 * Pure functions that detect dead connections: after a time without received bytes a
 * ping is sent, and if no bytes arrive after it the connection is destroyed. If a check
 * runs far too late, this process itself was paused; the peer is then pinged again.
 */
import type { WireLimits } from './limits.js'

/** The liveness state of one connection. */
export interface LivenessState {
  readonly lastReceivedAt: number
  /** Time at which the unanswered ping was sent. */
  readonly pingSentAt?: number
  /** Time at which the next check is due. */
  readonly checkDueAt: number
}

/** What the connection has to do after a check. */
export type LivenessAction = 'wait' | 'ping' | 'destroy'

/** The result of a check: the next state and the action to take. */
export interface LivenessStep {
  readonly state: LivenessState
  readonly action: LivenessAction
}

/** The limits that the checks use. */
export type LivenessLimits = Pick<WireLimits, 'pingAfterMilliseconds' | 'deadAfterMilliseconds'>

/**
 * The state of a newly opened connection.
 *
 * @example
 * startLiveness(0, DEFAULT_LIMITS).checkDueAt // 1000
 */
export function startLiveness (now: number, limits: LivenessLimits): LivenessState {
  return { lastReceivedAt: now, checkDueAt: now + limits.pingAfterMilliseconds }
}

/**
 * Records that bytes were received. If a ping was unanswered, the next check is
 * rescheduled from now, so that later silence is detected as fast as at any other time.
 *
 * @example
 * recordReceived(state, 500, DEFAULT_LIMITS).lastReceivedAt // 500
 */
export function recordReceived (state: LivenessState, now: number, limits: LivenessLimits): LivenessState {
  if (state.pingSentAt === undefined) return { ...state, lastReceivedAt: now }
  return startLiveness(now, limits)
}

/**
 * Runs the check that is due.
 *
 * @example
 * checkLiveness(startLiveness(0, DEFAULT_LIMITS), 1000, DEFAULT_LIMITS).action // 'ping'
 */
export function checkLiveness (state: LivenessState, now: number, limits: LivenessLimits): LivenessStep {
  const graceMilliseconds = limits.deadAfterMilliseconds - limits.pingAfterMilliseconds
  const wasPaused = now - state.checkDueAt > limits.pingAfterMilliseconds
  if (state.pingSentAt === undefined || wasPaused) return checkSilence(state, now, limits, graceMilliseconds)
  const deadAt = state.pingSentAt + graceMilliseconds
  if (now >= deadAt) return { state, action: 'destroy' }
  return { state: { ...state, checkDueAt: deadAt }, action: 'wait' }
}

function checkSilence (state: LivenessState, now: number, limits: LivenessLimits, graceMilliseconds: number): LivenessStep {
  const pingAt = state.lastReceivedAt + limits.pingAfterMilliseconds
  if (now < pingAt) return { state: { ...state, checkDueAt: pingAt }, action: 'wait' }
  return { state: { ...state, pingSentAt: now, checkDueAt: now + graceMilliseconds }, action: 'ping' }
}
