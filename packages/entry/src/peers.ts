/** Calls between entry VMs. */
import { CornelgaugeError, fromProblem, type VmName } from '@cornelgauge/model'
import { parseAddress, WireClient, WireServer, type LogicalClock, type WireEvent } from '@cornelgauge/wire'
import { readPeerReply, readPeerRequest, type PeerReply, type PeerRequest } from './messages.js'

/** Handles a peer's request. */
export type HandlePeerRequest = (request: PeerRequest) => Promise<PeerReply>

/** Where a VM's calls begin and end, if that isn't the address at which its peers reach it. */
export interface PeerRoute {
  /** `ip:port` to listen on, to which its connections are forwarded. */
  readonly listenAddress: string
  /** `ip` from which it opens connections. */
  readonly localAddress: string
}

/** Options of `Peers`. */
export interface PeersOptions {
  readonly vm: VmName
  /** `ip:port` at which peers reach this VM; it listens there unless a route is given. */
  readonly address: string
  readonly route?: PeerRoute
  /** Shared secret that both ends of a connection prove to hold; the network itself is private to the deployment. */
  readonly secret: string
  readonly clock: LogicalClock
  readonly handle: HandlePeerRequest
  readonly onEvent: (event: WireEvent) => void
}

/** A connection without traffic for this long is closed; shorter than `MEMBER_EXPIRY_MILLISECONDS`. */
const DEAD_CONNECTION_MILLISECONDS = 1500
/** A connection without traffic for this long is probed with a ping; one that takes this long to open is given up. */
const PROBE_MILLISECONDS = 600

/**
 * Client and server of the inner protocol for the requests of entry VMs.
 *
 * @example
 * const peers = new Peers(options)
 * await peers.listen()
 * const reply = await peers.call('10.0.0.5:7400', { kind: 'phase', id }, 500)
 */
export class Peers {
  readonly #options: PeersOptions
  readonly #client: WireClient
  readonly #server: WireServer

  constructor (options: PeersOptions) {
    this.#options = options
    const limits = { pingAfterMilliseconds: PROBE_MILLISECONDS, deadAfterMilliseconds: DEAD_CONNECTION_MILLISECONDS, connectMilliseconds: PROBE_MILLISECONDS, handshakeMilliseconds: DEAD_CONNECTION_MILLISECONDS }
    const shared = { identity: { vm: options.vm }, secrets: [options.secret], clock: options.clock, limits, onEvent: options.onEvent }
    this.#client = new WireClient(options.route === undefined ? shared : { ...shared, localAddress: options.route.localAddress })
    this.#server = new WireServer({
      ...shared,
      handle: async (_peer, body) => {
        if (body.type !== 'extension') throw new CornelgaugeError('protocol-violation', { detail: `An entry VM takes no ${body.type} calls` })
        return { type: 'extension', message: await options.handle(readPeerRequest(body.message)) }
      }
    })
  }

  /** Starts to accept calls. */
  async listen (): Promise<void> {
    const { address, route } = this.#options
    const { host, port } = parseAddress(route?.listenAddress ?? address)
    await this.#server.listen(host, port)
  }

  /**
   * Calls a peer.
   *
   * @throws {CornelgaugeError} the failure of the call, or the error that the peer replied with
   */
  async call<Kind extends PeerReply['kind']> (address: string, request: PeerRequest, timeoutMilliseconds: number): Promise<Extract<PeerReply, { kind: Kind }>> {
    const reply = await this.#client.call(address, { type: 'extension', message: request }, timeoutMilliseconds)
    if (reply.type === 'problem') throw fromProblem(reply.problem)
    if (reply.type !== 'extension') throw new CornelgaugeError('protocol-violation')
    return readPeerReply(reply.message) as Extract<PeerReply, { kind: Kind }>
  }

  /** Ends all connections. */
  async close (): Promise<void> {
    await Promise.all([this.#client.close(), this.#server.close(0)])
  }
}
