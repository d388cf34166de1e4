/**
 * A TCP relay in front of an entry VM's peer port. It adds the propagation delay between
 * failure domains, and can silence connections: both ends then keep an open connection
 * over which nothing is forwarded any more, as behind a NAT that has dropped its state.
 */
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { systemClock, type Clock } from '@cornelgauge/ports'
import type { ListenAddress } from './stand-in-server.js'

/** The target of a relay, and the delays to it. */
export interface WireRelayOptions {
  readonly target: ListenAddress
  /** One-way propagation delay to a caller at this IP address, in milliseconds. */
  readonly delayTo: (callerAddress: string) => number
  readonly clock?: Clock
}

/** Which connections to silence. */
export interface SilenceRule {
  /** IP address of the caller; every caller if it is missing. */
  readonly from?: string
  /** True: only connections that are open now. False: later ones too, until `restore`. */
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

  /** Listens, and returns the actual `ip:port`. */
  async listen ({ host, port }: ListenAddress): Promise<string> {
    this.#server.listen(port, host)
    await once(this.#server, 'listening')
    const { address, port: actualPort } = this.#server.address() as AddressInfo
    return `${address}:${actualPort}`
  }

  /** Silences matching connections for the rest of their lifetime. */
  silence (rule: SilenceRule): void {
    if (!rule.openConnectionsOnly) this.#rules = [...this.#rules, rule]
    for (const link of this.#links) {
      if (matchesCaller(rule, link.from)) link.silent = true
    }
  }

  /** Lets new connections work again. Silent connections stay silent. */
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
    const silent = this.#rules.some(rule => matchesCaller(rule, from))
    const link: Link = { from, caller, target, delayMilliseconds: this.#options.delayTo(from), silent }
    this.#links.add(link)
    this.#forward(link, caller, target)
    this.#forward(link, target, caller)
  }

  #forward (link: Link, source: Socket, sink: Socket): void {
    const afterDelay = (action: () => void): void => this.#afterDelay(link, action)
    source.on('data', chunk => {
      afterDelay(() => writeWithBackpressure(chunk, source, sink))
    })
    source.on('end', () => afterDelay(() => sink.end()))
    source.on('error', () => afterDelay(() => sink.destroy()))
    source.on('close', () => {
      if (sink.destroyed) this.#links.delete(link)
      else afterDelay(() => { sink.end() })
    })
  }

  /** Runs an action after the propagation delay, unless the connection is silent by then. */
  #afterDelay (link: Link, action: () => void): void {
    const unlessSilent = (): void => { if (!link.silent) action() }
    if (link.delayMilliseconds === 0) unlessSilent()
    else this.#clock.after(link.delayMilliseconds, unlessSilent)
  }
}

function matchesCaller ({ from }: SilenceRule, caller: string): boolean {
  return from === undefined || from === caller
}

/** Writes a chunk, and pauses the source while the sink's buffer is full. */
function writeWithBackpressure (chunk: Buffer, source: Socket, sink: Socket): void {
  if (sink.destroyed || sink.writableEnded || sink.write(chunk)) return
  source.pause()
  sink.once('drain', () => source.resume())
}

function destroy ({ caller, target }: Link): void {
  caller.destroy()
  target.destroy()
}
