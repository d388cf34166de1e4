/**
 * The HTTP client of the object store.
 */
import { absentAsUndefined, HttpClient, type HttpClientOptions } from './http-client.js'
import type { ObjectStore } from './object-store.js'
import type { ServiceCounters } from './rate-counter.js'

/**
 * The object store over HTTP.
 *
 * @example
 * const objects = new HttpObjectStore({ address: '127.0.0.1:8000', timeoutMilliseconds: 5000 })
 * await objects.get('snapshots/praha/1')
 */
export class HttpObjectStore implements ObjectStore {
  readonly #client: HttpClient

  constructor (options: HttpClientOptions) {
    this.#client = new HttpClient(options)
  }

  async put (name: string, content: Uint8Array): Promise<void> {
    await this.#client.call({ method: 'PUT', path: objectPath(name), body: content })
  }

  async get (name: string): Promise<Uint8Array | undefined> {
    const answer = await absentAsUndefined(this.#client.call({ method: 'GET', path: objectPath(name) }))
    return answer?.body
  }

  async delete (name: string): Promise<void> {
    await this.#client.call({ method: 'DELETE', path: objectPath(name) })
  }

  list (prefix: string): Promise<readonly string[]> {
    return this.#client.json({ method: 'GET', path: `/objects?${new URLSearchParams({ prefix })}` })
  }

  counters (): Promise<ServiceCounters> {
    return this.#client.json({ method: 'GET', path: '/counters' })
  }

  close (): Promise<void> {
    return this.#client.close()
  }
}

function objectPath (name: string): string {
  return `/objects/${encodeURIComponent(name)}`
}
