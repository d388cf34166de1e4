/**
 * The HTTP server of every stand-in: routing, propagation delay, and connection-level
 * faults.
 */
import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { asFailure, CornelgaugeError, toProblem } from '@cornelgauge/model'
import { parseFaultSetting, systemClock, type Clock, type FaultSwitch } from '@cornelgauge/ports'
import { bodyOf, matchRoute, type Route } from './route.js'

/** Longest request body that a stand-in accepts. */
export const BODY_LIMIT_BYTES = 64 * 1024 * 1024
const KEEP_ALIVE_MILLISECONDS = 60_000

/** The service behind a stand-in, and how to serve it. */
export interface StandInServerOptions {
  readonly faults: FaultSwitch
  /** Routes of the service, subject to the propagation delay and to silent connections. */
  readonly routes: readonly Route[]
  /** Routes for tests, answered without propagation delay and also on silent connections. */
  readonly controlRoutes?: readonly Route[]
  /** One-way propagation delay to a caller at this IP address, in milliseconds. */
  readonly delayTo?: (callerAddress: string) => number
  readonly clock?: Clock
}

/** Where to listen. */
export interface ListenAddress {
  readonly host: string
  readonly port: number
}

/**
 * Serves one stand-in on one address. An `unavailable` failure breaks the connection, as
 * a service that is down would; any other failure is sent as problem details.
 *
 * @example
 * const server = new StandInServer({ faults, routes })
 * await server.listen({ host: '127.0.0.1', port: 0 })
 */
export class StandInServer {
  readonly #options: StandInServerOptions
  readonly #clock: Clock
  readonly #controlRoutes: readonly Route[]
  readonly #server: Server
  readonly #openSockets = new Set<Socket>()
  #silentSockets: ReadonlySet<Socket> = new Set()

  constructor (options: StandInServerOptions) {
    this.#options = options
    this.#clock = options.clock ?? systemClock
    this.#controlRoutes = [...options.controlRoutes ?? [], this.#faultRoute()]
    this.#server = createServer({ keepAliveTimeout: KEEP_ALIVE_MILLISECONDS, requestTimeout: 0 },
      (request, response) => { this.#serve(request, response).catch(() => request.socket.destroy()) })
    this.#server.on('connection', socket => this.#trackConnection(socket))
  }

  /** Listens, and returns the actual `ip:port`. */
  async listen ({ host, port }: ListenAddress): Promise<string> {
    this.#server.listen(port, host)
    await once(this.#server, 'listening')
    const { address, port: actualPort } = this.#server.address() as AddressInfo
    return `${address}:${actualPort}`
  }

  async close (): Promise<void> {
    this.#server.close()
    this.#server.closeAllConnections()
    await once(this.#server, 'close')
  }

  #trackConnection (socket: Socket): void {
    socket.setNoDelay(true)
    this.#openSockets.add(socket)
    socket.once('close', () => this.#openSockets.delete(socket))
  }

  #faultRoute (): Route {
    return {
      method: 'PUT',
      path: '/faults',
      handle: async call => {
        const setting = parseFaultSetting(bodyOf(call))
        this.#options.faults.set(setting)
        const silences = setting.mode === 'silent' && setting.openConnectionsOnly === true
        this.#silentSockets = silences ? new Set(this.#openSockets) : new Set()
        return setting
      }
    }
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { path, query } = splitTarget(request.url ?? '/')
    const isControl = this.#controlRoutes.some(route => route.path === path)
    if (!isControl && this.#silentSockets.has(request.socket)) return
    const delayMilliseconds = isControl ? 0 : this.#options.delayTo?.(request.socket.remoteAddress ?? '') ?? 0
    try {
      const body = await readBody(request)
      await this.#sleep(delayMilliseconds)
      const routes = isControl ? this.#controlRoutes : this.#options.routes
      const { route, parameters } = matchRoute(routes, request.method ?? 'GET', path)
      const answer = await route.handle({ parameters, query, body })
      await this.#sleep(delayMilliseconds)
      if (!isControl && this.#silentSockets.has(request.socket)) return
      send(response, 200, answer)
    } catch (thrown) {
      const failure = asFailure(thrown)
      await this.#sleep(delayMilliseconds)
      if (failure.code === 'unavailable') request.socket.destroy()
      else send(response, failure.status, toProblem(failure), 'application/problem+json')
    }
  }

  async #sleep (milliseconds: number): Promise<void> {
    if (milliseconds > 0) await new Promise<void>(resolve => this.#clock.after(milliseconds, resolve))
  }
}

/** Path and query of a request target. The path stays encoded, so that an escaped slash does not split a segment. */
function splitTarget (target: string): { path: string, query: URLSearchParams } {
  const questionMark = target.indexOf('?')
  if (questionMark === -1) return { path: target, query: new URLSearchParams() }
  return { path: target.slice(0, questionMark), query: new URLSearchParams(target.slice(questionMark + 1)) }
}

async function readBody (request: IncomingMessage): Promise<Uint8Array> {
  const chunks: Buffer[] = []
  let length = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    length += chunk.length
    if (length > BODY_LIMIT_BYTES) throw new CornelgaugeError('body-too-large')
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

function send (response: ServerResponse, status: number, answer: unknown, type = 'application/json'): void {
  const isBytes = answer instanceof Uint8Array
  const body = isBytes ? answer : Buffer.from(JSON.stringify(answer ?? {}))
  response.writeHead(status, { 'content-type': isBytes ? 'application/octet-stream' : type, 'content-length': body.length })
  response.end(body)
}
