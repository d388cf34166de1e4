/** Reads the bodies of callers' HTTP requests. */
import type { IncomingMessage } from 'node:http'
import { CornelgaugeError } from '@cornelgauge/model'

/** How long the rest of a body over the limit is read and discarded: as long as a caller waits for its response. */
const DISCARD_MILLISECONDS = 3000

/**
 * Reads a complete body. Bytes over the limit are read and discarded, so that a caller
 * that is still sending receives the response and not a connection reset. For the same
 * reason the connection must not be closed after the response.
 *
 * @throws {CornelgaugeError} `body-too-large`, or `connection-lost` if the caller disconnects
 * @example
 * const text = await readRequestBody(request, 262_144)
 */
export function readRequestBody (request: IncomingMessage, maximumBytes: number): Promise<string> {
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = []
    let bytes = 0
    let discardTimer: NodeJS.Timeout | undefined
    request.on('data', (part: Buffer) => {
      bytes += part.length
      if (bytes <= maximumBytes) {
        parts.push(part)
      } else if (discardTimer === undefined) {
        discardTimer = setTimeout(() => request.destroy(), DISCARD_MILLISECONDS)
        reject(new CornelgaugeError('body-too-large', { detail: `The body is over ${maximumBytes} bytes`, members: { maximumBytes } }))
      }
    })
    request.on('end', () => { resolve(Buffer.concat(parts).toString('utf8')) })
    request.on('close', () => {
      clearTimeout(discardTimer)
      reject(new CornelgaugeError('connection-lost', { detail: 'The caller went away before the end of its body' }))
    })
  })
}
