/**
 * The HTTP server: routes requests, limits the size of bodies, and reports failures
 * as problem details.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { asFailure, CornelgaugeError, toProblem } from '@cornelgauge/model'
import { BodyBudget, guardConnections, readRequestBody, type ConnectionLimits, type HeldBody } from '@cornelgauge/ports'
import type { Address } from './settings.js'

/** Maximum size of a request body. */
export const MAXIMUM_BODY_BYTES = 64 * 1024
/** Maximum size of an environment document. */
export const MAXIMUM_DOCUMENT_BODY_BYTES = 1024 * 1024
const HEADERS_TIMEOUT_MILLISECONDS = 10_000
const REQUEST_TIMEOUT_MILLISECONDS = 30_000
/** Bytes of all bodies that are held at a time. */
const OPEN_BODY_BYTES = 64 * 1024 * 1024
const CONNECTION_LIMITS: ConnectionLimits = { connections: 1000, headerMilliseconds: HEADERS_TIMEOUT_MILLISECONDS, idleMilliseconds: HEADERS_TIMEOUT_MILLISECONDS, bodyMilliseconds: () => REQUEST_TIMEOUT_MILLISECONDS }
const PROBLEM_TYPE = 'application/problem+json'

/** A request as passed to a route. */
export interface HttpRequest {
  readonly method: string
  readonly path: string
  readonly parameters: Readonly<Record<string, string>>
  readonly query: URLSearchParams
  readonly header: (name: string) => string | undefined
  /** Reads the body; rejects with `body-too-large`. */
  readonly body: (maximumBytes: number) => Promise<string>
}

/** The response of a route. */
export interface HttpResponse {
  readonly status: number
  /** Sent as JSON, unless it is a string. */
  readonly body: unknown
  readonly headers?: Readonly<Record<string, string>>
}

/** A route; `{name}` in the path matches one segment. */
export interface Route {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  readonly path: string
  readonly handle: (request: HttpRequest) => Promise<HttpResponse>
}

/** An HTTP server for a list of routes. */
export class HttpServer {
  readonly #routes: readonly Route[]
  readonly #server: Server
  readonly #bodies = new BodyBudget(() => OPEN_BODY_BYTES, () => performance.now())
  #closing = false

  constructor (routes: readonly Route[]) {
    this.#routes = routes
    this.#server = createServer({ headersTimeout: HEADERS_TIMEOUT_MILLISECONDS, requestTimeout: REQUEST_TIMEOUT_MILLISECONDS }, (request, response) => {
      this.#serve(request, response).catch(() => { response.destroy() })
    })
    guardConnections(this.#server, () => CONNECTION_LIMITS)
  }

  /** Starts to accept connections. */
  listen ({ host, port }: Address): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', cause => { reject(new CornelgaugeError('unavailable', { detail: cause.message, cause })) })
      this.#server.listen({ host, port }, resolve)
    })
  }

  /** The port that the server listens on; 0 if it does not listen. */
  get port (): number {
    const address = this.#server.address()
    return typeof address === 'object' && address !== null ? address.port : 0
  }

  /** Accepts no new connections, and resolves once all requests are answered. */
  close (): Promise<void> {
    this.#closing = true
    return new Promise(resolve => {
      this.#server.close(() => { resolve() })
      this.#server.closeIdleConnections()
    })
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const held = this.#bodies.open()
    response.once('close', held.release)
    try {
      const routeResponse = await this.#dispatch(request, held)
      this.#send(response, routeResponse)
    } catch (thrown) {
      this.#send(response, problemResponse(asFailure(thrown)))
    }
  }

  #dispatch (request: IncomingMessage, held: HeldBody): Promise<HttpResponse> {
    const url = urlOf(request)
    const matchingRoutes = this.#routes.map(route => ({ route, parameters: matchPath(route.path, url.pathname) })).filter(match => match.parameters !== undefined)
    const match = matchingRoutes.find(({ route }) => route.method === request.method)
    if (matchingRoutes.length === 0) throw new CornelgaugeError('not-found')
    if (match === undefined) throw new CornelgaugeError('method-not-allowed', { members: { allowed: matchingRoutes.map(({ route }) => route.method) } })
    return match.route.handle({
      method: match.route.method,
      path: url.pathname,
      parameters: match.parameters!,
      query: url.searchParams,
      header: name => singleHeader(request.headers[name]),
      body: maximumBytes => readRequestBody(request, maximumBytes, held)
    })
  }

  #send (response: ServerResponse, routeResponse: HttpResponse): void {
    const isText = typeof routeResponse.body === 'string'
    const text = isText ? routeResponse.body as string : JSON.stringify(routeResponse.body)
    const headers = { 'content-type': isText ? 'text/plain; charset=utf-8' : 'application/json', ...routeResponse.headers, 'content-length': String(Buffer.byteLength(text)) }
    response.writeHead(routeResponse.status, this.#closing ? { ...headers, connection: 'close' } : headers)
    response.end(text)
  }
}

function problemResponse (failure: CornelgaugeError): HttpResponse {
  const retryAfter = failure.members.retryAfterMilliseconds
  const headers: Record<string, string> = { 'content-type': PROBLEM_TYPE }
  if (typeof retryAfter === 'number') headers['retry-after'] = String(Math.ceil(retryAfter / 1000))
  if (failure.code === 'unauthorized') headers['www-authenticate'] = 'Bearer'
  if (Array.isArray(failure.members.allowed)) headers.allow = failure.members.allowed.join(', ')
  return { status: failure.status, body: toProblem(failure), headers }
}

function urlOf (request: IncomingMessage): URL {
  try {
    return new URL(request.url ?? '/', 'http://localhost')
  } catch (cause) {
    throw new CornelgaugeError('invalid-request', { detail: 'The path is not well-formed', cause })
  }
}

function matchPath (pattern: string, path: string): Record<string, string> | undefined {
  const patternSegments = pattern.split('/')
  const pathSegments = path.split('/')
  if (patternSegments.length !== pathSegments.length) return undefined
  const parameters: Record<string, string> = {}
  for (const [index, patternSegment] of patternSegments.entries()) {
    const segment = pathSegments[index]!
    if (!patternSegment.startsWith('{')) {
      if (patternSegment !== segment) return undefined
    } else {
      parameters[patternSegment.slice(1, -1)] = decodeSegment(segment)
    }
  }
  return parameters
}

function decodeSegment (text: string): string {
  try {
    return decodeURIComponent(text)
  } catch {
    throw new CornelgaugeError('invalid-request', { detail: 'The path is not well-formed' })
  }
}

function singleHeader (value: string | readonly string[] | undefined): string | undefined {
  return typeof value === 'string' ? value : value?.[0]
}
