import { createServer, type Server } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { expect } from 'chai'
import { ConnectionGuard, type ConnectionLimits } from '../src/connection-guard.js'
import { readRequestBody } from '../src/request-body.js'

const LIMITS: ConnectionLimits = { connections: 3, headerMilliseconds: 100_000, idleMilliseconds: 100_000, bodyMilliseconds: () => 100_000 }
const NOTHING_CLOSED = { crowded: 0, unused: 0, header: 0, body: 0, discarding: 0 }
const HEADER = 'POST / HTTP/1.1\r\nHost: here\r\nContent-Length: 5\r\n\r\n'

describe('the guard of a server\'s connections', function () {
  // Real connections; nothing is measured.
  this.timeout(30_000)
  let server: Server
  let guard: ConnectionGuard
  let limits: ConnectionLimits
  let sockets: Socket[]
  let answer: () => void

  beforeEach(async () => {
    limits = LIMITS
    sockets = []
    const mayAnswer = new Promise<void>(resolve => { answer = resolve })
    server = createServer((request, response) => {
      readRequestBody(request, 100).then(async text => { await mayAnswer; response.end(text) }, () => response.destroy())
    })
    guard = new ConnectionGuard(server, () => limits)
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  })

  afterEach(() => {
    for (const socket of sockets) socket.destroy()
    server.closeAllConnections()
    server.close()
  })

  /** Opens a connection, sends a text and waits until the server has received it. */
  const send = async (text: string): Promise<{ readonly closed: Promise<string>, readonly received: () => string }> => {
    const socket = connect({ host: '127.0.0.1', port: (server.address() as AddressInfo).port })
    sockets.push(socket)
    const accepted = new Promise<Socket>(resolve => server.once('connection', resolve))
    let received = ''
    socket.on('data', part => { received += String(part) })
    socket.on('error', () => {})
    const closed = new Promise<string>(resolve => socket.once('close', () => resolve(received)))
    socket.write(text)
    const other = await accepted
    while (other.bytesRead < text.length && !other.destroyed) await new Promise(resolve => setTimeout(resolve, 5))
    return { closed, received: () => received }
  }

  it('closes the unfinished one at the bound, and the one that waits for its answer receives it', async () => {
    const waiting = await send(`${HEADER}whole`)
    const unfinished = await send(`${HEADER}par`)
    const header = await send('POST / HT')
    await send('')
    expect(await Promise.race([unfinished.closed, header.closed])).to.equal('')
    expect(guard.connections).to.be.below(4)
    answer()
    while (!waiting.received().endsWith('whole')) await new Promise(resolve => setTimeout(resolve, 5))
  })

  const cases: readonly (readonly ['header' | 'body' | 'unused', string, Partial<ConnectionLimits>])[] = [
    ['header', 'POST / HT', { headerMilliseconds: 0 }],
    ['body', `${HEADER}par`, { bodyMilliseconds: () => 0 }],
    ['unused', '', { idleMilliseconds: 0 }]
  ]
  for (const [phase, text, changed] of cases) {
    it(`answers a connection past its time for the phase ${phase} with 408 and closes it`, async () => {
      limits = { ...LIMITS, ...changed }
      expect(await (await send(text)).closed).to.match(/^HTTP\/1\.1 408 /)
      expect(guard.closed).to.deep.equal({ ...NOTHING_CLOSED, [phase]: 1 })
    })
  }

  it('leaves a request that is whole, and the connection between two requests, past all time limits', async () => {
    limits = { connections: 3, headerMilliseconds: 0, idleMilliseconds: 0, bodyMilliseconds: () => 0 }
    const waiting = await send(`${HEADER}whole`)
    const expired = await send('POST / HT')
    await expired.closed
    answer()
    while (!waiting.received().endsWith('whole')) await new Promise(resolve => setTimeout(resolve, 5))
    await (await send('POST / HT')).closed
    expect(guard.closed).to.deep.equal({ ...NOTHING_CLOSED, header: 2 })
    expect(guard.connections).to.equal(1)
  })
})
