import { connect } from 'node:net'
import { expect } from 'chai'
import { HttpServer } from '../src/http-server.js'

const MAXIMUM_BYTES = 1000

/**
 * Sends a part of a body that is over the limit, waits for the response, then sends the
 * rest and a second request. Returns the status line of the first response, and whether
 * the connection stayed open.
 */
function sendOversizedBody (port: number): Promise<{ readonly answer: string, readonly isOpen: boolean }> {
  return new Promise(resolve => {
    let answer = ''
    const socket = connect(port, '127.0.0.1')
    const finish = (isOpen: boolean): void => {
      resolve({ answer: answer.split('\r\n')[0]!, isOpen })
      socket.destroy()
    }
    socket.write(`POST /bodies HTTP/1.1\r\nHost: caller\r\nContent-Length: ${3 * MAXIMUM_BYTES}\r\n\r\n${'x'.repeat(2 * MAXIMUM_BYTES)}`)
    socket.on('data', part => {
      if (answer === '') socket.write('x'.repeat(MAXIMUM_BYTES) + 'GET /bodies HTTP/1.1\r\nHost: caller\r\n\r\n')
      answer += String(part)
      if (answer.includes(' 405 ')) finish(true)
    })
    socket.on('error', () => finish(false))
    socket.on('close', () => finish(false))
  })
}

describe('the HTTP server', () => {
  it('responds to a body that is too large, and keeps the connection open while the caller is still sending', async () => {
    const server = new HttpServer([{ method: 'POST', path: '/bodies', handle: async request => ({ status: 200, body: await request.body(MAXIMUM_BYTES) }) }])
    await server.listen({ host: '127.0.0.1', port: 0 })
    const outcome = await sendOversizedBody(server.port)
    await server.close()
    expect(outcome).to.deep.equal({ answer: 'HTTP/1.1 413 Payload Too Large', isOpen: true })
  })
})
