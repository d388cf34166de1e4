/** Limits of the inner protocol; each bounds what one peer can make this process hold. */

/** Version of the protocol that the hello must name. */
export const PROTOCOL_VERSION = 1
/** Largest frame before the peer is authenticated. */
export const HANDSHAKE_FRAME_BYTES = 1024
/** Payload of one part of a large call or reply. */
export const PART_BYTES = 64 * 1024
/** Largest frame of an authenticated peer: one part and its envelope. */
export const MAXIMUM_FRAME_BYTES = PART_BYTES + 1024
/** Largest call or reply, reassembled. */
export const MAXIMUM_MESSAGE_BYTES = 16 * 1024 * 1024
/** Longest time limit of a call; a longer one is shortened to it. */
export const MAXIMUM_TIMEOUT_MILLISECONDS = 24 * 60 * 60 * 1000
/** Highest logical time that a frame may carry. */
export const MAXIMUM_LOGICAL_TIME = 2 ** 52

/** Limits that a deployment may set for one client or server. */
export interface WireLimits {
  /** Time from the opening of a connection to the end of its handshake. */
  readonly handshakeMilliseconds: number
  /** Silence after which a ping is sent. */
  readonly pingAfterMilliseconds: number
  /** Silence after which the connection counts as dead. */
  readonly deadAfterMilliseconds: number
  /** Time without a call after which a client closes its connection. */
  readonly idleMilliseconds: number
  /** Calls in flight on one connection. */
  readonly maximumInFlightCalls: number
  /** Bytes waiting to be written to one connection. */
  readonly maximumBufferedBytes: number
  /** Bytes of incomplete messages received on one connection. */
  readonly maximumAssemblyBytes: number
  /** Connections of one server, those in their handshake included. */
  readonly maximumConnections: number
}

/** The limits that hold where none are given. */
export const DEFAULT_LIMITS: WireLimits = {
  handshakeMilliseconds: 2000,
  pingAfterMilliseconds: 1000,
  deadAfterMilliseconds: 3000,
  idleMilliseconds: 60_000,
  maximumInFlightCalls: 1024,
  maximumBufferedBytes: 64 * 1024 * 1024,
  maximumAssemblyBytes: 64 * 1024 * 1024,
  maximumConnections: 256
}
