/**
 * The states of a request. `pending` is committed and waits; `running` has a
 * committed intent to start; `unknown` says that the truth is not known, and may
 * still turn into another state while it can be found out. The others are final.
 */
export type RequestState = 'pending' | 'running' | 'finished' | 'failed' | 'cancelled' | 'not-run' | 'unknown'

const FINAL_STATES: ReadonlySet<RequestState> = new Set<RequestState>(['finished', 'failed', 'cancelled', 'not-run'])

/**
 * True of a state that never changes again. `unknown` is not one: it is final only
 * in a record that has ended.
 *
 * @example
 * isFinal('not-run') // true
 */
export function isFinal (state: RequestState): boolean {
  return FINAL_STATES.has(state)
}
