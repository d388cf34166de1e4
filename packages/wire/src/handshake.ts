/** Opens a connection at the client: TCP, then the handshake with one secret. */
import { connect as connectSocket } from 'node:net'
import { CornelgaugeError, ERROR_KINDS, vmName, type ErrorCode, type VmName } from '@cornelgauge/model'
import { parseAddress } from './address.js'
import type { ClientContext } from './client.js'
import type { FrameOf } from './frame.js'
import { PROTOCOL_VERSION } from './limits.js'
import { Link, type FrameHandlers } from './link.js'
import { helloProof, isSameProof, NONCE_BYTES, welcomeProof, type HandshakeParameters } from './proof.js'
import { connectionLost, violation } from './violation.js'

/** An authenticated connection and its peer. */
export interface OpenedLink {
  readonly link: Link
  readonly vm: VmName
}

/** Callbacks for the progress of a connection. */
export interface LinkCallbacks {
  /** Receives the connection before it is open, so that it can be aborted. */
  readonly onStarted: (link: Link) => void
  /** Called when the peer is authenticated; returns the frame handlers to use from then on. */
  readonly onOpened: (opened: OpenedLink) => FrameHandlers
  /** Called when an opened connection has closed. */
  readonly onClosed: (failure: CornelgaugeError | undefined) => void
}

/**
 * Opens a connection and proves one secret. The promise rejects if this does not
 * succeed in time; `onClosed` is called only for a connection that did open.
 *
 * @example
 * await openLink('127.0.0.1:7400', secret, context, callbacks)
 */
export function openLink (address: string, secret: string, context: ClientContext, callbacks: LinkCallbacks): Promise<void> {
  return new Promise((resolve, reject) => {
    const { clock, timers, limits, traffic } = context
    const socket = connectSocket({ ...parseAddress(address), localAddress: context.localAddress })
    let isOpen = false
    const handleClosed = (failure: CornelgaugeError | undefined): void => {
      cancelDeadline()
      if (isOpen) callbacks.onClosed(failure)
      else reject(openingFailure(failure))
    }
    const handleOpened = (vm: VmName): void => {
      isOpen = true
      cancelDeadline()
      link.authenticate(callbacks.onOpened({ link, vm }))
      resolve()
    }
    const link: Link = new Link({ socket, clock, timers, limits, traffic, handlers: {}, onClosed: handleClosed })
    const abandon = (): void => link.destroy(connectionLost('not-connected', false))
    let cancelDeadline = timers.after(limits.connectMilliseconds, abandon)
    // The system accepts connections for a busy process, so the handshake takes longer than the connect.
    socket.once('connect', () => {
      cancelDeadline()
      cancelDeadline = timers.after(limits.handshakeMilliseconds, abandon)
    })
    callbacks.onStarted(link)
    link.setHandlers(handshakeHandlers(link, secret, context, handleOpened))
  })
}

/**
 * The failure of a connection that closed before it was open: no call was sent. A close
 * in the middle of a frame counts as a lost connection, not as a protocol violation.
 */
function openingFailure (failure: CornelgaugeError | undefined): CornelgaugeError {
  const isLost = failure === undefined || failure.code === 'connection-lost' || failure.members.reason === 'truncated-frame'
  return isLost ? connectionLost('not-connected', false, failure?.cause) : failure
}

function handshakeHandlers (link: Link, secret: string, context: ClientContext, onAuthenticated: (vm: VmName) => void): FrameHandlers {
  let parameters: HandshakeParameters | undefined
  return {
    challenge: frame => {
      if (frame.version !== PROTOCOL_VERSION) throw violation('wrong-version')
      if (parameters !== undefined) throw violation('unexpected-frame')
      const nonce = context.randomBytes(NONCE_BYTES)
      const { vm } = context.identity
      parameters = { serverNonce: frame.nonce, clientNonce: nonce, clientVm: vm }
      link.send({ type: 'hello', version: PROTOCOL_VERSION, vm, nonce, proof: helloProof(secret, parameters) })
    },
    welcome: frame => {
      if (parameters === undefined) throw violation('unexpected-frame')
      const vm = vmName(frame.vm)
      if (!isSameProof(welcomeProof(secret, parameters, vm), frame.proof)) throw violation('wrong-proof')
      onAuthenticated(vm)
    },
    refused: frame => link.destroy(refusalOf(frame))
  }
}

function refusalOf (frame: FrameOf<'refused'>): CornelgaugeError {
  const code: ErrorCode = Object.hasOwn(ERROR_KINDS, frame.code) ? frame.code : 'stranger-refused'
  return new CornelgaugeError(code, { detail: frame.detail, members: { sent: false } })
}
