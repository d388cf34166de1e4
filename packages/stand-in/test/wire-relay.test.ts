import { expect } from 'chai'
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { VirtualClock } from '@cornelgauge/ports'
import { until } from '@cornelgauge/ports/contract'
import { parseAddress, WireRelay } from '../src/index.js'

const ANY_PORT = { host: '127.0.0.1', port: 0 }

describe('wire relay', () => {
  let clock: VirtualClock
  let target: Server
  let accepted: Socket[]
  let relay: WireRelay
  let address: string
  let opened: Socket[]

  /** Opens a connection through the relay and collects the bytes received. */
  const open = async (from = '127.0.0.1'): Promise<{ socket: Socket, received: () => string, ended: () => boolean }> => {
    let text = ''
    let isEnded = false
    const socket = connect({ ...parseAddress(address), localAddress: from })
    opened.push(socket)
    socket.on('data', chunk => { text += chunk.toString() })
    socket.on('end', () => { isEnded = true })
    socket.on('error', () => {})
    const before = accepted.length
    await once(socket, 'connect')
    await until(() => accepted.length > before)
    return { socket, received: () => text, ended: () => isEnded }
  }

  const bytesAtTarget = (): number => accepted.reduce((sum, socket) => sum + socket.bytesRead, 0)
  /** Waits long enough for real sockets to deliver bytes in transit. */
  const letSocketsDeliver = (): Promise<void> => new Promise(resolve => setTimeout(resolve, 30))

  beforeEach(async () => {
    clock = new VirtualClock()
    accepted = []
    opened = []
    target = createServer(socket => {
      accepted.push(socket)
      socket.on('error', () => {})
      socket.pipe(socket)
    })
    target.listen(0, '127.0.0.1')
    await once(target, 'listening')
    const { port } = target.address() as AddressInfo
    relay = new WireRelay({ target: { host: '127.0.0.1', port }, delayTo: caller => caller === '127.0.2.1' ? 3 : 0, clock })
    address = await relay.listen(ANY_PORT)
  })

  afterEach(async () => {
    for (const socket of [...opened, ...accepted]) socket.destroy()
    await relay.close()
    target.close()
  })

  it('forwards bytes both ways, large amounts completely and in order', async () => {
    const { socket, received } = await open()
    const text = Array.from({ length: 100_000 }, (_, index) => `${index},`).join('')
    socket.write(text)
    await until(() => received().length === text.length)
    expect(received() === text).to.equal(true)
  })

  it('delays bytes from another failure domain, each way', async () => {
    const { socket, received } = await open('127.0.2.1')
    socket.write('hello')
    await letSocketsDeliver()
    await clock.advance(2)
    await letSocketsDeliver()
    expect(bytesAtTarget()).to.equal(0)
    await clock.advance(1)
    await until(() => bytesAtTarget() === 5)
    await letSocketsDeliver()
    expect(received()).to.equal('')
    await clock.advance(3)
    await until(() => received() === 'hello')
  })

  it('forwards the end of a connection', async () => {
    const { socket, ended } = await open()
    socket.end('bye')
    await until(ended)
    await until(() => relay.connections.length === 0)
  })

  it('closes the connection to the caller if the target cannot be reached', async () => {
    target.close()
    const socket = connect(parseAddress(address))
    opened.push(socket)
    socket.on('error', () => {})
    socket.resume()
    await once(socket, 'close')
  })

  it('silences open connections, which stay open, while new ones work', async () => {
    const silent = await open()
    relay.silence({ openConnectionsOnly: true })
    silent.socket.write('lost')
    const fresh = await open()
    fresh.socket.write('found')
    await until(() => fresh.received() === 'found')
    expect(silent.received()).to.equal('')
    expect(silent.socket.destroyed).to.equal(false)
    expect(relay.connections).to.deep.equal([{ from: '127.0.0.1', silent: true }, { from: '127.0.0.1', silent: false }])
  })

  it('does not forward the close of a silent connection', async () => {
    const silent = await open()
    relay.silence({ openConnectionsOnly: true })
    accepted[0]!.destroy()
    await letSocketsDeliver()
    expect(silent.ended()).to.equal(false)
    expect(silent.socket.destroyed).to.equal(false)
  })

  it('silences a single caller, new connections included, until it is restored', async () => {
    relay.silence({ from: '127.0.3.1', openConnectionsOnly: false })
    const silent = await open('127.0.3.1')
    const other = await open()
    silent.socket.write('lost')
    other.socket.write('found')
    await until(() => other.received() === 'found')
    expect(silent.received()).to.equal('')
    relay.restore()
    const later = await open('127.0.3.1')
    later.socket.write('found')
    await until(() => later.received() === 'found')
  })
})
