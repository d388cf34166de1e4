/**
 * Starts the daemon of an entry VM, polls its health, and installs the initial
 * environment document.
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

/** Path of the daemon's main module, unless the options name another one. */
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
 * The environment variables of an entry VM's daemon: its secrets, which other users could
 * read on a command line, and its log level.
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

/** One attempt of a repeated operation; `false` requests another one. */
type Attempt = () => Promise<boolean>

/**
 * Waits for entry VMs and configures them with an operator's token.
 *
 * @example
 * await new EntryOperator(systemClock, token, () => {}).waitForHealth(addresses, 'live', 30_000)
 */
export class EntryOperator {
  readonly #clock: Clock
  readonly #token: string
  readonly #checkAlive: () => void

  /** `checkAlive` is called before each attempt, and throws to end the wait early. */
  constructor (clock: Clock, token: string, checkAlive: () => void) {
    this.#clock = clock
    this.#token = token
    this.#checkAlive = checkAlive
  }

  /** Waits until the health check `live` or `ready` of each address succeeds. Fails with `timeout`. */
  async waitForHealth (addresses: readonly string[], health: 'live' | 'ready', limitMilliseconds: number): Promise<void> {
    const wait = (address: string): Promise<void> => this.#withClient(address, client =>
      this.#repeat(`${address} is not ${health}`, limitMilliseconds, async () => {
        await client.call({ method: 'GET', path: `/health/${health}` })
        return true
      }))
    await Promise.all(addresses.map(wait))
  }

  /** Uploads the initial document and promotes it. Has no effect if it is already installed. */
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
      // An earlier attempt whose response was lost has already uploaded it.
      if (failure instanceof CornelgaugeError && failure.code === 'version-conflict') return digestOf(text)
      throw failure
    }
  }

  #headers (contentType: string): Readonly<Record<string, string>> {
    return { authorization: `Bearer ${this.#token}`, 'content-type': contentType }
  }

  /** Repeats an attempt until it succeeds or the limit has passed. A failure that must not be retried is thrown at once. */
  async #repeat (failureText: string, limitMilliseconds: number, attempt: Attempt): Promise<void> {
    const end = this.#clock.now() + limitMilliseconds
    let lastFailure: unknown
    while (this.#clock.now() < end) {
      this.#checkAlive()
      try {
        if (await attempt()) return
      } catch (failure) {
        if (failure instanceof CornelgaugeError && failure.retry === 'never') throw failure
        lastFailure = failure
      }
      await new Promise<void>(resolve => this.#clock.after(POLL_MILLISECONDS, resolve))
    }
    const detail = `${failureText} after ${limitMilliseconds} ms: ${lastFailure instanceof Error ? lastFailure.message : 'no answer'}`
    throw new CornelgaugeError('timeout', { detail, cause: lastFailure })
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
