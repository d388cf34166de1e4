/** The client's side of opening a connection: TCP, then the handshake with one secret. */
import { connect as connectSocket } from 'node:net'
import { CornelgaugeError, ERROR_KINDS, vmName, type ErrorCode, type VmName } from '@cornelgauge/model'
import type { ClientContext } from './client.js'
import type { FrameOf } from './frame.js'
import { PROTOCOL_VERSION } from './limits.js'
import { Link, type FrameHandlers } from './link.js'
import { helloProof, isSameProof, NONCE_BYTES, welcomeProof, type HandshakeFacts } from './proof.js'
import { connectionLost, violation } from './violation.js'

/** An address, taken apart. */
export interface SocketAddress {
  readonly host: string
  readonly port: number
}

const ADDRESS_PATTERN = /^(?:\[(?<bracketed>[^\]]+)\]|(?<plain>[^:]+)):(?<port>\d{1,5})$/

/**
 * Reads an address `ip:port` or `[ip]:port`.
 *
 * @throws {CornelgaugeError} `invalid-settings`
 * @example
 * parseAddress('127.0.0.1:7400') // { host: '127.0.0.1', port: 7400 }
 */
export function parseAddress (address: string): SocketAddress {
  const groups = ADDRESS_PATTERN.exec(address)?.groups
  const host = groups?.bracketed ?? groups?.plain
  const port = Number(groups?.port)
  if (host !== undefined && port > 0 && port < 65536) return { host, port }
  throw new CornelgaugeError('invalid-settings', { detail: `${JSON.stringify(address)} is no address of the form ip:port`, members: { sent: false } })
}

/** An authenticated connection. */
export interface OpenedLink {
  readonly link: Link
  readonly vm: VmName
}

/** What happens on an opened connection. */
export interface LinkOwner {
  /** Gives the handlers, at the moment when the peer is authenticated. */
  readonly opened: (opened: OpenedLink) => FrameHandlers
  readonly closed: (failure: CornelgaugeError | undefined) => void
}

/**
 * Opens a connection and proves one secret. The promise fails if that cannot be
 * done in time; the owner hears only of a connection that did open.
 *
 * @example
 * await openLink('127.0.0.1:7400', secret, context, owner)
 */
export function openLink (address: string, secret: string, context: ClientContext, owner: LinkOwner): Promise<void> {
  return new Promise((resolve, reject) => {
    const { clock, timers, limits, traffic } = context
    const socket = connectSocket({ ...parseAddress(address), localAddress: context.localAddress })
    let isOpen = false
    const closed = (failure: CornelgaugeError | undefined): void => {
      cancelDeadline()
      if (isOpen) owner.closed(failure)
      else reject(openingFailure(failure))
    }
    const opened = (vm: VmName): void => {
      isOpen = true
      cancelDeadline()
      link.authenticate(owner.opened({ link, vm }))
      resolve()
    }
    const link: Link = new Link({ socket, clock, timers, limits, traffic, handlers: {}, onClosed: closed })
    const cancelDeadline = timers.after(limits.handshakeMilliseconds, () => link.destroy(connectionLost('not-connected', false)))
    link.expect(handshakeHandlers(link, secret, context, opened))
  })
}

/** Whatever ended the connection before it was open, no call was sent. */
function openingFailure (failure: CornelgaugeError | undefined): CornelgaugeError {
  const isTyped = failure !== undefined && failure.code !== 'connection-lost'
  return isTyped ? failure : connectionLost('not-connected', false, failure?.cause)
}

function handshakeHandlers (link: Link, secret: string, context: ClientContext, opened: (vm: VmName) => void): FrameHandlers {
  let facts: HandshakeFacts | undefined
  return {
    challenge: frame => {
      if (frame.version !== PROTOCOL_VERSION) throw violation('wrong-version')
      if (facts !== undefined) throw violation('unexpected-frame')
      const nonce = context.randomBytes(NONCE_BYTES)
      const { vm } = context.identity
      facts = { serverNonce: frame.nonce, clientNonce: nonce, clientVm: vm }
      link.send({ type: 'hello', version: PROTOCOL_VERSION, vm, nonce, proof: helloProof(secret, facts) })
    },
    welcome: frame => {
      if (facts === undefined) throw violation('unexpected-frame')
      const vm = vmName(frame.vm)
      if (!isSameProof(welcomeProof(secret, facts, vm), frame.proof)) throw violation('wrong-proof')
      opened(vm)
    },
    refused: frame => link.destroy(refusalOf(frame))
  }
}

function refusalOf (frame: FrameOf<'refused'>): CornelgaugeError {
  const code: ErrorCode = Object.hasOwn(ERROR_KINDS, frame.code) ? frame.code : 'stranger-refused'
  return new CornelgaugeError(code, { detail: frame.detail, members: { sent: false } })
}
