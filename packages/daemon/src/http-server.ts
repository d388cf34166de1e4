/**
 * The HTTP side: finds the route, bounds the body, and turns every failure into
 * problem details.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { asFailure, CornelgaugeError, toProblem } from '@cornelgauge/model'
import { readRequestBody } from '@cornelgauge/ports'
import type { Address } from './settings.js'

/** Largest body of a request. */
export const MAXIMUM_BODY_BYTES = 64 * 1024
/** Largest body of an environment document. */
export const MAXIMUM_DOCUMENT_BODY_BYTES = 1024 * 1024
const HEADERS_TIMEOUT_MILLISECONDS = 10_000
const REQUEST_TIMEOUT_MILLISECONDS = 30_000
const PROBLEM_TYPE = 'application/problem+json'

/** A request as the routes see it. */
export interface HttpRequest {
  readonly method: string
  readonly path: string
  readonly parameters: Readonly<Record<string, string>>
  readonly query: URLSearchParams
  readonly header: (name: string) => string | undefined
  /** Reads the body; fails with `body-too-large`. */
  readonly body: (maximumBytes: number) => Promise<string>
}

/** What a route answers. */
export interface HttpAnswer {
  readonly status: number
  /** Sent as JSON, unless it is text. */
  readonly body: unknown
  readonly headers?: Readonly<Record<string, string>>
}

/** A route: `{name}` in the path stands for one segment. */
export interface Route {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  readonly path: string
  readonly answer: (request: HttpRequest) => Promise<HttpAnswer>
}

/** Serves routes. */
export class HttpServer {
  readonly #routes: readonly Route[]
  readonly #server: Server
  #closing = false

  constructor (routes: readonly Route[]) {
    this.#routes = routes
    this.#server = createServer({ headersTimeout: HEADERS_TIMEOUT_MILLISECONDS, requestTimeout: REQUEST_TIMEOUT_MILLISECONDS }, (request, response) => {
      this.#serve(request, response).catch(() => { response.destroy() })
    })
  }

  /** Starts to take connections. */
  listen ({ host, port }: Address): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', cause => { reject(new CornelgaugeError('unavailable', { detail: cause.message, cause })) })
      this.#server.listen({ host, port }, resolve)
    })
  }

  /** The port that it listens on. */
  get port (): number {
    const address = this.#server.address()
    return typeof address === 'object' && address !== null ? address.port : 0
  }

  /** Takes no new connections, and resolves once every request has had its answer. */
  close (): Promise<void> {
    this.#closing = true
    return new Promise(resolve => {
      this.#server.close(() => { resolve() })
      this.#server.closeIdleConnections()
    })
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      const answer = await this.#answer(request)
      this.#send(response, answer)
    } catch (thrown) {
      this.#send(response, problemAnswer(asFailure(thrown)))
    }
  }

  #answer (request: IncomingMessage): Promise<HttpAnswer> {
    const url = urlOf(request)
    const found = this.#routes.map(route => ({ route, parameters: matchPath(route.path, url.pathname) })).filter(match => match.parameters !== undefined)
    const match = found.find(({ route }) => route.method === request.method)
    if (found.length === 0) throw new CornelgaugeError('not-found')
    if (match === undefined) throw new CornelgaugeError('method-not-allowed', { members: { allowed: found.map(({ route }) => route.method) } })
    return match.route.answer({
      method: match.route.method,
      path: url.pathname,
      parameters: match.parameters!,
      query: url.searchParams,
      header: name => singleHeader(request.headers[name]),
      body: maximumBytes => readRequestBody(request, maximumBytes)
    })
  }

  #send (response: ServerResponse, answer: HttpAnswer): void {
    const isText = typeof answer.body === 'string'
    const text = isText ? answer.body as string : JSON.stringify(answer.body)
    const headers = { 'content-type': isText ? 'text/plain; charset=utf-8' : 'application/json', ...answer.headers, 'content-length': String(Buffer.byteLength(text)) }
    response.writeHead(answer.status, this.#closing ? { ...headers, connection: 'close' } : headers)
    response.end(text)
  }
}

function problemAnswer (failure: CornelgaugeError): HttpAnswer {
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
  const wanted = pattern.split('/')
  const given = path.split('/')
  if (wanted.length !== given.length) return undefined
  const parameters: Record<string, string> = {}
  for (const [index, part] of wanted.entries()) {
    const text = given[index]!
    if (!part.startsWith('{')) {
      if (part !== text) return undefined
    } else {
      parameters[part.slice(1, -1)] = decodeSegment(text)
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
