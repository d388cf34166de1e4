/**
 * How an entry VM's daemon is started and asked for its health, and how the first
 * environment document gets in.
 */
import { fileURLToPath } from 'node:url'
import { CornelgaugeError, digestOf } from '@cornelgauge/model'
import { HttpClient, type Clock } from '@cornelgauge/ports'
import type { EntryPlan, LocalPlan } from './local-plan.js'

const POLL_MILLISECONDS = 100
const CALL_MILLISECONDS = 5000

/** The secrets of a deployment. */
export interface LocalCredentials {
  /** Token by workspace. */
  readonly workspaces: Readonly<Record<string, string>>
  readonly operator: string
  readonly peerSecret: string
}

/** Where the daemon's program is, unless another one is handed in. */
export const DAEMON_MAIN = fileURLToPath(new URL('../../../daemon/dist/src/main.js', import.meta.url))

/**
 * The command line of an entry VM's daemon.
 *
 * @example
 * entryCommand(DAEMON_MAIN, plan, plan.entries[0]).join(' ')
 */
export function entryCommand (daemonMain: string, plan: LocalPlan, entry: EntryPlan): readonly string[] {
  return [
    process.execPath, daemonMain,
    '--vm', entry.name,
    '--failure-domain', entry.failureDomain,
    '--address', entry.address,
    '--wire-address', entry.wireAddress,
    '--wire-advertise', entry.wireAdvertise,
    '--table-service', plan.tableService,
    '--object-store', plan.objectStore,
    '--vm-list', plan.vmList,
    '--environment', 'production'
  ]
}

/**
 * The environment variables of an entry VM's daemon: its secrets, which have no
 * place on a command line, and its log level.
 *
 * @example
 * entryEnvironment(credentials, 'warn').CORNELGAUGE_LOG_LEVEL // 'warn'
 */
export function entryEnvironment (credentials: LocalCredentials, logLevel: string): Readonly<Record<string, string>> {
  return {
    CORNELGAUGE_WORKSPACE_TOKENS: Object.entries(credentials.workspaces).map(([name, token]) => `${name}=${token}`).join(','),
    CORNELGAUGE_OPERATOR_TOKENS: credentials.operator,
    CORNELGAUGE_PEER_SECRETS: credentials.peerSecret,
    CORNELGAUGE_LOG_LEVEL: logLevel
  }
}

/** One attempt at something; `false` asks for another one. */
type Attempt = () => Promise<boolean>

/**
 * The launcher's view of the entry VMs.
 *
 * @example
 * await new EntryOperator({ clock, token, mayGoOn: () => true }).waitForHealth(addresses, 'live', 30_000)
 */
export class EntryOperator {
  readonly #clock: Clock
  readonly #token: string
  readonly #checkAlive: () => void

  /** `checkAlive` throws where there is no point in waiting any longer. */
  constructor (clock: Clock, token: string, checkAlive: () => void) {
    this.#clock = clock
    this.#token = token
    this.#checkAlive = checkAlive
  }

  /** Waits until each address says that it is `live` or `ready`. Fails with `timeout`. */
  async waitForHealth (addresses: readonly string[], health: 'live' | 'ready', limitMilliseconds: number): Promise<void> {
    const wait = (address: string): Promise<void> => this.#withClient(address, client =>
      this.#repeat(`${address} is not ${health}`, limitMilliseconds, async () => {
        await client.call({ method: 'GET', path: `/health/${health}` })
        return true
      }))
    await Promise.all(addresses.map(wait))
  }

  /** Puts the very first document and promotes it. Of no effect where it is there already. */
  async introduceDocument (address: string, text: string, limitMilliseconds: number): Promise<void> {
    await this.#withClient(address, async client => {
      await this.#repeat('the document was not accepted', limitMilliseconds, async () => {
        const digest = await this.#putDocument(client, text)
        await client.call({
          method: 'POST', path: '/v1/environment/promotion', body: JSON.stringify({ digest }), headers: this.#headers('application/json')
        })
        return true
      })
    })
  }

  async #putDocument (client: HttpClient, text: string): Promise<string> {
    const headers = { ...this.#headers('application/yaml'), 'if-none-match': '*' }
    try {
      const { digest } = await client.json<{ digest: string }>({ method: 'PUT', path: '/v1/environment/document', body: text, headers })
      return digest
    } catch (failure) {
      // An earlier try whose answer was lost has put it already.
      if (failure instanceof CornelgaugeError && failure.code === 'version-conflict') return digestOf(text)
      throw failure
    }
  }

  #headers (contentType: string): Readonly<Record<string, string>> {
    return { authorization: `Bearer ${this.#token}`, 'content-type': contentType }
  }

  /** Repeats an attempt until it succeeds. A failure that no retry can mend ends it at once. */
  async #repeat (complaint: string, limitMilliseconds: number, attempt: Attempt): Promise<void> {
    const end = this.#clock.now() + limitMilliseconds
    let last: unknown
    while (this.#clock.now() < end) {
      this.#checkAlive()
      try {
        if (await attempt()) return
      } catch (failure) {
        if (failure instanceof CornelgaugeError && failure.retry === 'never') throw failure
        last = failure
      }
      await new Promise<void>(resolve => this.#clock.after(POLL_MILLISECONDS, resolve))
    }
    const detail = `${complaint} after ${limitMilliseconds} ms: ${last instanceof Error ? last.message : 'no answer'}`
    throw new CornelgaugeError('timeout', { detail, cause: last })
  }

  async #withClient<Result> (address: string, use: (client: HttpClient) => Promise<Result>): Promise<Result> {
    const client = new HttpClient({ address, timeoutMilliseconds: CALL_MILLISECONDS, connections: 1 })
    try {
      return await use(client)
    } finally {
      await client.close()
    }
  }
}
