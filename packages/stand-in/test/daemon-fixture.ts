/**
 * A fixture for tests of bad input: one real daemon with its platform, as processes on loopback.
 */
import { once } from 'node:events'
import { connect } from 'node:net'
import { request } from 'undici'
import { LocalDeployment, DAEMON_MAIN, DEPLOYMENTS, type DeploymentSizes } from '../src/index.js'

const REPORT_POLLS = 40
const REPORT_PAUSE_MILLISECONDS = 50

/** An HTTP response. */
export interface Reply {
  readonly status: number
  readonly headers: Readonly<Record<string, unknown>>
  readonly body: Readonly<Record<string, unknown>>
}

/** An HTTP request. Omitted members have the defaults of `DaemonFixture.send`. */
export interface Call {
  readonly method?: string
  readonly path?: string
  readonly headers?: Readonly<Record<string, string | undefined>>
  readonly body?: string
}

const SIZES: DeploymentSizes = {
  ...DEPLOYMENTS.hlidka!,
  name: 'small',
  failureDomains: ['praha'],
  entryVmsPerDomain: 1,
  backendServersPerDomain: 4,
  oneWayMilliseconds: 0,
  workspaces: ['ustredi', 'pobocky', 'left-out']
}

/** One cell. The workspace `left-out` has a token, but is not in the document. */
export const DOCUMENT_TEXT = `
name: small
generation: 1
cells:
  - { name: praha, region: cechy, failureDomain: praha, racks: [{ name: praha-rack-1, servers: 4, slotsPerServer: 8, acceleratorsPerServer: 8 }] }
kinds:
  - { name: shift-swap, idempotent: false, urgent: true, shape: { slots: 1 }, declaredMilliseconds: 300, minimumShare: 0.2 }
workspaces:
  - { name: ustredi, guarantees: [] }
  - { name: pobocky, guarantees: [] }
times: { reclaimMilliseconds: 5000, retentionMilliseconds: 3600000, taskLeaseMilliseconds: 30000 }
`

/** A valid submission body, with members replaced or added. */
export const swapBody = (members: object = {}): string =>
  JSON.stringify({ kind: 'shift-swap', payload: { durationMilliseconds: 10, echo: 'own' }, deadlineMilliseconds: 20_000, ...members })

/** Starts one daemon, sends it arbitrary input, and reads the backend servers' records of starts. */
export class DaemonFixture {
  readonly #deployment = new LocalDeployment({
    sizes: SIZES, daemonMain: DAEMON_MAIN, document: DOCUMENT_TEXT, logLevel: 'warn', daemonGraceMilliseconds: 10_000
  })

  async start (): Promise<void> {
    await this.#deployment.launch()
    await this.#deployment.makeReady()
  }

  async stop (): Promise<void> {
    await this.#deployment.stop()
  }

  get pid (): number {
    return this.#deployment.processLines.find(line => line.role === 'entry')!.pid
  }

  get wireAddress (): string {
    return this.#deployment.plan.entries[0]!.wireAddress
  }

  get address (): string {
    return this.#deployment.plan.entries[0]!.address
  }

  /** The authorization header of a caller of this workspace. */
  caller (workspace = 'ustredi'): { readonly authorization: string } {
    return { authorization: `Bearer ${this.#deployment.credentials.workspaces[workspace]}` }
  }

  get operator (): { readonly authorization: string } {
    return { authorization: `Bearer ${this.#deployment.credentials.operator}` }
  }

  /** Sends a call; by default a submission to the workspace `ustredi`. */
  async send ({ method = 'POST', path = '/v1/workspaces/ustredi/requests?waitMilliseconds=10000', headers = {}, body }: Call): Promise<Reply> {
    const allHeaders = { ...this.caller(), 'content-type': 'application/json', ...headers }
    const response = await request(`http://${this.address}${path}`, { method: method as 'POST', headers: allHeaders, body })
    const text = await response.body.text()
    return { status: response.statusCode, headers: response.headers, body: isJson(response.headers) ? JSON.parse(text) as Reply['body'] : { text } }
  }

  /** Keys of all starts that the backend servers have recorded. */
  async startedKeys (): Promise<readonly string[]> {
    const lists = await Promise.all(this.#deployment.plan.backendServers.map(async ({ address }) => {
      const response = await request(`http://${address}/executions`)
      return await response.body.json() as readonly { readonly requestKey: string }[]
    }))
    return lists.flat().map(({ requestKey }) => requestKey)
  }

  /** Sends raw bytes, and resolves with everything received once the daemon has closed the connection. */
  async sendRaw (address: string, bytes: Buffer, { end = false } = {}): Promise<Buffer> {
    const [host, port] = address.split(':')
    const socket = connect({ host, port: Number(port), allowHalfOpen: true })
    const received: Buffer[] = []
    socket.on('data', data => received.push(data))
    socket.on('error', () => {})
    await once(socket, 'connect')
    const closed = new Promise(resolve => { socket.once('end', resolve).once('close', resolve) })
    socket.write(bytes)
    if (end) socket.end()
    await closed
    socket.destroy()
    return Buffer.concat(received)
  }

  /** How many events of the daemon contain this failure code. */
  async countFailureEvents (code: string): Promise<number> {
    const { body } = await this.send({ method: 'GET', path: '/v1/events?limit=5000', headers: this.operator })
    return (body.events as readonly unknown[]).filter(event => JSON.stringify(event).includes(`"${code}"`)).length
  }

  /** Polls until the count is above `before`, since the event may be recorded after the connection has closed. */
  async waitForFailureEventsAbove (code: string, before: number): Promise<number> {
    let count = await this.countFailureEvents(code)
    for (let poll = 1; poll < REPORT_POLLS && count <= before; poll++) {
      await new Promise(resolve => { setTimeout(resolve, REPORT_PAUSE_MILLISECONDS) })
      count = await this.countFailureEvents(code)
    }
    return count
  }
}

function isJson (headers: Reply['headers']): boolean {
  return /json/.test(String(headers['content-type']))
}
