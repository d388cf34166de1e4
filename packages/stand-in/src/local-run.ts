/**
 * One run of the local deployment from start to stop, and its output.
 */
import { CornelgaugeError } from '@cornelgauge/model'
import { systemClock } from '@cornelgauge/ports'
import { CLIENT_BLOCK, hostAddress } from './address-plan.js'
import { formatLoad, type LoadRow } from './load-table.js'
import { LocalDeployment, type LocalDeploymentOptions } from './local-deployment.js'
import { SampleLoad } from './sample-load.js'

const CLIENT_HOST = 1
const REPEATED_SIGNAL_MILLISECONDS = 1000
const LOAD_GRACE_MILLISECONDS = 10_000

/** What to run, and for how long. */
export interface LocalRunOptions extends LocalDeploymentOptions {
  /** By default the run lasts until it is stopped. */
  readonly durationMilliseconds?: number
  readonly withLoad: boolean
  readonly seed: number
  /** Print the final load table as one JSON line. */
  readonly json: boolean
  readonly print: (line: string) => void
}

/**
 * Runs a local deployment until its duration has passed or it is stopped.
 *
 * @example
 * const run = new LocalRun(options)
 * process.once('SIGINT', () => run.stop())
 * process.exitCode = await run.run()
 */
export class LocalRun {
  readonly #options: LocalRunOptions
  readonly #deployment: LocalDeployment
  readonly #stopRequested: Promise<void>
  #resolveStopRequested: () => void = () => {}
  #stopRequestedAt: number | undefined
  #load: SampleLoad | undefined

  constructor (options: LocalRunOptions) {
    this.#options = options
    this.#deployment = new LocalDeployment(options)
    this.#stopRequested = new Promise(resolve => { this.#resolveStopRequested = resolve })
  }

  /** Returns the exit code: 1 if a caller got another request's answer. Throws if the deployment does not become ready. */
  async run (): Promise<number> {
    try {
      await this.#start()
      await this.#waitForEnd()
      return await this.#finish()
    } catch (failure) {
      if (this.#stopRequestedAt !== undefined) return 0
      throw failure
    } finally {
      await this.#deployment.stop()
    }
  }

  /**
   * Stops the run gracefully. A later second call kills every process. Calls within
   * `REPEATED_SIGNAL_MILLISECONDS` count as one, since one Ctrl-C may arrive twice, from
   * the terminal and from the script runner.
   */
  async stop (): Promise<void> {
    const now = systemClock.now()
    const isRepeated = this.#stopRequestedAt !== undefined && now - this.#stopRequestedAt > REPEATED_SIGNAL_MILLISECONDS
    this.#stopRequestedAt ??= now
    this.#resolveStopRequested()
    if (isRepeated) await this.#deployment.kill()
    else if (this.#load === undefined) await this.#deployment.stop()
  }

  async #start (): Promise<void> {
    const { print } = this.#options
    await this.#deployment.launch()
    for (const line of this.#deployment.processLines) print(JSON.stringify(line))
    const { workspaces, operator } = this.#deployment.credentials
    print(JSON.stringify({ role: 'credentials', workspaces, operator }))
    await this.#deployment.makeReady()
    print(JSON.stringify({ role: 'ready' }))
    print(this.#summary())
    if (this.#options.withLoad) this.#startLoad()
  }

  #startLoad (): void {
    const { plan, credentials } = this.#deployment
    this.#load = new SampleLoad({
      seed: this.#options.seed,
      kinds: plan.sizes.kinds,
      tokens: credentials.workspaces,
      entries: plan.entries.map(({ address }) => address),
      localAddress: hostAddress(plan.deploymentNumber, CLIENT_BLOCK, CLIENT_HOST),
      oneWayMilliseconds: plan.sizes.clientOneWayMilliseconds,
      clock: systemClock
    })
    this.#load.start()
  }

  async #waitForEnd (): Promise<void> {
    const { durationMilliseconds } = this.#options
    if (durationMilliseconds === undefined) return this.#stopRequested
    let cancel = (): void => {}
    const durationElapsed = new Promise<void>(resolve => { cancel = systemClock.after(durationMilliseconds, resolve) })
    await Promise.race([this.#stopRequested, durationElapsed])
    cancel()
  }

  async #finish (): Promise<number> {
    if (this.#load === undefined) return 0
    const rows = await this.#load.stop(LOAD_GRACE_MILLISECONDS)
    this.#options.print(this.#options.json ? JSON.stringify({ role: 'load', rows }) : describeLoad(rows))
    return rows.some(({ wrongAnswers }) => wrongAnswers > 0) ? 1 : 0
  }

  #summary (): string {
    const { plan, relays } = this.#deployment
    const { sizes, entries, backendServers } = plan
    return [
      '',
      `${sizes.name} is ready: ${entries.length} entry VMs and ${backendServers.length} backend servers in ${sizes.failureDomains.join(', ')}`,
      `  entry VMs       ${entries.map(({ address }) => address).join(' ')}`,
      `  table service   ${plan.tableService}`,
      `  object store    ${plan.objectStore}`,
      `  VM list         ${plan.vmList}`,
      `  relay control   ${relays.controlAddress}`,
      `  delays          ${sizes.oneWayMilliseconds} ms between failure domains, ${sizes.clientOneWayMilliseconds} ms from callers, one way`,
      'Stop it with Ctrl-C.'
    ].join('\n')
  }
}

function describeLoad (rows: readonly LoadRow[]): string {
  return `\nResponses to callers:\n${formatLoad(rows)}`
}

/**
 * Looks up a deployment by its name. Fails with `invalid-settings` if there is none.
 *
 * @example
 * pickDeployment(DEPLOYMENTS, 'hlidka').failureDomains
 */
export function pickDeployment<Sizes> (deployments: Readonly<Record<string, Sizes>>, name: string): Sizes {
  const sizes = deployments[name]
  if (sizes === undefined) {
    throw new CornelgaugeError('invalid-settings', { detail: `--deployment must be one of ${Object.keys(deployments).join(', ')}, not ${name}` })
  }
  return sizes
}
