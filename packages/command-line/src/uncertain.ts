/** Failures after which it is not known whether a change took effect. */
import { CornelgaugeError, type ErrorCode } from '@cornelgauge/model'

const UNCERTAIN_CODES: ReadonlySet<ErrorCode> = new Set<ErrorCode>(['connection-lost', 'timeout', 'outcome-unknown', 'internal'])

/**
 * True if it is unknown after this failure whether the change took effect.
 *
 * @example
 * isUncertain(new CornelgaugeError('connection-lost')) // true
 */
export function isUncertain (failure: unknown): failure is CornelgaugeError {
  return failure instanceof CornelgaugeError && UNCERTAIN_CODES.has(failure.code)
}

/** Returns a copy of a failure with a sentence on what to do and additional members for programs. */
export function withAdvice (failure: CornelgaugeError, advice: string, members: Readonly<Record<string, unknown>> = {}): CornelgaugeError {
  return new CornelgaugeError(failure.code, {
    detail: `${failure.message}. ${advice}`,
    state: failure.state,
    members: { ...failure.members, ...members },
    cause: failure
  })
}
