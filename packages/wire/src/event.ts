/** What a client or server reports of its connections, for logs and metrics. */
import type { CornelgaugeError, VmName } from '@cornelgauge/model'

/** Which end of a connection reports. */
export type ConnectionRole = 'client' | 'server'

/** The connection that an event is about. */
export interface ConnectionFacts {
  readonly role: ConnectionRole
  /** The peer's address, `ip:port`; the server's own where no peer could be accepted. */
  readonly address: string
  /** The peer as proved at its hello. */
  readonly vm?: VmName
}

/** What has happened, before the facts of its connection are added. */
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

/** One report. */
export type WireEvent = ConnectionFacts & WireReport

/** Takes the reports. */
export type WireEventListener = (event: WireEvent) => void

/** Counts since the start of a client or server. */
export interface WireStatistics {
  readonly connections: number
  readonly callsInFlight: number
  readonly framesSent: number
  readonly framesReceived: number
  readonly bytesSent: number
  readonly bytesReceived: number
}

/** The counts that the connections of one client or server add to. */
export interface TrafficCounts {
  framesSent: number
  framesReceived: number
  bytesSent: number
  bytesReceived: number
}

/**
 * Counts that stand at zero.
 *
 * @example
 * noTraffic().framesSent // 0
 */
export function noTraffic (): TrafficCounts {
  return { framesSent: 0, framesReceived: 0, bytesSent: 0, bytesReceived: 0 }
}
