/** Reads the bodies of callers' HTTP requests. */
import type { IncomingMessage } from 'node:http'
import { CornelgaugeError } from '@cornelgauge/model'
import type { HeldBody } from './body-budget.js'
import { BodyBuffer } from './body-buffer.js'

/** How long the rest of a body that was refused is read and discarded: as long as a caller waits for its response. */
const DISCARD_MILLISECONDS = 3000

/**
 * Reads a complete body. Bytes over the limit are read and discarded, so that a caller
 * that is still sending receives the response and not a connection reset. For the same
 * reason the connection must not be closed after the response.
 *
 * @param held the body's part of a budget, which remains in use after the body was read.
 * @throws {CornelgaugeError} `body-too-large`, `overloaded` if the budget gives the body up,
 * or `connection-lost` if the caller disconnects
 * @example
 * const text = await readRequestBody(request, 262_144)
 */
export function readRequestBody (request: IncomingMessage, maximumBytes: number, held?: HeldBody): Promise<string> {
  return new Promise((resolve, reject) => {
    const buffer = new BodyBuffer(maximumBytes)
    let discardTimer: NodeJS.Timeout | undefined
    const refuse = (failure: CornelgaugeError): void => {
      buffer.clear()
      discardTimer = setTimeout(() => request.destroy(), DISCARD_MILLISECONDS)
      reject(failure)
      held?.release()
    }
    if (held !== undefined) held.onGivenUp = () => refuse(new CornelgaugeError('overloaded', { detail: 'Too many bodies are open' }))
    request.on('data', (part: Buffer) => {
      if (discardTimer !== undefined) return
      const bytes = buffer.heldBytes
      if (!buffer.append(part)) return refuse(new CornelgaugeError('body-too-large', { detail: `The body is over ${maximumBytes} bytes`, members: { maximumBytes } }))
      if (buffer.heldBytes !== bytes) held?.resize(buffer.heldBytes)
    })
    request.on('end', () => {
      held?.complete()
      resolve(buffer.toText())
      buffer.clear()
    })
    request.on('close', () => {
      clearTimeout(discardTimer)
      if (!request.complete) held?.release()
      reject(new CornelgaugeError('connection-lost', { detail: 'The caller went away before the end of its body' }))
    })
  })
}
