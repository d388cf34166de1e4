/**
 * The relays of a local deployment, with their control interface.
 */
import { CornelgaugeError } from '@cornelgauge/model'
import { FaultSwitch, systemClock } from '@cornelgauge/ports'
import { CONTROL_BLOCK, delayBetween, hostAddress, HTTP_PORT, parseAddress } from './address-plan.js'
import type { EntryPlan, LocalPlan } from './local-plan.js'
import { bodyOf, type Call, type Route } from './route.js'
import { StandInServer } from './stand-in-server.js'
import { WireRelay } from './wire-relay.js'

/** Which connections between entry VMs stop forwarding; a missing name matches every VM. */
export interface RelaySilence {
  /** Name of the VM that opened the connection. */
  readonly from?: string
  /** Name of the VM that accepted it. */
  readonly to?: string
  /** True: only connections that are open now; new ones work. */
  readonly openConnectionsOnly?: boolean
}

const CONTROL_HOST_NUMBER = 1

/**
 * One relay for each entry VM, with an HTTP control interface: `GET /connections`,
 * `PUT /silence` with a `RelaySilence`, and `DELETE /silence`.
 *
 * @example
 * const relays = new LocalRelays(plan)
 * await relays.listen()
 */
export class LocalRelays {
  readonly #plan: LocalPlan
  readonly #relays: ReadonlyMap<string, WireRelay>
  readonly #control: StandInServer

  constructor (plan: LocalPlan) {
    this.#plan = plan
    this.#relays = new Map(plan.entries.map(entry => [entry.name, relayOf(entry, plan.sizes.oneWayMilliseconds)]))
    this.#control = new StandInServer({ faults: new FaultSwitch(systemClock), routes: this.#routes() })
  }

  /** `ip:port` of the control interface. */
  get controlAddress (): string {
    return `${hostAddress(this.#plan.deploymentNumber, CONTROL_BLOCK, CONTROL_HOST_NUMBER)}:${HTTP_PORT}`
  }

  async listen (): Promise<void> {
    for (const entry of this.#plan.entries) await this.#relays.get(entry.name)!.listen(parseAddress(entry.wireAdvertise))
    await this.#control.listen(parseAddress(this.controlAddress))
  }

  silence ({ from, to, openConnectionsOnly }: RelaySilence): void {
    const rule = { from: from === undefined ? undefined : this.#requireEntryPlan(from).host, openConnectionsOnly: openConnectionsOnly ?? false }
    const relays = to === undefined ? [...this.#relays.values()] : [this.#relays.get(this.#requireEntryPlan(to).name)!]
    for (const relay of relays) relay.silence(rule)
  }

  restore (): void {
    for (const relay of this.#relays.values()) relay.restore()
  }

  async close (): Promise<void> {
    await Promise.all([this.#control, ...this.#relays.values()].map(server => server.close()))
  }

  #requireEntryPlan (name: string): EntryPlan {
    const entry = this.#plan.entries.find(candidate => candidate.name === name)
    if (entry === undefined) throw new CornelgaugeError('not-found', { detail: `There is no entry VM ${name}` })
    return entry
  }

  #connections (): readonly unknown[] {
    const vmNameOf = (host: string): string => this.#plan.entries.find(entry => entry.host === host)?.name ?? host
    return [...this.#relays].flatMap(([to, relay]) => relay.connections.map(({ from, silent }) => ({ from: vmNameOf(from), to, silent })))
  }

  #routes (): readonly Route[] {
    return [
      { method: 'GET', path: '/connections', handle: async () => this.#connections() },
      { method: 'PUT', path: '/silence', handle: async (call: Call) => this.silence(bodyOf<RelaySilence>(call)) },
      { method: 'DELETE', path: '/silence', handle: async () => this.restore() }
    ]
  }
}

function relayOf ({ wireAddress, relayHost }: EntryPlan, oneWayMilliseconds: number): WireRelay {
  return new WireRelay({
    target: parseAddress(wireAddress),
    delayTo: caller => delayBetween(caller, relayHost, oneWayMilliseconds)
  })
}
