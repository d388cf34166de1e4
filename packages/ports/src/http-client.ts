/**
 * The HTTP client behind all clients of platform services: a bounded connection
 * pool, a timeout for each call, and typed failures.
 */
import { CornelgaugeError, fromProblem, type ProblemDetails } from '@cornelgauge/model'
import { Pool } from 'undici'

const DEFAULT_CONNECTIONS = 4

/** Address and connection settings of a platform service. */
export interface HttpClientOptions {
  /** `ip:port`. */
  readonly address: string
  /** Time limit for the complete response. */
  readonly timeoutMilliseconds: number
  /** Maximum number of open connections. */
  readonly connections?: number
  /** The local IP address that connections are bound to. */
  readonly localAddress?: string
}

/** One HTTP request. */
export interface HttpCall {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  readonly path: string
  readonly body?: string | Uint8Array
  readonly headers?: Readonly<Record<string, string>>
  /** Time that the service may hold the request, as in long polling; added to the timeout. */
  readonly waitMilliseconds?: number
}

/** A complete HTTP response. */
export interface HttpResponse {
  readonly status: number
  readonly body: Uint8Array
}

const FIRST_ERROR_STATUS = 400

/**
 * Calls one address. Fails with the error code in the response, or with `timeout`
 * or `unavailable` if no complete response arrived: then the effect is unknown.
 *
 * @example
 * const client = new HttpClient({ address: '127.0.0.1:8080', timeoutMilliseconds: 1000 })
 * await client.call({ method: 'GET', path: '/counters' })
 */
export class HttpClient {
  readonly #pool: Pool
  readonly #address: string
  readonly #timeoutMilliseconds: number

  constructor ({ address, timeoutMilliseconds, connections, localAddress }: HttpClientOptions) {
    this.#address = address
    this.#timeoutMilliseconds = timeoutMilliseconds
    this.#pool = new Pool(`http://${address}`, {
      connections: connections ?? DEFAULT_CONNECTIONS,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      ...(localAddress === undefined ? {} : { localAddress })
    })
  }

  async call (call: HttpCall): Promise<HttpResponse> {
    const answer = await this.#exchange(call)
    if (answer.status >= FIRST_ERROR_STATUS) throw failureFromResponse(answer, this.#address)
    return answer
  }

  /** Makes a call and parses the response as JSON. */
  async json<Result> (call: HttpCall): Promise<Result> {
    const { body } = await this.call(call)
    return JSON.parse(Buffer.from(body).toString()) as Result
  }

  /** Posts JSON and parses the response as JSON. */
  post<Result> (path: string, body: unknown, waitMilliseconds = 0): Promise<Result> {
    return this.json({ method: 'POST', path, body: JSON.stringify(body), waitMilliseconds })
  }

  close (): Promise<void> {
    return this.#pool.destroy()
  }

  async #exchange ({ method, path, body, headers: given, waitMilliseconds }: HttpCall): Promise<HttpResponse> {
    const signal = AbortSignal.timeout(this.#timeoutMilliseconds + (waitMilliseconds ?? 0))
    try {
      const headers = { 'content-type': typeof body === 'string' ? 'application/json' : 'application/octet-stream', ...given }
      const { statusCode, body: stream } = await this.#pool.request({ method, path, body, headers, signal })
      return { status: statusCode, body: new Uint8Array(await stream.arrayBuffer()) }
    } catch (cause) {
      const code = signal.aborted ? 'timeout' : 'unavailable'
      throw new CornelgaugeError(code, { detail: `${method} ${path} at ${this.#address}: ${messageOf(cause)}`, cause })
    }
  }
}

/**
 * Converts a `not-found` failure to `undefined` and rethrows every other failure.
 *
 * @example
 * await absentAsUndefined(client.json({ method: 'GET', path: '/tables/cells/rows/praha' }))
 */
export async function absentAsUndefined<Result> (answer: Promise<Result>): Promise<Result | undefined> {
  try {
    return await answer
  } catch (failure) {
    if (failure instanceof CornelgaugeError && failure.code === 'not-found') return undefined
    throw failure
  }
}

function messageOf (cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause)
}

/** The failure described by an error response; `unavailable` if its body is not problem details with a code. */
function failureFromResponse ({ status, body }: HttpResponse, address: string): CornelgaugeError {
  try {
    const problem = JSON.parse(Buffer.from(body).toString()) as ProblemDetails
    if (typeof problem.code === 'string') return fromProblem(problem)
  } catch {
    // The body is not JSON, so only the status is known.
  }
  return new CornelgaugeError('unavailable', { detail: `${address} answered with status ${status}` })
}
