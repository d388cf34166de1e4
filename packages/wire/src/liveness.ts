/**
 * The pure rule that tells a silent connection from a quiet one: a ping after a
 * time of silence, and an end if nothing at all comes back. A check that runs far
 * too late says that this process itself was paused, so the peer gets a new chance.
 */
import type { WireLimits } from './limits.js'

/** What a connection knows of its peer's signs of life. */
export interface LivenessState {
  readonly lastReceivedAt: number
  /** When the unanswered ping left. */
  readonly pingSentAt?: number
  /** When the next check is due. */
  readonly checkDueAt: number
}

/** What to do now. */
export type LivenessAction = 'wait' | 'ping' | 'destroy'

/** A state with the action that the step asks for. */
export interface LivenessStep {
  readonly state: LivenessState
  readonly action: LivenessAction
}

/** The two limits that the rule needs. */
export type LivenessLimits = Pick<WireLimits, 'pingAfterMilliseconds' | 'deadAfterMilliseconds'>

/**
 * The state of a connection that has just opened.
 *
 * @example
 * startLiveness(0, DEFAULT_LIMITS).checkDueAt // 1000
 */
export function startLiveness (now: number, limits: LivenessLimits): LivenessState {
  return { lastReceivedAt: now, checkDueAt: now + limits.pingAfterMilliseconds }
}

/**
 * Notes that bytes have come in. If they answer a ping, the next check is due
 * anew, so that silence is found as soon after them as after any others.
 *
 * @example
 * received(state, 500, DEFAULT_LIMITS).lastReceivedAt // 500
 */
export function received (state: LivenessState, now: number, limits: LivenessLimits): LivenessState {
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
