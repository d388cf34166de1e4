/** HTTP clients of the backend servers: one for each server, created on first use. */
import { CornelgaugeError, type BackendServerName } from '@cornelgauge/model'
import { HttpBackendServer, type BackendServer } from '@cornelgauge/ports'

const COMMAND_TIMEOUT_MILLISECONDS = 2000
const CONNECTIONS_PER_SERVER = 4

interface ConnectedServer {
  readonly address: string
  readonly client: HttpBackendServer
}

/** Provides the clients of backend servers by name. */
export interface ServerClients {
  setAddress (name: BackendServerName, address: string): void
  get (name: BackendServerName): BackendServer
}

/** Caches a client for each backend server in the VM list, and replaces it when the server's address changes. */
export class BackendServers implements ServerClients {
  readonly #localAddress: string
  readonly #addresses = new Map<BackendServerName, string>()
  readonly #clients = new Map<BackendServerName, ConnectedServer>()

  constructor (localAddress: string) {
    this.#localAddress = localAddress
  }

  /** Sets the address of a backend server. */
  setAddress (name: BackendServerName, address: string): void {
    this.#addresses.set(name, address)
  }

  /** Returns the client of a backend server. Throws `unavailable` if its address is not known. */
  get (name: BackendServerName): BackendServer {
    const address = this.#addresses.get(name)
    if (address === undefined) throw new CornelgaugeError('unavailable', { detail: `The VM list has no backend server ${name}` })
    const connected = this.#clients.get(name)
    if (connected?.address === address) return connected.client
    connected?.client.close().catch(() => {})
    const client = new HttpBackendServer({ address, timeoutMilliseconds: COMMAND_TIMEOUT_MILLISECONDS, connections: CONNECTIONS_PER_SERVER, localAddress: this.#localAddress })
    this.#clients.set(name, { address, client })
    return client
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await Promise.all([...this.#clients.values()].map(({ client }) => client.close()))
  }
}
