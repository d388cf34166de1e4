/** The client of the inner protocol. */
import { randomBytes } from 'node:crypto'
import { CornelgaugeError } from '@cornelgauge/model'
import { parseAddress } from './address.js'
import { ClientConnection } from './client-connection.js'
import type { LogicalClock } from './clock.js'
import { zeroTrafficCounts, type TrafficCounts, type WireEventListener, type WireStatistics } from './event.js'
import { DEFAULT_LIMITS, MAXIMUM_TIMEOUT_MILLISECONDS, type WireLimits } from './limits.js'
import { encodeCall } from './message-codec.js'
import type { CallBody, PeerIdentity, ReplyBody } from './message.js'
import { checkSecrets } from './proof.js'
import { SYSTEM_TIMERS, type Timers } from './timers.js'
import { connectionLost } from './violation.js'

/** The options of a client. */
export interface WireClientOptions {
  readonly identity: PeerIdentity
  /** The secrets to prove to a server, in the order in which they are tried. */
  readonly secrets: readonly string[]
  readonly clock: LogicalClock
  /** The local address that connections are bound to. */
  readonly localAddress?: string
  readonly onEvent?: WireEventListener
  readonly limits?: Partial<WireLimits>
  readonly timers?: Timers
  readonly randomBytes?: (size: number) => Uint8Array
}

/** The options with defaults applied, and state shared by the connections. */
export interface ClientContext extends Required<Omit<WireClientOptions, 'limits' | 'localAddress'>> {
  readonly localAddress: string | undefined
  readonly limits: WireLimits
  readonly traffic: TrafficCounts
}

/**
 * Calls peers by address, over one connection for each peer. Calls are never retried:
 * a call whose connection is lost fails, and the caller has to find out whether it
 * took effect.
 *
 * @example
 * const client = new WireClient({ identity, secrets, clock })
 * const reply = await client.call('127.0.0.1:7400', { type: 'vm-status' }, 1000)
 */
export class WireClient {
  readonly #context: ClientContext
  readonly #usableByAddress = new Map<string, ClientConnection>()
  readonly #connections = new Set<ClientConnection>()
  #isClosed = false

  constructor (options: WireClientOptions) {
    this.#context = {
      onEvent: () => {},
      timers: SYSTEM_TIMERS,
      randomBytes,
      ...options,
      localAddress: options.localAddress,
      secrets: checkSecrets(options.secrets),
      limits: { ...DEFAULT_LIMITS, ...options.limits },
      traffic: zeroTrafficCounts()
    }
  }

  /** Statistics for metrics. */
  get statistics (): WireStatistics {
    const callsInFlight = [...this.#connections].reduce((sum, connection) => sum + connection.callsInFlight, 0)
    return { ...this.#context.traffic, connections: this.#connections.size, callsInFlight }
  }

  /**
   * Makes one call.
   *
   * @throws {CornelgaugeError} `timeout`, `connection-lost` (member `sent`: whether
   * the peer may have received it), `overloaded`, `body-too-large`, `stranger-refused`,
   * `protocol-violation`, or `invalid-settings` for a malformed address.
   */
  async call (address: string, body: CallBody, timeoutMilliseconds: number): Promise<ReplyBody> {
    if (this.#isClosed) throw connectionLost('stopped', false)
    const milliseconds = boundedTimeout(timeoutMilliseconds)
    if (milliseconds === 0) throw new CornelgaugeError('timeout', { members: { sent: false } })
    const bytes = encodeCall(body)
    return await this.#connectionTo(address).call(bytes, milliseconds)
  }

  /** Closes all connections; calls in flight fail. */
  async close (): Promise<void> {
    this.#isClosed = true
    const connections = [...this.#connections]
    connections.forEach(connection => connection.destroy())
    await Promise.all(connections.map(connection => connection.closed))
  }

  #connectionTo (address: string): ClientConnection {
    const usable = this.#usableByAddress.get(address)
    if (usable !== undefined) return usable
    parseAddress(address)
    const connection: ClientConnection = new ClientConnection(address, this.#context, () => this.#retire(address, connection))
    this.#usableByAddress.set(address, connection)
    this.#connections.add(connection)
    connection.closed.then(() => this.#connections.delete(connection))
    return connection
  }

  #retire (address: string, connection: ClientConnection): void {
    if (this.#usableByAddress.get(address) === connection) this.#usableByAddress.delete(address)
  }
}

/** Limits a timeout to the supported range; NaN becomes 0. */
function boundedTimeout (milliseconds: number): number {
  return Math.min(Math.max(0, milliseconds || 0), MAXIMUM_TIMEOUT_MILLISECONDS)
}
