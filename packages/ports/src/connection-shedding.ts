/**
 * Decides which connections of a server are closed. Answers a load of very many connections, most of
 * them idle or unfinished: the bound on connections is kept by closing those, and not by refusing newcomers.
 */

/** What a connection is doing. */
export type ConnectionPhase = 'unused' | 'header' | 'body' | 'discarding' | 'idle' | 'answering'

/** A connection as it is at one moment. */
export interface ConnectionState {
  readonly phase: ConnectionPhase
  /** Time in this phase, in milliseconds. */
  readonly milliseconds: number
}

/** Time limits of the phases. */
export interface PhaseLimits {
  /** For a header, from its first byte. */
  readonly headerMilliseconds: number
  /** For the first byte of a connection. */
  readonly idleMilliseconds: number
  /** For the body of the present request. */
  readonly bodyMilliseconds: number
}

/** How long the rest of a request that is answered is read and discarded, so that its caller receives the answer. */
const DISCARD_MILLISECONDS = 3000
/** After closing connections, this share of the bound is in use, so that the next ones arrive without a new choice. */
const LOW_SHARE = 15 / 16

/** How much the time in a phase counts; a connection on which a complete request waits for its answer is never closed. */
const WEIGHTS: Readonly<Record<ConnectionPhase, number>> = { discarding: 16, unused: 4, header: 4, body: 4, idle: 1, answering: 0 }

const TIME_LIMITS: Readonly<Record<ConnectionPhase, (limits: PhaseLimits) => number>> = {
  unused: limits => limits.idleMilliseconds,
  header: limits => limits.headerMilliseconds,
  body: limits => limits.bodyMilliseconds,
  discarding: () => DISCARD_MILLISECONDS,
  // The server itself closes connections between two requests.
  idle: () => Infinity,
  answering: () => Infinity
}

/**
 * Whether a connection is past the time limit of its phase.
 *
 * @example
 * isExpired({ phase: 'header', milliseconds: 3100 }, limits) // true
 */
export function isExpired (state: ConnectionState, limits: PhaseLimits): boolean {
  return state.milliseconds > TIME_LIMITS[state.phase](limits)
}

/**
 * The connections to close at the bound, none below it. Of equals, the first ones.
 *
 * @example
 * connectionsToClose(states, 100).forEach(index => sockets[index].destroy())
 */
export function connectionsToClose (states: readonly ConnectionState[], maximum: number): readonly number[] {
  if (states.length <= maximum) return []
  const weightOf = ({ phase, milliseconds }: ConnectionState): number => WEIGHTS[phase] * (milliseconds + 1)
  return states
    .map((state, index) => ({ index, weight: weightOf(state) }))
    .filter(({ weight }) => weight > 0)
    .sort((left, right) => right.weight - left.weight)
    .slice(0, states.length - Math.floor(maximum * LOW_SHARE))
    .map(({ index }) => index)
}
