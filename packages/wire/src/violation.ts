/** Failures of the inner protocol, each with its reason as a member. */
import { CornelgaugeError } from '@cornelgauge/model'

/** How a peer violated the protocol. */
export type ViolationReason =
  | 'frame-too-large' | 'empty-frame' | 'truncated-frame' | 'malformed-frame' | 'unknown-frame-type' | 'unexpected-frame'
  | 'malformed-message' | 'message-too-large' | 'part-out-of-order' | 'handshake-timeout' | 'wrong-version' | 'wrong-proof'

/**
 * A `protocol-violation` failure with its reason as a member.
 *
 * @example
 * violation('truncated-frame').members // { reason: 'truncated-frame' }
 */
export function violation (reason: ViolationReason, detail?: string): CornelgaugeError {
  return new CornelgaugeError('protocol-violation', { detail: detail ?? `The peer broke the protocol: ${reason}`, members: { reason } })
}

/** Why a connection was lost. */
export type LossReason = 'silence' | 'closed' | 'not-connected' | 'stopped' | 'socket-failure'

/**
 * A `connection-lost` failure; `sent` states whether the call may have reached the peer.
 *
 * @example
 * connectionLost('silence', true).members // { reason: 'silence', sent: true }
 */
export function connectionLost (reason: LossReason, sent: boolean, cause?: unknown): CornelgaugeError {
  const detail = cause instanceof Error ? `The connection was lost: ${cause.message}` : `The connection was lost: ${reason}`
  return new CornelgaugeError('connection-lost', { detail, members: { reason, sent }, cause })
}

/**
 * Copies a failure and adds the member `sent`: whether the call may have reached the peer.
 *
 * @example
 * withSent(violation('wrong-proof'), false).members // { reason: 'wrong-proof', sent: false }
 */
export function withSent (failure: CornelgaugeError, sent: boolean): CornelgaugeError {
  return new CornelgaugeError(failure.code, { detail: failure.message, state: failure.state, members: { ...failure.members, sent }, cause: failure.cause })
}

/**
 * True if the peer's host refused the connection: it runs, and no process listens there.
 *
 * @example
 * isConnectionRefused(connectionLost('silence', true)) // false
 */
export function isConnectionRefused ({ cause }: CornelgaugeError): boolean {
  return (cause as { code?: unknown } | undefined)?.code === 'ECONNREFUSED'
}
