/** Exit codes, by which a script can determine the outcome without parsing text. */
import { ERROR_KINDS, type CornelgaugeError, type ErrorCode, type RequestState } from '@cornelgauge/model'

/** Exit codes by outcome. */
export const EXIT_CODES = {
  /** The command did what was requested. */
  done: 0,
  /** The request ended in another state than finished, or faults were found. */
  otherwise: 1,
  /** Bad settings or usage. */
  usage: 2,
  /** Refused by the server (4xx). */
  refused: 3,
  /** Server not reachable, or failure of the server (5xx). */
  unreachable: 4,
  /** The request was still pending or running when the wait ended. */
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

/** Outcome of a cancellation, by the state of the request afterwards. */
export const EXIT_OF_CANCELLED_STATE: Readonly<Record<RequestState, ExitName>> = {
  ...EXIT_OF_STATE,
  cancelled: 'done',
  'not-run': 'done',
  finished: 'otherwise'
}

/** Outcomes of the failures for which the HTTP status does not determine the outcome. */
const EXIT_OF_CODE: { readonly [Code in ErrorCode]?: ExitName } = {
  'invalid-settings': 'usage'
}

const FIRST_SERVER_FAILURE_STATUS = 500

/**
 * Returns the outcome of a command that ended with a failure.
 *
 * @example
 * exitOfFailure(new CornelgaugeError('version-conflict')) // 'refused'
 */
export function exitOfFailure (failure: CornelgaugeError): ExitName {
  const { status } = ERROR_KINDS[failure.code]
  return EXIT_OF_CODE[failure.code] ?? (status >= FIRST_SERVER_FAILURE_STATUS ? 'unreachable' : 'refused')
}
