/**
 * Cases on real processes: a local deployment under load whose daemons are killed,
 * frozen and stopped in turn. They are checked against the same guarantees as all other cases.
 */
import { readFile } from 'node:fs/promises'
import { fileURLToPath } from 'node:url'
import { CELLS_TABLE, seededRandom, type Random } from '@cornelgauge/coordination'
import { asFailure, isFinal, type RequestState } from '@cornelgauge/model'
import { HttpClient, HttpTableService, systemClock, type Json, type LoggedExecution } from '@cornelgauge/ports'
import { MAXIMUM_PARTIAL_GANG_MILLISECONDS } from './call-log.js'
import type { CallerResponse } from './history.js'
import { LocalDeployment } from './local-deployment.js'
import { DAEMON_MAIN } from './local-entry.js'
import { LocalProcess } from './local-process.js'
import { DEPLOYMENTS } from './local-sizes.js'
import type { ProcessLine } from './process-line.js'
import { checkGuarantees, type Evidence } from './prove-rules.js'
import { ProofTally, type Proof } from './prove-table.js'

const CALL_MILLISECONDS = 15_000
const WAIT_MILLISECONDS = 3000
const DEADLINE_MILLISECONDS = 30_000
const GIVE_UP_MILLISECONDS = 60_000
const RETRY_MILLISECONDS = 200
const SWAPS = 300
const SWAP_INTERVAL_MILLISECONDS = 100
const RESTART_MILLISECONDS = 500
const KILL_INTERVAL_MILLISECONDS = 3000
const FREEZE_MILLISECONDS = 7000
const READY_MILLISECONDS = 20_000
const CONNECTIONS = 32
const EXAMPLE_DOCUMENT = fileURLToPath(new URL('../../../../examples/hlidka.yaml', import.meta.url))

interface RequestView {
  readonly state: RequestState
  readonly answer?: Json
}

/** Counts the entries by failure code or state. */
function countsOf (entries: Iterable<CallerResponse>): string {
  const counts = new Map<string, number>()
  for (const { code, state } of entries) {
    const name = code ?? state ?? 'nothing'
    counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  return [...counts].map(([name, count]) => `${name} ${count}`).join(', ') || 'none'
}

const sleep = (milliseconds: number): Promise<void> => new Promise(resolve => systemClock.after(milliseconds, resolve))

/** An entry VM of the deployment, across restarts of its daemon. */
class EntryVm {
  readonly line: ProcessLine
  readonly client: HttpClient
  /** False while calls are sent to other VMs. */
  acceptsCalls = true
  #pid: number
  #process: LocalProcess | undefined

  constructor (line: ProcessLine) {
    this.line = line
    this.#pid = line.pid
    this.client = new HttpClient({ address: line.address, timeoutMilliseconds: CALL_MILLISECONDS, connections: CONNECTIONS })
  }

  signal (name: 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' | 'SIGTERM'): void {
    process.kill(this.#pid, name)
  }

  /** Restarts the daemon from its command line and waits until it is ready. */
  async restart (): Promise<void> {
    this.#process = new LocalProcess({ name: this.line.name, command: ['/bin/sh', '-c', `exec ${this.line.command}`], environment: this.line.environment })
    this.#pid = this.#process.pid
    await this.#waitUntil(() => this.client.call({ method: 'GET', path: '/health/ready' }).then(() => true, () => false))
  }

  /** Waits until the daemon process has ended. */
  async waitUntilEnded (): Promise<void> {
    await this.#waitUntil(async () => !this.#isRunning())
  }

  async close (): Promise<void> {
    await this.#process?.stop(CALL_MILLISECONDS)
    await this.client.close()
  }

  #isRunning (): boolean {
    try {
      return process.kill(this.#pid, 0)
    } catch {
      return false
    }
  }

  async #waitUntil (condition: () => Promise<boolean>): Promise<void> {
    const end = systemClock.now() + READY_MILLISECONDS
    while (systemClock.now() < end && !await condition()) await sleep(RETRY_MILLISECONDS)
  }
}

/** A case on real processes. */
export type ProcessCase = (run: ProcessRun) => Promise<Evidence>

/** Every case on real processes by its name. */
export const PROCESS_CASES: Readonly<Record<string, ProcessCase>> = {
  'daemons-killed': run => run.killDaemons(),
  'owners-frozen': run => run.freezeOwners(),
  'daemons-stopped-in-turn': run => run.stopInTurn()
}

/** Runs cases one after another on one deployment of 9 daemons and prints a line about each. */
export async function proveOnProcesses (names: readonly string[], seed: number, print: (line: string) => void): Promise<Proof> {
  const tally = new ProofTally()
  const deployment = new LocalDeployment({
    sizes: DEPLOYMENTS.hlidka!,
    daemonMain: DAEMON_MAIN,
    document: await readFile(EXAMPLE_DOCUMENT, 'utf8'),
    logLevel: 'warn',
    daemonGraceMilliseconds: CALL_MILLISECONDS
  })
  try {
    await deployment.launch()
    await deployment.makeReady()
    const run = new ProcessRun(deployment, seed, print)
    for (const name of names) await tally.record(name, seed, async () => checkGuarantees(await PROCESS_CASES[name]!(run)))
    await run.close()
  } finally {
    await deployment.stop()
  }
  return tally
}

/** Calls a deployment and injects faults into its daemons. */
export class ProcessRun {
  readonly #deployment: LocalDeployment
  readonly #entries: readonly EntryVm[]
  readonly #random: Random
  readonly #print: (line: string) => void
  #disturbances = 0

  constructor (deployment: LocalDeployment, seed: number, print: (line: string) => void) {
    this.#deployment = deployment
    this.#entries = deployment.processLines.filter(line => line.role === 'entry').map(line => new EntryVm(line))
    this.#random = seededRandom(seed)
    this.#print = print
  }

  /** Stops the daemons that were restarted, and closes all clients. */
  async close (): Promise<void> {
    await Promise.all(this.#entries.map(entry => entry.close()))
  }

  /** Kills and restarts one daemon every few seconds. */
  killDaemons (): Promise<Evidence> {
    return this.#underLoad('killed', async isLoadSubmitted => {
      while (!isLoadSubmitted()) {
        const entry = this.#randomEntry()
        this.#disturbances += 1
        entry.signal('SIGKILL')
        await sleep(RESTART_MILLISECONDS)
        await entry.restart()
        await sleep(KILL_INTERVAL_MILLISECONDS)
      }
    })
  }

  /** Freezes the owner of a cell past its lease and resumes it, repeatedly. */
  freezeOwners (): Promise<Evidence> {
    return this.#underLoad('frozen', async isLoadSubmitted => {
      while (!isLoadSubmitted()) {
        const owner = await this.#findOwner()
        this.#disturbances += 1
        owner.signal('SIGSTOP')
        await sleep(FREEZE_MILLISECONDS)
        owner.signal('SIGCONT')
        await sleep(KILL_INTERVAL_MILLISECONDS)
      }
    })
  }

  /** Stops all daemons in turn with SIGTERM, and restarts each. */
  async stopInTurn (): Promise<Evidence> {
    const evidence = await this.#underLoad('stopped', async () => {
      for (const entry of this.#entries) {
        entry.acceptsCalls = false
        this.#disturbances += 1
        entry.signal('SIGTERM')
        await entry.waitUntilEnded()
        await entry.restart()
        entry.acceptsCalls = true
      }
    })
    const { submitted, responses } = evidence.history!
    return { ...evidence, duringPlannedStops: { keys: submitted.map(({ key }) => key), responses } }
  }

  async #underLoad (prefix: string, disturb: (isLoadSubmitted: () => boolean) => Promise<void>): Promise<Evidence> {
    this.#disturbances = 0
    const responses: CallerResponse[] = []
    const progress = { isLoadSubmitted: false }
    const disturbance = disturb(() => progress.isLoadSubmitted)
    const keys = Array.from({ length: SWAPS }, (_, index) => `${prefix}-${index}`)
    const calls: Promise<void>[] = []
    for (const key of keys) {
      calls.push(this.#submitAndPoll(key, responses))
      await sleep(SWAP_INTERVAL_MILLISECONDS)
    }
    progress.isLoadSubmitted = true
    await Promise.all([...calls, disturbance])
    const history = await this.#history(keys, responses)
    this.#print(`${prefix}: ${this.#disturbances} disturbances, ${keys.length} swaps, ${history.executions.length} starts, last responses ${countsOf(history.finalResponses.values())}; failed calls: ${countsOf(responses.filter(entry => entry.code !== undefined))}`)
    return { history }
  }

  async #history (keys: readonly string[], responses: readonly CallerResponse[]): Promise<NonNullable<Evidence['history']>> {
    const last = new Map<string, CallerResponse>()
    for (const key of keys) last.set(key, await this.#call(this.#randomEntry(), key, 'GET'))
    const ownKeys = new Set(keys)
    return {
      submitted: keys.map(key => ({ key, idempotent: false })),
      responses: [...responses, ...last.values()],
      executions: (await this.#executions()).filter(execution => ownKeys.has(execution.requestKey)),
      finalResponses: last,
      forgotten: new Set(),
      maximumPartialGangMilliseconds: MAXIMUM_PARTIAL_GANG_MILLISECONDS
    }
  }

  /** Submits until the state of the request is known, then polls until it ends. */
  async #submitAndPoll (key: string, responses: CallerResponse[]): Promise<void> {
    const giveUpAt = systemClock.now() + GIVE_UP_MILLISECONDS
    let method: 'POST' | 'GET' = 'POST'
    while (systemClock.now() < giveUpAt) {
      const entry = await this.#call(this.#randomEntry(), key, method)
      responses.push(entry)
      const isAnswered = entry.code === undefined
      if (isAnswered && isFinal(entry.state as RequestState)) return
      if (isAnswered) method = 'GET'
      else if (entry.state === 'not-run') return
      else await sleep(RETRY_MILLISECONDS)
    }
  }

  async #call (entry: EntryVm, key: string, method: 'POST' | 'GET'): Promise<CallerResponse> {
    const workspace = this.#deployment.plan.sizes.workspaces[0]!
    const path = `/v1/workspaces/${workspace}/requests${method === 'POST' ? '' : `/${key}`}?waitMilliseconds=${WAIT_MILLISECONDS}`
    const headers = { authorization: `Bearer ${this.#deployment.credentials.workspaces[workspace]}`, 'idempotency-key': key, 'content-type': 'application/json' }
    const body = JSON.stringify({ kind: 'shift-swap', payload: { durationMilliseconds: 100, echo: { key } }, deadlineMilliseconds: DEADLINE_MILLISECONDS })
    try {
      const view = await entry.client.json<RequestView>({ method, path, headers, body: method === 'POST' ? body : undefined, waitMilliseconds: WAIT_MILLISECONDS })
      return { key, receivedAt: systemClock.now(), state: view.state, answer: JSON.stringify(view.answer) }
    } catch (thrown) {
      const { code, state } = asFailure(thrown)
      return { key, receivedAt: systemClock.now(), state, code }
    }
  }

  #randomEntry (): EntryVm {
    const offered = this.#entries.filter(entry => entry.acceptsCalls)
    return offered[Math.floor(this.#random() * offered.length)]!
  }

  async #findOwner (): Promise<EntryVm> {
    const table = new HttpTableService({ address: this.#deployment.plan.tableService, timeoutMilliseconds: CALL_MILLISECONDS })
    try {
      const holders = (await table.range({ table: CELLS_TABLE })).map(row => row.value.holder)
      return this.#entries.find(entry => holders.includes(entry.line.name)) ?? this.#randomEntry()
    } finally {
      await table.close()
    }
  }

  async #executions (): Promise<readonly LoggedExecution[]> {
    const addresses = this.#deployment.processLines.filter(line => line.role === 'backend-server').map(line => line.address)
    const logs = await Promise.all(addresses.map(async address => {
      const client = new HttpClient({ address, timeoutMilliseconds: CALL_MILLISECONDS, connections: 1 })
      try {
        return await client.json<readonly LoggedExecution[]>({ method: 'GET', path: '/executions' })
      } finally {
        await client.close()
      }
    }))
    return logs.flat()
  }
}
