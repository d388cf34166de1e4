/**
 * The HTTP client of the table service.
 */
import { absentAsUndefined, HttpClient, type HttpClientOptions } from './http-client.js'
import type { ServiceCounters } from './rate-counter.js'
import type { RangeQuery, Row, TableService, Transaction } from './table-service.js'

/**
 * The table service over HTTP, with JSON bodies.
 *
 * @example
 * const tables = new HttpTableService({ address: '127.0.0.1:8000', timeoutMilliseconds: 1000 })
 * await tables.read('cells', 'praha')
 */
export class HttpTableService implements TableService {
  readonly #client: HttpClient

  constructor (options: HttpClientOptions) {
    this.#client = new HttpClient(options)
  }

  read (table: string, key: string): Promise<Row | undefined> {
    const path = `${rowsPath(table)}/${encodeURIComponent(key)}`
    return absentAsUndefined(this.#client.json<Row>({ method: 'GET', path }))
  }

  range ({ table, from, before, limit }: RangeQuery): Promise<readonly Row[]> {
    const query = new URLSearchParams()
    if (from !== undefined) query.set('from', from)
    if (before !== undefined) query.set('before', before)
    if (limit !== undefined) query.set('limit', String(limit))
    return this.#client.json({ method: 'GET', path: `${rowsPath(table)}?${query}` })
  }

  async write (transaction: Transaction): Promise<void> {
    await this.#client.post('/transactions', transaction)
  }

  counters (): Promise<ServiceCounters> {
    return this.#client.json({ method: 'GET', path: '/counters' })
  }

  close (): Promise<void> {
    return this.#client.close()
  }
}

function rowsPath (table: string): string {
  return `/tables/${encodeURIComponent(table)}/rows`
}
