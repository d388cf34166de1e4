/**
 * The HTTP client of a backend server.
 */
import type {
  BackendServer, ExecutionId, ExecutionReport, OwnerClaim, Preparation, WatchResponse, WatchRequest
} from './backend-server.js'
import type { LoggedExecution } from './execution-log.js'
import { HttpClient, type HttpClientOptions } from './http-client.js'

/**
 * A backend server over HTTP, with JSON bodies.
 *
 * @example
 * const server = new HttpBackendServer({ address: '127.0.0.1:8000', timeoutMilliseconds: 1000 })
 * await server.go({ cell, epoch }, [{ request, attempt: 1 }])
 */
export class HttpBackendServer implements BackendServer {
  readonly #client: HttpClient

  constructor (options: HttpClientOptions) {
    this.#client = new HttpClient(options)
  }

  prepare (claim: OwnerClaim, preparations: readonly Preparation[]): Promise<readonly ExecutionReport[]> {
    return this.#client.post('/prepare', { claim, preparations })
  }

  go (claim: OwnerClaim, executions: readonly ExecutionId[]): Promise<readonly ExecutionReport[]> {
    return this.#client.post('/go', { claim, executions })
  }

  fence (claim: OwnerClaim, executions: readonly ExecutionId[]): Promise<readonly ExecutionReport[]> {
    return this.#client.post('/fence', { claim, executions })
  }

  stop (claim: OwnerClaim, executions: readonly ExecutionId[]): Promise<readonly ExecutionReport[]> {
    return this.#client.post('/stop', { claim, executions })
  }

  checkpoint (claim: OwnerClaim, executions: readonly ExecutionId[]): Promise<readonly ExecutionReport[]> {
    return this.#client.post('/checkpoint', { claim, executions })
  }

  throttle (claim: OwnerClaim, executions: readonly ExecutionId[], share: number): Promise<readonly ExecutionReport[]> {
    return this.#client.post('/throttle', { claim, executions, share })
  }

  watch (request: WatchRequest): Promise<WatchResponse> {
    return this.#client.post('/watch', request, request.waitMilliseconds)
  }

  /** The log of all executions that the backend server has started. */
  executions (): Promise<readonly LoggedExecution[]> {
    return this.#client.json({ method: 'GET', path: '/executions' })
  }

  close (): Promise<void> {
    return this.#client.close()
  }
}
