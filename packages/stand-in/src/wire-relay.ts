/**
 * A TCP relay in front of an entry VM's inner-protocol port. It adds the
 * propagation delay between failure domains, and can lose track of connections:
 * both ends then keep an open connection over which nothing comes any more.
 */
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { systemClock, type Clock } from '@cornelgauge/ports'
import type { ListenAddress } from './stand-in-server.js'

/** What a relay stands in front of. */
export interface WireRelayOptions {
  readonly target: ListenAddress
  /** One-way delay to a caller at this IP number, in milliseconds. */
  readonly delayTo: (callerAddress: string) => number
  readonly clock?: Clock
}

/** Which connections fall silent. */
export interface SilenceRule {
  /** IP number of the caller; all callers, where it is missing. */
  readonly from?: string
  /** True: only connections that are open now. False: new ones too. */
  readonly openConnectionsOnly: boolean
}

/** One relayed connection. */
export interface RelayedConnection {
  readonly from: string
  readonly silent: boolean
}

/** The two ends of a relayed connection. */
interface Link {
  readonly from: string
  readonly caller: Socket
  readonly target: Socket
  readonly delayMilliseconds: number
  silent: boolean
}

/**
 * Relays connections to one target.
 *
 * @example
 * const relay = new WireRelay({ target: { host: '127.7.1.10', port: 8081 }, delayTo: () => 3 })
 * await relay.listen({ host: '127.7.1.50', port: 8081 })
 */
export class WireRelay {
  readonly #options: WireRelayOptions
  readonly #clock: Clock
  readonly #server: Server
  readonly #links = new Set<Link>()
  #rules: readonly SilenceRule[] = []

  constructor (options: WireRelayOptions) {
    this.#options = options
    this.#clock = options.clock ?? systemClock
    this.#server = createServer({ allowHalfOpen: true, noDelay: true }, caller => this.#accept(caller))
  }

  get connections (): readonly RelayedConnection[] {
    return [...this.#links].map(({ from, silent }) => ({ from, silent }))
  }

  /** Listens, and gives the `ip:port` that it got. */
  async listen ({ host, port }: ListenAddress): Promise<string> {
    this.#server.listen(port, host)
    await once(this.#server, 'listening')
    const { address, port: actualPort } = this.#server.address() as AddressInfo
    return `${address}:${actualPort}`
  }

  /** Makes connections fall silent, for good. */
  silence (rule: SilenceRule): void {
    if (!rule.openConnectionsOnly) this.#rules = [...this.#rules, rule]
    for (const link of this.#links) {
      if (concerns(rule, link.from)) link.silent = true
    }
  }

  /** Lets new connections work again. Those that are silent stay so. */
  restore (): void {
    this.#rules = []
  }

  async close (): Promise<void> {
    this.#server.close()
    for (const link of this.#links) destroy(link)
    await once(this.#server, 'close')
  }

  #accept (caller: Socket): void {
    const from = caller.remoteAddress ?? ''
    const target = connect({ ...this.#options.target, allowHalfOpen: true, noDelay: true })
    const silent = this.#rules.some(rule => concerns(rule, from))
    const link: Link = { from, caller, target, delayMilliseconds: this.#options.delayTo(from), silent }
    this.#links.add(link)
    this.#forward(link, caller, target)
    this.#forward(link, target, caller)
  }

  #forward (link: Link, source: Socket, sink: Socket): void {
    const later = (action: () => void): void => this.#later(link, action)
    source.on('data', chunk => {
      later(() => pass(chunk, source, sink))
    })
    source.on('end', () => later(() => sink.end()))
    source.on('error', () => later(() => sink.destroy()))
    source.on('close', () => {
      if (sink.destroyed) this.#links.delete(link)
      else later(() => { sink.end() })
    })
  }

  /** Does it one delay later, unless the connection has fallen silent by then. */
  #later (link: Link, action: () => void): void {
    const unlessSilent = (): void => { if (!link.silent) action() }
    if (link.delayMilliseconds === 0) unlessSilent()
    else this.#clock.after(link.delayMilliseconds, unlessSilent)
  }
}

function concerns ({ from }: SilenceRule, caller: string): boolean {
  return from === undefined || from === caller
}

/** Writes a chunk, and holds the source back while the sink is full. */
function pass (chunk: Buffer, source: Socket, sink: Socket): void {
  if (sink.destroyed || sink.writableEnded || sink.write(chunk)) return
  source.pause()
  sink.once('drain', () => source.resume())
}

function destroy ({ caller, target }: Link): void {
  caller.destroy()
  target.destroy()
}
