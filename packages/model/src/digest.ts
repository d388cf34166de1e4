/** SHA-256 digests of text and bytes. */
import { createHash } from 'node:crypto'
import { digest, type Digest } from './ids.js'

/**
 * The SHA-256 digest of text (as UTF-8) or bytes.
 *
 * @example
 * digestOf('').slice(0, 8) // 'e3b0c442'
 */
export function digestOf (content: string | Uint8Array): Digest {
  return digest(createHash('sha256').update(content).digest('hex'))
}
