/**
 * Challenge-response proofs that both ends of a connection know the same secret. Each
 * is an HMAC over both nonces, so that it cannot be replayed. The client's proof also
 * covers the client's name, the server's proof the names of both ends.
 */
import { createHmac, timingSafeEqual } from 'node:crypto'
import { CornelgaugeError, type VmName } from '@cornelgauge/model'
import { PROTOCOL_VERSION } from './limits.js'

/** Size of a nonce. */
export const NONCE_BYTES = 32

/** Handshake values that both ends know after the hello. */
export interface HandshakeParameters {
  readonly serverNonce: Uint8Array
  readonly clientNonce: Uint8Array
  readonly clientVm: VmName
}

function proofOf (secret: string, role: 'hello' | 'welcome', parameters: HandshakeParameters, serverVm: string): Buffer {
  const nonces = [parameters.serverNonce, parameters.clientNonce].map(nonce => Buffer.from(nonce).toString('hex'))
  const text = JSON.stringify([role, PROTOCOL_VERSION, ...nonces, parameters.clientVm, serverVm])
  return createHmac('sha256', secret).update(text).digest()
}

/**
 * The client's proof, sent in the hello.
 *
 * @example
 * helloProof(secret, parameters).length // 32
 */
export function helloProof (secret: string, parameters: HandshakeParameters): Buffer {
  return proofOf(secret, 'hello', parameters, '')
}

/**
 * The server's proof, sent in the welcome.
 *
 * @example
 * welcomeProof(secret, parameters, vmName('vm-2')).length // 32
 */
export function welcomeProof (secret: string, parameters: HandshakeParameters, serverVm: VmName): Buffer {
  return proofOf(secret, 'welcome', parameters, serverVm)
}

/**
 * Compares two proofs in constant time.
 *
 * @example
 * isSameProof(helloProof(secret, parameters), received)
 */
export function isSameProof (expected: Uint8Array, received: Uint8Array): boolean {
  return expected.length === received.length && timingSafeEqual(expected, received)
}

/**
 * The accepted secret that a client's proof was computed with, if any. Every secret
 * is tried, so that the elapsed time does not reveal which one matched.
 *
 * @example
 * matchingSecret(['new', 'old'], parameters, helloProof('old', parameters)) // 'old'
 */
export function matchingSecret (secrets: readonly string[], parameters: HandshakeParameters, proof: Uint8Array): string | undefined {
  const matches = secrets.map(secret => isSameProof(helloProof(secret, parameters), proof))
  return secrets[matches.indexOf(true)]
}

/**
 * Validates a list of secrets: an empty list would admit no peer, and an empty secret any peer.
 *
 * @throws {CornelgaugeError} `invalid-settings`
 * @example
 * checkSecrets([]) // throws
 */
export function checkSecrets (secrets: readonly string[]): readonly string[] {
  const valid = secrets.length > 0 && secrets.every(secret => secret.length > 0)
  if (!valid) throw new CornelgaugeError('invalid-settings', { detail: 'At least one peer secret is needed, and none may be empty' })
  return secrets
}
