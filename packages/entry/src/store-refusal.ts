/** Failures with which the store has certainly not carried out a write. */
import type { CornelgaugeError, ErrorCode } from '@cornelgauge/model'

const REFUSALS: ReadonlySet<ErrorCode> = new Set<ErrorCode>(['overloaded', 'write-refused'])

/**
 * True if a write that failed so has no effect, now or later.
 *
 * @example
 * if (isRefusal(asFailure(thrown))) restore(rows)
 */
export function isRefusal ({ code }: CornelgaugeError): boolean {
  return REFUSALS.has(code)
}
