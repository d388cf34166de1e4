import { createServer, request, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { asFailure } from '@cornelgauge/model'
import { expect } from 'chai'
import { readRequestBody } from '../src/request-body.js'

const MAXIMUM_BYTES = 1000

/** Sends a body in parts; the last part only after the response headers have arrived. */
function sendSlowly (port: number, parts: readonly string[]): Promise<{ status: number | undefined, failure?: string }> {
  return new Promise(resolve => {
    const call = request({ port, host: '127.0.0.1', method: 'POST', headers: { 'transfer-encoding': 'chunked' } }, response => {
      call.end(parts.at(-1))
      response.resume()
      response.on('end', () => resolve({ status: response.statusCode }))
    })
    call.on('error', failure => resolve({ status: undefined, failure: failure.message }))
    for (const part of parts.slice(0, -1)) call.write(part)
  })
}

describe('request body', () => {
  let server: Server
  let port: number

  beforeEach(async () => {
    server = createServer((incoming, response) => {
      readRequestBody(incoming, MAXIMUM_BYTES)
        .then(text => response.end(text), thrown => response.writeHead(asFailure(thrown).status).end())
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    port = (server.address() as AddressInfo).port
  })

  afterEach(() => { server.closeAllConnections(); server.close() })

  it('is read completely', async () => {
    const answer = await fetch(`http://127.0.0.1:${port}`, { method: 'POST', body: 'x'.repeat(MAXIMUM_BYTES) })
    expect(await answer.text()).to.have.length(MAXIMUM_BYTES)
  })

  it('is refused over the limit, and a caller that is still sending receives the refusal', async () => {
    expect(await sendSlowly(port, ['x'.repeat(MAXIMUM_BYTES + 1), 'y'.repeat(MAXIMUM_BYTES)])).to.deep.equal({ status: 413 })
  })

  it('that was refused leaves the connection usable for the next request', async () => {
    const large = await fetch(`http://127.0.0.1:${port}`, { method: 'POST', body: 'x'.repeat(8 * 1024 * 1024) })
    expect(large.status).to.equal(413)
    const next = await fetch(`http://127.0.0.1:${port}`, { method: 'POST', body: 'small' })
    expect(await next.text()).to.equal('small')
  })
})
