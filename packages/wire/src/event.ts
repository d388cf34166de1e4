/** Events and counters that a client or server reports about its connections, for logs and metrics. */
import type { CornelgaugeError, VmName } from '@cornelgauge/model'

/** The end of a connection that reports an event. */
export type ConnectionRole = 'client' | 'server'

/** The connection that an event is about. */
export interface ConnectionInfo {
  readonly role: ConnectionRole
  /** The peer's address, `ip:port`; the server's own address for `accept-failed`. */
  readonly address: string
  /** The authenticated peer; missing before the end of the handshake. */
  readonly vm?: VmName
}

/** An event without the fields that identify its connection. */
export type WireReport =
  | { readonly type: 'connection-opened' }
  | { readonly type: 'connection-closed', readonly failure?: CornelgaugeError }
  | { readonly type: 'connection-silent' }
  | { readonly type: 'peer-refused', readonly failure: CornelgaugeError }
  | { readonly type: 'protocol-violation', readonly failure: CornelgaugeError }
  | { readonly type: 'call-refused', readonly failure: CornelgaugeError }
  | { readonly type: 'handler-failed', readonly failure: CornelgaugeError }
  | { readonly type: 'late-reply', readonly id: number }
  | { readonly type: 'accept-failed', readonly failure: CornelgaugeError }

/** An event with the connection that it is about. */
export type WireEvent = ConnectionInfo & WireReport

/** Receives the events. */
export type WireEventListener = (event: WireEvent) => void

/** Statistics of a client or server: current connections and calls, and traffic since its start. */
export interface WireStatistics {
  readonly connections: number
  readonly callsInFlight: number
  readonly framesSent: number
  readonly framesReceived: number
  readonly bytesSent: number
  readonly bytesReceived: number
}

/** Mutable traffic counters shared by the connections of one client or server. */
export interface TrafficCounts {
  framesSent: number
  framesReceived: number
  bytesSent: number
  bytesReceived: number
}

/**
 * Traffic counters that start at zero.
 *
 * @example
 * zeroTrafficCounts().framesSent // 0
 */
export function zeroTrafficCounts (): TrafficCounts {
  return { framesSent: 0, framesReceived: 0, bytesSent: 0, bytesReceived: 0 }
}
