/** Exit codes: what a script learns of the outcome without reading any text. */
import { ERROR_KINDS, type CornelgaugeError, type ErrorCode, type RequestState } from '@cornelgauge/model'

/** Each outcome with its exit code. */
export const EXIT_CODES = {
  /** What was asked for is done. */
  done: 0,
  /** The request ended otherwise than finished, or faults were found. */
  otherwise: 1,
  /** Bad settings or usage. */
  usage: 2,
  /** Refused by the server (4xx). */
  refused: 3,
  /** Not reachable, or a failure of the server (5xx). */
  unreachable: 4,
  /** Still pending or running when the waiting ended. */
  pending: 5
} as const

/** Name of an outcome. */
export type ExitName = keyof typeof EXIT_CODES

/** Outcome of a submission or a read, by the request's state. */
export const EXIT_OF_STATE: Readonly<Record<RequestState, ExitName>> = {
  finished: 'done',
  failed: 'otherwise',
  cancelled: 'otherwise',
  'not-run': 'otherwise',
  unknown: 'otherwise',
  pending: 'pending',
  running: 'pending'
}

/** Outcome of a cancellation, by the state that the request then has. */
export const EXIT_OF_CANCELLED_STATE: Readonly<Record<RequestState, ExitName>> = {
  ...EXIT_OF_STATE,
  cancelled: 'done',
  'not-run': 'done',
  finished: 'otherwise'
}

/** Failures whose exit does not follow from their status. */
const EXIT_OF_CODE: { readonly [Code in ErrorCode]?: ExitName } = {
  'invalid-settings': 'usage'
}

const FIRST_SERVER_FAILURE_STATUS = 500

/**
 * The outcome that a failure ends the command with.
 *
 * @example
 * exitOfFailure(new CornelgaugeError('version-conflict')) // 'refused'
 */
export function exitOfFailure (failure: CornelgaugeError): ExitName {
  const { status } = ERROR_KINDS[failure.code]
  return EXIT_OF_CODE[failure.code] ?? (status >= FIRST_SERVER_FAILURE_STATUS ? 'unreachable' : 'refused')
}
