/**
 * The states of a request. `pending` is committed and waits; `running` has a
 * committed intent to start; `unknown` says that the truth cannot be known. The
 * others are final.
 */
export type RequestState = 'pending' | 'running' | 'finished' | 'failed' | 'cancelled' | 'not-run' | 'unknown'

const FINAL_STATES: ReadonlySet<RequestState> = new Set<RequestState>(['finished', 'failed', 'cancelled', 'not-run', 'unknown'])

/**
 * True of a state that never changes again.
 *
 * @example
 * isFinal('not-run') // true
 */
export function isFinal (state: RequestState): boolean {
  return FINAL_STATES.has(state)
}
