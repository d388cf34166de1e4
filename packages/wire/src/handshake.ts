/** The client's side of opening a connection: TCP, then the handshake with one secret. */
import { connect as connectSocket } from 'node:net'
import { CornelgaugeError, ERROR_KINDS, vmName, type ErrorCode, type VmName } from '@cornelgauge/model'
import { parseAddress } from './address.js'
import type { ClientContext } from './client.js'
import type { FrameOf } from './frame.js'
import { PROTOCOL_VERSION } from './limits.js'
import { Link, type FrameHandlers } from './link.js'
import { helloProof, isSameProof, NONCE_BYTES, welcomeProof, type HandshakeFacts } from './proof.js'
import { connectionLost, violation } from './violation.js'

/** An authenticated connection. */
export interface OpenedLink {
  readonly link: Link
  readonly vm: VmName
}

/** Who wants a connection, and hears what becomes of it. */
export interface LinkOwner {
  /** Gives the connection before it is open, so that it can be given up. */
  readonly started: (link: Link) => void
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
    owner.started(link)
    link.expect(handshakeHandlers(link, secret, context, opened))
  })
}

/** Whatever ended the connection before it was open, no call was sent; one cut in the middle of a frame is just lost. */
function openingFailure (failure: CornelgaugeError | undefined): CornelgaugeError {
  const isLost = failure === undefined || failure.code === 'connection-lost' || failure.members.reason === 'truncated-frame'
  return isLost ? connectionLost('not-connected', false, failure?.cause) : failure
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
