/** The server of the inner protocol. */
import { randomBytes } from 'node:crypto'
import { createServer, type Server, type Socket } from 'node:net'
import { CornelgaugeError } from '@cornelgauge/model'
import { formatAddress } from './address.js'
import type { LogicalClock } from './clock.js'
import { zeroTrafficCounts, type TrafficCounts, type WireEventListener, type WireStatistics } from './event.js'
import { DEFAULT_LIMITS, type WireLimits } from './limits.js'
import type { CallBody, PeerIdentity, ReplyBody } from './message.js'
import { checkSecrets } from './proof.js'
import { ServerConnection } from './server-connection.js'
import { SYSTEM_TIMERS, type Timers } from './timers.js'

/** Handles one call; a thrown error is sent as a `problem` reply. */
export type CallHandler = (peer: PeerIdentity, body: CallBody, remainingMilliseconds: number) => Promise<ReplyBody>

/** The options of a server. */
export interface WireServerOptions {
  readonly identity: PeerIdentity
  /** The secrets that are accepted from clients. */
  readonly secrets: readonly string[]
  readonly clock: LogicalClock
  readonly handle: CallHandler
  readonly onEvent?: WireEventListener
  readonly limits?: Partial<WireLimits>
  readonly timers?: Timers
  readonly randomBytes?: (size: number) => Uint8Array
}

/** The options with defaults applied, and state shared by the connections. */
export interface ServerContext extends Required<Omit<WireServerOptions, 'limits'>> {
  readonly limits: WireLimits
  readonly traffic: TrafficCounts
}

/**
 * Accepts connections of authenticated peers and passes their calls to a handler.
 *
 * @example
 * const server = new WireServer({ identity, secrets, clock, handle })
 * await server.listen('127.0.0.1', 7400)
 */
export class WireServer {
  readonly #context: ServerContext
  readonly #server: Server
  readonly #connections = new Set<ServerConnection>()
  #onEmpty: () => void = () => {}
  #closing: Promise<void> | undefined

  constructor (options: WireServerOptions) {
    this.#context = {
      onEvent: () => {},
      timers: SYSTEM_TIMERS,
      randomBytes,
      ...options,
      secrets: checkSecrets(options.secrets),
      limits: { ...DEFAULT_LIMITS, ...options.limits },
      traffic: zeroTrafficCounts()
    }
    this.#server = createServer(socket => this.#accept(socket))
  }

  /** Starts accepting connections; port 0 selects a free port. */
  listen (host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      const rejectListen = (cause: Error): void => reject(new CornelgaugeError('unavailable', { detail: cause.message, cause }))
      this.#server.once('error', rejectListen)
      this.#server.listen({ host, port }, () => {
        this.#server.off('error', rejectListen)
        this.#server.on('error', cause => this.#reportAcceptFailure(cause))
        resolve()
      })
    })
  }

  /** The address that the server listens on, `ip:port`. */
  get address (): string {
    const address = this.#server.address()
    if (address === null || typeof address === 'string') throw new CornelgaugeError('not-ready')
    return formatAddress({ host: address.address, port: address.port })
  }

  /** Statistics for metrics. */
  get statistics (): WireStatistics {
    const callsInFlight = [...this.#connections].reduce((sum, connection) => sum + connection.callsInFlight, 0)
    return { ...this.#context.traffic, connections: this.#connections.size, callsInFlight }
  }

  /**
   * Stops gracefully: accepts no new connections or calls, and closes when the calls
   * in flight are complete, at the latest after the grace period.
   */
  close (graceMilliseconds: number): Promise<void> {
    this.#closing ??= this.#stop(graceMilliseconds)
    return this.#closing
  }

  async #stop (graceMilliseconds: number): Promise<void> {
    const closed = new Promise<void>(resolve => this.#server.close(() => resolve()))
    const empty = new Promise<void>(resolve => { this.#onEmpty = resolve })
    const cancel = this.#context.timers.after(graceMilliseconds, () => this.#connections.forEach(connection => connection.destroy()))
    this.#connections.forEach(connection => connection.drain())
    if (this.#connections.size > 0) await empty
    cancel()
    await closed
  }

  #reportAcceptFailure (cause: Error): void {
    const failure = new CornelgaugeError('unavailable', { detail: cause.message, cause })
    this.#context.onEvent({ type: 'accept-failed', role: 'server', address: this.address, failure })
  }

  #accept (socket: Socket): void {
    const connection = new ServerConnection(socket, this.#context, closed => this.#remove(closed))
    this.#connections.add(connection)
    if (this.#connections.size > this.#context.limits.maximumConnections) this.#refuseOne()
  }

  /** Refuses the oldest connection in its handshake, so that strangers can't keep peers out; the newcomer is one of them. */
  #refuseOne (): void {
    const oldest = [...this.#connections].find(connection => connection.isInHandshake)
    oldest?.refuse(new CornelgaugeError('overloaded', { detail: 'The server has no connection left' }))
  }

  #remove (connection: ServerConnection): void {
    this.#connections.delete(connection)
    if (this.#connections.size === 0) this.#onEmpty()
  }
}
