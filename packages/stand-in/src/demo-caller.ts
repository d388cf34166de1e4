/**
 * The caller of the demonstration. It sends each call to the next entry VM in turn, and
 * returns the response unchanged.
 */
import { request } from 'undici'

const CALL_LIMIT_MILLISECONDS = 30_000

/** A call on one request of a workspace. */
export interface DemoCall {
  readonly method: 'GET' | 'POST' | 'DELETE'
  readonly workspace: string
  readonly key: string
  readonly waitMilliseconds?: number
  readonly body?: Readonly<Record<string, unknown>>
}

/** The response to a call. */
export interface DemoReply {
  readonly status: number
  readonly body: Readonly<Record<string, unknown>>
}

/** Addresses and credentials of the deployment. */
export interface DemoCallerOptions {
  /** `ip:port` of each entry VM. */
  readonly entries: readonly string[]
  /** Token by workspace. */
  readonly tokens: Readonly<Record<string, string>>
  readonly operatorToken: string
  /** `ip:port` of each backend server. */
  readonly backendServers: readonly string[]
}

interface Execution {
  readonly workspace: string
  readonly requestKey: string
}

/**
 * Calls the entry VMs round-robin.
 *
 * @example
 * const { status } = await new DemoCaller(options).call({ method: 'GET', workspace: 'ustredi', key: 'swap-1' })
 */
export class DemoCaller {
  readonly #options: DemoCallerOptions
  #calls = 0

  constructor (options: DemoCallerOptions) {
    this.#options = options
  }

  /** Sends one call. */
  call ({ method, workspace, key, waitMilliseconds = 0, body }: DemoCall): Promise<DemoReply> {
    const requests = `/v1/workspaces/${workspace}/requests`
    const path = method === 'POST' ? requests : `${requests}/${key}`
    const headers = { ...authorization(this.#options.tokens[workspace]!), 'idempotency-key': key }
    return this.#send(method, `${path}?waitMilliseconds=${waitMilliseconds}`, headers, body)
  }

  /** The events of one request, from all VMs. */
  async events (workspace: string, key: string): Promise<readonly unknown[]> {
    const path = `/v1/events?request=${encodeURIComponent(`${workspace}/${key}`)}&limit=5000`
    const { body } = await this.#send('GET', path, authorization(this.#options.operatorToken))
    return body.events as readonly unknown[]
  }

  /** How many starts of a request the backend servers have recorded. */
  async starts (workspace: string, key: string): Promise<number> {
    const lists = await Promise.all(this.#options.backendServers.map(executionsAt))
    return lists.flat().filter(execution => execution.workspace === workspace && execution.requestKey === key).length
  }

  async #send (method: DemoCall['method'], path: string, headers: Record<string, string>, body?: object): Promise<DemoReply> {
    const { entries } = this.#options
    const entry = entries[this.#calls % entries.length]!
    this.#calls += 1
    const response = await request(`http://${entry}${path}`, {
      method,
      headers: { ...headers, 'content-type': 'application/json' },
      body: body === undefined ? undefined : JSON.stringify(body),
      headersTimeout: CALL_LIMIT_MILLISECONDS
    })
    return { status: response.statusCode, body: await response.body.json() as DemoReply['body'] }
  }
}

async function executionsAt (address: string): Promise<readonly Execution[]> {
  const response = await request(`http://${address}/executions`)
  return await response.body.json() as readonly Execution[]
}

function authorization (token: string): Record<string, string> {
  return { authorization: `Bearer ${token}` }
}
