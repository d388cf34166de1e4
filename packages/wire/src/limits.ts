/** Limits of the inner protocol. They bound the memory and time that one peer can take up in this process. */

/** Protocol version that both ends must send in the handshake. */
export const PROTOCOL_VERSION = 1
/** Largest frame before the peer is authenticated. */
export const HANDSHAKE_FRAME_BYTES = 1024
/** Payload size of one part of a large call or reply. */
export const PART_BYTES = 64 * 1024
/** Largest frame of an authenticated peer: one part and its other fields. */
export const MAXIMUM_FRAME_BYTES = PART_BYTES + 1024
/** Largest call or reply after reassembly. */
export const MAXIMUM_MESSAGE_BYTES = 16 * 1024 * 1024
/** Longest timeout of a call; longer ones are reduced to it. */
export const MAXIMUM_TIMEOUT_MILLISECONDS = 24 * 60 * 60 * 1000
/** Highest logical time that a frame may carry. */
export const MAXIMUM_LOGICAL_TIME = 2 ** 52

/** Limits that a deployment may set for one client or server. */
export interface WireLimits {
  /** Time limit of a client for a TCP connection to open. */
  readonly connectMilliseconds: number
  /** Time limit for the handshake on an open TCP connection. */
  readonly handshakeMilliseconds: number
  /** Time without received bytes after which a ping is sent. */
  readonly pingAfterMilliseconds: number
  /** Time without received bytes after which the connection is considered dead. */
  readonly deadAfterMilliseconds: number
  /** Time without calls after which a client closes its connection. */
  readonly idleMilliseconds: number
  /** Maximum number of calls in flight on one connection. */
  readonly maximumInFlightCalls: number
  /** Maximum number of bytes waiting to be written to one connection. */
  readonly maximumBufferedBytes: number
  /** Maximum number of bytes of incomplete messages received on one connection. */
  readonly maximumAssemblyBytes: number
  /** Maximum number of connections of one server, including those in their handshake. */
  readonly maximumConnections: number
}

/** The limits that apply by default. */
export const DEFAULT_LIMITS: WireLimits = {
  connectMilliseconds: 2000,
  handshakeMilliseconds: 2000,
  pingAfterMilliseconds: 1000,
  deadAfterMilliseconds: 3000,
  idleMilliseconds: 60_000,
  maximumInFlightCalls: 1024,
  maximumBufferedBytes: 64 * 1024 * 1024,
  maximumAssemblyBytes: 64 * 1024 * 1024,
  maximumConnections: 256
}
