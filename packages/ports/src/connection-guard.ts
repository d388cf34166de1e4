/** Keeps the connections of an HTTP server within a number, and closes those that are past a time limit. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { connectionsToClose, isExpired, type ConnectionPhase, type ConnectionState } from './connection-shedding.js'

/** Limits of one server; they are read anew each time, so they may change. */
export interface ConnectionLimits {
  readonly connections: number
  /** Time for a header, from its first byte. */
  readonly headerMilliseconds: number
  /** Time for the first byte of a connection. */
  readonly idleMilliseconds: number
  /** Time for the body of a request. */
  readonly bodyMilliseconds: (request: IncomingMessage) => number
}

/** Connections that were closed: for want of room, or past the time limit of a phase. */
export type ClosedConnections = Readonly<Record<'crowded' | 'unused' | 'header' | 'body' | 'discarding', number>>

interface Connection {
  readonly socket: Socket
  phase: ConnectionPhase
  /** When the phase began, on the guard's clock. */
  since: number
  /** Bytes received when the last request was complete. */
  restBytes: number
  /** The request received last. */
  request: IncomingMessage | undefined
  /** Requests of which the response isn't complete. */
  readonly unanswered: Set<IncomingMessage>
}

const SWEEP_MILLISECONDS = 500
const TIMEOUT_RESPONSE = 'HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'

/**
 * Guards a server. Its times don't run while the process stands still: what has arrived by then is read first.
 *
 * @example
 * const guard = new ConnectionGuard(server, () => limits)
 */
export class ConnectionGuard {
  readonly #limits: () => ConnectionLimits
  readonly #onClosed: () => void
  readonly #now: () => number
  readonly #connections = new Map<Socket, Connection>()
  readonly #closed = { crowded: 0, unused: 0, header: 0, body: 0, discarding: 0, idle: 0, answering: 0 }
  #sweepTimer: NodeJS.Timeout | undefined
  /** Time of the last sweep, and the guard's own time then. */
  #sweptAt = 0
  #elapsed = 0

  constructor (server: Server, limits: () => ConnectionLimits, onClosed = () => {}, now = () => performance.now()) {
    this.#limits = limits
    this.#onClosed = onClosed
    this.#now = now
    server.on('connection', socket => this.#add(socket))
    server.prependListener('request', (request, response) => this.#begin(request, response))
  }

  /** Number of open connections. */
  get connections (): number {
    return this.#connections.size
  }

  /** Connections closed so far. */
  get closed (): ClosedConnections {
    const { crowded, unused, header, body, discarding } = this.#closed
    return { crowded, unused, header, body, discarding }
  }

  #add (socket: Socket): void {
    if (this.#connections.size === 0) this.#startSweeps()
    this.#connections.set(socket, { socket, phase: 'unused', since: this.#time(), restBytes: 0, request: undefined, unanswered: new Set() })
    socket.once('close', () => {
      this.#connections.delete(socket)
      if (this.#connections.size === 0) clearInterval(this.#sweepTimer)
    })
    const { connections } = this.#limits()
    if (this.#connections.size > connections) this.#closeSome(connections)
  }

  #begin (request: IncomingMessage, response: ServerResponse): void {
    const connection = this.#connections.get(request.socket)
    if (connection === undefined) return
    connection.request = request
    connection.unanswered.add(request)
    enterPhase(connection, 'body', this.#time())
    response.once('close', () => {
      connection.unanswered.delete(request)
      connection.restBytes = connection.socket.bytesRead
    })
  }

  #closeSome (maximum: number): void {
    const connections = [...this.#connections.values()]
    const states = connections.map(connection => this.#stateOf(connection))
    for (const index of connectionsToClose(states, maximum)) {
      this.#closed.crowded += 1
      this.#close(connections[index]!)
    }
  }

  #close ({ socket }: Connection): void {
    this.#connections.delete(socket)
    socket.destroy()
    this.#onClosed()
  }

  #startSweeps (): void {
    clearInterval(this.#sweepTimer)
    this.#sweptAt = this.#now()
    this.#sweepTimer = setInterval(() => this.#sweep(), SWEEP_MILLISECONDS)
    this.#sweepTimer.unref()
  }

  #sweep (): void {
    this.#elapsed = this.#time()
    this.#sweptAt = this.#now()
    const { headerMilliseconds, idleMilliseconds, bodyMilliseconds } = this.#limits()
    for (const connection of this.#connections.values()) {
      const { request } = connection
      const limits = { headerMilliseconds, idleMilliseconds, bodyMilliseconds: request === undefined ? 0 : bodyMilliseconds(request) }
      if (isExpired(this.#stateOf(connection), limits)) this.#expire(connection)
    }
  }

  #expire (connection: Connection): void {
    this.#closed[connection.phase] += 1
    if (connection.phase !== 'discarding' && connection.socket.writable) connection.socket.write(TIMEOUT_RESPONSE)
    this.#close(connection)
  }

  /** Time during which the process has run, as far as sweeps show it, in milliseconds. */
  #time (): number {
    return this.#elapsed + Math.min(this.#now() - this.#sweptAt, 2 * SWEEP_MILLISECONDS)
  }

  #stateOf (connection: Connection): ConnectionState {
    const time = this.#time()
    enterPhase(connection, phaseOf(connection), time)
    return { phase: connection.phase, milliseconds: time - connection.since }
  }
}

function enterPhase (connection: Connection, phase: ConnectionPhase, time: number): void {
  if (connection.phase === phase) return
  // What is discarded ends with the request's last byte; later bytes begin a header.
  if (connection.phase === 'discarding') connection.restBytes = connection.socket.bytesRead
  connection.phase = phase
  connection.since = time
}

function phaseOf ({ phase, request, unanswered, socket, restBytes }: Connection): ConnectionPhase {
  if ([...unanswered].some(each => each.complete)) return 'answering'
  if (request?.complete === false) return unanswered.has(request) ? 'body' : 'discarding'
  if (phase === 'discarding') return 'idle'
  if (socket.bytesRead > restBytes) return 'header'
  return request === undefined ? 'unused' : 'idle'
}

/**
 * Guards a server for as long as it listens.
 *
 * @example
 * guardConnections(server, () => limits)
 */
export function guardConnections (server: Server, limits: () => ConnectionLimits): ConnectionGuard {
  return new ConnectionGuard(server, limits)
}
