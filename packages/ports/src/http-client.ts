/**
 * The HTTP client that all clients of the platform share: one pool of a bounded
 * number of connections, a time limit on each call, and typed failures.
 */
import { CornelgaugeError, fromProblem, type ProblemDetails } from '@cornelgauge/model'
import { Pool } from 'undici'

const DEFAULT_CONNECTIONS = 4

/** How to reach a service of the platform. */
export interface HttpClientOptions {
  /** `ip:port`. */
  readonly address: string
  /** How long to wait for a whole answer. */
  readonly timeoutMilliseconds: number
  /** Most connections at once. */
  readonly connections?: number
  /** The IP number that connections come from. */
  readonly localAddress?: string
}

/** One call. */
export interface HttpCall {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  readonly path: string
  readonly body?: string | Uint8Array
  readonly headers?: Readonly<Record<string, string>>
  /** Time that the service may take on purpose, beyond the time limit. */
  readonly waitMilliseconds?: number
}

/** What came back. */
export interface HttpAnswer {
  readonly status: number
  readonly body: Uint8Array
}

const FIRST_ERROR_STATUS = 400

/**
 * Calls one address. Fails with the code that the service gave, or with `timeout`
 * or `unavailable` where no whole answer came: then the effect is not known.
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

  async call (call: HttpCall): Promise<HttpAnswer> {
    const answer = await this.#exchange(call)
    if (answer.status >= FIRST_ERROR_STATUS) throw failureOf(answer, this.#address)
    return answer
  }

  /** Calls and reads the answer as JSON. */
  async json<Result> (call: HttpCall): Promise<Result> {
    const { body } = await this.call(call)
    return JSON.parse(Buffer.from(body).toString()) as Result
  }

  /** Posts JSON and reads the answer as JSON. */
  post<Result> (path: string, body: unknown, waitMilliseconds = 0): Promise<Result> {
    return this.json({ method: 'POST', path, body: JSON.stringify(body), waitMilliseconds })
  }

  close (): Promise<void> {
    return this.#pool.destroy()
  }

  async #exchange ({ method, path, body, headers: given, waitMilliseconds }: HttpCall): Promise<HttpAnswer> {
    const signal = AbortSignal.timeout(this.#timeoutMilliseconds + (waitMilliseconds ?? 0))
    try {
      const headers = { 'content-type': typeof body === 'string' ? 'application/json' : 'application/octet-stream', ...given }
      const { statusCode, body: stream } = await this.#pool.request({ method, path, body, headers, signal })
      return { status: statusCode, body: new Uint8Array(await stream.arrayBuffer()) }
    } catch (cause) {
      const code = signal.aborted ? 'timeout' : 'unavailable'
      throw new CornelgaugeError(code, { detail: `${method} ${path} at ${this.#address}: ${describe(cause)}`, cause })
    }
  }
}

/**
 * Turns `not-found` into `undefined`, and leaves every other failure alone.
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

function describe (cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause)
}

/** The failure that an error answer tells of; `unavailable` where it is no problem of ours. */
function failureOf ({ status, body }: HttpAnswer, address: string): CornelgaugeError {
  try {
    const problem = JSON.parse(Buffer.from(body).toString()) as ProblemDetails
    if (typeof problem.code === 'string') return fromProblem(problem)
  } catch {
    // Not JSON: the status is all there is.
  }
  return new CornelgaugeError('unavailable', { detail: `${address} answered with status ${status}` })
}
