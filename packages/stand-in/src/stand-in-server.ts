/**
 * The HTTP server of every stand-in: routes, propagation delay, and faults on the
 * connections themselves.
 */
import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { asFailure, CornelgaugeError, toProblem } from '@cornelgauge/model'
import { parseFaultSetting, systemClock, type Clock, type FaultSwitch } from '@cornelgauge/ports'
import { bodyOf, matchRoute, type Route } from './route.js'

/** Longest body that a stand-in takes. */
export const BODY_LIMIT_BYTES = 64 * 1024 * 1024
const KEEP_ALIVE_MILLISECONDS = 60_000

/** What a stand-in serves. */
export interface StandInServerOptions {
  readonly faults: FaultSwitch
  /** The service itself, which suffers the propagation delay and silent connections. */
  readonly routes: readonly Route[]
  /** What tests ask and set: answered at once, whatever the fault. */
  readonly controlRoutes?: readonly Route[]
  /** One-way propagation delay to a caller at this IP number, in milliseconds. */
  readonly delayTo?: (callerAddress: string) => number
  readonly clock?: Clock
}

/** Where to listen. */
export interface ListenAddress {
  readonly host: string
  readonly port: number
}

/**
 * Serves one stand-in on one address. An `unavailable` failure is told by breaking
 * the connection, as a service that is gone would; any other one as problem details.
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
  readonly #open = new Set<Socket>()
  #silent: ReadonlySet<Socket> = new Set()

  constructor (options: StandInServerOptions) {
    this.#options = options
    this.#clock = options.clock ?? systemClock
    this.#controlRoutes = [...options.controlRoutes ?? [], this.#faultRoute()]
    this.#server = createServer({ keepAliveTimeout: KEEP_ALIVE_MILLISECONDS, requestTimeout: 0 },
      (request, response) => { this.#serve(request, response).catch(() => request.socket.destroy()) })
    this.#server.on('connection', socket => this.#remember(socket))
  }

  /** Listens, and gives the `ip:port` that it got. */
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

  #remember (socket: Socket): void {
    socket.setNoDelay(true)
    this.#open.add(socket)
    socket.once('close', () => this.#open.delete(socket))
  }

  #faultRoute (): Route {
    return {
      method: 'PUT',
      path: '/faults',
      handle: async call => {
        const setting = parseFaultSetting(bodyOf(call))
        this.#options.faults.set(setting)
        const silences = setting.mode === 'silent' && setting.openConnectionsOnly === true
        this.#silent = silences ? new Set(this.#open) : new Set()
        return setting
      }
    }
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { path, query } = splitTarget(request.url ?? '/')
    const isControl = this.#controlRoutes.some(route => route.path === path)
    if (!isControl && this.#silent.has(request.socket)) return
    const delayMilliseconds = isControl ? 0 : this.#options.delayTo?.(request.socket.remoteAddress ?? '') ?? 0
    try {
      const body = await readBody(request)
      await this.#sleep(delayMilliseconds)
      const routes = isControl ? this.#controlRoutes : this.#options.routes
      const { route, parameters } = matchRoute(routes, request.method ?? 'GET', path)
      const answer = await route.handle({ parameters, query, body })
      await this.#sleep(delayMilliseconds)
      if (!isControl && this.#silent.has(request.socket)) return
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

/** Path and query of a request target; the path stays encoded, so that no segment changes the others. */
function splitTarget (target: string): { path: string, query: URLSearchParams } {
  const mark = target.indexOf('?')
  if (mark === -1) return { path: target, query: new URLSearchParams() }
  return { path: target.slice(0, mark), query: new URLSearchParams(target.slice(mark + 1)) }
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
