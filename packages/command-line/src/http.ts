/** An HTTP client based on `undici` that reports failures as typed errors. */
import { CornelgaugeError, type ErrorCode } from '@cornelgauge/model'
import { request as send, type Dispatcher } from 'undici'

/** One HTTP request. */
export interface HttpRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  readonly url: string
  readonly headers: Readonly<Record<string, string>>
  readonly body?: string
  /** Timeout for the response headers, and for each pause while the body is received. */
  readonly timeoutMilliseconds: number
}

/** One HTTP response with its complete body. */
export interface HttpResponse {
  readonly status: number
  /** Headers by lower-case name. */
  readonly headers: Readonly<Record<string, string | undefined>>
  readonly text: string
}

/** Sends a request. Failures: `unavailable`, `timeout`, `connection-lost`. */
export type HttpPort = (request: HttpRequest) => Promise<HttpResponse>

/** Error codes by the code of `undici` or of the operating system; any other is `connection-lost`. */
const FAILURE_CODES: Readonly<Record<string, ErrorCode>> = {
  ECONNREFUSED: 'unavailable',
  ENOTFOUND: 'unavailable',
  EAI_AGAIN: 'unavailable',
  EHOSTUNREACH: 'unavailable',
  ENETUNREACH: 'unavailable',
  UND_ERR_CONNECT_TIMEOUT: 'unavailable',
  UND_ERR_HEADERS_TIMEOUT: 'timeout',
  UND_ERR_BODY_TIMEOUT: 'timeout'
}

function asTypedFailure (thrown: unknown, request: HttpRequest): CornelgaugeError {
  const { code = '', message = String(thrown) } = thrown as { readonly code?: string, readonly message?: string }
  const { origin } = new URL(request.url)
  return new CornelgaugeError(FAILURE_CODES[code] ?? 'connection-lost', {
    detail: `No complete response from ${origin}: ${message === '' ? code : message}`,
    cause: thrown
  })
}

function singleValues (headers: Dispatcher.ResponseData['headers']): HttpResponse['headers'] {
  return Object.fromEntries(Object.entries(headers).map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : value]))
}

/**
 * Creates a port that sends requests over the network.
 *
 * @param dispatcher - the `undici` agent to use; the global one by default
 * @example
 * const sendRequest = createHttpPort()
 * await sendRequest({ method: 'GET', url: 'http://127.0.0.1:8080/health/live', headers: {}, timeoutMilliseconds: 1_000 })
 */
export function createHttpPort (dispatcher?: Dispatcher): HttpPort {
  return async request => {
    const { method, url, headers, body, timeoutMilliseconds } = request
    try {
      const response = await send(url, { method, headers, body, headersTimeout: timeoutMilliseconds, bodyTimeout: timeoutMilliseconds, dispatcher })
      const bytes = Buffer.from(await response.body.arrayBuffer())
      return { status: response.statusCode, headers: singleValues(response.headers), text: bytes.toString('utf8') }
    } catch (thrown) {
      throw asTypedFailure(thrown, request)
    }
  }
}
