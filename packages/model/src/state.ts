/**
 * The states of a request. `pending` is committed and queued; `running` has a
 * committed intent to start; `unknown` means that the outcome can't be determined
 * at present, and may still change to another state. The others are final.
 */
export type RequestState = 'pending' | 'running' | 'finished' | 'failed' | 'cancelled' | 'not-run' | 'unknown'

const FINAL_STATES: ReadonlySet<RequestState> = new Set<RequestState>(['finished', 'failed', 'cancelled', 'not-run'])

/**
 * Whether a state never changes again. `unknown` doesn't count: it is final only
 * in a record that has ended.
 *
 * @example
 * isFinal('not-run') // true
 */
export function isFinal (state: RequestState): boolean {
  return FINAL_STATES.has(state)
}
