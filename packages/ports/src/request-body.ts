/** Reads the bodies of callers' HTTP requests. */
import type { IncomingMessage } from 'node:http'
import { CornelgaugeError } from '@cornelgauge/model'

/** How long the rest of a body over the limit is read and thrown away, in milliseconds: as long as a caller waits for its answer. */
const DISCARD_MILLISECONDS = 3000

/**
 * Reads a whole body. What comes over the limit is read on and thrown away, so that a
 * caller that is still sending gets the answer and not a broken connection; for that the
 * connection must not be closed behind the answer.
 *
 * @throws {CornelgaugeError} `body-too-large`, or `connection-lost` if the caller goes away
 * @example
 * const text = await readRequestBody(request, 262_144)
 */
export function readRequestBody (request: IncomingMessage, maximumBytes: number): Promise<string> {
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = []
    let bytes = 0
    let discarding: NodeJS.Timeout | undefined
    request.on('data', (part: Buffer) => {
      bytes += part.length
      if (bytes <= maximumBytes) {
        parts.push(part)
      } else if (discarding === undefined) {
        discarding = setTimeout(() => request.destroy(), DISCARD_MILLISECONDS)
        reject(new CornelgaugeError('body-too-large', { detail: `The body is over ${maximumBytes} bytes`, members: { maximumBytes } }))
      }
    })
    request.on('end', () => { resolve(Buffer.concat(parts).toString('utf8')) })
    request.on('close', () => {
      clearTimeout(discarding)
      reject(new CornelgaugeError('connection-lost', { detail: 'The caller went away before the end of its body' }))
    })
  })
}
