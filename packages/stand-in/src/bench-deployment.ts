/** The local deployment under benchmark, with its clients and process control. */
import { readFile } from 'node:fs/promises'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { homeCell, parseDocument, type EnvironmentDocument } from '@cornelgauge/environment'
import { CornelgaugeError, requestKey, workspaceName } from '@cornelgauge/model'
import { HttpClient, systemClock } from '@cornelgauge/ports'
import { LocalDeployment } from './local-deployment.js'
import { DAEMON_MAIN, entryCommand, entryEnvironment, EntryOperator } from './local-entry.js'
import { LocalProcess } from './local-process.js'
import { DEPLOYMENTS, type DeploymentSizes } from './local-sizes.js'

const CALL_MILLISECONDS = 3000
const READY_MILLISECONDS = 30_000
const GRACE_MILLISECONDS = 20_000
const PROBE_PAUSE_MILLISECONDS = 20
const PROBE_WAIT_MILLISECONDS = 150
const PROBE_LIMIT_MILLISECONDS = 30_000
const CONNECTIONS = 96
const WORKSPACE = 'ustredi'
const DOCUMENT = fileURLToPath(new URL('../../../../examples/hlidka.yaml', import.meta.url))

/** The part of the system's status that the bench reads. */
export interface BenchStatus {
  readonly vms: readonly { readonly vm: string, readonly memoryBytes: number, readonly processorMilliseconds: number }[]
  readonly cells: readonly { readonly cell: string, readonly owner: string }[]
}

/** A local deployment to benchmark, with an HTTP client for each entry VM. Its daemons can be signalled and restarted. */
export class BenchDeployment {
  readonly #deployment: LocalDeployment
  readonly #document: EnvironmentDocument
  readonly #clients = new Map<string, HttpClient>()
  readonly #processes = new Map<string, { pid: number, child?: LocalProcess }>()
  #keyCount = 0

  private constructor (deployment: LocalDeployment, document: EnvironmentDocument) {
    this.#deployment = deployment
    this.#document = document
  }

  static async start (changes: Partial<DeploymentSizes> = {}): Promise<BenchDeployment> {
    const document = await readFile(DOCUMENT, 'utf8')
    const deployment = new LocalDeployment({ sizes: { ...DEPLOYMENTS.hlidka!, ...changes }, daemonMain: DAEMON_MAIN, document, logLevel: 'error', daemonGraceMilliseconds: GRACE_MILLISECONDS })
    await deployment.launch()
    await deployment.makeReady()
    const bench = new BenchDeployment(deployment, parseDocument(document).document)
    for (const line of deployment.processLines.filter(({ role }) => role === 'entry')) bench.#processes.set(line.name, { pid: line.pid })
    for (const { name, address } of deployment.plan.entries) bench.#clients.set(name, new HttpClient({ address, timeoutMilliseconds: CALL_MILLISECONDS, connections: CONNECTIONS }))
    return bench
  }

  get vms (): readonly string[] {
    return [...this.#clients.keys()]
  }

  /** A new request key whose home cell is this one. */
  keyOf (cell: string): string {
    for (;;) {
      const key = `bench-${++this.#keyCount}`
      if (homeCell(this.#document, workspaceName(WORKSPACE), requestKey(key)) === cell) return key
    }
  }

  status (vm: string): Promise<BenchStatus> {
    return this.#clients.get(vm)!.json({ method: 'GET', path: '/v1/status', headers: { authorization: `Bearer ${this.#deployment.credentials.operator}` } })
  }

  /** The owner of a cell, according to the status of the queried VM. */
  async ownerOf (cell: string, queriedVm = this.vms[0]!): Promise<string> {
    const { cells } = await this.status(queriedVm)
    const entry = cells.find(candidate => candidate.cell === cell)
    if (entry === undefined) throw new CornelgaugeError('no-owner', { detail: `${cell} has no owner` })
    return entry.owner
  }

  /** Submits one availability check of 1 ms, and returns the state in the response. */
  async submit (vm: string, key: string, waitMilliseconds: number): Promise<string> {
    const answer = await this.#clients.get(vm)!.json<{ state: string }>({
      method: 'POST',
      path: `/v1/workspaces/${WORKSPACE}/requests?waitMilliseconds=${waitMilliseconds}`,
      body: JSON.stringify({ kind: 'availability-check', payload: { durationMilliseconds: 1, echo: key }, deadlineMilliseconds: GRACE_MILLISECONDS }),
      headers: { authorization: `Bearer ${this.#deployment.credentials.workspaces[WORKSPACE]!}`, 'idempotency-key': key, 'content-type': 'application/json' },
      waitMilliseconds
    })
    return answer.state
  }

  /** Retries a new request of the cell until it has finished, and returns the milliseconds that took. */
  async timeUntilServed (vm: string, cell: string): Promise<number> {
    const startedAt = performance.now()
    const key = this.keyOf(cell)
    while (performance.now() - startedAt < PROBE_LIMIT_MILLISECONDS) {
      const state = await this.submit(vm, key, PROBE_WAIT_MILLISECONDS).catch(() => 'failed-call')
      if (state === 'finished') return performance.now() - startedAt
      await sleep(PROBE_PAUSE_MILLISECONDS)
    }
    throw new CornelgaugeError('timeout', { detail: `${cell} was not served again` })
  }

  /** Sends a signal to the daemon of an entry VM. */
  signal (vm: string, signal: 'SIGKILL' | 'SIGTERM'): void {
    process.kill(this.#processes.get(vm)!.pid, signal)
  }

  /** Waits for a signalled daemon to exit, starts it again, and waits until it is ready. */
  async restart (vm: string): Promise<void> {
    const { plan, credentials } = this.#deployment
    const entry = plan.entries.find(({ name }) => name === vm)!
    await this.#waitForEnd(this.#processes.get(vm)!.pid)
    const child = new LocalProcess({ name: vm, command: entryCommand(DAEMON_MAIN, plan, entry), environment: entryEnvironment(credentials, 'error') })
    this.#processes.set(vm, { pid: child.pid, child })
    await new EntryOperator(systemClock, credentials.operator, () => {}).waitForHealth([entry.address], 'ready', READY_MILLISECONDS)
  }

  async stop (): Promise<void> {
    await Promise.all([...this.#clients.values()].map(client => client.close()))
    await Promise.all([...this.#processes.values()].map(({ child }) => child?.stop(GRACE_MILLISECONDS)))
    await this.#deployment.stop()
  }

  async #waitForEnd (pid: number): Promise<void> {
    for (let passed = 0; passed < GRACE_MILLISECONDS && isAlive(pid); passed += PROBE_PAUSE_MILLISECONDS) await sleep(PROBE_PAUSE_MILLISECONDS)
  }
}

function isAlive (pid: number): boolean {
  try {
    return process.kill(pid, 0)
  } catch {
    return false
  }
}
