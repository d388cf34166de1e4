/**
 * A complete deployment as plain processes on loopback: stand-ins, relays and daemons.
 */
import { randomBytes } from 'node:crypto'
import { CornelgaugeError } from '@cornelgauge/model'
import { HttpVmList, systemClock } from '@cornelgauge/ports'
import { claimDeployment, type DeploymentClaim } from './local-claim.js'
import { entryCommand, entryEnvironment, EntryOperator, type LocalCredentials } from './local-entry.js'
import { listedVms, planDeployment, type EntryPlan, type LocalPlan } from './local-plan.js'
import { LocalProcess } from './local-process.js'
import { LocalRelays } from './local-relays.js'
import type { DeploymentSizes } from './local-sizes.js'
import { standInCommands, type StandInCommand } from './local-stand-ins.js'
import { parseProcessLine, type ProcessLine } from './process-line.js'

const START_MILLISECONDS = 60_000
const STAND_IN_GRACE_MILLISECONDS = 2000
const SETUP_CALL_MILLISECONDS = 5000
const TOKEN_BYTES = 24

/** What to start. */
export interface LocalDeploymentOptions {
  readonly sizes: DeploymentSizes
  /** Path of the daemon's main module. */
  readonly daemonMain: string
  /** Text of the initial environment document. */
  readonly document: string
  readonly logLevel: string
  /** How long a daemon may take to shut down after SIGTERM before it is killed. */
  readonly daemonGraceMilliseconds: number
  /** Receives each line of output of each process. */
  readonly onLine?: (processName: string, line: string) => void
  /** Called for each process that exits without having been stopped. */
  readonly onUnexpectedEnd?: (process: LocalProcess) => void
}

const token = (): string => randomBytes(TOKEN_BYTES).toString('hex')

/**
 * Starts and stops a local deployment, and describes its processes. A process that exits is not restarted.
 *
 * @example
 * const deployment = new LocalDeployment(options)
 * await deployment.launch()
 * await deployment.makeReady()
 * await deployment.stop()
 */
export class LocalDeployment {
  readonly #options: LocalDeploymentOptions
  readonly credentials: LocalCredentials
  readonly #standIns: LocalProcess[] = []
  readonly #daemons: LocalProcess[] = []
  #lines: readonly ProcessLine[] = []
  #claim: DeploymentClaim | undefined
  #plan: LocalPlan | undefined
  #relays: LocalRelays | undefined
  #stopped: Promise<void> | undefined

  constructor (options: LocalDeploymentOptions) {
    this.#options = options
    this.credentials = {
      workspaces: Object.fromEntries(options.sizes.workspaces.map(name => [name, token()])),
      operator: token(),
      peerSecret: token()
    }
  }

  /** One line per service, the entry VMs last. */
  get processLines (): readonly ProcessLine[] {
    return this.#lines
  }

  get plan (): LocalPlan {
    if (this.#plan === undefined) throw new CornelgaugeError('not-ready', { detail: 'The deployment was not launched' })
    return this.#plan
  }

  get relays (): LocalRelays {
    if (this.#relays === undefined) throw new CornelgaugeError('not-ready', { detail: 'The deployment was not launched' })
    return this.#relays
  }

  /** Starts the stand-ins, fills the VM list, then starts the relays and the daemons. */
  async launch (): Promise<void> {
    this.#claim = await claimDeployment()
    this.#checkAlive()
    this.#plan = planDeployment(this.#options.sizes, this.#claim.deploymentNumber)
    const standIns = await Promise.all(standInCommands(this.plan).map(command => this.#startStandIn(command)))
    this.#lines = standIns.flat()
    await this.#fillVmList()
    this.#checkAlive()
    this.#relays = new LocalRelays(this.plan)
    await this.#relays.listen()
    this.#checkAlive()
    this.#lines = [...this.#lines, ...this.plan.entries.map(entry => this.#startDaemon(entry))]
  }

  /** Installs the initial environment document, and waits until every entry VM is ready. */
  async makeReady (): Promise<void> {
    const operator = new EntryOperator(systemClock, this.credentials.operator, () => this.#checkAlive())
    const addresses = this.plan.entries.map(({ address }) => address)
    await operator.waitForHealth(addresses, 'live', START_MILLISECONDS)
    await operator.introduceDocument(addresses[0]!, this.#options.document, START_MILLISECONDS)
    await operator.waitForHealth(addresses, 'ready', START_MILLISECONDS)
  }

  /** Shuts the daemons down gracefully, then the stand-ins and relays. */
  stop (): Promise<void> {
    this.#stopped ??= this.#stopAll()
    return this.#stopped
  }

  /** Kills every process without a grace time. */
  kill (): Promise<void> {
    this.#stopped ??= Promise.resolve()
    return this.#endAll([...this.#daemons, ...this.#standIns], 0)
  }

  async #stopAll (): Promise<void> {
    await this.#endAll(this.#daemons, this.#options.daemonGraceMilliseconds)
    await this.#endAll(this.#standIns, STAND_IN_GRACE_MILLISECONDS)
    await this.#relays?.close()
    await this.#claim?.release()
  }

  async #endAll (processes: readonly LocalProcess[], graceMilliseconds: number): Promise<void> {
    await Promise.all(processes.map(process => process.stop(graceMilliseconds)))
  }

  /** Fails if the deployment was stopped, or if one of its processes has exited. */
  #checkAlive (): void {
    if (this.#stopped !== undefined) throw new CornelgaugeError('not-ready', { detail: 'The deployment was stopped' })
    const ended = [...this.#standIns, ...this.#daemons].find(process => process.hasEnded)
    if (ended !== undefined) throw new CornelgaugeError('internal', { detail: ended.describeEnd() })
  }

  /** Resolves with the process lines once all services of the process listen. */
  #startStandIn ({ name, command, services }: StandInCommand): Promise<readonly ProcessLine[]> {
    return new Promise((resolve, reject) => {
      const lines: ProcessLine[] = []
      const onLine = (text: string): void => {
        const line = parseProcessLine(text)
        if (line !== undefined) lines.push(line)
        if (line !== undefined && lines.length === services) resolve(lines)
        this.#options.onLine?.(name, text)
      }
      const { onUnexpectedEnd } = this.#options
      const standIn = new LocalProcess({ name, command, onLine, onUnexpectedEnd })
      standIn.ended.then(() => reject(new CornelgaugeError('internal', { detail: standIn.describeEnd() })))
      this.#standIns.push(standIn)
    })
  }

  #startDaemon (entry: EntryPlan): ProcessLine {
    const { name, address } = entry
    const command = entryCommand(this.#options.daemonMain, this.plan, entry)
    const environment = entryEnvironment(this.credentials, this.#options.logLevel)
    const { onUnexpectedEnd } = this.#options
    const daemon = new LocalProcess({ name, command, environment, onLine: line => this.#options.onLine?.(name, line), onUnexpectedEnd })
    this.#daemons.push(daemon)
    return { role: 'entry', name, pid: daemon.pid, address, command: command.map(quote).join(' '), environment }
  }

  async #fillVmList (): Promise<void> {
    const vms = new HttpVmList({ address: this.plan.vmList, timeoutMilliseconds: SETUP_CALL_MILLISECONDS })
    try {
      for (const vm of listedVms(this.plan)) await vms.setVm(vm)
    } finally {
      await vms.close()
    }
  }
}

/** Quotes a word for a shell, if it needs quotes. */
function quote (word: string): string {
  return /^[\w@%+=:,./-]+$/.test(word) ? word : `'${word.replaceAll("'", "'\\''")}'`
}
