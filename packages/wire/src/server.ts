/** The listening side of the inner protocol. */
import { randomBytes } from 'node:crypto'
import { createServer, type Server, type Socket } from 'node:net'
import { CornelgaugeError } from '@cornelgauge/model'
import { formatAddress } from './address.js'
import type { LogicalClock } from './clock.js'
import { noTraffic, type TrafficCounts, type WireEventListener, type WireStatistics } from './event.js'
import { DEFAULT_LIMITS, type WireLimits } from './limits.js'
import type { CallBody, PeerIdentity, ReplyBody } from './message.js'
import { checkSecrets } from './proof.js'
import { ServerConnection } from './server-connection.js'
import { SYSTEM_TIMERS, type Timers } from './timers.js'

/** Answers one call; what it throws becomes a `problem` reply. */
export type CallHandler = (peer: PeerIdentity, body: CallBody, remainingMilliseconds: number) => Promise<ReplyBody>

/** What a server needs. */
export interface WireServerOptions {
  readonly identity: PeerIdentity
  /** Every secret that a client may prove. */
  readonly secrets: readonly string[]
  readonly clock: LogicalClock
  readonly handle: CallHandler
  readonly onEvent?: WireEventListener
  readonly limits?: Partial<WireLimits>
  readonly timers?: Timers
  readonly randomBytes?: (size: number) => Uint8Array
}

/** The options with their defaults, as the connections see them. */
export interface ServerContext extends Required<Omit<WireServerOptions, 'limits'>> {
  readonly limits: WireLimits
  readonly traffic: TrafficCounts
}

/**
 * Accepts connections of authenticated peers and hands their calls to a handler.
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
      traffic: noTraffic()
    }
    this.#server = createServer(socket => this.#accept(socket))
  }

  /** Starts to accept connections; port 0 takes a free one. */
  listen (host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      const refuse = (cause: Error): void => reject(new CornelgaugeError('unavailable', { detail: cause.message, cause }))
      this.#server.once('error', refuse)
      this.#server.listen({ host, port }, () => {
        this.#server.off('error', refuse)
        this.#server.on('error', cause => this.#reportAcceptFailure(cause))
        resolve()
      })
    })
  }

  /** The address that clients reach it by, `ip:port`. */
  get address (): string {
    const address = this.#server.address()
    if (address === null || typeof address === 'string') throw new CornelgaugeError('not-ready')
    return formatAddress({ host: address.address, port: address.port })
  }

  /** Counts for metrics. */
  get statistics (): WireStatistics {
    const callsInFlight = [...this.#connections].reduce((sum, connection) => sum + connection.callsInFlight, 0)
    return { ...this.#context.traffic, connections: this.#connections.size, callsInFlight }
  }

  /**
   * Stops gracefully: no new connections or calls, and those in flight are
   * answered, but no longer than the grace period.
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
    const connection = new ServerConnection(socket, this.#context, closed => this.#forget(closed))
    this.#connections.add(connection)
    if (this.#connections.size > this.#context.limits.maximumConnections) {
      connection.refuse(new CornelgaugeError('overloaded', { detail: 'The server has no connection left' }))
    }
  }

  #forget (connection: ServerConnection): void {
    this.#connections.delete(connection)
    if (this.#connections.size === 0) this.#onEmpty()
  }
}
