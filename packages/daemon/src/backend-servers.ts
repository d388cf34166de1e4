/**
 * Clients of the backend servers, one each, opened when first needed.
 */
import { CornelgaugeError, type BackendServerName } from '@cornelgauge/model'
import { HttpBackendServer, type BackendServer } from '@cornelgauge/ports'

const COMMAND_TIMEOUT_MILLISECONDS = 2000
const CONNECTIONS = 4

interface Connected {
  readonly address: string
  readonly client: HttpBackendServer
}

/** Finds the client of a backend server. */
export interface ServerClients {
  locate (name: BackendServerName, address: string): void
  get (name: BackendServerName): BackendServer
}

/** Keeps a client for each backend server that the VM list names. */
export class BackendServers implements ServerClients {
  readonly #localAddress: string
  readonly #addresses = new Map<BackendServerName, string>()
  readonly #clients = new Map<BackendServerName, Connected>()

  constructor (localAddress: string) {
    this.#localAddress = localAddress
  }

  /** Notes where a backend server is. */
  locate (name: BackendServerName, address: string): void {
    this.#addresses.set(name, address)
  }

  /** The client of a backend server. */
  get (name: BackendServerName): BackendServer {
    const address = this.#addresses.get(name)
    if (address === undefined) throw new CornelgaugeError('unavailable', { detail: `The VM list has no backend server ${name}` })
    const connected = this.#clients.get(name)
    if (connected?.address === address) return connected.client
    connected?.client.close().catch(() => {})
    const client = new HttpBackendServer({ address, timeoutMilliseconds: COMMAND_TIMEOUT_MILLISECONDS, connections: CONNECTIONS, localAddress: this.#localAddress })
    this.#clients.set(name, { address, client })
    return client
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await Promise.all([...this.#clients.values()].map(({ client }) => client.close()))
  }
}
