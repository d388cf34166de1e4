/**
 * Proofs that both ends of a connection hold the same secret, bound to both nonces
 * so that none can be replayed. The first names the client, the second both ends.
 */
import { createHmac, timingSafeEqual } from 'node:crypto'
import { CornelgaugeError, type VmName } from '@cornelgauge/model'
import { PROTOCOL_VERSION } from './limits.js'

/** Bytes of a nonce. */
export const NONCE_BYTES = 32

/** What both ends know after the hello. */
export interface HandshakeFacts {
  readonly serverNonce: Uint8Array
  readonly clientNonce: Uint8Array
  readonly clientVm: VmName
}

function proofOf (secret: string, role: 'hello' | 'welcome', facts: HandshakeFacts, serverVm: string): Buffer {
  const nonces = [facts.serverNonce, facts.clientNonce].map(nonce => Buffer.from(nonce).toString('hex'))
  const text = JSON.stringify([role, PROTOCOL_VERSION, ...nonces, facts.clientVm, serverVm])
  return createHmac('sha256', secret).update(text).digest()
}

/**
 * The client's proof.
 *
 * @example
 * helloProof(secret, facts).length // 32
 */
export function helloProof (secret: string, facts: HandshakeFacts): Buffer {
  return proofOf(secret, 'hello', facts, '')
}

/**
 * The server's proof.
 *
 * @example
 * welcomeProof(secret, facts, vmName('vm-2')).length // 32
 */
export function welcomeProof (secret: string, facts: HandshakeFacts, serverVm: VmName): Buffer {
  return proofOf(secret, 'welcome', facts, serverVm)
}

/**
 * Compares two proofs in constant time.
 *
 * @example
 * isSameProof(helloProof(secret, facts), received)
 */
export function isSameProof (expected: Uint8Array, received: Uint8Array): boolean {
  return expected.length === received.length && timingSafeEqual(expected, received)
}

/**
 * The accepted secret that a client's proof was made with, if any. Every secret is
 * tried, so that the time taken does not tell which one matched.
 *
 * @example
 * matchingSecret(['new', 'old'], facts, helloProof('old', facts)) // 'old'
 */
export function matchingSecret (secrets: readonly string[], facts: HandshakeFacts, proof: Uint8Array): string | undefined {
  const matches = secrets.map(secret => isSameProof(helloProof(secret, facts), proof))
  return secrets[matches.indexOf(true)]
}

/**
 * Refuses a list of secrets that would let anybody in or nobody.
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
