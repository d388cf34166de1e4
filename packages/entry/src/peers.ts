/** Calls to other entry VMs and from them. */
import { CornelgaugeError, fromProblem, type VmName } from '@cornelgauge/model'
import { parseAddress, WireClient, WireServer, type LogicalClock, type WireEvent } from '@cornelgauge/wire'
import { readQuestion, type PeerAnswer, type PeerQuestion } from './messages.js'

/** Answers a peer's question. */
export type AnswerQuestion = (question: PeerQuestion) => Promise<PeerAnswer>

/** What the peers need. */
export interface PeersOptions {
  readonly vm: VmName
  /** `ip:port` to listen on. */
  readonly address: string
  /** Proved by both ends of a connection; the network is the deployment's own. */
  readonly secret: string
  readonly clock: LogicalClock
  readonly answer: AnswerQuestion
  readonly onEvent: (event: WireEvent) => void
}

/** Silence after which a connection between VMs is given up: less than a member's time. */
const DEAD_CONNECTION_MILLISECONDS = 1500
/** Silence after which it is probed. */
const PROBE_MILLISECONDS = 600

/**
 * The inner protocol with the questions of entry VMs.
 *
 * @example
 * const peers = new Peers(options)
 * await peers.listen()
 * const answer = await peers.ask('10.0.0.5:7400', { kind: 'phase', id }, 500)
 */
export class Peers {
  readonly #options: PeersOptions
  readonly #client: WireClient
  readonly #server: WireServer

  constructor (options: PeersOptions) {
    this.#options = options
    const limits = { pingAfterMilliseconds: PROBE_MILLISECONDS, deadAfterMilliseconds: DEAD_CONNECTION_MILLISECONDS, handshakeMilliseconds: PROBE_MILLISECONDS }
    const shared = { identity: { vm: options.vm }, secrets: [options.secret], clock: options.clock, limits, onEvent: options.onEvent }
    this.#client = new WireClient(shared)
    this.#server = new WireServer({
      ...shared,
      handle: async (_peer, body) => {
        if (body.type !== 'extension') throw new CornelgaugeError('protocol-violation', { detail: `An entry VM takes no ${body.type} calls` })
        return { type: 'extension', message: await options.answer(readQuestion(body.message)) }
      }
    })
  }

  /** Takes calls from now on. */
  async listen (): Promise<void> {
    const { host, port } = parseAddress(this.#options.address)
    await this.#server.listen(host, port)
  }

  /**
   * Asks a peer.
   *
   * @throws {CornelgaugeError} as the call fails, or what the peer answered with
   */
  async ask<Kind extends PeerAnswer['kind']> (address: string, question: PeerQuestion, timeoutMilliseconds: number): Promise<Extract<PeerAnswer, { kind: Kind }>> {
    const reply = await this.#client.call(address, { type: 'extension', message: question }, timeoutMilliseconds)
    if (reply.type === 'problem') throw fromProblem(reply.problem)
    if (reply.type !== 'extension') throw new CornelgaugeError('protocol-violation')
    return reply.message as Extract<PeerAnswer, { kind: Kind }>
  }

  /** Ends all connections. */
  async close (): Promise<void> {
    await Promise.all([this.#client.close(), this.#server.close(0)])
  }
}
